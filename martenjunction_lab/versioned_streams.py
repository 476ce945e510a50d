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

from martenjunction import errors
from martenjunction import gateway
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

OLD = "v1.1"
NEW = "v1.2"

# Seconds that a client gives each of its tries.
DEADLINE_S = 4.0

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


class _ClientStream:
    """What a client has of one stream.

    Attributes:
        first_id: Id of the request that brought the first event; empty before.
        last_event: Number of the last event that came; 0 before the first.
        versions: Software versions that wrote its events.
        torn: Whether an event was missing or came twice.
        complete: Whether the last event and the end came.
    """

    def __init__(self, total: int) -> None:
        self.first_id = ""
        self.last_event = 0
        self.versions: set[str] = set()
        self.torn = False
        self.complete = False
        self._total = total

    def take(self, request_id: str, event: event_stream.StreamEvent) -> None:
        """Takes in an event."""
        number = int(event.id or 0)
        self.torn |= number != self.last_event + 1
        self.last_event = number
        self.first_id = self.first_id or request_id
        self.versions.add(event.data.split(b"data: ")[1].split()[0].decode())

    def end(self) -> None:
        """Takes in the end of an answer that came whole."""
        self.complete = self.last_event >= self._total


class VersionedReplica(replica.Replica):
    """An engine that writes its software version into its events."""

    def __init__(
        self, endpoint_id: str, fleet: "VersionedFleet", version: str
    ) -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id, fleet.trial.events)
        self._fleet = fleet
        self.version = version
        self.event_pause_s = fleet.trial.pause_s
        self.serves = True

    def _event_text(self, number: int) -> str:
        return f"{self.version} t{number}"

    def _breaks_after(
        self, request: replica.Received, first: int
    ) -> int | None:
        draw = self._fleet.draw
        if draw.random() >= self._fleet.trial.breaking:
            return None
        return draw.randint(first, self._events)


class VersionedFleet(trial_fleet.TrialFleet[VersionedReplica]):
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
            VersionedReplica(f"i-{number}", self, version)
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

    def _entry_fields(self, one: VersionedReplica) -> dict[str, str]:
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
        held = _ClientStream(self.trial.events)
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
        self.outcome.mixed += len(held.versions) > 1
        self.outcome.torn += held.torn
        self.outcome.whole += held.complete

    def _has_two(self, held: _ClientStream) -> bool:
        """Returns whether two engines of a stream's version serve."""
        serving = [
            m for m in self.made if m.serves and m.version in held.versions
        ]
        return len(serving) >= 2

    async def _try(self, held: _ClientStream) -> float:
        """Makes one try; returns seconds to wait before the next."""
        self._numbers += 1
        request_id = f"r{self._numbers}"
        pairs = self._headers(request_id, held)
        address = self.draw.choice(self.boxes.gateways).members.own.callers
        connection = client.ClientConnection(address)
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S):
                await connection.open(1.0)
                connection.send(b"POST", self.trial.path.encode(), pairs, b"{}")
                head = await connection.read_head()
                if head.status != 200:
                    code = (await connection.read_body()).decode("latin-1")
                    self.outcome.refused[code] += 1
                    return float(head.get(b"retry-after") or 0.05)
                splitter = event_stream.EventSplitter()
                while part := await connection.read_body():
                    for event in splitter.feed(part):
                        if not held.last_event:
                            taken_s = time.monotonic() - began_at
                            self.outcome.first_event_s.append(taken_s)
                        held.take(request_id, event)
                held.end()
        except (errors.TransportError, TimeoutError):
            return 0.02
        finally:
            connection.abort()
        return 0.02

    def _headers(
        self, request_id: str, held: _ClientStream
    ) -> list[tuple[bytes, bytes]]:
        fields = {
            "Host": "api.example",
            "Martenjunction-Attempt-Id": request_id,
            "Martenjunction-Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": "Bearer key-of-one",
            "Martenjunction-Token-Counts": "500,80",
            "Martenjunction-Prefix-Hash": PROMPT,
            "Content-Length": "2",
        }
        if held.last_event:
            fields["Last-Event-Id"] = str(held.last_event)
            if not self.trial.hidden:
                fields["Resumes"] = held.first_id
        return [(n.encode(), v.encode()) for n, v in fields.items()]
