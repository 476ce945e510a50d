"""Decisions on the memory of answers, and on what is given up first.

Guards against bytes that are counted but never given back, and against answers
without a length that leave no memory to those with one.
"""

from hypothesis import stateful
from hypothesis import strategies
import pytest

from martenjunction.decisions.boxes import answer_memory
from martenjunction.decisions.boxes import answer_queue
from martenjunction.decisions.boxes import memory_budget
from martenjunction.decisions.boxes import memory_levels

MB = 1_000_000
LIMIT_BYTES = 150 * MB

Level = memory_levels.Level


def made(capacity: int = 40 * MB) -> answer_memory.AnswerMemory:
    """Returns a memory without answers."""
    budget = memory_budget.MemoryBudget(LIMIT_BYTES)
    reserve = memory_budget.RESERVE_FRACTION * LIMIT_BYTES
    budget.note_resident(int(LIMIT_BYTES - reserve - capacity))
    return answer_memory.AnswerMemory(budget)


def unsized(
    memory: answer_memory.AnswerMemory, size: int, workspace: str | None = None
) -> answer_memory.HeldAnswer:
    """Returns an answer without a length, of which some is held."""
    answer = answer_memory.HeldAnswer(workspace)
    memory.resize(answer, size)
    return answer


def test_answers_without_a_length_leave_memory_to_those_with_one() -> None:
    memory = made()
    endless = [unsized(memory, 4 * MB) for _ in range(20)]
    memory.excess()
    kept = [answer for answer in endless if not answer.given_up]
    assert kept
    share = answer_memory.UNSIZED_FRACTION * 40 * MB
    assert memory.unsized_bytes <= share
    sized = answer_memory.HeldAnswer(None)
    assert memory.reserve(sized, 4 * MB)


def test_workspace_that_holds_most_gives_up_its_largest_answer() -> None:
    memory = made()
    alone = unsized(memory, 8 * MB, "one")
    first, largest = (unsized(memory, s * MB, "two") for s in (5, 6))
    assert memory.excess() == [largest]
    assert not alone.given_up
    assert not first.given_up


def test_small_answers_are_neither_delayed_nor_given_up() -> None:
    memory = made()
    memory.reserve(answer_memory.HeldAnswer(None), 40 * MB)
    size = answer_memory.SMALL_ANSWER_BYTES
    small = [unsized(memory, size) for _ in range(100)]
    assert not memory.excess()
    assert not any(answer.given_up for answer in small)
    assert memory.reserve(answer_memory.HeldAnswer(None), size)


def test_smaller_answers_of_a_workspace_are_read_first() -> None:
    memory = made()
    answers = [answer_memory.HeldAnswer(None) for _ in range(4)]
    granted = [memory.reserve(answer, 15 * MB) for answer in answers]
    assert granted == [True, True, False, False]
    small = answer_memory.HeldAnswer(None)
    assert not memory.reserve(small, 14 * MB)
    assert memory.next_granted() is None
    memory.end(answers[0])
    assert memory.next_granted() is small
    assert memory.next_granted() is None
    memory.end(answers[1])
    # Answers of the same size are read in the order of arrival.
    assert memory.next_granted() is answers[2]
    memory.end(answers[3])
    assert memory.waiting == 0


def test_workspace_that_holds_most_leaves_memory_to_the_others() -> None:
    memory = made()
    unread = [answer_memory.HeldAnswer("one") for _ in range(8)]
    granted = [memory.reserve(answer, 8 * MB) for answer in unread]
    assert granted == [True, True, True] + 5 * [False]
    others = [answer_memory.HeldAnswer(f"other-{n}") for n in range(4)]
    assert all(memory.reserve(answer, MB) for answer in others)
    for answer in others:
        memory.end(answer)
    assert memory.next_granted() is None
    # Of two that wait, the one whose workspace holds less is read.
    large = answer_memory.HeldAnswer("other")
    memory.reserve(large, 15 * MB)
    memory.end(unread[0])
    assert memory.next_granted() is large


def test_callers_without_a_key_do_not_share_a_part_of_the_memory() -> None:
    memory = made()
    unread = [answer_memory.HeldAnswer(None) for _ in range(4)]
    assert all(memory.reserve(answer, 8 * MB) for answer in unread)


