"""An event loop in simulated time, with real code.

Its sockets are those of the kernel, over loopback, or such in memory.

The time moves only when no callback is ready, no socket has anything to read
or room that somebody waits for, and no thread works for the loop. It then jumps
to the next timer. Processor time takes no simulated time, so the outcome of a
trial does not depend on what else the machine does.

What the kernel or a C library times for itself stays in real time: TCP's own
timers and the timeouts inside libcurl. Nagle's algorithm, which holds data back
until such a timer ends, is switched off on all sockets of the loop.
"""

import asyncio
from collections.abc import Coroutine
import math
import os
import random
import select
import selectors
import socket
import stat
import time
from typing import Any
from typing import TypeVar
from unittest import mock

from martenjunction_lab.simulated import selection
from martenjunction_lab.simulated import sockets

T = TypeVar("T")

# Simulated time at which a loop begins, in seconds. Far from 0, which code may
# take for "never".
START_S = 10_000.0

# The time advances by multiples of this many seconds, as that of a loop that
# waits with epoll does.
RESOLUTION_S = 0.001

# Real waits for sockets before the time moves, and their length in seconds. The
# kernel may deliver what was sent over loopback a little later.
SETTLING_POLLS = 2
SETTLING_S = 0.0002

# The longest real wait, in seconds, for a thread or a process while no timer is
# set, and the interval of looks at threads.
MAX_REAL_WAIT_S = 10.0
THREAD_POLL_S = 0.01

# Simulated time, in seconds, that a loop past its limit has for cleaning up
# before it is stopped again.
CLEANUP_S = 60.0

# Iterations without a jump after which the loop counts as caught in a cycle.
MAX_ITERATIONS = 500_000


# Seeds that are drawn are below this number.
MAX_SEED = 1_000_000


class StuckError(RuntimeError):
    """Simulated time can't advance any more."""


