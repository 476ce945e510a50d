"""Limit on the in-flight queries of a box to its peers, with back-off.

A box that is behind queries few peers at a time. If it sent more queries the
longer the responses took, the queries would keep it behind: querying all peers
every 0.3 s was 290 queries a second at 87 boxes, each answered by a box that
may itself be short of CPU time.
"""

import dataclasses

# Maximum number of in-flight queries: one may go to a peer that does not
# respond.
MOST_UNDER_WAY = 2

# Initial and maximum seconds to wait for a response before another query is
# sent. The wait doubles after each timeout. Later responses still count.
FIRST_WAIT_S = 0.4
LONGEST_WAIT_S = 1.6

# Number of queries whose send time is remembered: at two per 0.4 s, those of
# the last 12 s.
MAX_REMEMBERED = 64


@dataclasses.dataclass(slots=True)
class _Question:
    box: str
    asked_at: float
    wait_s: float
    overdue: bool = False


class PeerQuestions:
    """In-flight queries of one box."""

    def __init__(self) -> None:
        self._questions: dict[int, _Question] = {}
        self._last = 0
        self._wait_s = FIRST_WAIT_S

    def ask(self, box: str, now: float) -> int | None:
        """Starts a query; returns its number, or None if it has to wait.

        Args:
            box: The peer to be queried.
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
        """Completes a query; returns its send time, or None if unknown."""
        question = self._questions.pop(number, None)
        if question is None:
            return None
        self._wait_s = FIRST_WAIT_S
        return question.asked_at

    def unanswered_by(self, now: float) -> set[str]:
        """Returns the peers with a recent query that they have not answered.

        Args:
            now: The current time.
        """
        return {
            question.box
            for question in self._questions.values()
            if now - question.asked_at < 2 * LONGEST_WAIT_S
        }

    def lost(self, box: str) -> None:
        """Drops the queries to a peer whose connection was closed."""
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
