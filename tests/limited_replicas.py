"""Replicas that name a limit, before a box in tests."""

import time

from martenjunction_lab import boxes
from martenjunction_lab import replica


class Limited(replica.Replica):
    """A replica that names a limit in its answers."""

    limit: str | None = "1"

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {} if self.limit is None else {"Server-Limit": self.limit}


async def start(
    fleet: boxes.Boxes, service: str, count: int, limit: str = "1"
) -> list[Limited]:
    """Returns replicas of a service that name limits."""
    made = [Limited(f"i-{number}") for number in range(1, count + 1)]
    for one in made:
        one.limit = limit
        await one.start()
        fleet.replicas.append(one)
        fleet.record(one, service)
    await fleet.until_listed()
    return made


def say(fleet: boxes.Boxes, made: Limited, limit: float) -> None:
    """Has all boxes hear of a limit, as if the replica had named it."""
    for box in fleet.gateways:
        box.limits.say(made.id, limit, time.monotonic())
