"""Answers that are given up for want of memory once they were read.

Guards against a whole answer that is emptied before its client has it, against
an error of one answer in the turn of another one, and against a stream that
ends within an event as if it were complete.
"""

from collections.abc import Callable
from typing import Any

import pytest

from martenjunction import errors
from martenjunction import metrics
from martenjunction.decisions.boxes import memory_budget
from martenjunction.endpoints import attempt
from martenjunction.routing.limits import answer_admission

MB = 2**20


class Bodies:
    """The budget without bodies."""

    def __init__(self) -> None:
        self.budget = memory_budget.MemoryBudget(16 * MB)

    def on_room(self, callback: Any) -> None:
        self._room = callback

    def grant(self) -> None:
        self._room()


class Connection:
    """Delivers parts of a body without a length."""

    def __init__(self, *parts: bytes) -> None:
        self._parts = [*parts, b""]
        self.before_end: Callable[[], None] = lambda: None

    async def read_body(self) -> bytes:
        part = self._parts.pop(0)
        if not part:
            self.before_end()
        return part

    def abort(self) -> None:
        pass


def made_attempt(connection: Connection) -> attempt.Attempt:
    return attempt.Attempt(connection, "r1")  # type: ignore[arg-type]


@pytest.fixture
def answers() -> answer_admission.AnswerAdmission:
    return answer_admission.AnswerAdmission(
        Bodies(),  # type: ignore[arg-type]
        metrics.Metrics(),
    )


async def test_answer_read_whole_is_not_emptied(
    answers: answer_admission.AnswerAdmission,
) -> None:
    # It may be a fallback while another endpoint is tried.
    body = await made_attempt(Connection(bytes(MB))).body(answers.holder("a"))
    answers.shed()
    assert len(body) == MB


async def test_answer_being_written_does_not_fail_another_one(
    answers: answer_admission.AnswerAdmission,
) -> None:
    body = await made_attempt(Connection(bytes(MB))).body(answers.holder("a"))
    with memoryview(body):
        other = Connection(*[bytes(100_000)] * 5)
        read = await made_attempt(other).body(answers.holder("b"))
        answers.shed()
        assert len(read) in (0, 500_000)


async def test_stream_given_up_within_an_event_is_not_complete(
    answers: answer_admission.AnswerAdmission,
) -> None:
    connection = Connection(b"data: 1\n\n", b"data: " + bytes(MB // 2))
    connection.before_end = answers.shed
    with pytest.raises(errors.AnswerGivenUpError):
        async for _ in made_attempt(connection).events(answers.holder("a")):
            pass
