"""Selection of runs to preempt."""

from martenjunction.decisions.cells import cell_state
from martenjunction.decisions.cells import dispatch_types

# A waiting request is urgent when its slack is below this many seconds, or
# below this multiple of the expected wait for a slot.
PREEMPT_SLACK = 0.1
PREEMPT_MARGIN = 2.0


def find_victim(
    cell: cell_state.CellState, now: float
) -> tuple[dispatch_types.Run, int] | None:
    """Returns the run to preempt.

    Returns:
        The run and the tier that it is preempted for, or None.
    """
    waiting_tiers = cell.waiting.tiers()
    if not waiting_tiers or cell.endpoints.places.free > 0:
        return None
    tier = waiting_tiers[0]
    queue = cell.waiting.of_tier(tier)
    deadline = queue.next_deadline(now)
    if deadline is None or not _is_urgent(cell, deadline, now):
        return None
    if cell.runs.preempting >= len(queue):
        return None
    victim = cell.runs.victim(tier)
    return (victim, tier) if victim is not None else None


def _is_urgent(cell: cell_state.CellState, deadline: float, now: float) -> bool:
    """Returns whether a request would miss its target without preemption."""
    until_free = cell.pace.hold / max(1, len(cell.runs))
    slack = deadline - now - cell.pace.lead
    return 0.0 < slack < max(PREEMPT_SLACK, PREEMPT_MARGIN * until_free)
