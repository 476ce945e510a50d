"""The runs that occupy slots of one cell, and preemption candidates."""

from collections.abc import Iterator

from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import tiers


class GrantedRuns:
    """Runs by request ID, and preemptible runs by tier."""

    def __init__(self, max_preemptions: int) -> None:
        """Initializes an empty collection.

        Args:
            max_preemptions: Maximum preemptions of one request.
        """
        self._max_preemptions = max_preemptions
        self._runs: dict[str, dispatch_types.Run] = {}
        self._victims: dict[int, dict[str, dispatch_types.Run]] = {
            tier: {} for tier in tiers.TIERS
        }
        self._giving_way = 0

    @property
    def preempting(self) -> int:
        """Number of runs being preempted that still occupy a slot."""
        return self._giving_way

    def __len__(self) -> int:
        return len(self._runs)

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._runs

    def __iter__(self) -> Iterator[dispatch_types.Run]:
        return iter(list(self._runs.values()))

    def find(self, request_id: str) -> dispatch_types.Run | None:
        """Returns the run of a request, or None if it has no slot."""
        return self._runs.get(request_id)

    def add(self, run: dispatch_types.Run) -> None:
        """Adds a run that occupies a slot."""
        ask = run.ask
        self._runs[ask.request_id] = run
        may_move = ask.preemptions < self._max_preemptions
        if ask.preemptible and may_move and not run.guaranteed:
            self._victims[ask.tier][ask.request_id] = run

    def remove(self, run: dispatch_types.Run) -> None:
        """Removes a run that ended."""
        ask = run.ask
        del self._runs[ask.request_id]
        self._victims[ask.tier].pop(ask.request_id, None)
        self._giving_way -= run.cancelling

    def victim(self, tier: int) -> dispatch_types.Run | None:
        """Returns the newest preemptible run of the lowest tier below `tier`.

        The newest run loses the least work.
        """
        for lower in reversed(tiers.TIERS):
            if lower > tier and self._victims[lower]:
                return next(reversed(self._victims[lower].values()))
        return None

    def start_preemption(self, run: dispatch_types.Run) -> None:
        """Marks a run as being preempted."""
        run.cancelling = True
        self._giving_way += 1
        del self._victims[run.ask.tier][run.ask.request_id]
