"""The requests a second that endpoints say they take from all boxes.

A limit is the word of one start of an endpoint. Answers and peers tell it in
any order; what was first heard later holds, and what binds more is believed at
once.
"""

from collections.abc import Container
import dataclasses

from martenjunction.decisions import grant_bucket

# Words that are remembered, and seconds for which one is that its endpoint has
# no limit any more: late news of its limit must not bring that back.
MAX_WORDS = 1024
ENDED_LIFETIME_S = 60.0


@dataclasses.dataclass(slots=True)
class Word:
    """What an endpoint said last.

    Attributes:
        per_s: Requests a second; None if it has no limit any more.
        since: Steady clock when that was first heard.
        closed_until: Steady clock until which this box is granted nothing.
    """

    per_s: float | None
    since: float
    closed_until: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A word that differs from the one before.

    Attributes:
        before: Requests a second before it; None for no limit.
        per_s: The same from now on.
    """

    before: float | None
    per_s: float | None


class LimitTable:
    """What one box knows of the limits of all endpoints."""

    def __init__(self) -> None:
        self._words: dict[str, Word] = {}

    @property
    def words(self) -> dict[str, Word]:
        """What each endpoint said last, to be read only."""
        return self._words

    def limited(self) -> list[str]:
        """Returns ids of the endpoints that name a limit."""
        return [i for i, word in self._words.items() if word.per_s is not None]

    def per_s(self, endpoint_id: str) -> float | None:
        """Returns an endpoint's limit in requests a second; None for none."""
        word = self._words.get(endpoint_id)
        return None if word is None else word.per_s

    def say(
        self,
        endpoint_id: str,
        per_s: float | None,
        asked_at: float,
        now: float,
    ) -> Change | None:
        """Takes in what an answer to this box says.

        An answer to a request that was sent before the word that holds was
        heard may be older than that word: it may bind more, but not less.

        Args:
            endpoint_id: The endpoint.
            per_s: The limit that it names; None for none.
            asked_at: When the request was sent, steady clock.
            now: The current time.

        Returns:
            What changed, or None.
        """
        per_s = grant_bucket.binding(per_s)
        word = self._words.get(endpoint_id)
        may_be_older = word is not None and asked_at < word.since
        if may_be_older and not _binds_more(per_s, self.per_s(endpoint_id)):
            return None
        return self._set(endpoint_id, per_s, now)

    def take(
        self, endpoint_id: str, per_s: float | None, since: float
    ) -> Change | None:
        """Takes in what another box heard.

        Args:
            endpoint_id: The endpoint; it need not be listed.
            per_s: The limit that it names; None for none.
            since: Steady clock when that box first heard it.

        Returns:
            What changed, or None.
        """
        word = self._words.get(endpoint_id)
        if word is not None and since <= word.since:
            return None
        return self._set(endpoint_id, grant_bucket.binding(per_s), since)

    def is_open(self, endpoint_id: str, now: float) -> bool:
        """Returns whether a request may be meant for an endpoint now."""
        return not self.opens_in_s(endpoint_id, now)

    def opens_in_s(self, endpoint_id: str, now: float) -> float:
        """Returns the seconds until this box may ask for a grant; 0 for now."""
        word = self._words.get(endpoint_id)
        if word is None or word.per_s is None:
            return 0.0
        return max(0.0, word.closed_until - now)

    def close(self, endpoint_id: str, until: float) -> None:
        """Notes that this box is granted nothing before a moment."""
        word = self._words.get(endpoint_id)
        if word is not None:
            word.closed_until = until

    def keep_only(self, listed: Container[str], now: float) -> None:
        """Forgets what is no longer of use.

        Args:
            listed: Ids of the endpoints that there are.
            now: The current time.
        """
        gone = [
            endpoint_id
            for endpoint_id, word in self._words.items()
            if now - word.since > ENDED_LIFETIME_S
            and (word.per_s is None or endpoint_id not in listed)
        ]
        for endpoint_id in gone:
            del self._words[endpoint_id]

    def _set(
        self, endpoint_id: str, per_s: float | None, since: float
    ) -> Change | None:
        word = self._words.get(endpoint_id)
        before = None if word is None else word.per_s
        if per_s == before:
            return None
        self._words.pop(endpoint_id, None)
        while len(self._words) >= MAX_WORDS:
            del self._words[next(iter(self._words))]
        self._words[endpoint_id] = Word(per_s, since)
        return Change(before, per_s)


def _binds_more(per_s: float | None, other: float | None) -> bool:
    """Returns whether a limit binds more than another one."""
    return per_s is not None and (other is None or per_s < other)
