"""Exchanges status, configuration and endpoint state with the other boxes."""

from collections.abc import Callable
import dataclasses

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import key_freshness
from martenjunction.decisions.boxes import peer_questions
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import messages
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import follower
from martenjunction.routing import peer_messages
from martenjunction.routing import picture

# Interval in seconds at which a box that does not read from the store queries
# the most up-to-date peer.
ASK_INTERVAL_S = 0.3

# Seconds without a confirmed configuration after which peers of other groups
# are queried as well.
ASK_FAR_AFTER_S = 2.0

# Interval in seconds at which this box decides whether to read from the store
# and whether to notify its peers of what it read.
ROLE_INTERVAL_S = 0.1

# Seconds for which a received status is valid.
STATUS_LIFETIME_S = 1.2

# Seconds without a message after which a connection is closed. A box is
# considered silent long before; a new connection costs both sides two
# handshakes, which an overloaded box can afford least.
LINK_SILENCE_S = 3.0

# Interval in seconds between load reports while this box has load at endpoints.
LOADS_INTERVAL_S = 0.2

# Maximum rate of load reports to all peers together, in messages and in bytes
# per second. With many peers or endpoints the interval becomes longer.
LOADS_MESSAGES_PER_S = 72
LOADS_BYTES_PER_S = 24_000

# Age that a box reports if its configuration was never confirmed.
NEVER_CONFIRMED = -1
MS = 0.001
KB = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Told:
    """The last status received from a box.

    Attributes:
        at: Time of receipt on the steady clock, to compute the status's age.
        listened_at: Time of receipt on the clock that excludes stalls of this
            box's event loop, to detect that the box is silent.
        status: The status.
    """

    at: float
    listened_at: float
    status: peer_messages.BoxStatus


