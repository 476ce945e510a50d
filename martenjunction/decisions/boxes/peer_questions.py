"""How many questions a box has under way, and for how long.

A box that is late asks few peers at a time. If it asked more the longer the
answers take, its questions would keep it late: all peers each 0.3 s were 290
questions a second at 87 boxes, each answered by a box that may be short of
time itself.
"""

import dataclasses

# Questions that may be under way at a time: one may meet a peer that does not
# answer.
MOST_UNDER_WAY = 2

# Seconds for which a question is waited for before another one is asked: the
# first, and after unanswered ones. An answer that comes later still counts.
FIRST_WAIT_S = 0.4
LONGEST_WAIT_S = 1.6

# Questions whose sending time is remembered: at two in 0.4 s, those of 12 s.
MAX_REMEMBERED = 64


@dataclasses.dataclass(slots=True)
class _Question:
    box: str
    asked_at: float
    wait_s: float
    overdue: bool = False


class PeerQuestions:
    """The questions of one box."""

    def __init__(self) -> None:
        self._questions: dict[int, _Question] = {}
        self._last = 0
        self._wait_s = FIRST_WAIT_S

    def ask(self, box: str, now: float) -> int | None:
        """Begins a question; returns its number, or None if it has to wait.

        Args:
            box: The peer that would be asked.
            now: The current time.
        """
        under_way = [q for q in self._questions.values() if self._waits(q, now)]
        if len(under_way) >= MOST_UNDER_WAY:
            return None
        if any(question.box == box for question in under_way):
            return None
        self._last += 1
        self._questions[self._last] = _Question(box, now, self._wait_s)
        while len(self._questions) > MAX_REMEMBERED:
            del self._questions[next(iter(self._questions))]
        return self._last

    def answered(self, number: int) -> float | None:
        """Ends a question; returns when it was asked, None if forgotten."""
        question = self._questions.pop(number, None)
        if question is None:
            return None
        self._wait_s = FIRST_WAIT_S
        return question.asked_at

    def unanswered_by(self, now: float) -> set[str]:
        """Returns the peers that have not answered within the longest wait.

        Args:
            now: The current time.
        """
        return {
            question.box
            for question in self._questions.values()
            if now - question.asked_at < 2 * LONGEST_WAIT_S
        }

    def lost(self, box: str) -> None:
        """Forgets the questions to a peer whose connection ended."""
        gone = [n for n, q in self._questions.items() if q.box == box]
        for number in gone:
            del self._questions[number]

    def _waits(self, question: _Question, now: float) -> bool:
        if now - question.asked_at < question.wait_s:
            return True
        if not question.overdue:
            question.overdue = True
            self._wait_s = min(2 * self._wait_s, LONGEST_WAIT_S)
        return False
