"""Gives up what costs callers least as a box's memory runs short."""

from collections.abc import Callable
import functools

from martenjunction.decisions.boxes import memory_levels
from martenjunction.endpoints import pool
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.limits import body_admission
from martenjunction.routing.log import decision_log

Level = memory_levels.Level


class MemoryGuard:
    """Acts on the level of a box's memory."""

    def __init__(
        self,
        limit_bytes: int,
        bodies: body_admission.BodyAdmission,
        answers: answer_admission.AnswerAdmission,
        connections: pool.EndpointPool,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the guard; it acts on each sample of the memory.

        Args:
            limit_bytes: The limit of the process's memory, in bytes.
            bodies: Samples the memory, and refuses bodies.
            answers: Gives up answers.
            connections: Connections to endpoints.
            log: Records changes of the level.
        """
        self._levels = memory_levels.MemoryLevels(limit_bytes)
        self._limit = limit_bytes
        self._bodies = bodies
        self._connections = connections
        self._log = log
        self._actions: dict[Level, Callable[[], None]] = {
            Level.REFUSE_BODIES: functools.partial(
                bodies.set_refusing, refusing=True
            ),
            Level.SHED_ANSWERS: answers.shed,
        }
        bodies.on_sample(self._take_sample)

    @property
    def accepts_clients(self) -> bool:
        """Whether new connections of clients are served."""
        return self._levels.level < Level.REFUSE_CLIENTS

    def gauges(self) -> dict[str, float]:
        """Returns the values for metrics."""
        return {"memory_level": float(self._levels.level)}

    def _take_sample(self, resident: int) -> None:
        if self._levels.note(resident):
            self._log.write(
                "memory-level",
                level=self._levels.level.name.lower().replace("_", "-"),
                resident=resident,
                limit=self._limit,
                held=self._bodies.budget.held,
            )
            if self._levels.level >= Level.TRIM:
                self._connections.close()
        level = self._levels.level
        self._bodies.set_refusing(False)
        for least, act in self._actions.items():
            if level >= least:
                act()
