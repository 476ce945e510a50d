"""The timer service that parts subscribe to."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import math
import time

logger = logging.getLogger(__name__)

# Seconds of delay from which on the event loop counts as held up; on calm days
# it is not.
HELD_UP_S = 0.03

Tick = Callable[[], None]


@dataclasses.dataclass
class Subscription:
    """One part's wish to be called at intervals.

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
    """Calls subscribers at their intervals and tells the time.

    All code that decides takes its time from `now`, so that a test can put
    another clock in its place.
    """

    RESOLUTION = 0.01

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Makes the service.

        Args:
            clock: Returns seconds on a clock that never goes back.
        """
        self._clock = clock
        self._subscriptions: list[Subscription] = []
        self._task: asyncio.Task[None] | None = None
        self._worst_delay = 0.0
        self._held_up: Callable[[float], None] | None = None
        self._wake = math.inf
        self._held_up_s = 0.0

    @property
    def worst_delay(self) -> float:
        """The longest time, in seconds, that the event loop woke us late."""
        return self._worst_delay

    def now(self) -> float:
        """Returns seconds on the service's clock."""
        return self._clock()

    def listened(self) -> float:
        """Returns seconds on a clock that stops while the loop is held up.

        What others said meanwhile is not read yet, so their silence is
        measured by it: else one hold-up makes everybody silent at once.
        """
        now = self.now()
        return now - self._held_up_s - self._late(now)

    def subscribe(self, name: str, interval: float, tick: Tick) -> Subscription:
        """Has `tick` called every `interval` seconds.

        Args:
            name: Names the subscriber.
            interval: Seconds, at least `RESOLUTION`.
            tick: Called without arguments.

        Returns:
            The subscription, which can be cancelled.
        """
        subscription = Subscription(name, max(interval, self.RESOLUTION), tick)
        subscription.due = self.now() + subscription.interval
        self._subscriptions.append(subscription)
        return subscription

    def on_held_up(self, callback: Callable[[float], None]) -> None:
        """Has a callback told when the event loop was held up.

        Args:
            callback: Called with the seconds by which it woke us late.
        """
        self._held_up = callback

    def fire(self) -> None:
        """Calls every subscriber that is due."""
        now = self.now()
        for subscription in list(self._subscriptions):
            if not subscription.active:
                self._subscriptions.remove(subscription)
            elif subscription.due <= now:
                subscription.due = now + subscription.interval
                self._call(subscription)

    def rest_until(self, wake: float) -> None:
        """Notes that nothing is to be called before a moment."""
        self._wake = wake

    def wake(self) -> None:
        """Calls every subscriber that is due, at or after that moment."""
        now = self.now()
        late = now - self._wake
        self._worst_delay = max(self._worst_delay * 0.999, late)
        self._held_up_s += self._late(now)
        self._wake = math.inf
        if late > HELD_UP_S and self._held_up is not None:
            self._held_up(late)
        self.fire()

    def start(self) -> None:
        """Starts calling subscribers from the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops calling subscribers."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._wake = math.inf

    async def _run(self) -> None:
        while True:
            wake = self._next_due()
            self.rest_until(wake)
            await asyncio.sleep(max(self.RESOLUTION, wake - self.now()))
            self.wake()

    def _late(self, now: float) -> float:
        """Returns for how long, in seconds, the loop is held up by now."""
        return max(0.0, now - self._wake - HELD_UP_S)

    def _next_due(self) -> float:
        horizon = self.now() + 1.0
        return min((s.due for s in self._subscriptions), default=horizon)

    def _call(self, subscription: Subscription) -> None:
        try:
            subscription.tick()
        except Exception:
            logger.exception("timer %s failed", subscription.name)
