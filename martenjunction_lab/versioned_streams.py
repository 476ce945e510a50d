"""A fleet before engines of two software versions whose streams break off.

Clients take a broken stream up at another box. It counts the streams that hold
events of two versions, and how many of those taken up go on.
"""

import asyncio
import collections
import dataclasses
import statistics
import time
from typing import Any

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import stream_clients
from martenjunction_lab import trial_fleet
from martenjunction_lab import versioned_engines

OLD = "v1.1"
NEW = "v1.2"

# Seconds that a client gives each of its tries.
DEADLINE_S = 4.0

# Seconds to the next try after a refusal without a time, and after a broken
# stream.
REFUSED_PAUSE_S = 0.05
BROKEN_PAUSE_S = 0.02

# Seconds from the announcement of an engine that leaves to its end.
DRAIN_S = 1.0

# Prompt of each request, 500 tokens in all.
PROMPT = "aa:100,bb:400"


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        path: Decides the route of the streams.
        breaking: Part of the runs that break off inside an event.
        replaced_each_s: Seconds after which another engine of the old version
            gives way to one of the new; 0 for never.
        box_ends_each_s: Seconds after which another box ends without notice
            and a new one starts; 0 for never.
        tries: Tries that a client makes; 1 where streams may not be repeated.
        hidden: Whether clients do not say which request brought the first
            event of the stream that they take up.
        boxes: How many boxes there are.
        old: Engines of the old version.
        new: Engines of the new version.
        events: Events of a stream.
        pause_s: Seconds between two events.
        per_s: Streams that begin a second.
        seconds: For how long streams are begun.
        seed: Decides the rest.
    """

    path: str = "/digest/a"
    breaking: float = 1 / 3
    replaced_each_s: float = 0.0
    box_ends_each_s: float = 0.0
    tries: int = 4
    hidden: bool = False
    boxes: int = 6
    old: int = 5
    new: int = 5
    events: int = 30
    pause_s: float = 0.02
    per_s: float = 15.0
    seconds: float = 15.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        streams: Streams that clients wanted.
        begun: Streams whose first try brought an event.
        mixed: Streams that held events of two versions.
        torn: Streams in which an event was missing or came twice.
        whole: Streams that clients got whole.
        taken_up: Tries that took a stream up while two engines of its version
            served.
        gone_on: Those that brought an event, or the end of the stream.
        refused: Codes of the refusals.
        first_event_s: Seconds to the first event of each stream that began.
        messages: Messages between boxes by kind.
    """

    streams: int = 0
    begun: int = 0
    mixed: int = 0
    torn: int = 0
    whole: int = 0
    taken_up: int = 0
    gone_on: int = 0
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_event_s: list[float] = dataclasses.field(default_factory=list)
    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    @property
    def begun_share(self) -> float:
        """The share of new streams that begin."""
        return self.begun / max(1, self.streams)

    @property
    def gone_on_share(self) -> float:
        """The share of streams taken up that go on."""
        return self.gone_on / max(1, self.taken_up)

    @property
    def told(self) -> int:
        """Messages that told where streams began."""
        return self.messages["stream-origins"]

    @property
    def asked(self) -> int:
        """Messages that asked where a stream began."""
        return self.messages["ask-stream-origin"]

    @property
    def first_event_ms(self) -> float:
        """The median time to the first event, in milliseconds."""
        return statistics.median(self.first_event_s or [0.0]) * 1000


class VersionedFleet(
    trial_fleet.TrialFleet[versioned_engines.VersionedReplica]
):
    """Boxes, engines of two versions, and clients that take streams up."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = Outcome()
        self._numbers = 0

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        versions = [OLD] * trial.old + [NEW] * trial.new
        made = [
            versioned_engines.VersionedReplica(
                f"i-{number}",
                version,
                trial.events,
                trial.pause_s,
                trial.breaking,
                self.draw,
            )
            for number, version in enumerate(versions, 1)
        ]
        try:
            await self.start(config, trial.boxes, {trial_fleet.ENGINE: made})
            until = time.monotonic() + trial.seconds
            if trial.replaced_each_s:
                self.spawn(self._replace_engines(until))
            if trial.box_ends_each_s:
                self.spawn(self._end_boxes(until))
            await self.send_steadily(trial.per_s, until, self._stream)
            await self.settle()
            self._count_messages(self.boxes.gateways)
        finally:
            await self.stop()
        return self.outcome

    def _count_messages(self, ended: list[gateway.Gateway]) -> None:
        for box in ended:
            self.outcome.messages.update(box.peers.traffic().by_kind)

    def _entry_fields(
        self, one: versioned_engines.VersionedReplica
    ) -> dict[str, str]:
        return {"version": one.version}

    async def _replace_engines(self, until: float) -> None:
        for one in [m for m in self.made if m.version == OLD]:
            await asyncio.sleep(self.trial.replaced_each_s)
            if time.monotonic() > until:
                return
            one.serves = False
            self.boxes.record(
                one,
                trial_fleet.ENGINE,
                state="draining",
                slots=trial_fleet.SLOTS[trial_fleet.ENGINE],
                born=self.start_of(one),
                version=OLD,
            )
            await asyncio.sleep(DRAIN_S)
            await one.stop()
            one.version = NEW
            await self.start_again(one)
            one.serves = True

    async def _end_boxes(self, until: float) -> None:
        number = 0
        while True:
            await asyncio.sleep(self.trial.box_ends_each_s)
            if time.monotonic() > until:
                return
            number += 1
            ended = self.draw.choice(self.boxes.gateways)
            self.boxes.gateways.remove(ended)
            self._count_messages([ended])
            await ended.stop()
            new = await self.boxes.add_box(f"box-new-{number}")
            self.boxes.gateways.remove(new)
            await boxes.until(lambda box=new: box.dump()["ready"])  # type: ignore[misc]
            self.boxes.gateways.append(new)

    async def _stream(self) -> None:
        """Has a client get one stream, over some tries."""
        held = stream_clients.ClientStream(self.trial.events)
        for number in range(self.trial.tries):
            before = held.last_event
            counted = bool(before) and self._has_two(held)
            pause_s = await self._try(held)
            if number == 0:
                self.outcome.streams += 1
                self.outcome.begun += held.last_event > 0
            if counted:
                self.outcome.taken_up += 1
                self.outcome.gone_on += (
                    held.complete or held.last_event > before
                )
            if held.complete:
                break
            await asyncio.sleep(pause_s)
        self.outcome.mixed += held.joined
        self.outcome.torn += held.torn
        self.outcome.whole += held.complete

    def _has_two(self, held: stream_clients.ClientStream) -> bool:
        """Returns whether two engines of a stream's version serve."""
        serving = [
            m for m in self.made if m.serves and m.version in held.versions
        ]
        return len(serving) >= 2

    async def _try(self, held: stream_clients.ClientStream) -> float:
        """Makes one try; returns seconds to wait before the next."""
        self._numbers += 1
        request_id = f"r{self._numbers}"
        address = self.draw.choice(self.boxes.gateways).members.own.callers
        is_new = not held.last_event
        began_at = time.monotonic()
        fields = stream_clients.headers(
            request_id, held, DEADLINE_S, PROMPT, self.trial.hidden
        )
        answer = await stream_clients.attempt(
            address, self.trial.path, fields, held, DEADLINE_S
        )
        if is_new and held.first_event_at is not None:
            self.outcome.first_event_s.append(held.first_event_at - began_at)
        if answer.is_refusal:
            self.outcome.refused[answer.refusal] += 1
            return answer.retry_after_s or REFUSED_PAUSE_S
        return BROKEN_PAUSE_S
