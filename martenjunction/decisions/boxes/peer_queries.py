"""Limit on the in-flight queries of a box to its peers, with back-off.

A box that is behind queries few peers at a time. If it sent more queries the
longer the responses took, the queries would keep it behind: querying all peers
every 0.3 s was 290 queries a second at 87 boxes, each answered by a box that
may itself be short of CPU time.
"""

import dataclasses

# Maximum number of in-flight queries: one may go to a peer that does not
# respond.
MAX_IN_FLIGHT = 2

# Initial and maximum seconds to wait for a response before another query is
# sent. The wait doubles after each timeout. Later responses still count.
INITIAL_TIMEOUT_S = 0.4
MAX_TIMEOUT_S = 1.6

# Number of queries whose send time is remembered: at two per 0.4 s, those of
# the last 12 s.
MAX_REMEMBERED = 64


@dataclasses.dataclass(slots=True)
class _Query:
    box: str
    sent_at: float
    timeout_s: float
    overdue: bool = False


class PeerQueries:
    """In-flight queries of one box."""

    def __init__(self) -> None:
        self._queries: dict[int, _Query] = {}
        self._last_number = 0
        self._timeout_s = INITIAL_TIMEOUT_S

    def begin_query(self, box: str, now: float) -> int | None:
        """Starts a query; returns its number, or None if it has to wait.

        Args:
            box: The peer to be queried.
            now: The current time.
        """
        in_flight = [
            query
            for query in self._queries.values()
            if self._is_pending(query, now)
        ]
        if len(in_flight) >= MAX_IN_FLIGHT:
            return None
        if any(query.box == box for query in in_flight):
            return None
        self._last_number += 1
        self._queries[self._last_number] = _Query(box, now, self._timeout_s)
        while len(self._queries) > MAX_REMEMBERED:
            del self._queries[next(iter(self._queries))]
        return self._last_number

    def complete_query(self, number: int) -> float | None:
        """Completes a query; returns its send time, or None if unknown."""
        query = self._queries.pop(number, None)
        if query is None:
            return None
        self._timeout_s = INITIAL_TIMEOUT_S
        return query.sent_at

    def unresponsive_peers(self, now: float) -> set[str]:
        """Returns the peers with a recent query that they have not answered.

        Args:
            now: The current time.
        """
        return {
            query.box
            for query in self._queries.values()
            if now - query.sent_at < 2 * MAX_TIMEOUT_S
        }

    def drop_peer(self, box: str) -> None:
        """Drops the queries to a peer whose connection was closed."""
        gone = [
            number
            for number, query in self._queries.items()
            if query.box == box
        ]
        for number in gone:
            del self._queries[number]

    def _is_pending(self, query: _Query, now: float) -> bool:
        if now - query.sent_at < query.timeout_s:
            return True
        if not query.overdue:
            query.overdue = True
            self._timeout_s = min(2 * self._timeout_s, MAX_TIMEOUT_S)
        return False
