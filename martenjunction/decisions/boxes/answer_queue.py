"""Orders the answers that wait for memory, fairly between workspaces.

Load pattern: large answers wait, of one workspace many. The workspace that
holds least comes first, and of its answers the smallest. Answers that are
passed over again and again come first in the end: a workspace's oldest one then
has its turn, and others that hold as much wait for it.
"""

import bisect
import collections
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

# Answers that may be granted before the oldest one of a workspace, while they
# do not come from a workspace that holds less.
MAX_PASSED = 16

Answer = TypeVar("Answer")


@dataclasses.dataclass(slots=True, eq=False)
class _Line(Generic[Answer]):
    """The answers of a workspace that wait.

    Attributes:
        by_age: Their sizes in bytes and numbers, the oldest one first.
        by_size: The same, the smallest one first.
        answers: The answers by size and number.
        passed: Answers that were granted before the oldest one.
    """

    by_age: collections.OrderedDict[Answer, tuple[int, int]] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    by_size: list[tuple[int, int]] = dataclasses.field(default_factory=list)
    answers: dict[tuple[int, int], Answer] = dataclasses.field(
        default_factory=dict
    )
    passed: int = 0

    @property
    def is_overdue(self) -> bool:
        """Whether it is the turn of the oldest one."""
        return self.passed >= MAX_PASSED

    @property
    def first(self) -> tuple[Answer, int]:
        """The answer that comes first, and its size in bytes."""
        if self.is_overdue:
            answer, (size, _) = next(iter(self.by_age.items()))
            return answer, size
        size, _ = self.by_size[0]
        return self.answers[self.by_size[0]], size

    def add(self, answer: Answer, size: int, number: int) -> None:
        """Adds an answer."""
        key = size, number
        self.by_age[answer] = key
        self.answers[key] = answer
        bisect.insort(self.by_size, key)

    def remove(self, answer: Answer) -> None:
        """Removes an answer."""
        if answer is next(iter(self.by_age)):
            self.passed = 0
        key = self.by_age.pop(answer)
        del self.answers[key]
        del self.by_size[bisect.bisect_left(self.by_size, key)]


class AnswerQueue(Generic[Answer]):
    """The answers that wait, by workspace."""

    def __init__(self, held: Callable[[str | None], int]) -> None:
        """Initializes it without answers.

        Args:
            held: Returns the bytes that a workspace holds.
        """
        self._held = held
        self._lines: dict[str | None, _Line[Answer]] = {}
        self._number = 0

    def __len__(self) -> int:
        """Number of answers that wait."""
        return sum(len(line.by_age) for line in self._lines.values())

    def add(self, workspace: str | None, answer: Answer, size: int) -> None:
        """Has an answer wait."""
        self._number += 1
        line = self._lines.setdefault(workspace, _Line())
        line.add(answer, size, self._number)

    def remove(self, workspace: str | None, answer: Answer) -> None:
        """Ends the wait of an answer, if it waits."""
        line = self._lines.get(workspace)
        if line is None or answer not in line.by_age:
            return
        line.remove(answer)
        if not line.by_age:
            del self._lines[workspace]

    def may_pass(self, workspace: str | None) -> bool:
        """Returns whether an answer may be granted before those that wait.

        Args:
            workspace: Whose answer it is.
        """
        held = self._held(workspace)
        return not any(
            line.is_overdue and self._held(other) <= held
            for other, line in self._lines.items()
        )

    def pass_by(self, workspace: str | None) -> None:
        """Counts an answer that is granted before those that wait.

        It is called before the answer counts as held.

        Args:
            workspace: Whose answer it is.
        """
        held = self._held(workspace)
        for other, line in self._lines.items():
            if self._held(other) <= held:
                line.passed += 1

    def take(
        self, fits: Callable[[str | None, int], bool]
    ) -> tuple[Answer, int] | None:
        """Takes the answer that comes first of those that fit.

        Args:
            fits: Returns whether an answer of a workspace fits, by its size in
                bytes.

        Returns:
            The answer and its size in bytes, or None if none is granted.
        """
        for workspace in sorted(self._lines, key=self._place):
            line = self._lines[workspace]
            answer, size = line.first
            if fits(workspace, size):
                self.pass_by(workspace)
                self.remove(workspace, answer)
                return answer, size
            if line.is_overdue:
                # Memory that is given back is left to it.
                return None
        return None

    def _place(self, workspace: str | None) -> tuple[int, bool, int]:
        line = self._lines[workspace]
        _, size = line.first
        return self._held(workspace), not line.is_overdue, size
