"""Serializes the trials of a suspected request across all boxes."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from martenjunction import timers
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.peers import hub
from martenjunction.routing.fleet import holders
from martenjunction.routing.messages import suspect_messages
from martenjunction.routing.quarantine import suspect_codec

# Timeout in seconds for the holder's answer, after which the next-ranked box is
# asked. Stalls of this box's event loop do not count.
ANSWER_LIMIT_S = 0.4

# Boxes that are asked before this box decides locally.
MAX_BOXES_ASKED = 2

# Maximum number of times a message is forwarded. In a large fleet the first box
# asked is usually not the holder, but a peer of the holder.
MAX_HOPS = 2

MS = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class TrialRuling:
    """Whether a trial of a suspected request may begin.

    Attributes:
        granted: Whether it may begin.
        wait_s: Seconds after which to ask again, if it was denied.
    """

    granted: bool
    wait_s: float = 0.0


DecideTrial = Callable[[content_key.ContentKey, frozenset[str]], TrialRuling]
MergeSuspicion = Callable[
    [str, content_key.ContentKey, suspicion.Suspicion], Any
]
EndTrial = Callable[[content_key.ContentKey, int], None]


class TrialGrants:
    """Asks other boxes for trials, and answers them as the holder.

    Boxes that decide independently start concurrent trials before they learn
    of each other's. The holder of a content, on which all boxes agree, grants
    one trial at a time.
    """

    def __init__(
        self,
        table: suspect_table.SuspectTable,
        peers: hub.PeerHub,
        selector: holders.HolderSelector,
        clock: timers.Timers,
        decide: DecideTrial,
        merge: MergeSuspicion,
        end: EndTrial,
    ) -> None:
        """Initializes the grants; `start` subscribes to peer messages.

        Args:
            table: The suspected requests that this box knows.
            peers: Connections to the other boxes.
            selector: Selects the holder of a request.
            clock: The clock and timers.
            decide: Grants or denies a trial, as the holder.
            merge: Merges another box's record of a request.
            end: Ends an inconclusive trial, as the holder.
        """
        self._table = table
        self._peers = peers
        self._selector = selector
        self._timers = clock
        self._decide = decide
        self._merge = merge
        self._end = end
        self._pending: dict[
            int, asyncio.Future[suspect_messages.TrialAnswer]
        ] = {}
        self._last_number = 0
        self._relay_tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Subscribes to messages from the other boxes."""
        self._peers.subscribe(suspect_messages.AskTrial, self._on_ask)
        self._peers.subscribe(suspect_messages.TrialAnswer, self._on_answer)
        self._peers.subscribe(suspect_messages.TrialOver, self._on_over)

    async def ask(
        self, key: content_key.ContentKey, builds: frozenset[str]
    ) -> TrialRuling:
        """Asks the holder for a trial of a suspected request.

        If the holder does not answer, the next-ranked box decides; two trials
        may then run concurrently.

        Args:
            key: The request.
            builds: Builds of the endpoints to which it may be sent.
        """
        unresponsive: set[str] = set()
        while len(unresponsive) < MAX_BOXES_ASKED:
            holder = self._selector.holder(str(key), unresponsive)
            if holder == self._selector.own_box:
                break
            ruling = await self._ask(
                holder, key, builds, MAX_HOPS if unresponsive else 0
            )
            if ruling is not None:
                return ruling
            unresponsive.add(holder)
        return self._decide(key, builds)

    def report_over(self, key: content_key.ContentKey, trial: int) -> None:
        """Reports an inconclusive trial of this box to the holder.

        Args:
            key: The request.
            trial: The trial's number.
        """
        holder = self._selector.holder(str(key))
        if holder != self._selector.own_box:
            over = suspect_messages.TrialOver(key.caller, key.content, trial, 0)
            self._peers.send_soon(holder, over)

    async def _ask(
        self,
        holder: str,
        key: content_key.ContentKey,
        builds: frozenset[str],
        hops: int,
    ) -> TrialRuling | None:
        """Asks a box for a trial; returns None if it does not answer."""
        suspect = self._table.find(key)
        if suspect is None:
            return TrialRuling(False)
        self._last_number += 1
        number = self._last_number
        response: asyncio.Future[suspect_messages.TrialAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = response
        message = suspect_messages.AskTrial(
            number, suspect_codec.encode([suspect]), tuple(sorted(builds)), hops
        )
        try:
            if not self._peers.send_soon(holder, message):
                return None
            await self._wait(response)
        except asyncio.CancelledError:
            if response.done():
                self._release_unwanted(response.result())
            raise
        finally:
            del self._pending[number]
        if not response.done():
            return None
        answer = response.result()
        return TrialRuling(answer.granted, answer.wait_ms * MS)

    async def _wait(self, response: asyncio.Future[Any]) -> None:
        until = self._timers.stall_adjusted_now() + ANSWER_LIMIT_S
        while not response.done():
            left_s = until - self._timers.stall_adjusted_now()
            if left_s <= 0.0:
                return
            await asyncio.wait([response], timeout=left_s)

    def _on_ask(self, box: str, ask: suspect_messages.AskTrial) -> None:
        for key, held in suspect_codec.decode(ask.suspect):
            self._merge(box, key, held)
            holder = self._selector.holder(str(key))
            own = holder == self._selector.own_box
            if own or ask.hops >= MAX_HOPS or holder == box:
                self._answer(box, ask, key, self._decide_for(ask, key))
            else:
                self._relay(box, ask, key, holder)

    def _decide_for(
        self, ask: suspect_messages.AskTrial, key: content_key.ContentKey
    ) -> TrialRuling:
        return self._decide(key, frozenset(ask.builds))

    def _relay(
        self,
        box: str,
        ask: suspect_messages.AskTrial,
        key: content_key.ContentKey,
        holder: str,
    ) -> None:
        """Forwards a message to the holder and its answer back to `box`.

        If the holder does not answer, nothing is sent back, so that `box` can
        tell a timeout from a denial.
        """

        async def forward() -> None:
            builds = frozenset(ask.builds)
            ruling = await self._ask(holder, key, builds, ask.hops + 1)
            if ruling is not None:
                self._answer(box, ask, key, ruling)

        task = asyncio.get_running_loop().create_task(forward())
        self._relay_tasks.add(task)
        task.add_done_callback(self._relay_tasks.discard)

    def _answer(
        self,
        box: str,
        ask: suspect_messages.AskTrial,
        key: content_key.ContentKey,
        ruling: TrialRuling,
    ) -> None:
        suspect = self._table.find(key)
        known = [] if suspect is None else [suspect]
        wait_ms = int(ruling.wait_s / MS) + 1
        self._peers.send(
            box,
            suspect_messages.TrialAnswer(
                ask.number, ruling.granted, wait_ms, suspect_codec.encode(known)
            ),
        )

    def _on_answer(
        self, box: str, answer: suspect_messages.TrialAnswer
    ) -> None:
        waiting = self._pending.get(answer.number)
        for key, held in suspect_codec.decode(answer.suspect):
            self._merge(box, key, held)
        if waiting is None:
            self._release_unwanted(answer)
        elif not waiting.done():
            waiting.set_result(answer)

    def _release_unwanted(self, answer: suspect_messages.TrialAnswer) -> None:
        """Releases a trial for which nobody waits any more."""
        if answer.granted:
            for key, held in suspect_codec.decode(answer.suspect):
                self.report_over(key, held.trials)

    def _on_over(self, box: str, over: suspect_messages.TrialOver) -> None:
        key = content_key.ContentKey(over.caller, over.content)
        holder = self._selector.holder(str(key))
        if holder == self._selector.own_box:
            self._end(key, over.trial)
        elif over.hops < MAX_HOPS and holder != box:
            forwarded = dataclasses.replace(over, hops=over.hops + 1)
            self._peers.send_soon(holder, forwarded)
