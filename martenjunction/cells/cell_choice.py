"""Chooses the cell of a request by predicted delay, zone and policy."""

from collections.abc import Iterable
import random

from martenjunction import timers
from martenjunction.cells import directory
from martenjunction.cells import messages
from martenjunction.decisions.cells import dispatch_types

# Seconds after which a cell's summary expires.
SUMMARY_LIFETIME = 6.0

# Penalty in seconds for a cell outside the policies' preferred zones.
POLICY_MISMATCH_PENALTY_S = 2.0


class CellChoice:
    """The cells of each service and their latest summaries."""

    def __init__(
        self, zone: str, clock: timers.Timers, rng: random.Random
    ) -> None:
        """Initializes the choice without cells.

        Args:
            zone: The availability zone of this box.
            clock: Returns the time.
            rng: Selects the two cells that are compared.
        """
        self._zone = zone
        self._timers = clock
        self._rng = rng
        self._by_service: dict[str, list[directory.CellInfo]] = {}
        self._summaries: dict[str, tuple[float, messages.Summary]] = {}

    def set_cells(self, cells: Iterable[directory.CellInfo]) -> None:
        """Replaces the layout of cells."""
        self._by_service = {}
        for cell in cells:
            self._by_service.setdefault(cell.service, []).append(cell)

    def of_service(self, service: str) -> list[directory.CellInfo]:
        """Returns the cells of a service."""
        return self._by_service.get(service, [])

    def take_summary(self, summary: messages.Summary) -> None:
        """Stores a cell's summary."""
        self._summaries[summary.cell] = (self._timers.now(), summary)

    def forget_summary(self, cell: str) -> None:
        """Drops the summary that a cell's previous owner sent."""
        self._summaries.pop(cell, None)

    def delay(self, cell: str, tier: int) -> float | None:
        """Returns a cell's latest predicted delay in seconds, or None."""
        entry = self._summaries.get(cell)
        if entry is None:
            return None
        received_at, summary = entry
        if self._timers.now() - received_at > SUMMARY_LIFETIME:
            return None
        if not summary.delay_ms:
            return None
        index = min(tier, len(summary.delay_ms)) - 1
        return summary.delay_ms[index] / 1000

    def choose(
        self, ask: dispatch_types.SlotRequest, service: str
    ) -> directory.CellInfo | None:
        """Returns the better of two random cells, the first from a near one.

        Returns:
            A cell, or None if the service has none.
        """
        cells = self.of_service(service)
        if not cells:
            return None
        untried = [c for c in cells if not ask.avoid.issuperset(c.endpoints)]
        cells = untried or cells
        near = [c for c in cells if directory.is_within(self._zone, c.place)]
        first = self._rng.choice(near or cells)
        second = self._rng.choice(cells)
        preferred = [c for c in cells if _is_preferred(c, ask)]
        if preferred:
            first = self._rng.choice(preferred)
        return min((first, second), key=lambda cell: self._cost(cell, ask))

    def _cost(
        self, cell: directory.CellInfo, ask: dispatch_types.SlotRequest
    ) -> float:
        cost = directory.distance(self._zone, cell.place)
        cost += self.delay(cell.name, ask.tier) or 0.0
        if ask.zones and not _is_preferred(cell, ask):
            cost += POLICY_MISMATCH_PENALTY_S
        return cost


def _is_preferred(
    cell: directory.CellInfo, ask: dispatch_types.SlotRequest
) -> bool:
    return any(directory.is_within(z, cell.place) for z in ask.zones)
