"""Load shedding of requests before any work is done for them."""

import dataclasses

# Fraction of its target that a request's predicted time to first event must
# reach before it is refused. Predictions are imprecise.
LATE_FRACTION = 0.7

# The same for a retry after a refusal. A retry is worth less than a new
# request, but refusing it again costs more; serving it late would only delay
# new requests as well.
RETRY_LATE_FRACTION = 1.0

# Fraction of the longest deadline seen on a route below which a request is
# taken to be a retry after a refusal.
RETRY_DEADLINE_FRACTION = 0.95

# Fraction of an endpoint's slots that must be in use before it counts as busy.
BUSY_FRACTION = 0.5

# Bounds in seconds of the delay after which a refused client may retry.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionForecast:
    """Forecast for a request at its best endpoint.

    Attributes:
        predicted_s: Predicted seconds to the first event.
        target_s: Target in seconds for the first event.
        is_retry: Whether the request is a retry after a refusal.
        busy: Whether requests queue at the endpoint or few slots are left.
    """

    predicted_s: float
    target_s: float
    is_retry: bool
    busy: bool


def retry_after_s(prospect: AdmissionForecast) -> float | None:
    """Returns the seconds until a retry, or None to admit the request.

    A refusal costs the client time and may be repeated, so a request is refused
    only if it would be late and others already queue or run there.
    """
    if not prospect.busy:
        return None
    fraction = RETRY_LATE_FRACTION if prospect.is_retry else LATE_FRACTION
    if prospect.predicted_s < fraction * prospect.target_s:
        return None
    excess = prospect.predicted_s - 0.5 * prospect.target_s
    return min(max(excess, MIN_RETRY_S), MAX_RETRY_S)


class DeadlineTracker:
    """Longest deadline seen on each route, used to recognize retries."""

    # Maximum number of routes; the oldest are evicted.
    MAX_ROUTES = 4096

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def is_retry(self, route: str, deadline_s: float | None) -> bool:
        """Records a request's deadline; returns whether it is a retry.

        A client that retries within its own time limit has less of it left.

        Args:
            route: The route's name.
            deadline_s: Seconds for which the client waits, or None.
        """
        if deadline_s is None:
            return False
        longest = self._longest.get(route, 0.0)
        if deadline_s >= longest:
            if len(self._longest) >= self.MAX_ROUTES:
                self._longest.pop(next(iter(self._longest)))
            self._longest[route] = deadline_s
            return False
        return deadline_s < RETRY_DEADLINE_FRACTION * longest
