"""The timer service to which components subscribe."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import logging
import math
import time
from typing import Any
from typing import TypeVar

logger = logging.getLogger(__name__)

# Delay, in seconds, above which the event loop counts as stalled. Delays stay
# below it under light load.
STALL_THRESHOLD_S = 0.03

# Longest time, in seconds, that a single wait counts of a time limit that runs
# only while the process does.
MAX_STEP_S = 0.02

Tick = Callable[[], None]

_F = TypeVar("_F", bound=asyncio.Future[Any])


async def wait_while_running(
    futures: Iterable[asyncio.Future[Any]], timeout_s: float
) -> None:
    """Waits for futures; a hold-up of the process uses up little of the limit.

    What becomes due during a hold-up is due in the same turn as a time limit by
    the clock, whose callback may run first.

    Args:
        futures: What is waited for; it is not cancelled.
        timeout_s: Seconds in which the process runs.
    """
    pending = set(futures)
    steps = math.ceil(timeout_s / MAX_STEP_S)
    while pending and steps:
        _, pending = await asyncio.wait(pending, timeout=MAX_STEP_S)
        steps -= 1


@dataclasses.dataclass
class Subscription:
    """A subscription to periodic calls.

    Attributes:
        name: Shown in the dump and in logs.
        interval: Seconds between calls.
        tick: Called without arguments; must not block.
    """

    name: str
    interval: float
    tick: Tick
    due: float = 0.0
    active: bool = True

    def cancel(self) -> None:
        """Ends the subscription."""
        self.active = False


class Timers:
    """Calls subscribers at their intervals and provides the time.

    All decision code takes its time from `now`, so that a test can substitute
    another clock.
    """

    RESOLUTION = 0.01

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        """Initializes the service.

        Args:
            clock: Returns seconds on a monotonic clock; `time.monotonic` if
                left out.
        """
        self._clock = clock or time.monotonic
        self._subscriptions: list[Subscription] = []
        self._task: asyncio.Task[None] | None = None
        self._worst_delay = 0.0
        self._on_stall: Callable[[float], None] | None = None
        self._wake_at = math.inf
        self._stalled_s = 0.0

    @property
    def worst_delay(self) -> float:
        """The worst recent event loop delay in seconds.

        It decays by 0.1 percent at each wake-up.
        """
        return self._worst_delay

    def now(self) -> float:
        """Returns seconds on the service's clock."""
        return self._clock()

    def stall_adjusted_now(self) -> float:
        """Returns seconds on a clock that stops during event loop stalls.

        Messages that arrive during a stall are not read until it ends, so the
        silence of peers is measured on this clock. Otherwise a single stall
        would make all of them appear silent at once.
        """
        now = self.now()
        return now - self._total_stall_s(now)

    def total_stall_s(self) -> float:
        """Returns the seconds by which `stall_adjusted_now` lags behind."""
        return self._total_stall_s(self.now())

    async def wait_first(
        self, futures: Collection[_F], until: float
    ) -> set[_F]:
        """Waits for the first of some futures.

        A stall uses up nothing of the limit: what happened during it is seen
        after it, when the limit by the clock is due as well.

        Args:
            futures: What is waited for; it is not cancelled.
            until: Time of `stall_adjusted_now` at which the wait ends.

        Returns:
            The futures that are done; none if the time is reached before.
        """
        while True:
            left_s = until - self.stall_adjusted_now()
            done, _ = await asyncio.wait(
                futures,
                timeout=max(0.0, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done or self.stall_adjusted_now() >= until:
                return done

    def subscribe(self, name: str, interval: float, tick: Tick) -> Subscription:
        """Calls `tick` every `interval` seconds.

        Args:
            name: Name of the subscriber.
            interval: Seconds, at least `RESOLUTION`.
            tick: Called without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        subscription = Subscription(name, max(interval, self.RESOLUTION), tick)
        subscription.due = self.now() + subscription.interval
        self._subscriptions.append(subscription)
        return subscription

    def on_stall(self, callback: Callable[[float], None]) -> None:
        """Sets the callback for event loop stalls.

        Args:
            callback: Called with the delay in seconds.
        """
        self._on_stall = callback

    def fire(self) -> None:
        """Calls every subscriber that is due."""
        now = self.now()
        for subscription in list(self._subscriptions):
            if not subscription.active:
                self._subscriptions.remove(subscription)
            elif subscription.due <= now:
                subscription.due = now + subscription.interval
                self._call(subscription)

    def set_next_wake(self, wake: float) -> None:
        """Records the time at which the next call is due."""
        self._wake_at = wake

    def wake(self) -> None:
        """Measures the event loop delay and calls due subscribers."""
        now = self.now()
        delay = now - self._wake_at
        self._worst_delay = max(self._worst_delay * 0.999, delay)
        self._stalled_s += self._current_stall_s(now)
        self._wake_at = math.inf
        if delay > STALL_THRESHOLD_S and self._on_stall is not None:
            self._on_stall(delay)
        self.fire()

    def start(self) -> None:
        """Starts calling subscribers from the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops calling subscribers."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._wake_at = math.inf

    async def _run(self) -> None:
        while True:
            wake = self._next_due()
            self.set_next_wake(wake)
            await asyncio.sleep(max(self.RESOLUTION, wake - self.now()))
            self.wake()

    def _total_stall_s(self, now: float) -> float:
        """Returns the duration of all stalls in seconds."""
        return self._stalled_s + self._current_stall_s(now)

    def _current_stall_s(self, now: float) -> float:
        """Returns the duration of the current stall in seconds."""
        return max(0.0, now - self._wake_at - STALL_THRESHOLD_S)

    def _next_due(self) -> float:
        horizon = self.now() + 1.0
        return min((s.due for s in self._subscriptions), default=horizon)

    def _call(self, subscription: Subscription) -> None:
        try:
            subscription.tick()
        except Exception:
            logger.exception("timer %s failed", subscription.name)