@pytest.mark.parametrize("stream", [None, "other"])
def test_large_answer_is_passed_over_a_bounded_number_of_times(
    stream: str | None,
) -> None:
    memory = made()
    held = [answer_memory.HeldAnswer(stream) for _ in range(15)]
    for answer in held:
        assert memory.reserve(answer, MB)
    large = answer_memory.HeldAnswer(None)
    assert not memory.reserve(large, 20 * MB)
    passed = 0
    while large.size == 0:
        memory.end(held.pop(0))
        granted = memory.next_granted()
        if granted is None:
            held.append(answer_memory.HeldAnswer(stream))
            passed += memory.reserve(held[-1], MB)
        assert len(held) < 200
    assert passed == answer_queue.MAX_PASSED


def test_level_holds_until_memory_has_fallen_well_below_it() -> None:
    levels = memory_levels.MemoryLevels(100)
    seen = []
    for used in (50, 78, 75, 72, 87, 83, 82, 79, 95, 88, 10):
        levels.note(used)
        seen.append(levels.level)
    assert seen == [
        Level.NORMAL,
        Level.TRIM,
        Level.TRIM,
        Level.NORMAL,
        Level.SHED_ANSWERS,
        Level.SHED_ANSWERS,
        Level.SHED_ANSWERS,
        Level.REFUSE_BODIES,
        Level.REFUSE_CLIENTS,
        Level.REFUSE_CLIENTS,
        Level.NORMAL,
    ]


class Answers(stateful.RuleBasedStateMachine):
    """What is entered is given back, whatever happens to the answers."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = memory_budget.MemoryBudget(LIMIT_BYTES)
        self.memory = answer_memory.AnswerMemory(self.budget)
        self.held: list[answer_memory.HeldAnswer] = []
        self.waiting: list[answer_memory.HeldAnswer] = []

    @stateful.rule(
        size=strategies.integers(0, 12 * MB),
        workspace=strategies.sampled_from(["one", "two", None]),
    )
    def reserve(self, size: int, workspace: str | None) -> None:
        answer = answer_memory.HeldAnswer(workspace)
        granted = self.memory.reserve(answer, size)
        (self.held if granted else self.waiting).append(answer)

    @stateful.rule(workspace=strategies.sampled_from(["one", "two", None]))
    def begin_unsized(self, workspace: str | None) -> None:
        self.held.append(answer_memory.HeldAnswer(workspace))

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(size=strategies.integers(0, 12 * MB), data=strategies.data())
    def resize(self, size: int, data: strategies.DataObject) -> None:
        answer = data.draw(strategies.sampled_from(self.held))
        if answer.sized:
            return
        self.memory.resize(answer, size)
        for given_up in self.memory.excess():
            assert given_up in self.held
            assert not given_up.is_small or given_up.size == 0

    @stateful.precondition(lambda self: self.held)
    @stateful.rule(data=strategies.data())
    def complete(self, data: strategies.DataObject) -> None:
        answer = data.draw(strategies.sampled_from(self.held))
        if not answer.given_up:
            self.memory.complete(answer)

    @stateful.precondition(lambda self: self.held or self.waiting)
    @stateful.rule(data=strategies.data())
    def end(self, data: strategies.DataObject) -> None:
        answer = data.draw(strategies.sampled_from(self.held + self.waiting))
        (self.held if answer in self.held else self.waiting).remove(answer)
        self.memory.end(answer)
        while (granted := self.memory.next_granted()) is not None:
            self.waiting.remove(granted)
            self.held.append(granted)

    @stateful.rule()
    def shed(self) -> None:
        answer = self.memory.shed()
        assert answer is None or answer in self.held
        assert answer is None or not answer.sized

    @stateful.invariant()
    def counts_what_is_held(self) -> None:
        assert self.budget.held == sum(one.counted for one in self.held)
        assert self.memory.waiting == len(self.waiting)
        big = [one for one in self.held if not (one.sized or one.is_small)]
        assert self.memory.unsized_bytes == sum(one.counted for one in big)

    def teardown(self) -> None:
        for answer in self.held + self.waiting:
            self.memory.end(answer)
        assert self.budget.held == 0


TestAnswers = Answers.TestCase
