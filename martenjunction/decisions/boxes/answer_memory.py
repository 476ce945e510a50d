"""Decides which answers a box goes on reading while its memory is limited.

Load pattern: endpoints answer faster than clients read, or without end, many at
once. An answer is held until its client has it. One that announces its length
waits, unread, until all of it fits or no other one is held, so that each that
was begun can end; a workspace that holds much leaves memory to the others. One
that does not is known to be endless only after it was
read. Such answers share a part of the memory, and beyond it the largest one of
the workspace that holds most is given up. Small answers never wait and are
never given up.
"""

import dataclasses

from martenjunction.decisions.boxes import answer_queue
from martenjunction.decisions.boxes import memory_budget

# Size in bytes up to which an answer is neither delayed nor given up.
SMALL_ANSWER_BYTES = 64 * 1024

# Part of the capacity that answers without a length may take together. The rest
# is left to those with a length and to bodies of requests.
UNSIZED_FRACTION = 0.5

# Bytes of large answers up to which a workspace is granted another one, for
# each byte that is free before. One workspace alone comes to about two thirds
# of the capacity, four to two ninths each: something is left to the next one.
SHARE_FACTOR = 2.0

# Bytes that a growing buffer takes for each byte that it holds.
GROWTH_FACTOR = 1.125


@dataclasses.dataclass(slots=True, eq=False)
class HeldAnswer:
    """What is held of one answer.

    Attributes:
        workspace: Whose request it answers; None without any.
        sized: Whether all of it was reserved in advance, or read.
        size: Bytes that are held.
        given_up: Whether it was chosen to be given up.
    """

    workspace: str | None
    sized: bool = False
    size: int = 0
    given_up: bool = False

    @property
    def is_small(self) -> bool:
        """Whether it is neither delayed nor given up."""
        return self.size <= SMALL_ANSWER_BYTES

    @property
    def counted(self) -> int:
        """Bytes of memory that count for it, with its connection's buffers."""
        if self.is_small:
            return self.size
        buffers = memory_budget.CONNECTION_BYTES
        return int(self.size * GROWTH_FACTOR) + buffers


class AnswerMemory:
    """The answers that a box holds, and those that wait to be read."""

    def __init__(self, budget: memory_budget.MemoryBudget) -> None:
        """Initializes it without answers.

        Args:
            budget: What the box holds for others.
        """
        self._budget = budget
        # Bytes of large answers by workspace.
        self._by_workspace: dict[str | None, int] = {}
        self._waiting: answer_queue.AnswerQueue[HeldAnswer] = (
            answer_queue.AnswerQueue(self._held_by)
        )
        self._unsized: set[HeldAnswer] = set()
        self._unsized_bytes = 0
        # Number of answers with a length that are not small.
        self._sized = 0

    @property
    def waiting(self) -> int:
        """Number of answers that wait to be read."""
        return len(self._waiting)

    @property
    def unsized_bytes(self) -> int:
        """Bytes of the answers without a length that are not small."""
        return self._unsized_bytes

    def reserve(self, answer: HeldAnswer, size: int) -> bool:
        """Reserves all of an answer.

        Args:
            answer: The answer, of which nothing is held.
            size: Its length in bytes.

        Returns:
            Whether it may be read; otherwise it waits until `next_granted`
            returns it.
        """
        answer.sized = True
        if size > SMALL_ANSWER_BYTES:
            workspace = answer.workspace
            if not (
                self._waiting.may_pass(workspace)
                and self._fits(workspace, size)
            ):
                self._waiting.add(workspace, answer, size)
                return False
            self._waiting.pass_by(workspace)
        self._set_size(answer, size)
        return True

    def next_granted(self) -> HeldAnswer | None:
        """Reserves the answer that comes first of those that wait and fit."""
        taken = self._waiting.take(self._fits)
        if taken is None:
            return None
        answer, size = taken
        self._set_size(answer, size)
        return answer

    def resize(self, answer: HeldAnswer, size: int) -> None:
        """Counts what is held of an answer now.

        Args:
            answer: The answer.
            size: Bytes that are held of it.
        """
        if answer.sized and size <= answer.size:
            return
        self._set_size(answer, size)

    def complete(self, answer: HeldAnswer) -> None:
        """Records that all of an answer was read.

        It counts as one with a length from then on: its memory is free only
        once its client has it.

        Args:
            answer: The answer, which was not given up.
        """
        if answer in self._unsized:
            self._unsized_bytes -= answer.counted
            self._unsized.discard(answer)
        if not answer.sized and not answer.is_small:
            self._sized += 1
        answer.sized = True

    def excess(self) -> list[HeldAnswer]:
        """Returns the answers to give up; each is returned once."""
        chosen = []
        while self._unsized and self._is_excessive():
            chosen.append(self._give_up_largest())
        return chosen

    def shed(self) -> HeldAnswer | None:
        """Returns one more answer to give up, or None if there is none."""
        return self._give_up_largest() if self._unsized else None

    def end(self, answer: HeldAnswer) -> None:
        """Counts an answer as no longer held or waiting."""
        self._waiting.remove(answer.workspace, answer)
        self._set_size(answer, 0)

    def _give_up_largest(self) -> HeldAnswer:
        """Chooses an answer, and counts it as no longer held.

        Its memory is free once its reader has run. Until then, it must not
        have another one given up.
        """
        answer = self._largest()
        self._set_size(answer, 0)
        answer.given_up = True
        return answer

    def _set_size(self, answer: HeldAnswer, size: int) -> None:
        if answer.given_up:
            return
        before, was_small = answer.counted, answer.is_small
        answer.size = size
        if not (was_small and answer.is_small):
            self._count_large(answer, 0 if was_small else before)
        grown = answer.counted - before
        if grown > 0:
            self._budget.hold(grown)
        elif grown < 0:
            self._budget.give_back(-grown)
        if answer.sized:
            self._sized += was_small - answer.is_small
            return
        if answer in self._unsized:
            self._unsized_bytes -= before
            self._unsized.discard(answer)
        if not answer.is_small:
            self._unsized.add(answer)
            self._unsized_bytes += answer.counted

    def _count_large(self, answer: HeldAnswer, before: int) -> None:
        """Counts a change of a large answer's memory for its workspace."""
        now = 0 if answer.is_small else answer.counted
        held = self._held_by(answer.workspace) + now - before
        if held:
            self._by_workspace[answer.workspace] = held
        else:
            del self._by_workspace[answer.workspace]

    def _held_by(self, workspace: str | None) -> int:
        return self._by_workspace.get(workspace, 0)

    def _fits(self, workspace: str | None, size: int) -> bool:
        if not self._sized:
            # Bodies are held until their answers are delivered: answers that
            # all waited for them would never be.
            return True
        whole = HeldAnswer(workspace, True, size).counted
        free = self._budget.capacity - self._budget.held
        if workspace is None:
            # Requests without a key come from unrelated callers.
            return whole <= free
        share = SHARE_FACTOR * free - self._held_by(workspace)
        return whole <= min(free, share)

    def _is_excessive(self) -> bool:
        capacity = self._budget.capacity
        return (
            self._unsized_bytes > UNSIZED_FRACTION * capacity
            or self._budget.held > capacity
        )

    def _largest(self) -> HeldAnswer:
        workspace = max(
            (one.workspace for one in self._unsized), key=self._held_by
        )
        return max(
            (one for one in self._unsized if one.workspace == workspace),
            key=lambda one: one.size,
        )