class _Clock(selection.Selector):
    """Advances the time in place of waiting for a timer."""

    def __init__(
        self, limit_s: float, settling_s: float, network: sockets.Memory | None
    ) -> None:
        super().__init__(network)
        self._settling_s = settling_s
        self.now = START_S
        self._ends_at = START_S + limit_s
        self.jobs = 0
        self.jumps = 0
        self._iterations = 0
        self._real_wait_s = 0.0
        self._ignored = 0
        self._pace: tuple[float, float] | None = None

    def keep_pace(self) -> None:
        """From now on the time advances no faster than real time."""
        if self._pace is None:
            self._pace = self.now, time.perf_counter()

    def ignore(self) -> None:
        """Counts what is registered now as nothing to wait for."""
        self._ignored = len(self.get_map())

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        key = super().register(fileobj, events, data)
        if key.fd < sockets.FIRST_DESCRIPTOR:
            _send_at_once(key.fd)
        return key

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS:
            raise StuckError(f"always something to do at {self.now}")
        if self.network is not None and (events := self.select_memory()):
            return events
        is_due = timeout is not None and timeout <= 0.0
        if self.network is not None and not self.jobs and timeout is not None:
            # Nothing of the kernel's is waited for.
            if not is_due:
                self._jump(timeout)
            return []
        if is_due:
            return super().select(0)
        if events := self._settled():
            self._real_wait_s = 0.0
            return events
        if self.jobs or timeout is None:
            return self._wait_in_real_time()
        self._real_wait_s = 0.0
        if events := self._wait_for_pace(timeout):
            return events
        self._jump(timeout)
        return []

    def _settled(self) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready on sockets, after short real waits."""
        events = super().select(0)
        if events or len(self.get_map()) <= self._ignored:
            return events
        for _ in range(SETTLING_POLLS if self._settling_s else 0):
            # `select` of this class rounds up to milliseconds.
            select.select([self.fileno()], [], [], self._settling_s)
            if events := super().select(0):
                return events
        return []

    def _wait_in_real_time(self) -> list[tuple[selectors.SelectorKey, int]]:
        if not self.jobs and self._real_wait_s >= MAX_REAL_WAIT_S:
            raise StuckError(f"nothing would ever happen after {self.now}")
        self._real_wait_s += THREAD_POLL_S
        return super().select(THREAD_POLL_S)

    def _wait_for_pace(
        self, timeout: float
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Waits until real time has come to the next timer, if it has to.

        Returns what was ready before; the time has then moved to there.
        """
        if self._pace is None:
            return []
        began, real_began = self._pace
        due_at = self.now + timeout
        ahead_s = due_at - began - (time.perf_counter() - real_began)
        if ahead_s <= 0.0:
            return []
        events = super().select(ahead_s)
        passed_at = began + time.perf_counter() - real_began
        if events and self.now + RESOLUTION_S <= passed_at:
            self._jump(min(passed_at, due_at) - self.now - RESOLUTION_S)
        return events

    def _jump(self, timeout: float) -> None:
        """Goes to the first multiple of the resolution not before a timer.

        That is after the present time: the loop waits, so the timer is not due.
        """
        if self.now >= self._ends_at:
            self._ends_at = self.now + CLEANUP_S
            raise StuckError(f"not ended by {self.now}")
        steps = math.ceil((self.now + timeout) / RESOLUTION_S - 1e-6)
        due_at = steps * RESOLUTION_S
        self.now = due_at if due_at > self.now else self.now + RESOLUTION_S
        self.jumps += 1
        self._iterations = 0


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs tasks as fast as it can; sleeping takes no time.

    While it runs, `time.monotonic` and `time.time` give its time, and
    generators of random numbers that are made without a seed get one that is
    drawn from the loop's. A run is repeated as it was under the same seed and
    the same `PYTHONHASHSEED`, as far as the kernel delivers in the same order.
    """

    def __init__(
        self,
        seed: int | None = None,
        limit_s: float = math.inf,
        settling_s: float = SETTLING_S,
        network: sockets.Memory | None = None,
    ) -> None:
        """Makes a loop at time `START_S`.

        Args:
            seed: Decides what code leaves to chance; drawn if left out.
            limit_s: Simulated seconds after which it raises `StuckError`.
            settling_s: Real seconds of each wait for sockets before the time
                moves. Without waits (0) the outcome of a trial may depend on
                what else the machine does, though it rarely does.
            network: Sockets in memory that it selects as well. The kernel's
                are then looked at only before the time moves.
        """
        if seed is None:
            seed = random.SystemRandom().randrange(MAX_SEED)
        self._seed = seed
        self._generator = _seeded_generator(seed)
        self._clock = _Clock(limit_s, settling_s, network)
        self._started_at = time.time()
        super().__init__(self._clock)
        self._clock.ignore()

    @property
    def seed(self) -> int:
        """What decides what code leaves to chance."""
        return self._seed

    @property
    def jumps(self) -> int:
        """How often the time advanced."""
        return self._clock.jumps

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self._clock.now

    def wall_time(self) -> float:
        """Returns the simulated Unix time in seconds."""
        return self._started_at + self._clock.now - START_S

    def due_in(self) -> list[float]:
        """Returns the seconds until each timer that is set, in order."""
        handles: list[asyncio.TimerHandle] = self._scheduled  # type: ignore[attr-defined]
        return sorted(
            handle.when() - self.time()
            for handle in handles
            if not handle.cancelled()
        )

    def hold_up(self, seconds: float) -> None:
        """Lets time pass in which the loop does nothing, as a stall does."""
        self._clock.now += seconds

    def keep_pace(self) -> None:
        """From now on its time advances no faster than real time.

        For what the kernel times, such as probes of connections.
        """
        self._clock.keep_pace()

    def run_forever(self) -> None:
        """Runs until it is stopped; clocks and generators follow it."""
        with (
            mock.patch.object(time, "monotonic", self.time),
            mock.patch.object(time, "time", self.wall_time),
            mock.patch.object(random, "Random", self._generator),
        ):
            super().run_forever()

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Any, *args: Any
    ) -> asyncio.Future[Any]:
        """Runs a function in a thread; the time stands still until it ends."""
        future = super().run_in_executor(executor, func, *args)
        self._clock.jobs += 1
        future.add_done_callback(self._end_job)
        return future

    async def shutdown_default_executor(self) -> None:
        """Ends the threads; the time stands still meanwhile."""
        self._clock.jobs += 1
        try:
            await super().shutdown_default_executor()
        finally:
            self._clock.jobs -= 1

    def _end_job(self, _: asyncio.Future[Any]) -> None:
        self._clock.jobs -= 1


def run(main: Coroutine[Any, Any, T], seed: int | None = None) -> T:
    """Runs a coroutine in simulated time, and ends what it leaves running."""
    with asyncio.Runner(loop_factory=lambda: SimulatedLoop(seed)) as runner:
        return runner.run(main)


def _seeded_generator(seed: int) -> type[random.Random]:
    """Returns a class whose objects are seeded one after the other."""
    seeds = random.Random(seed)

    class Generator(random.Random):
        """A generator that has a seed even if it is made without one."""

        def __init__(self, own: Any = None) -> None:
            super().__init__(seeds.getrandbits(64) if own is None else own)

    return Generator


def _send_at_once(descriptor: int) -> None:
    """Switches Nagle's algorithm off where a descriptor is a TCP socket."""
    if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        return
    sock = socket.socket(fileno=descriptor)
    try:
        if sock.type == socket.SOCK_STREAM and sock.family in _TCP_FAMILIES:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    finally:
        sock.detach()


_TCP_FAMILIES = (socket.AF_INET, socket.AF_INET6)
