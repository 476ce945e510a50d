"""Endpoints whose health check says the reverse of what requests meet.

Guards against requests that fail at an endpoint that calls itself healthy, and
against an endpoint that serves and gets no work for its health check.
"""

import asyncio

import pytest

from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests as requests
from tests import routing_builders as builders

pytestmark = pytest.mark.simulated_time

Behaviour = replica.Behaviour

# Requests that are sent, how many of them are under way at once, and the pause
# in seconds after each such batch.
COUNT = 120
AT_ONCE = 12
PAUSE_S = 0.5


class FalseReplica(replica.Replica):
    """A replica that treats health checks and requests differently."""

    def __init__(self, endpoint_id: str, to_checks: Behaviour) -> None:
        """Makes it; `start` brings it up.

        Args:
            endpoint_id: The id under which it is listed.
            to_checks: What health checks meet.
        """
        super().__init__(endpoint_id)
        self._behaviours = {"GET": to_checks}

    async def _answer(
        self,
        request: replica.Received,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        chosen = self._behaviours.get(request.method, behaviour)
        return await super()._answer(request, chosen, reader, writer)


async def serve_beside(
    fleet: boxes.Boxes, false: FalseReplica, later: Behaviour
) -> tuple[list[int], int]:
    """Sends requests while one of two replicas has a false health check.

    Args:
        fleet: A box without replicas.
        false: The replica.
        later: What requests meet there in the second half; in the first half,
            they are served.

    Returns:
        The statuses, and how many requests the replica got in the second half.
    """
    await false.start()
    fleet.replicas.append(false)
    fleet.record(false, builders.PLAIN)
    await fleet.add_replica(builders.PLAIN)
    await fleet.until_listed()
    statuses = []
    at_half = 0
    for first in range(0, COUNT, AT_ONCE):
        if first == COUNT // 2:
            at_half = posts(false)
            false.always(later)
        answers = await asyncio.gather(
            *(
                requests.ask(fleet, "/safe/", f"r{number}")
                for number in range(first, first + AT_ONCE)
            )
        )
        statuses += [head.status for head, _ in answers]
        await asyncio.sleep(PAUSE_S)
    return statuses, posts(false) - at_half


def posts(made: replica.Replica) -> int:
    return sum(received.method == "POST" for received in made.received)


async def test_requests_are_served_beside_one_that_only_calls_itself_healthy(
    fleet: boxes.Boxes,
) -> None:
    false = FalseReplica("i-false", Behaviour.SERVE)
    statuses, later = await serve_beside(fleet, false, Behaviour.RESET)
    assert later
    assert statuses == [200] * COUNT


async def test_endpoint_that_only_calls_itself_ill_is_used(
    fleet: boxes.Boxes,
) -> None:
    false = FalseReplica("i-false", Behaviour.BARE_503)
    statuses, later = await serve_beside(fleet, false, Behaviour.SERVE)
    assert statuses == [200] * COUNT
    assert later >= COUNT // 8
