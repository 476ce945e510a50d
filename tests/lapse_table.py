"""Measures what boxes list after outages of the store in which entries lapse.

    python -m tests.lapse_table ROW[,ROW...] FIRST_SEED LAST_SEED

Entries lapse and come back at random times, as those of live endpoints do. One
endpoint ends during the outage and one announced before that it is leaving.
Prints one line per row and seed with:

* the most seconds for which a box had no endpoint of the service,
* the seconds from the store's return until all boxes list exactly the live
  endpoints, or "never",
* the seconds from the store's return until no box lists the ended endpoint,
* whether any box would have sent to the endpoint that is leaving.

`ROWS` defines the rows.
"""

import asyncio
import dataclasses
import random
import time

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import platform
from martenjunction_lab import replica
from tests import routing_builders as builders
from tests import trial_tables

# Seconds between the writes of an endpoint; the store drops its entry after
# three missed ones.
WRITE_INTERVAL_S = 1.2
LAPSE_S = 3 * WRITE_INTERVAL_S

# Maximum seconds from the store's return until a live endpoint has written.
MAX_RETURN_S = 1.9

# Seconds after the store's return until which the boxes are watched.
WATCHED_S = 6.0

POLL_S = 0.01

LIVE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Parameters of a trial.

    Attributes:
        outages_s: Length of each outage.
        between_s: Seconds between the outages.
        boxes: Number of boxes.
        how: The fault of the store; see `platform.PlatformFaults`.
        event: What happens after the last return: "" for nothing, "end-reader"
            or "start-box".
    """

    outages_s: tuple[float, ...] = (3.65,)
    between_s: float = 0.0
    boxes: int = 6
    how: str = "resets"
    event: str = ""


ROWS = {
    "two-boxes": Row(boxes=2),
    "resets": Row(),
    "down": Row(how="down"),
    "silent": Row(how="silent"),
    "twelve-boxes": Row(boxes=12),
    "forty-boxes": Row(boxes=40),
    "short": Row((2.5,)),
    "long": Row((10.0,)),
    "twice": Row((3.65, 1.5), between_s=1.0),
    "twice-long": Row((3.65, 4.5), between_s=1.5),
    "end-reader": Row(event="end-reader"),
    "start-box": Row(event="start-box"),
}


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a trial showed; see the module's description."""

    empty_s: float = 0.0
    converged_s: float | None = None
    ended_s: float | None = None
    leaving_served: bool = False

    def __str__(self) -> str:
        converged = _seconds(self.converged_s)
        return (
            f"empty {self.empty_s:.2f} converged {converged}"
            f" ended {_seconds(self.ended_s)}"
            f" leaving-served {self.leaving_served}"
        )


class Trial:
    """Boxes, a store, and endpoints whose entries lapse and come back."""

    def __init__(self, row: Row, seed: int) -> None:
        self._row = row
        self._rng = random.Random(seed)
        self._fleet = boxes.Boxes()
        self._live: list[replica.Replica] = []
        self._outcome = Outcome()

    async def run(self) -> Outcome:
        """Runs the trial."""
        fleet = self._fleet
        try:
            await fleet.start(builders.config_document(), boxes=self._row.boxes)
            self._live = [
                await fleet.add_replica(builders.PLAIN) for _ in range(LIVE)
            ]
            self._ended = await fleet.add_replica(builders.PLAIN)
            self._leaving = await fleet.add_replica(builders.PLAIN)
            await fleet.until_listed()
            fleet.record(self._leaving, builders.PLAIN, state="draining")
            await boxes.until(
                lambda: (
                    not any(
                        box.endpoint_list.is_ready(self._leaving.id)
                        for box in fleet.gateways
                    )
                )
            )
            await asyncio.sleep(self._rng.uniform(0.0, 1.0))
            for number, outage_s in enumerate(self._row.outages_s):
                if number:
                    await self._watch(self._row.between_s)
                await self._lose_store(outage_s)
                writes = self._schedule_writes()
            await self._watch_return()
            for write in writes:
                write.cancel()
            return self._outcome
        finally:
            await fleet.stop()

    async def _lose_store(self, outage_s: float) -> None:
        """Takes the store away; entries lapse meanwhile."""
        store = self._fleet.store
        store.faults = platform.PlatformFaults(**{self._row.how: True})
        lapses = [
            asyncio.get_running_loop().call_later(
                LAPSE_S - self._rng.uniform(0.0, WRITE_INTERVAL_S),
                self._fleet.forget,
                made,
            )
            for made in [*self._live, self._ended, self._leaving]
        ]
        await self._watch(outage_s)
        for lapse in lapses:
            lapse.cancel()
        # Another start takes the place of the endpoint that ended.
        self._fleet.forget(self._ended)
        store.faults = platform.PlatformFaults()

    def _schedule_writes(self) -> list[asyncio.TimerHandle]:
        """Lets the live endpoints write their entries again."""
        loop = asyncio.get_running_loop()
        return [
            loop.call_later(
                self._rng.uniform(0.0, MAX_RETURN_S), self._write, made
            )
            for made in self._live
        ]

    def _write(self, made: replica.Replica) -> None:
        """Writes an entry, unless the store is away again."""
        if not getattr(self._fleet.store.faults, self._row.how):
            self._fleet.record(made, builders.PLAIN)

    async def _watch_return(self) -> None:
        """Watches the boxes after the last outage."""
        returned_at = time.monotonic()
        happening = asyncio.create_task(self._happen())
        expected = {made.id for made in self._live}
        ended_by: float | None = None
        converged_by: float | None = None
        while (now := time.monotonic()) - returned_at < WATCHED_S:
            await self._watch(POLL_S)
            ready = [set(b.endpoint_list.ready_ids()) for b in self._boxes]
            if any(self._ended.id in ids for ids in ready):
                ended_by = None
            elif ended_by is None:
                ended_by = now - returned_at
            if any(ids != expected for ids in ready):
                converged_by = None
            elif converged_by is None:
                converged_by = now - returned_at
        await happening
        self._outcome.ended_s = ended_by
        self._outcome.converged_s = converged_by

    async def _happen(self) -> None:
        """Ends a reader or starts a box within the grace period."""
        await asyncio.sleep(self._rng.uniform(0.1, 1.5))
        if self._row.event == "start-box":
            await self._fleet.add_box("box-new")
        if self._row.event == "end-reader":
            readers = [b for b in self._boxes if b.follower.is_synced]
            for box in readers[:1]:
                self._fleet.gateways.remove(box)
                await box.stop()

    async def _watch(self, seconds: float) -> None:
        """Records for how long boxes have no endpoint."""
        until = time.monotonic() + seconds
        while (now := time.monotonic()) < until:
            await asyncio.sleep(POLL_S)
            passed_s = time.monotonic() - now
            if any(not box.endpoint_list.ready_ids() for box in self._boxes):
                self._outcome.empty_s += passed_s
            if any(
                box.endpoint_list.is_ready(self._leaving.id)
                for box in self._boxes
            ):
                self._outcome.leaving_served = True

    @property
    def _boxes(self) -> list[gateway.Gateway]:
        """The boxes that have read the store."""
        return [b for b in self._fleet.gateways if b.endpoint_list.has_listing]


def _seconds(value: float | None) -> str:
    return "never" if value is None else f"{value:.2f}"


async def run_row(row: str, seed: int) -> str:
    """Runs one row with one seed and returns the line to print."""
    return f"{row} seed {seed}: {await Trial(ROWS[row], seed).run()}"


if __name__ == "__main__":
    trial_tables.main(run_row)
