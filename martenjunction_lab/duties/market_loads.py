"""Loads under which policies of ordering engines are compared, by name."""

from collections.abc import Callable
import math

from martenjunction import registry
from martenjunction_lab.duties import market

loads: registry.Registry[Callable[[], market.Load]] = registry.Registry("load")

Loss = market.Loss


def _waves(now: float) -> float:
    return 10.0 * (1.0 + 0.27 * math.sin(now / 11.0 * 2 * math.pi))


def _burst(begins_s: float, ends_s: float, times: float, now: float) -> float:
    return times if begins_s <= now < ends_s else 1.0


@loads.register("waves")
def waves() -> market.Load:
    """A calm day in waves."""
    return market.Load(_waves, 300.0)


@loads.register("bursts")
def bursts() -> market.Load:
    """Bursts of some seconds to 1.8 and 2.2 times."""

    def asked(now: float) -> float:
        first = _burst(20.0, 28.0, 1.8, now)
        return _waves(now) * first * _burst(60.0, 65.0, 2.2, now)

    return market.Load(asked, 120.0)


@loads.register("reclaim-in-a-burst")
def reclaim_in_a_burst() -> market.Load:
    """A zone is lost in the middle of a burst, with none to be had anywhere."""

    def asked(now: float) -> float:
        return _waves(now) * _burst(20.0, 30.0, 1.8, now)

    return market.Load(
        asked, 60.0, (Loss(24.0, "zone-a", 9.0, everywhere=True),)
    )


@loads.register("two-zones")
def two_zones() -> market.Load:
    """Two zones are lost one right after the other."""
    return market.Load(
        _waves, 60.0, (Loss(20.0, "zone-a", 6.0), Loss(21.3, "zone-c", 6.0))
    )


@loads.register("step")
def step() -> market.Load:
    """Three times as much, for good."""

    def asked(now: float) -> float:
        return 6.0 * _burst(30.0, math.inf, 3.0, now)

    return market.Load(asked, 240.0)


@loads.register("night")
def night() -> market.Load:
    """A day's shape within an hour, down to a tenth at night."""

    def asked(now: float) -> float:
        return 11.0 + 9.0 * math.cos(now / 3600.0 * 2 * math.pi)

    return market.Load(asked, 3600.0)


@loads.register("slow-rise")
def slow_rise() -> market.Load:
    """Four times as much over ten minutes."""
    return market.Load(lambda now: 6.0 * (1.0 + now / 200.0), 600.0)
