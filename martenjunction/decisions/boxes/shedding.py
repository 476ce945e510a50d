"""Which requests are refused before any work is done for them."""

import dataclasses

# Part of its target by which a request's predicted first event must be late
# before it is refused: predictions are rough.
LATE_PART = 0.7

# The same for one that comes back after a refusal. It is worth less than a new
# one, but to refuse it again costs more; served late, it would only make new
# ones late as well.
RETURN_LATE_PART = 1.0

# Part of the longest deadline seen on a route below which a request is taken
# to be one that comes back after a refusal.
RETURN_DEADLINE_PART = 0.95

# Part of an endpoint's places that must be taken before it counts as busy.
BUSY_PART = 0.5

# Bounds of the time, in seconds, after which a refused client may come back.
SHORTEST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What is expected of a request at the endpoint that suits it best.

    Attributes:
        predicted_s: Seconds to its first event.
        target_s: Seconds within which its first event is due.
        came_back: Whether it was refused before.
        busy: Whether the endpoint has others waiting, or few places left.
    """

    predicted_s: float
    target_s: float
    came_back: bool
    busy: bool


def retry_after_s(prospect: Prospect) -> float | None:
    """Returns when a request should come back, or None if it is taken.

    A refused request costs its client time and may be refused again, so one
    is refused only where it would come late and others wait already.
    """
    if not prospect.busy:
        return None
    part = RETURN_LATE_PART if prospect.came_back else LATE_PART
    if prospect.predicted_s < part * prospect.target_s:
        return None
    excess = prospect.predicted_s - 0.5 * prospect.target_s
    return min(max(excess, SHORTEST_RETRY_S), LONGEST_RETRY_S)


class DeadlineBook:
    """The longest deadline seen on each route, which tells returns apart."""

    # Routes that are remembered; the oldest give way.
    MAX_ROUTES = 4096

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def came_back(self, route: str, deadline_s: float | None) -> bool:
        """Notes a request's deadline; returns whether it came back.

        A client that comes back within its own time has less of it left.

        Args:
            route: The route's name.
            deadline_s: Seconds that the client waits, or None.
        """
        if deadline_s is None:
            return False
        longest = self._longest.get(route, 0.0)
        if deadline_s >= longest:
            if len(self._longest) >= self.MAX_ROUTES:
                self._longest.pop(next(iter(self._longest)))
            self._longest[route] = deadline_s
            return False
        return deadline_s < RETURN_DEADLINE_PART * longest
