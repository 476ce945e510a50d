"""Engine profiles and prefill demand of each service."""

from collections.abc import Iterable
import dataclasses
import math

from martenjunction.decisions.boxes import engine_figures
from martenjunction.decisions.boxes import reading_demand
from martenjunction.routing import decision_log

MICROSECOND_S = 0.000001

# One box's report on the engines of a service: service name, prefill rate in
# tokens per second, decode time per token during prefill in microseconds (each
# 0 without enough observations), and the prompt tokens per second requested
# through this box by requests with short and with long prompts.
EngineRow = tuple[str, int, int, int, int]

_NO_FIGURES = engine_figures.LearntFigures()


@dataclasses.dataclass(slots=True)
class _EngineData:
    """The engine data of one service.

    Attributes:
        learner: Estimates the speed of the engines.
        demand: Measures the prefill demand.
        logged: The profile last written to the log.
    """

    learner: engine_figures.FiguresLearner = dataclasses.field(
        default_factory=engine_figures.FiguresLearner
    )
    demand: reading_demand.ReadingDemand = dataclasses.field(
        default_factory=reading_demand.ReadingDemand
    )
    logged: engine_figures.EngineFigures = engine_figures.EngineFigures()


class ServiceEngines:
    """Tracks the profile shared by the engines of each service."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the table.

        Args:
            log: Receives a line for each change of a profile.
        """
        self._log = log
        self._services: dict[str, _EngineData] = {}

    def figures(self, service: str) -> engine_figures.EngineFigures:
        """Returns the learned profile of the engines of a service."""
        return self._service(service).learner.figures

    def asked(self, service: str, now: float) -> reading_demand.ReadingRates:
        """Returns the prefill demand of a service over all boxes."""
        return self._service(service).demand.total(now)

    def note_asked(
        self, service: str, unread: int, is_long: bool, now: float
    ) -> None:
        """Records the prefill demand of a request, whether sent or not."""
        self._service(service).demand.note(unread, is_long, now)

    def note_prefill_time(
        self, service: str, unread: int, seconds: float
    ) -> None:
        """Records the prefill time of a prompt that did not queue."""
        self._service(service).learner.prompt_read(unread, seconds)

    def note_token_pause(self, service: str, token_s: float) -> None:
        """Records the time per token of a stream during prefill."""
        self._service(service).learner.paused(token_s)

    def rows(self, now: float) -> list[EngineRow]:
        """Returns this box's reports for its peers."""
        rows = []
        for name, service in self._services.items():
            learned = service.learner.own
            asked = service.demand.own(now)
            if learned == _NO_FIGURES and not asked.short and not asked.long:
                continue
            rows.append(
                (
                    name,
                    round(learned.prefill_tokens_per_s or 0),
                    round((learned.reading_token_s or 0) / MICROSECOND_S),
                    round(asked.short),
                    round(asked.long),
                )
            )
        return rows

    def take_peer(
        self, box: str, rows: Iterable[EngineRow], now: float
    ) -> None:
        """Applies the reports of another box."""
        for name, rate, token_us, short, long in rows:
            service = self._service(name)
            learned = engine_figures.LearntFigures(
                rate or None, token_us * MICROSECOND_S or None
            )
            service.learner.take_peer(box, learned, now)
            rates = reading_demand.ReadingRates(short, long)
            service.demand.take_peer(box, rates, now)

    def dump(self, now: float) -> dict[str, dict[str, float | None]]:
        """Returns the current profiles by service, for diagnostics."""
        return {
            name: _readable_figures(service, now)
            for name, service in self._services.items()
        }

    def settle(self, now: float) -> None:
        """Recomputes all profiles and logs those that changed."""
        for name, service in self._services.items():
            service.learner.settle(now)
            figures = service.learner.figures
            if figures.is_like(service.logged):
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
    figures = service.learner.figures
    asked = service.demand.total(now)
    return {
        "tokens_per_s": round(figures.prefill_tokens_per_s),
        "reading_token_ms": None
        if math.isinf(figures.reading_token_s)
        else round(figures.reading_token_s * 1000, 1),
        "boxes": service.learner.voters,
        "short_asked": round(asked.short),
        "long_asked": round(asked.long),
    }
