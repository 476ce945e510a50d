"""What this box and its peers know of the engines of each service."""

from collections.abc import Iterable
import dataclasses
import math

from martenjunction.decisions.boxes import engine_figures
from martenjunction.decisions.boxes import reading_demand
from martenjunction.routing import decision_log

US = 0.000001

# What one box tells of the engines of a service: its name, the prompt tokens
# they read in a second and the microseconds that a token takes while they do
# (0 where too few were seen), and the prompt tokens a second that the box's
# requests with short and with long prompts ask to be read.
EngineRow = tuple[str, int, int, int, int]

_NOTHING = engine_figures.LearntFigures()


@dataclasses.dataclass(slots=True)
class _Service:
    """One service.

    Attributes:
        learner: Learns how fast its engines are.
        demand: Counts what is asked of them.
        logged: The figures that were last written to the log.
    """

    learner: engine_figures.FiguresLearner = dataclasses.field(
        default_factory=engine_figures.FiguresLearner
    )
    demand: reading_demand.ReadingDemand = dataclasses.field(
        default_factory=reading_demand.ReadingDemand
    )
    logged: engine_figures.EngineFigures = engine_figures.EngineFigures()


class ServiceEngines:
    """The engines of all services, as far as they are alike."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Makes it.

        Args:
            log: Told of figures that changed.
        """
        self._log = log
        self._services: dict[str, _Service] = {}

    def figures(self, service: str) -> engine_figures.EngineFigures:
        """Returns what is learnt of the engines of a service."""
        return self._service(service).learner.figures

    def asked(self, service: str, now: float) -> reading_demand.ReadingRates:
        """Returns what all requests of a service ask to be read."""
        return self._service(service).demand.total(now)

    def note_asked(
        self, service: str, unread: int, is_long: bool, now: float
    ) -> None:
        """Notes what a request asks to be read, whether it is sent or not."""
        self._service(service).demand.note(unread, is_long, now)

    def note_read(self, service: str, unread: int, seconds: float) -> None:
        """Notes the first event of a prompt that nothing preceded."""
        self._service(service).learner.prompt_read(unread, seconds)

    def note_paused(self, service: str, token_s: float) -> None:
        """Notes the seconds of a token of a stream beside a prompt."""
        self._service(service).learner.paused(token_s)

    def rows(self, now: float) -> list[EngineRow]:
        """Returns what this box tells the others."""
        rows = []
        for name, service in self._services.items():
            learnt = service.learner.own
            asked = service.demand.own(now)
            if learnt == _NOTHING and not asked.short and not asked.long:
                continue
            rows.append(
                (
                    name,
                    round(learnt.prefill_tokens_per_s or 0),
                    round((learnt.reading_token_s or 0) / US),
                    round(asked.short),
                    round(asked.long),
                )
            )
        return rows

    def take_peer(
        self, box: str, rows: Iterable[EngineRow], now: float
    ) -> None:
        """Notes what another box tells."""
        for name, rate, token_us, short, long in rows:
            service = self._service(name)
            learnt = engine_figures.LearntFigures(
                rate or None, token_us * US or None
            )
            service.learner.take_peer(box, learnt, now)
            rates = reading_demand.ReadingRates(short, long)
            service.demand.take_peer(box, rates, now)

    def dump(self, now: float) -> dict[str, dict[str, float | None]]:
        """Returns what is counted with, by service."""
        return {
            name: _told(service, now)
            for name, service in self._services.items()
        }

    def settle(self, now: float) -> None:
        """Works all figures out anew, and logs those that changed."""
        for name, service in self._services.items():
            service.learner.settle(now)
            figures = service.learner.figures
            if figures.is_like(service.logged):
                continue
            service.logged = figures
            self._log.write(
                "engine-figures", service=name, **_told(service, now)
            )

    def _service(self, name: str) -> _Service:
        if name not in self._services:
            self._services[name] = _Service()
        return self._services[name]


def _told(service: _Service, now: float) -> dict[str, float | None]:
    """Returns what is known of one service, for people."""
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
