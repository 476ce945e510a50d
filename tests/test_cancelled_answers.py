"""Requests that are cancelled while they hold or wait for memory.

Guards against bytes that are entered and never given back.
"""

import asyncio
from collections.abc import Coroutine
import types
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from martenjunction import metrics
from martenjunction.http1 import messages
from martenjunction.routing.limits import answer_admission
from martenjunction.routing.limits import body_admission

LIMIT_BYTES = 40 * 2**20

# Iterations of the event loop after which a request is cancelled, its body and
# its answer in bytes, and its workspace.
REQUESTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 12),
        strategies.integers(0, 8 * 2**20),
        strategies.integers(0, 8 * 2**20),
        strategies.sampled_from(["one", "two"]),
    ),
    min_size=1,
    max_size=12,
)


async def hold(
    bodies: body_admission.BodyAdmission,
    answers: answer_admission.AnswerAdmission,
    sizes: tuple[int, int],
    workspace: str,
) -> None:
    """Holds a body and an answer, in the order in which a request does."""
    request = messages.Request(b"POST", b"/x", [(b"Host", b"api.example")])
    reservation = await bodies.reserve(request, sizes[0])
    holder = answers.holder(workspace)
    try:
        await asyncio.sleep(0)
        await holder.begin(sizes[1], lambda: None)
        await asyncio.sleep(0)
        holder.complete()
        await asyncio.sleep(0)
    finally:
        holder.close()
        bodies.release(reservation.size)


async def cancel_after(
    iterations: int, work: Coroutine[Any, Any, None]
) -> None:
    task = asyncio.create_task(work)
    for _ in range(iterations):
        await asyncio.sleep(0)
    task.cancel()
    await asyncio.wait([task])
    if not task.cancelled():
        task.result()


@given(REQUESTS)
@settings(max_examples=200, deadline=None)
def test_what_is_entered_is_given_back_wherever_a_request_is_cancelled(
    requests: list[tuple[int, int, int, str]],
) -> None:
    async def play() -> tuple[body_admission.BodyAdmission, dict[str, float]]:
        bodies = body_admission.BodyAdmission(
            LIMIT_BYTES,
            types.SimpleNamespace(config=None),  # type: ignore[arg-type]
            types.SimpleNamespace(),  # type: ignore[arg-type]
            metrics.Metrics(),
            types.SimpleNamespace(write=lambda *_, **__: None),  # type: ignore[arg-type]
        )
        answers = answer_admission.AnswerAdmission(bodies, metrics.Metrics())
        await asyncio.gather(
            *(
                cancel_after(after, hold(bodies, answers, (body, answer), one))
                for after, body, answer, one in requests
            )
        )
        return bodies, {**bodies.gauges(), **answers.gauges()}

    bodies, gauges = asyncio.run(play())
    assert bodies.budget.held == 0
    assert gauges["memory_bodies_waiting"] == 0
    assert gauges["memory_answers_waiting"] == 0
