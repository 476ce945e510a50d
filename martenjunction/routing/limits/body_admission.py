"""Has request bodies wait for memory, and refuses them when it runs short."""

import asyncio
from collections.abc import Callable

from martenjunction import metrics
from martenjunction import model
from martenjunction import process_memory
from martenjunction import timers
from martenjunction.decisions.boxes import memory_budget
from martenjunction.http1 import body_gate
from martenjunction.http1 import messages
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.log import decision_log

# Seconds between samples of the process's memory.
SAMPLE_INTERVAL_S = 0.5

# Parts of the limit at which the resident memory is logged, and the part by
# which it has to fall below one before that one is logged again.
LOGGED_FRACTIONS = (0.7, 0.8, 0.9, 0.95)
LOGGED_FALL = 0.05

# Tier of a request whose route is not known.
LOWEST_TIER = 1_000


class BodyAdmission:
    """Grants the memory of bodies; the one place that knows what is held."""

    def __init__(
        self,
        limit_bytes: int,
        admitter: admission.Admitter,
        clock: timers.Timers,
        counters: metrics.Metrics,
        log: decision_log.DecisionLog,
        resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Initializes the admission; `start` begins to sample the memory.

        Args:
            limit_bytes: The limit of the process's memory, in bytes.
            admitter: Provides the configuration's routes.
            clock: Provides periodic callbacks.
            counters: Counts bodies that waited and that were refused.
            log: Records changes of the state.
            resident_bytes: Returns the resident memory, or 0 if it is unknown;
                that of this process if left out.
        """
        self._resident_bytes = resident_bytes
        self._budget = memory_budget.MemoryBudget(limit_bytes)
        self._admitter = admitter
        self._timers = clock
        self._metrics = counters
        self._log = log
        self._limit = limit_bytes
        self._logged = self._budget.state
        self._logged_levels = 0
        self._grants: dict[memory_budget.WaitingBody, asyncio.Future[bool]] = {}
        self._refusing = False
        self._on_room: Callable[[], None] = lambda: None
        self._on_sample: Callable[[int], None] = lambda resident: None

    @property
    def budget(self) -> memory_budget.MemoryBudget:
        """What is held for others."""
        return self._budget

    def start(self) -> None:
        """Starts to sample the process's memory."""
        self._sample()
        self._timers.subscribe("memory", SAMPLE_INTERVAL_S, self._sample)

    def on_room(self, callback: Callable[[], None]) -> None:
        """Sets the callback for memory that was given back.

        It is called before bodies that wait are granted.
        """
        self._on_room = callback

    def on_sample(self, callback: Callable[[int], None]) -> None:
        """Sets the callback for samples of the resident memory, in bytes."""
        self._on_sample = callback

    def set_refusing(self, refusing: bool) -> None:
        """Sets whether bodies that do not fit are refused, not delayed."""
        self._refusing = refusing

    def gauges(self) -> dict[str, float]:
        """Returns the values for metrics."""
        return {
            "memory_held_bytes": float(self._budget.held),
            "memory_capacity_bytes": float(self._budget.capacity),
            "memory_bodies_waiting": float(self._budget.waiting),
        }

    def refuses(self, request: messages.Request) -> bool:
        """Returns whether a request is refused; see `body_gate.BodyGate`."""
        return self._admitter.refuses(
            headers.decode_request(request.headers),
            request.path.decode("latin-1"),
            request.received_at,
        )

    async def reserve(
        self, request: messages.Request, size: int
    ) -> body_gate.Reservation:
        """Waits for the memory of a body; see `body_gate.BodyGate`."""
        if self._budget.take(size):
            buffered = size > memory_budget.SMALL_BODY_BYTES
            if buffered:
                self._budget.begin_read()
            return body_gate.Reservation(size, True, buffered)
        facts = headers.decode_request(request.headers)
        route = self._find_route(facts, request)
        granted = not self._refusing and await self._wait(
            size,
            LOWEST_TIER if route is None else route.tier,
            memory_budget.longest_wait_s(
                facts.deadline_s, None if route is None else route.timeout_s
            ),
        )
        self._metrics.count(
            "memory_bodies", result="waited" if granted else "refused"
        )
        if granted:
            return body_gate.Reservation(size, True, buffered=True)
        self._budget.hold(memory_budget.CONNECTION_BYTES)
        return body_gate.Reservation(memory_budget.CONNECTION_BYTES, False)

    def end_read(self, count: int) -> None:
        """Gives back buffers; see `body_gate.BodyGate`."""
        self._budget.end_read(count)
        self.grant()

    def release(self, size: int) -> None:
        """Gives back memory that was reserved or held."""
        self._budget.give_back(size)
        self.grant()

    def grant(self) -> None:
        """Grants what waits and fits, after memory was given back."""
        self._on_room()
        while (body := self._budget.next_taken()) is not None:
            self._budget.begin_read()
            self._grants.pop(body).set_result(True)
        self._log_state()

    def hold(self, size: int) -> None:
        """Counts bytes that cannot wait."""
        self._budget.hold(size)

    async def _wait(self, size: int, tier: int, limit_s: float) -> bool:
        body, refused = self._budget.wait(size, tier)
        grant = asyncio.get_running_loop().create_future()
        self._grants[body] = grant
        for other in refused:
            self._grants.pop(other).set_result(False)
        self._log_state()
        try:
            await asyncio.wait([grant], timeout=limit_s)
            if grant.done():
                return bool(grant.result())
            self._leave(body, refused=True)
            return False
        except asyncio.CancelledError:
            if not grant.done():
                self._leave(body, refused=False)
            elif grant.result():
                self._budget.end_read()
                self.release(size)
            raise

    def _leave(self, body: memory_budget.WaitingBody, refused: bool) -> None:
        del self._grants[body]
        self._budget.leave(body, refused)
        # The next one may be smaller.
        self.grant()

    def _find_route(
        self, facts: headers.RequestMetadata, request: messages.Request
    ) -> model.Route | None:
        config = self._admitter.config
        if config is None:
            return None
        return config.find_route(facts.host, request.path.decode("latin-1"))

    def _sample(self) -> None:
        measure = self._resident_bytes or process_memory.resident_bytes
        resident = measure()
        if resident:
            self._budget.note_resident(resident)
            self.grant()
            self._log_resident(resident)
            self._on_sample(resident)

    def _log_resident(self, resident: int) -> None:
        """Logs resident memory that comes near the limit.

        The process may be killed at the limit, which leaves no line.
        """
        used = resident / self._limit
        passed = sum(used >= level for level in LOGGED_FRACTIONS)
        kept = sum(used >= level - LOGGED_FALL for level in LOGGED_FRACTIONS)
        if passed > self._logged_levels:
            self._log.write(
                "memory-high",
                resident=resident,
                limit=self._limit,
                held=self._budget.held,
                waiting=self._budget.waiting,
            )
        self._logged_levels = max(passed, min(self._logged_levels, kept))

    def _log_state(self) -> None:
        if self._budget.state is self._logged:
            return
        self._logged = self._budget.state
        self._log.write(
            "memory",
            state=self._logged.value,
            held=self._budget.held,
            capacity=self._budget.capacity,
            waiting=self._budget.waiting,
        )
