"""Replicas that announce a rate limit, for tests of boxes."""

import time

from martenjunction_lab import boxes
from martenjunction_lab import replica


class LimitedReplica(replica.Replica):
    """A replica that announces a rate limit in its answers."""

    limit: str | None = "1"

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {} if self.limit is None else {"Server-Limit": self.limit}


async def start(
    fleet: boxes.Boxes, service: str, count: int, limit: str = "1"
) -> list[LimitedReplica]:
    """Starts and returns replicas of a service that announce a limit."""
    made = [LimitedReplica(f"i-{number}") for number in range(1, count + 1)]
    for one in made:
        one.limit = limit
        await one.start()
        fleet.replicas.append(one)
        fleet.record(one, service)
    await fleet.until_listed()
    return made


def report_limit(
    fleet: boxes.Boxes, made: LimitedReplica, limit: float
) -> None:
    """Reports a limit to all boxes as if the replica had announced it."""
    for box in fleet.gateways:
        box.limits.report_limit(made.id, limit, time.monotonic())
