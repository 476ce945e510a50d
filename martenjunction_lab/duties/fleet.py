"""A fleet of boxes that perform duties, in simulated time.

What the boxes decide and tell each other is the daemons' own code; the store,
the platform and the links are simulated. A fleet up to the size of a full mesh.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions import rendezvous
from martenjunction.decisions.boxes import overlay
from martenjunction.decisions.duties import lease
from martenjunction.decisions.duties import true_time
from martenjunction.decisions.duties import usage_counts
from martenjunction.duties import duty_sync
from martenjunction.duties import holder
from martenjunction.duties import usage_duty
from martenjunction.platform import box_settings
from martenjunction.routing.log import decision_log
from martenjunction_lab.duties import platform

WINDOW_S = 5.0
NO_RETURN_S = 3.0
USAGE_DUE_S = 10.0

# Time of day at the start of a simulation, in seconds since 1970.
EPOCH_S = 1_700_000_000.0

LINK_S = 0.002

SETTINGS = box_settings.DutySettings(
    address="10.0.0.1:80",
    kinds=frozenset(box_settings.Duty),
    no_return_s=NO_RETURN_S,
    window_s=WINDOW_S,
    usage_due_s=USAGE_DUE_S,
)


class SilentLog(decision_log.DecisionLog):
    """Keeps lines in place of writing them."""

    def __init__(self) -> None:
        """Initializes an empty log."""
        super().__init__(lambda: 0.0)
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def write(self, kind: str, **fields: Any) -> None:
        """Keeps a line."""
        self.lines.append((kind, fields))


class _Links:
    """The connections of one box, in place of its hub."""

    def __init__(self, fleet: "Fleet", box: str) -> None:
        self._fleet = fleet
        self._box = box
        self.handlers: dict[type[Any], Callable[[str, Any], None]] = {}

    def subscribe(
        self, kind: type[Any], handler: Callable[[str, Any], None]
    ) -> None:
        self.handlers[kind] = handler

    def boxes(self) -> list[str]:
        return [
            box
            for box in self._fleet.boxes
            if self._fleet.reaches(self._box, box)
        ]

    def is_connected(self, box: str) -> bool:
        return box in self.boxes()

    def broadcast(self, message: Any) -> None:
        for box in self.boxes():
            self.send_soon(box, message)

    def send(self, box: str, message: Any) -> bool:
        return self.send_soon(box, message)

    def send_to(self, boxes: Iterable[str], message: Any) -> None:
        for box in boxes:
            self.send_soon(box, message)

    def send_soon(self, box: str, message: Any) -> bool:
        if not self._fleet.reaches(self._box, box):
            return False
        asyncio.get_running_loop().call_later(
            LINK_S, self._fleet.deliver, self._box, box, message
        )
        return True


class _Place:
    """The place of a box in a full mesh."""

    is_sparse = False

    def __init__(self, fleet: "Fleet", box: str) -> None:
        self._fleet = fleet
        self._box = box

    @property
    def rank(self) -> int:
        linked = [
            box
            for box in self._fleet.boxes
            if box == self._box or self._fleet.reaches(self._box, box)
        ]
        return rendezvous.ranked(linked, "rank").index(self._box)

    def parent(self, tree: overlay.Tree) -> str | None:
        return None


class Box:
    """One start of one box."""

    def __init__(
        self, fleet: "Fleet", name: str, incarnation: int, clock_s: float
    ) -> None:
        """Initializes a box; `start` starts it.

        Args:
            fleet: The fleet.
            name: The box's name.
            incarnation: Rises with each start.
            clock_s: Seconds by which its time of day is ahead.
        """
        self.name = name
        self.gate = asyncio.Event()
        self.gate.set()
        self.links = _Links(fleet, name)
        self.log = SilentLog()
        self.events = events.Events()
        self.clock_s = clock_s
        loop = asyncio.get_running_loop()
        self.timers = timers.Timers(loop.time)
        now = loop.time()
        self.lease = lease.DutyLease(
            name, incarnation, NO_RETURN_S + lease.LEASE_MARGIN_S, now
        )
        wall = true_time.TrueTime(self._wall_clock(), now)
        self.counts = usage_counts.UsageCounts(
            usage_counts.source_key(name, incarnation)
        )
        self.store = platform.Store(fleet.store, name, self.gate)
        calls = platform.Calls(fleet.judge, fleet.store, self.gate)
        usage = usage_duty.UsageDuty(
            SETTINGS,
            self.counts,
            calls,  # type: ignore[arg-type]
            wall.at,
            self.log,
            fleet.rng,
        )
        place = _Place(fleet, name)
        self.holder = holder.DutyHolder(
            name,
            self.lease,
            self.store,  # type: ignore[arg-type]
            [usage],
            WINDOW_S,
            lambda: place.rank,
            self.timers,
            self.log,
        )
        self.sync = duty_sync.DutySync(
            self.holder,
            self.lease,
            self.counts,
            wall,
            WINDOW_S,
            place,  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
            self.timers,
            self._wall_clock,
        )

    def start(self) -> None:
        """Starts the box."""
        self.sync.start(self.events)
        self.timers.start()
        self.holder.start()

    async def kill(self) -> None:
        """Ends the box at once."""
        await self.holder.stop()
        await self.timers.stop()

    def record_run(self, workspace: str) -> None:
        """Counts a request that began to run."""
        window = self.sync.current_window(self.timers.now())
        self.counts.record(workspace, window)

    def _wall_clock(self) -> float:
        return EPOCH_S + asyncio.get_running_loop().time() + self.clock_s


@dataclasses.dataclass(slots=True)
class Truth:
    """What really ran, by window and workspace."""

    counts: dict[int, dict[str, int]] = dataclasses.field(default_factory=dict)

    def record(self, now: float, workspace: str) -> None:
        """Records a request that began to run."""
        window = self.counts.setdefault(window_at(now), {})
        window[workspace] = window.get(workspace, 0) + 1


def window_at(now: float) -> int:
    """Returns the window of usage at a simulated time."""
    return int((EPOCH_S + now) // WINDOW_S)


class Fleet:
    """Boxes, their links, the store, and the judge of their calls."""

    def __init__(self, size: int, seed: int) -> None:
        """Initializes a fleet that is not started.

        Args:
            size: How many boxes there are.
            seed: Decides what is lost or late.
        """
        self.rng = random.Random(seed)
        self.store = platform.SharedStore(random.Random(seed + 1))
        self.judge = platform.Judge(NO_RETURN_S)
        self.truth = Truth()
        self.boxes: dict[str, Box] = {}
        self.cut: set[str] = set()
        self._names = [f"box-{number}" for number in range(size)]
        self._incarnations = 0

    @property
    def names(self) -> list[str]:
        """The names of all boxes, running or not."""
        return list(self._names)

    @property
    def holders(self) -> list[Box]:
        """The boxes that take themselves for the holder."""
        return [box for box in self.boxes.values() if box.lease.holds]

    def start(self) -> None:
        """Starts all boxes."""
        for name in self._names:
            self.start_box(name)

    def start_box(self, name: str, clock_s: float = 0.0) -> Box:
        """Starts a box that does not run."""
        self._incarnations += 1
        made = Box(self, name, self._incarnations, clock_s)
        self.boxes[name] = made
        made.start()
        for other in list(self.boxes.values()):
            if other is not made:
                other.events.emit(events.PEER_CONNECTED, name)
                made.events.emit(events.PEER_CONNECTED, other.name)
        return made

    async def kill(self, name: str) -> None:
        """Ends a box at once."""
        box = self.boxes.pop(name, None)
        if box is not None:
            await box.kill()

    async def stop(self) -> None:
        """Ends all boxes."""
        for name in list(self.boxes):
            await self.kill(name)

    def reaches(self, box: str, other: str) -> bool:
        """Returns whether two running boxes hear each other."""
        ends = [self.boxes.get(name) for name in (box, other)]
        return (
            box != other
            and all(end is not None and end.gate.is_set() for end in ends)
            and (box in self.cut) == (other in self.cut)
        )

    def deliver(self, source: str, target: str, message: Any) -> None:
        """Hands a message to a box, unless it ended or was cut off."""
        box = self.boxes.get(target)
        if box is not None and self.reaches(source, target):
            box.links.handlers[type(message)](source, message)

    async def serve(self, seconds: float, per_s: float = 20.0) -> None:
        """Lets requests run at all boxes for some seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(1.0 / per_s)
            running = [b for b in self.boxes.values() if b.gate.is_set()]
            if running:
                workspace = f"w{self.rng.randrange(3)}"
                self.rng.choice(running).record_run(workspace)
                self.truth.record(loop.time(), workspace)

    def missed(self, until: float) -> list[int]:
        """Returns the windows that were due and are missing, late or wrong."""
        wrong = []
        for window, counts in sorted(self.truth.counts.items()):
            due = (window + 1) * WINDOW_S - EPOCH_S + USAGE_DUE_S
            if due > until:
                continue
            reported = self.judge.windows.get(window)
            at = self.judge.accepted_at.get(window, due + 1.0)
            if reported is None or at > due or not _is_close(reported, counts):
                wrong.append(window)
        return wrong


def _is_close(reported: dict[str, int], counts: dict[str, int]) -> bool:
    names = {*reported, *counts}
    off = sum(abs(reported.get(n, 0) - counts.get(n, 0)) for n in names)
    return off <= 0.05 * sum(counts.values())
