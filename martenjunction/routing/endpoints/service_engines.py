"""Engine profiles and prefill demand of each service."""

from collections.abc import Iterable
import dataclasses
import math

from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import prefill_demand
from martenjunction.routing.log import decision_log

MICROSECOND_S = 0.000001

# One box's report on the engines of a service: service name, prefill rate in
# tokens per second, decode time per token during prefill in microseconds (each
# 0 without enough observations), and the prompt tokens per second requested
# through this box by requests with short and with long prompts.
EngineRow = tuple[str, int, int, int, int]

_NO_FIGURES = engine_profiles.ProfileEstimate()


@dataclasses.dataclass(slots=True)
class _EngineData:
    """The engine data of one service.

    Attributes:
        learner: Estimates the speed of the engines.
        demand: Measures the prefill demand.
        logged: The profile last written to the log.
    """

    learner: engine_profiles.ProfileEstimator = dataclasses.field(
        default_factory=engine_profiles.ProfileEstimator
    )
    demand: prefill_demand.PrefillDemand = dataclasses.field(
        default_factory=prefill_demand.PrefillDemand
    )
    logged: engine_profiles.EngineProfile = engine_profiles.EngineProfile()


class ServiceEngines:
    """Tracks the profile shared by the engines of each service."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the table.

        Args:
            log: Receives a line for each change of a profile.
        """
        self._log = log
        self._services: dict[str, _EngineData] = {}

    def profile(self, service: str) -> engine_profiles.EngineProfile:
        """Returns the learned profile of the engines of a service."""
        return self._service(service).learner.profile

    def peer_prefill_per_s(self, service: str, now: float) -> float:
        """Returns the prefill demand of a service at the other boxes."""
        rates = self._service(service).demand.peer_rates(now)
        return rates.short + rates.long

    def prefill_demand(
        self, service: str, now: float
    ) -> prefill_demand.PrefillRates:
        """Returns the prefill demand of a service over all boxes."""
        return self._service(service).demand.total_rates(now)

    def note_prefill_demand(
        self, service: str, unread: int, is_long: bool, now: float
    ) -> None:
        """Records the prefill demand of a request, whether sent or not."""
        self._service(service).demand.record_request(unread, is_long, now)

    def note_prefill_time(
        self, service: str, unread: int, seconds: float
    ) -> None:
        """Records the prefill time of a prompt that did not queue."""
        self._service(service).learner.record_prefill(unread, seconds)

    def note_token_pause(self, service: str, token_s: float) -> None:
        """Records the time per token of a stream during prefill."""
        self._service(service).learner.record_pause(token_s)

    def rows(self, now: float) -> list[EngineRow]:
        """Returns this box's reports for its peers."""
        rows = []
        for name, service in self._services.items():
            learned = service.learner.own
            asked = service.demand.own_rates(now)
            if learned == _NO_FIGURES and not asked.short and not asked.long:
                continue
            rows.append(
                (
                    name,
                    round(learned.prefill_tokens_per_s or 0),
                    round(
                        (learned.prefill_token_interval_s or 0) / MICROSECOND_S
                    ),
                    round(asked.short),
                    round(asked.long),
                )
            )
        return rows

    def update_peer(
        self, box: str, rows: Iterable[EngineRow], now: float
    ) -> None:
        """Applies the reports of another box."""
        for name, rate, token_us, short, long in rows:
            service = self._service(name)
            learned = engine_profiles.ProfileEstimate(
                rate or None, token_us * MICROSECOND_S or None
            )
            service.learner.update_peer(box, learned, now)
            rates = prefill_demand.PrefillRates(short, long)
            service.demand.update_peer(box, rates, now)

    def update_estimate(
        self,
        source: str,
        name: str,
        estimate: engine_profiles.ProfileEstimate,
        now: float,
    ) -> None:
        """Applies an estimate of a service's profile that was passed on.

        Args:
            source: Identifies the estimate; a later one replaces it.
            name: The service.
            estimate: The estimate.
            now: The current time.
        """
        self._service(name).learner.update_peer(source, estimate, now)

    def dump(self, now: float) -> dict[str, dict[str, float | None]]:
        """Returns the current profiles by service, for diagnostics."""
        return {
            name: _readable_figures(service, now)
            for name, service in self._services.items()
        }

    def recompute(self, now: float) -> None:
        """Recomputes all profiles and logs those that changed."""
        for name, service in self._services.items():
            service.learner.recompute(now)
            figures = service.learner.profile
            if figures.is_close_to(service.logged):
                continue
            service.logged = figures
            self._log.write(
                "engine-figures",
                service=name,
                **_readable_figures(service, now),
            )

    def _service(self, name: str) -> _EngineData:
        if name not in self._services:
            self._services[name] = _EngineData()
        return self._services[name]


def _readable_figures(
    service: _EngineData, now: float
) -> dict[str, float | None]:
    """Returns the profile and demand of one service, in readable units."""
    figures = service.learner.profile
    asked = service.demand.total_rates(now)
    return {
        "tokens_per_s": round(figures.prefill_tokens_per_s),
        "reading_token_ms": None
        if math.isinf(figures.prefill_token_interval_s)
        else round(figures.prefill_token_interval_s * 1000, 1),
        "boxes": service.learner.estimating_boxes,
        "short_asked": round(asked.short),
        "long_asked": round(asked.long),
    }
