"""Gives up what costs callers least as a box's memory runs short."""

from martenjunction.decisions.boxes import memory_levels
from martenjunction.endpoints import pool
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.limits import body_admission
from martenjunction.routing.log import decision_log


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
        self._answers = answers
        self._connections = connections
        self._log = log
        bodies.on_sample(self._take_sample)

    @property
    def accepts_clients(self) -> bool:
        """Whether new connections of clients are served."""
        return self._levels.measures.accepts_clients

    def gauges(self) -> dict[str, float]:
        """Returns the values for metrics."""
        return {"memory_level": float(self._levels.level)}

    def _take_sample(self, resident: int) -> None:
        changed = self._levels.note(resident)
        measures = self._levels.measures
        if changed:
            self._log.write(
                "memory-level",
                level=self._levels.level.name.lower().replace("_", "-"),
                resident=resident,
                limit=self._limit,
                held=self._bodies.budget.held,
            )
        if changed and measures.closes_resting:
            self._connections.close()
        self._bodies.set_refusing(measures.refuses_bodies)
        if measures.sheds_answers:
            self._answers.shed()
