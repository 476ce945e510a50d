"""Asks the connected boxes where a stream began, and answers them."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random

from martenjunction import timers
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.decisions.boxes import stream_table
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.streams import messages

# Seconds for which a box that asks waits for answers, and by which a box that
# passes a question on waits less, so that its own answer is in time. Stalls of
# the event loop do not count.
ANSWER_TIMEOUT_S = 0.25
HOP_S = 0.04

# Maximum number of times that a question is passed on.
MAX_HOPS = 5

# Seconds for which a question is remembered, so that each box passes it on, and
# counts, once, and the maximum number of them. Beyond it, a question is not
# passed on, and this box does not count, so that the asking box knows of a gap.
REMEMBER_S = 2.0
MAX_REMEMBERED = 16384

# Size of the first number of a question.
NUMBER_BITS = 32

FindLocally = Callable[[stream_table.StreamKey, str, str], stream_table.Finding]
_QuestionId = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Question:
    """A question that waits for answers.

    Attributes:
        awaited: Boxes that have not answered yet.
        findings: What this box and those that answered know.
        heard: Whom each box that answered has heard.
        done: Set when no further answer is needed.
    """

    awaited: set[str]
    findings: list[stream_table.Finding]
    heard: list[fleet_evidence.Heard]
    done: asyncio.Future[None]


@dataclasses.dataclass(frozen=True, slots=True)
class Answers:
    """What boxes know of a stream.

    Attributes:
        finding: What follows from all that answered in time.
        heard: The boxes that this rests on.
        asked: Number of connected boxes that were asked.
    """

    finding: stream_table.Finding
    heard: fleet_evidence.Heard
    asked: int


class OriginQueries:
    """Questions to the connected boxes, and those that they ask.

    Where a box is not connected to all others, the boxes that it asks ask
    further ones.
    """

    def __init__(
        self,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        find_locally: FindLocally,
    ) -> None:
        """Initializes the queries; `start` subscribes to peer messages.

        Args:
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            clock: The clock and timers.
            find_locally: Returns what this box knows of a stream.
        """
        self._peers = peers
        self._members = members
        self._timers = clock
        self._find_locally = find_locally
        # A box that starts again must not repeat numbers that others remember.
        self._last_number = random.Random().getrandbits(NUMBER_BITS)
        self._questions: dict[_QuestionId, _Question] = {}
        self._received: collections.OrderedDict[_QuestionId, float] = (
            collections.OrderedDict()
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Subscribes to messages from the other boxes."""
        self._peers.subscribe(messages.AskStreamOrigin, self._on_ask)
        self._peers.subscribe(messages.StreamOriginAnswer, self._on_answer)

    async def ask(
        self,
        key: stream_table.StreamKey,
        host: str,
        path: str,
        own: stream_table.Finding,
    ) -> Answers:
        """Asks the connected boxes where a stream began.

        Args:
            key: The stream.
            host: The host of its requests.
            path: The path of its requests.
            own: What this box knows.

        Returns:
            What all boxes know that answered in time.
        """
        self._last_number += 1
        question = messages.AskStreamOrigin(
            self._members.own.box,
            self._last_number,
            key.caller,
            key.stream,
            host,
            path,
            0,
        )
        return await self._ask(question, self._peers.boxes(), own)

    async def _ask(
        self,
        ask: messages.AskStreamOrigin,
        boxes: list[str],
        own: stream_table.Finding,
    ) -> Answers:
        if not boxes:
            return Answers(own, fleet_evidence.OWN, asked=0)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        question = _Question(set(boxes), [own], [], done)
        question_id = (ask.box, ask.number)
        self._questions[question_id] = question
        try:
            self._peers.send_to(boxes, ask)
            await self._wait(done, ANSWER_TIMEOUT_S - HOP_S * ask.hops)
        finally:
            del self._questions[question_id]
        return Answers(
            stream_table.combine(question.findings),
            fleet_evidence.combine(
                fleet_evidence.OWN, question.heard, len(boxes)
            ),
            asked=len(boxes),
        )

    async def _wait(self, done: asyncio.Future[None], limit_s: float) -> None:
        until = self._timers.stall_adjusted_now() + limit_s
        while not done.done():
            left_s = until - self._timers.stall_adjusted_now()
            if left_s <= 0.0:
                return
            await asyncio.wait([done], timeout=left_s)

    def _on_ask(self, box: str, ask: messages.AskStreamOrigin) -> None:
        key = stream_table.StreamKey(ask.caller, ask.stream)
        own = self._find_locally(key, ask.host, ask.path)
        if own.recorded:
            self._answer(box, ask, own, fleet_evidence.OWN)
            return
        if not self._is_new(ask):
            self._answer(box, ask, own, fleet_evidence.COUNTED)
            return
        others = [b for b in self._peers.boxes() if b not in (box, ask.box)]
        if not others or not self._passes_on(ask):
            self._answer(box, ask, own, fleet_evidence.OWN)
            return

        async def pass_on() -> None:
            further = dataclasses.replace(ask, hops=ask.hops + 1)
            answers = await self._ask(further, others, own)
            self._answer(box, ask, answers.finding, answers.heard)

        task = asyncio.get_running_loop().create_task(pass_on())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _is_new(self, ask: messages.AskStreamOrigin) -> bool:
        """Returns whether a question comes for the first time."""
        question_id = (ask.box, ask.number)
        if ask.box == self._members.own.box or question_id in self._received:
            return False
        now = self._timers.stall_adjusted_now()
        while self._received:
            oldest = next(iter(self._received.items()))
            if now - oldest[1] <= REMEMBER_S:
                break
            del self._received[oldest[0]]
        if len(self._received) >= MAX_REMEMBERED:
            return False
        self._received[question_id] = now
        return True

    def _passes_on(self, ask: messages.AskStreamOrigin) -> bool:
        """Returns whether boxes that the sender may not reach are asked."""
        linked = len(self._peers.boxes()) + 1
        return ask.hops < MAX_HOPS and linked < len(
            self._members.live_members()
        )

    def _answer(
        self,
        box: str,
        ask: messages.AskStreamOrigin,
        finding: stream_table.Finding,
        heard: fleet_evidence.Heard,
    ) -> None:
        origin = finding.origin
        self._peers.send(
            box,
            messages.StreamOriginAnswer(
                ask.box,
                ask.number,
                finding.basis,
                origin is not None,
                "" if origin is None else origin.service,
                "" if origin is None else origin.version,
                heard.boxes,
                heard.has_gap,
            ),
        )

    def _on_answer(self, box: str, answer: messages.StreamOriginAnswer) -> None:
        question = self._questions.get((answer.box, answer.number))
        if question is None:
            return
        origin = None
        if answer.found:
            origin = stream_table.StreamOrigin(answer.service, answer.version)
        finding = stream_table.Finding(origin, answer.basis)
        if box in question.awaited:
            question.awaited.discard(box)
            question.findings.append(finding)
            heard = fleet_evidence.Heard(max(0, answer.heard), answer.has_gap)
            if not any(m.box == box for m in self._members.live_members()):
                heard = fleet_evidence.without_sender(heard)
            question.heard.append(heard)
        if (finding.recorded or not question.awaited) and (
            not question.done.done()
        ):
            question.done.set_result(None)