class PeerSync:
    """Exchanges status, configuration and endpoints with the other boxes."""

    def __init__(
        self,
        peers: hub.PeerHub,
        members: membership.Membership,
        known: picture.Picture,
        freshness: key_freshness.ConfigFreshness,
        book: endpoint_book.EndpointBook,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        is_ready: Callable[[], bool],
        reading: follower.StoreFollower,
        link_bytes_s: float,
    ) -> None:
        """Initializes the exchange; `start` subscribes to messages.

        Args:
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            known: The local copy of the store's state.
            freshness: The age of the configuration.
            book: Receives the other boxes' load.
            clock: The clock and timers.
            log: Records configuration changes and unusable messages.
            is_ready: Returns whether this box accepts clients.
            reading: Reads from the store when this box is a reader.
            link_bytes_s: Bandwidth of this box's link in bytes per second.
        """
        self._peers = peers
        self._members = members
        self._known = known
        self._freshness = freshness
        self._book = book
        self._timers = clock
        self._log = log
        self._is_ready = is_ready
        self._reading = reading
        self._link_kb = int(link_bytes_s / KB)
        self._role = store_readers.ReaderRole(members.own.box, self._link_kb)
        self._told_of = (False, 0, revisions.NONE)
        self._lacks_entries = False
        # The version whose local document differs from that of a peer.
        self._unlike_version: int | None = None
        self._told_sent: set[tuple[str, int]] = set()
        self._statuses: dict[str, _Told] = {}
        self._questions = peer_questions.PeerQuestions()
        self._loads_due = 0.0
        self._told = False

    def start(self) -> None:
        """Subscribes to messages and timers."""
        self._peers.subscribe(peer_messages.BoxStatus, self._on_status)
        self._peers.subscribe(peer_messages.AskView, self._on_ask)
        self._peers.subscribe(peer_messages.View, self._on_view)
        self._peers.subscribe(peer_messages.ConfigNews, self._on_config_news)
        self._peers.subscribe(peer_messages.EndpointsLeft, self._on_left)
        self._peers.subscribe(messages.Leaving, self._on_leaving)
        self._known.on_left(self._tell_left)
        self._timers.subscribe("ask-view", ASK_INTERVAL_S, self._ask_peers)
        self._timers.subscribe("role", ROLE_INTERVAL_S, self._look)
        self._timers.subscribe("loads", LOADS_INTERVAL_S, self._tell_loads)

    def heartbeat(self) -> peer_messages.BoxStatus:
        """Returns the status of this box without its load at endpoints."""
        return self._status(False, [], [])

    def _status(
        self,
        tells_loads: bool,
        loads: list[endpoint_book.LoadRow],
        sent: list[tuple[str, int]],
    ) -> peer_messages.BoxStatus:
        engines = self._book.engines.rows(self._timers.now())
        return peer_messages.BoxStatus(
            self._is_ready(),
            self._known.version,
            self._book.listed.revision,
            self._reading.answered,
            self._age_ms(),
            self._link_kb,
            tells_loads,
            tuple(row[0] for row in loads),
            tuple(row[1] for row in loads),
            tuple(row[2] for row in loads),
            tuple(row[3] for row in loads),
            tuple(row[4] for row in loads),
            tuple(endpoint for endpoint, _ in sent),
            tuple(tokens for _, tokens in sent),
            tuple(row[0] for row in engines),
            tuple(row[1] for row in engines),
            tuple(row[2] for row in engines),
            tuple(row[3] for row in engines),
            tuple(row[4] for row in engines),
        )

    def announce(self) -> None:
        """Sends the status of this box to all peers immediately."""
        self._peers.broadcast(self.heartbeat())

    def announce_leaving(self) -> None:
        """Notifies all peers of the planned shutdown of this box."""
        own = self._members.own
        self._peers.broadcast(messages.Leaving(own.box, own.incarnation))

    def ready_boxes(self) -> list[membership.Member]:
        """Returns the other boxes that accept clients."""
        return [
            member
            for member in self._members.believed()
            if self._hears(member) and self._statuses[member.box].status.ready
        ]

    def heard(self) -> list[membership.Member]:
        """Returns the live boxes from which a recent status was received."""
        return [m for m in self._members.believed() if self._hears(m)]

    def _on_status(self, box: str, status: peer_messages.BoxStatus) -> None:
        now = self._timers.now()
        self._statuses[box] = _Told(now, self._timers.listened(), status)
        self._members.heard(box, 0.0)
        self._reading.update_era(status.revision.era)
        behind = self._hear_of(status.version, box)
        if behind or status.revision > self._book.listed.revision:
            self._ask(box)
        engines = zip(
            status.learnt_of,
            status.prefill_rates,
            status.reading_token_us,
            status.short_asked,
            status.long_asked,
            strict=False,
        )
        self._book.engines.take_peer(box, engines, now)
        if not status.tells_loads:
            return
        loads = zip(
            status.endpoints,
            status.urgencies,
            status.long,
            status.running,
            status.unread,
            strict=False,
        )
        self._book.take_peer_loads(box, list(loads), now)
        sent = zip(status.engines, status.sent, strict=False)
        self._book.take_peer_sent(box, list(sent), now)

    def _hear_of(self, version: int, box: str) -> bool:
        """Records a peer's version; returns whether it is newer than ours."""
        if version <= self._known.version:
            return False
        if self._freshness.heard_of(version, self._timers.now()):
            self._log.write(
                "config-behind",
                version=self._known.version,
                newer=version,
                told_by=box,
            )
        return True

    def _on_config_news(self, box: str, news: peer_messages.ConfigNews) -> None:
        """Applies a configuration update, which any peer may send unasked."""
        if not self._hear_of(news.version, box):
            return
        try:
            spec = self._known.documents.document_in(news)
            if spec is not None:
                self._known.take_newer_config(spec, box)
                return
        except (errors.PeerError, errors.PlatformError) as error:
            # A request with the local version would return the same delta.
            self._unlike_version = self._known.version
            self._log.write("peer-config-unreadable", peer=box, why=str(error))
        self._ask(box)

    def _on_leaving(self, box: str, message: messages.Leaving) -> None:
        if self._members.leaving(message.box, message.incarnation):
            self._log.write("box-leaves", leaving=message.box, told_by=box)

    def _on_left(self, box: str, message: peer_messages.EndpointsLeft) -> None:
        self._known.take_left(message.ids, message.revision)

    def _tell_left(self, ids: list[str]) -> None:
        self._peers.broadcast(
            peer_messages.EndpointsLeft(tuple(ids), self._book.listed.revision)
        )

    def _tell_loads(self) -> None:
        """Sends this box's load at endpoints to all peers while it has any.

        The last report after a period of load reports zero load.
        """
        now = self._timers.now()
        if now < self._loads_due or not (self._book.running or self._told):
            return
        sent = dict(self._book.sent_tokens())
        news = [row for row in sent.items() if row not in self._told_sent]
        self._told_sent = set(sent.items())
        status = self._status(True, self._book.loads(), news)
        self._told = self._book.running > 0
        self._peers.broadcast(status)
        peers = len(self._peers.boxes())
        size = peers * len(codec.Encoded(status).data)
        wait_s = max(size / LOADS_BYTES_PER_S, peers / LOADS_MESSAGES_PER_S)
        self._loads_due = now + wait_s

    def _look(self) -> None:
        """Starts or stops reading the store and announces changes at once."""
        now = self._timers.now()
        self._freshness.nobody_has(above=self._newest_told())
        reads = self._role.decide(
            self._group(now), self._freshness.age_s(now), now
        )
        self._reading.read(reads, self._role.first)
        self._book.scale_loads(self._unheard_scale())
        news = (
            self._reading.answered,
            self._known.version,
            self._book.listed.revision,
        )
        if self._reading.answered and news != self._told_of:
            if self._told_of[1] not in (0, self._known.version):
                self._tell_config()
            self.announce()
        self._told_of = news

    def _tell_config(self) -> None:
        """Pushes the last configuration change to the peers that lack it.

        Peers that lack earlier changes as well request them. A change received
        from a box of the same group is not pushed, as that box did so already.
        """
        news = self._known.documents.news_of_last()
        near = {member.box for member in self._members.near()}
        if news is None or self._known.config_from in near:
            return
        for box in self._peers.boxes():
            told = self._statuses.get(box)
            if told is None or told.status.version < news.version:
                self._peers.send(box, news)

    def _newest_told(self) -> int:
        """Returns the newest version reported by a box with a valid status."""
        listened = self._timers.listened()
        return max(
            (
                told.status.version
                for told in self._statuses.values()
                if listened - told.listened_at <= STATUS_LIFETIME_S
            ),
            default=0,
        )

    def _group(self, now: float) -> list[store_readers.PeerAge]:
        """Returns the other boxes of the group that elects a reader."""
        return self._ages(self._members.near(), now)

    def _ages(
        self, members: list[membership.Member], now: float
    ) -> list[store_readers.PeerAge]:
        return [
            self._peer_age(member.box, now)
            for member in members
            if self._hears(member)
        ]

    def _unheard_scale(self) -> float:
        """Returns the factor by which to extrapolate the known peers' load.

        In a large fleet a box is connected to only a few boxes of the other
        availability zones. It assumes the same average load for the others.
        """
        heard = len(self._peers.boxes()) + 1
        return max(1.0, len(self._members.believed()) / heard)

    def _hears(self, member: membership.Member) -> bool:
        told = self._statuses.get(member.box)
        if told is None:
            return False
        if self._timers.listened() - told.listened_at > STATUS_LIFETIME_S:
            return False
        return self._peers.reachable(member.box)

    def _peer_age(self, box: str, now: float) -> store_readers.PeerAge:
        told = self._statuses[box]
        age = None
        if told.status.age_ms != NEVER_CONFIRMED:
            age = told.status.age_ms * MS + now - told.at
        return store_readers.PeerAge(
            box, told.status.reads, age, told.status.link_kb
        )

    def _ask_peers(self) -> None:
        """Queries the most up-to-date peer, preferring those that answer."""
        now = self._timers.now()
        age = self._freshness.age_s(now)
        if self._reading.answered:
            return
        group = self._group(now)
        if age is None or age > ASK_FAR_AFTER_S:
            group = self._ages(self._members.believed(), now)
        known = [p for p in group if p.age_s is not None]
        silent = self._questions.unanswered_by(now)
        if known:
            best = min(known, key=lambda p: (p.box in silent, *_ask_order(p)))
            self._ask(best.box)

    def _age_ms(self) -> int:
        age = self._freshness.age_s(self._timers.now())
        return NEVER_CONFIRMED if age is None else int(age / MS) + 1

    def _ask(self, box: str) -> None:
        """Queries a peer, unless too many queries are in flight."""
        number = self._questions.ask(box, self._timers.now())
        if number is None:
            return
        unlike = self._unlike_version == self._known.version
        sent = self._peers.send(
            box,
            peer_messages.AskView(
                number,
                0 if unlike else self._known.version,
                revisions.NONE
                if self._lacks_entries
                else self._book.listed.revision,
                self._book.listed.digest(),
            ),
        )
        if not sent:
            self._questions.lost(box)

    def _on_ask(self, box: str, ask: peer_messages.AskView) -> None:
        listed = self._book.listed
        news = self._known.documents.news_for(ask.version)
        if news is not None:
            self._peers.send(box, news)
        tells = listed.revision >= ask.revision and (
            listed.revision > ask.revision or listed.digest() != ask.digest
        )
        changed = {
            name: entry
            for name, entry in (self._known.entries if tells else {}).items()
            if entry[0] > ask.revision
        }
        self._peers.send(
            box,
            peer_messages.View(
                ask.question,
                self._age_ms(),
                self._known.version,
                listed.revision,
                tells,
                tuple(listed.ready_ids()) if tells else (),
                tuple(changed),
                tuple(revision.era for revision, _ in changed.values()),
                tuple(revision.number for revision, _ in changed.values()),
                tuple(spec for _, spec in changed.values()),
            ),
        )

    def _on_view(self, box: str, view: peer_messages.View) -> None:
        asked_at = self._questions.answered(view.question)
        same = view.version == self._known.version
        if asked_at is not None and view.age_ms >= 0 and same:
            self._freshness.confirm(asked_at - view.age_ms * MS)
        if view.tells_endpoints:
            self._known.take_view(view.rows(), view.ready, view.revision, box)
        self._lacks_entries = any(
            endpoint_id not in self._book.listed.entries
            for endpoint_id in view.ready
        )


def _ask_order(peer: store_readers.PeerAge) -> tuple[bool, float]:
    """Returns the sort key by which a peer to query is selected."""
    return not peer.reads, peer.age_s or 0.0
