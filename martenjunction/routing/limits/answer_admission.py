"""Has large answers wait for memory, and gives up those that take too much."""

import asyncio
from collections.abc import Callable
import contextlib

from martenjunction import errors
from martenjunction import metrics
from martenjunction.decisions.boxes import answer_memory
from martenjunction.routing.limits import body_admission

Paused = Callable[[], contextlib.AbstractContextManager[None]]


class AnswerHolder:
    """What is held of the answers to one request, one answer at a time."""

    def __init__(
        self,
        answers: "AnswerAdmission",
        workspace: str | None,
        paused: Paused,
    ) -> None:
        """Initializes it without an answer.

        Args:
            answers: Grants the memory.
            workspace: Whose request it is; None without any.
            paused: Entered while an answer waits unread.
        """
        self._answers = answers
        self._paused = paused
        self._workspace = workspace
        self._held: list[answer_memory.HeldAnswer] = []

    async def begin(
        self, length: int | None, discard: Callable[[], None]
    ) -> None:
        """Begins to hold a further answer; waits for its memory.

        Args:
            length: Its length in bytes, or None if it is not announced.
            discard: Called when it is given up; frees what is held of it.
        """
        answer = answer_memory.HeldAnswer(self._workspace)
        self._held.append(answer)
        self._answers.begin(answer, discard)
        if length is not None and not self._answers.reserve(answer, length):
            with self._paused():
                await self._answers.wait(answer)

    def resize(self, size: int) -> None:
        """Counts what is held of the answer now.

        Args:
            size: Bytes that are held of it.

        Raises:
            AnswerGivenUpError: If it was given up.
        """
        answer = self._held[-1]
        self._answers.resize(answer, size)
        if answer.given_up:
            raise errors.AnswerGivenUpError("no memory for the response")

    def complete(self) -> None:
        """Keeps the answer from being given up: all of it was read."""
        self._answers.complete(self._held[-1])

    def drop(self) -> None:
        """Gives back the memory of the answer that was begun last."""
        self._answers.end(self._held.pop())

    def give_up(self) -> None:
        """Ends the wait for the memory of an answer, if it waits."""
        for answer in self._held:
            self._answers.end_wait(answer)

    def close(self) -> None:
        """Gives back the memory of all answers."""
        for answer in self._held:
            self._answers.end(answer)
        self._held.clear()


class AnswerAdmission:
    """Grants the memory of answers from the budget of bodies."""

    def __init__(
        self, bodies: body_admission.BodyAdmission, counters: metrics.Metrics
    ) -> None:
        """Initializes the admission.

        Args:
            bodies: Holds the budget that bodies and answers share.
            counters: Counts answers that waited and that were given up.
        """
        self._memory = answer_memory.AnswerMemory(bodies.budget)
        self._metrics = counters
        self._bodies = bodies
        self._grants: dict[answer_memory.HeldAnswer, asyncio.Future[None]] = {}
        self._discards: dict[answer_memory.HeldAnswer, Callable[[], None]] = {}
        bodies.on_room(self._grant)

    def holder(
        self,
        workspace: str | None,
        paused: Paused = contextlib.nullcontext,
    ) -> AnswerHolder:
        """Returns where the answers to a request are counted.

        Args:
            workspace: Whose request it is; None without any.
            paused: Entered while an answer waits unread.
        """
        return AnswerHolder(self, workspace, paused)

    def gauges(self) -> dict[str, float]:
        """Returns the values for metrics."""
        return {
            "memory_answers_waiting": float(self._memory.waiting),
            "memory_unsized_answers_bytes": float(self._memory.unsized_bytes),
        }

    def shed(self) -> None:
        """Gives up the largest answer."""
        answer = self._memory.shed()
        if answer is not None:
            self._give_up(answer)

    def begin(
        self, answer: answer_memory.HeldAnswer, discard: Callable[[], None]
    ) -> None:
        """Registers an answer, and how to free it when it is given up."""
        self._discards[answer] = discard

    def reserve(self, answer: answer_memory.HeldAnswer, length: int) -> bool:
        """Reserves all of an answer; returns False if it has to wait."""
        return self._memory.reserve(answer, length)

    async def wait(self, answer: answer_memory.HeldAnswer) -> None:
        """Waits until all of an answer fits."""
        self._metrics.count("memory_answers", result="waited")
        grant = asyncio.get_running_loop().create_future()
        self._grants[answer] = grant
        try:
            await grant
        finally:
            self._grants.pop(answer, None)

    def end_wait(self, answer: answer_memory.HeldAnswer) -> None:
        """Ends the wait of an answer that nobody needs, if it waits."""
        grant = self._grants.get(answer)
        if grant is not None and not grant.done():
            grant.set_exception(
                errors.AnswerGivenUpError("the response is not needed")
            )

    def resize(self, answer: answer_memory.HeldAnswer, size: int) -> None:
        """Counts what is held of an answer; may give up others."""
        shrinks = size < answer.size
        self._memory.resize(answer, size)
        for chosen in self._memory.excess():
            self._give_up(chosen)
        if shrinks:
            self._bodies.grant()

    def complete(self, answer: answer_memory.HeldAnswer) -> None:
        """Records that all of an answer was read; it is not given up."""
        self._discards.pop(answer, None)
        self._memory.complete(answer)

    def end(self, answer: answer_memory.HeldAnswer) -> None:
        """Gives back the memory of an answer."""
        self._discards.pop(answer, None)
        self._memory.end(answer)
        self._bodies.grant()

    def _give_up(self, answer: answer_memory.HeldAnswer) -> None:
        self._metrics.count("memory_answers", result="given-up")
        # Its reader may wait for its turn for long.
        self._discards.pop(answer)()

    def _grant(self) -> None:
        while (answer := self._memory.next_granted()) is not None:
            grant = self._grants[answer]
            if not grant.done():
                grant.set_result(None)
