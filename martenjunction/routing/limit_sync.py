"""Tells the other boxes how many requests a second endpoints take."""

from collections.abc import Iterable

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_limits
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import peer_messages

# Least time, in seconds, between two messages of a box on the limit of one
# endpoint: one that names another number in each answer would fill thin links.
TELL_INTERVAL_S = 0.2

# Seconds between two looks at what was not told yet and at what is of no use.
LOOK_INTERVAL_S = 0.1

# Endpoints that a box tells of on a new connection, the last changed first.
TOLD_TO_NEW = 256

MS = 0.001


class LimitSync:
    """One box's exchange with the others about endpoints' limits.

    A limit holds for all boxes together: one that is not told of it goes on
    sending until an answer of its own tells it.
    """

    def __init__(
        self,
        book: endpoint_book.EndpointBook,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Makes the exchange; `start` begins.

        Args:
            book: Told of the limits.
            peers: Connections to the other boxes.
            members: Which boxes there are.
            clock: Tells the time.
            log: Told of each limit that begins, changes or ends.
        """
        self._book = book
        self._limits = book.limits
        self._peers = peers
        self._members = members
        self._timers = clock
        self._log = log
        self._told_at: dict[str, float] = {}
        self._untold: set[str] = set()

    def start(self, emitter: events.Events) -> None:
        """Listens to the other boxes.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(peer_messages.EndpointLimits, self._on_news)
        emitter.connect(events.PEER_CONNECTED, self._greet)
        self._timers.subscribe("limits", LOOK_INTERVAL_S, self._look)

    def say(
        self, endpoint_id: str, per_s: float | None, asked_at: float
    ) -> None:
        """Takes in what an endpoint's answer says, and tells all boxes.

        Args:
            endpoint_id: The endpoint.
            per_s: The limit that it names; None for none.
            asked_at: When the request was sent, steady clock.
        """
        now = self._timers.now()
        change = self._limits.say(endpoint_id, per_s, asked_at, now)
        if change is not None:
            self._apply(endpoint_id, change, "endpoint", 0.0)
            self._untold.add(endpoint_id)
            self._tell_due()

    def word(self, endpoint_id: str) -> peer_messages.LimitWord:
        """Returns what this box knows of an endpoint, to be told to others."""
        word = self._limits.words.get(endpoint_id)
        if word is None:
            return peer_messages.LimitWord(endpoint_id, None, None)
        age_s = max(0.0, self._timers.now() - word.since)
        return peer_messages.LimitWord(
            endpoint_id, word.per_s, round(age_s / MS)
        )

    def take(self, box: str, word: peer_messages.LimitWord) -> bool:
        """Takes in what another box knows; returns whether it is news."""
        if word.age_ms is None:
            return False
        since = self._timers.now() - word.age_ms * MS
        change = self._limits.take(word.endpoint, word.per_s, since)
        if change is None:
            return False
        self._apply(word.endpoint, change, box, word.age_ms * MS)
        return True

    def _apply(
        self,
        endpoint_id: str,
        change: endpoint_limits.Change,
        told_by: str,
        age_s: float,
    ) -> None:
        self._log.write(
            "endpoint-limit",
            endpoint=endpoint_id,
            per_s=change.per_s,
            before=change.before,
            told_by=told_by,
            age_ms=round(age_s / MS),
        )
        if change.per_s is None:
            self._book.unlimited(endpoint_id, self._timers.now())

    def _look(self) -> None:
        now = self._timers.now()
        self._limits.keep_only(self._book.listed.entries, now)
        self._tell_due()
        for endpoint_id in [
            i for i, at in self._told_at.items() if now - at > TELL_INTERVAL_S
        ]:
            del self._told_at[endpoint_id]

    def _tell_due(self) -> None:
        """Tells all boxes of changes, each endpoint's not too often."""
        now = self._timers.now()
        due = [
            endpoint_id
            for endpoint_id in self._untold
            if now - self._told_at.get(endpoint_id, -TELL_INTERVAL_S)
            >= TELL_INTERVAL_S
        ]
        self._untold.difference_update(due)
        self._told_at.update(dict.fromkeys(due, now))
        self._broadcast(due, True)

    def _broadcast(self, endpoint_ids: Iterable[str], first_hand: bool) -> None:
        words = [self.word(endpoint_id) for endpoint_id in endpoint_ids]
        if words:
            self._peers.broadcast(
                peer_messages.EndpointLimits.of(words, first_hand)
            )

    def _greet(self, box: str) -> None:
        """Tells a box that was not connected what endpoints said."""
        newest = sorted(
            self._limits.words.items(), key=lambda item: -item[1].since
        )
        words = [self.word(i) for i, _ in newest[:TOLD_TO_NEW]]
        if words:
            self._peers.send(box, peer_messages.EndpointLimits.of(words, False))

    def _on_news(self, box: str, news: peer_messages.EndpointLimits) -> None:
        fresh = [w.endpoint for w in news.words() if self.take(box, w)]
        linked = len(self._peers.boxes()) + 1
        if news.first_hand and linked < len(self._members.believed()):
            # To boxes that the one that told it may not hear; passed on only
            # once, as each hop makes the word look newer than it is.
            self._broadcast(fresh, False)
