"""Plays a release at boxes of which some are out of step, in simulated time."""

import asyncio
import time

from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import stream_clients
from martenjunction_lab import trial_fleet
from martenjunction_lab import versioned_engines
from martenjunction_lab.out_of_step import holds
from martenjunction_lab.out_of_step import outcome
from martenjunction_lab.out_of_step import trials
from martenjunction_lab.simulated import loop as simulated_loop
from martenjunction_lab.stream_losses import configuration
from martenjunction_lab.stream_losses import trials as loss_trials

OLD = "v1"
NEW = "v2"
OLD_ENGINES = 2
NEW_ENGINES = 3

# Events of a stream, and seconds between two of them.
EVENTS = 20
EVENT_PAUSE_S = 0.02


class OutOfStepFleet(
    trial_fleet.TrialFleet[versioned_engines.VersionedReplica]
):
    """Boxes, engines of two versions, and clients of their streams."""

    def __init__(self, trial: trials.Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = outcome.Outcome()
        self._out: list[gateway.Gateway] = []
        self._is_out = False
        self._requests = 0
        self._streams = 0

    async def run(self) -> outcome.Outcome:
        """Plays the trial; returns what was seen."""
        trial = self.trial
        document = configuration.document(
            loss_trials.Trial(timeout_s=trial.deadline_s)
        )
        try:
            await self.start(document, 0, {})
            await self._add_engines(OLD, OLD_ENGINES, 0.0)
            await self._start_boxes()
            await self._restore_records()
            await asyncio.sleep(trial.settle_s)
            seconds = 1.0 + trial.out_s + trial.after_s
            self.spawn(self._release())
            until = time.monotonic() + seconds
            await self.send_steadily(trial.per_s, until, self._stream)
            await self.settle()
        finally:
            await self.stop()
        return self.outcome

    def _entry_fields(
        self, one: versioned_engines.VersionedReplica
    ) -> dict[str, str]:
        return {"version": one.version}

    async def _start_boxes(self) -> None:
        for number in range(1, self.trial.boxes + 1):
            await self.boxes.add_box(f"box-{number}", first_start=True)
        made = self.boxes.gateways
        await boxes.until(lambda: all(box.dump()["ready"] for box in made))
        self._out = self.draw.sample(made, self.trial.boxes_out)

    async def _restore_records(self) -> None:
        """Has boxes read the records of streams, as a lost stream makes them.

        Before that they conclude nothing.
        """
        made = self.boxes.gateways
        for box in made:
            box.archive.request()
        await boxes.until(lambda: all(box.archive.restored for box in made))

    async def _add_engines(
        self, version: str, count: int, breaking: float
    ) -> list[versioned_engines.VersionedReplica]:
        added = []
        for _ in range(count):
            one = versioned_engines.VersionedReplica(
                f"i-{len(self.made) + 1}",
                version,
                EVENTS,
                EVENT_PAUSE_S,
                breaking,
                self.draw,
            )
            await self.add(
                trial_fleet.ENGINE, one, trial_fleet.SLOTS[trial_fleet.ENGINE]
            )
            added.append(one)
        return added

    async def _release(self) -> None:
        """Has some boxes fall out of step, and a version join meanwhile."""
        trial = self.trial
        await asyncio.sleep(1.0)
        others = [b for b in self.boxes.gateways if b not in self._out]
        held = holds.Hold(self._out, others)
        stores = [holds.SilentStore(box) for box in self._out]
        if trial.out in (trials.Out.LINKS, trials.Out.LINKS_AND_STORE):
            held.begin()
        if trial.out in (trials.Out.STORE, trials.Out.LINKS_AND_STORE):
            for store in stores:
                store.begin()
        self._is_out = True
        await asyncio.sleep(trial.lead_s)
        old = list(self.made)
        joined = await self._add_engines(NEW, NEW_ENGINES, trial.breaking)
        # They serve on, so that a box may still send to them.
        for one in old:
            self.announce_leaving(one)
        if trial.stays_s:
            self.spawn(self._remove(joined))
        await asyncio.sleep(trial.out_s - trial.lead_s)
        self._is_out = False
        held.end(resets=trial.resets)
        for store in stores:
            store.end()

    async def _remove(
        self, joined: list[versioned_engines.VersionedReplica]
    ) -> None:
        await asyncio.sleep(self.trial.stays_s)
        for one in joined:
            self.boxes.forget(one)

    async def _stream(self) -> None:
        """Has a client get one stream, over attempts until its deadline."""
        self._streams += 1
        # No two prompts share parts, which would keep streams at one engine.
        prompt = f"{self._streams:x}:500"
        held = stream_clients.ClientStream(EVENTS)
        ends_at = time.monotonic() + self.trial.deadline_s
        while (
            left_s := ends_at - time.monotonic()
        ) > stream_clients.MIN_LEFT_S:
            pause_s = await self._attempt(held, left_s, prompt)
            if held.complete:
                break
            await asyncio.sleep(pause_s)
        self.outcome.begun[max(held.versions, default="")] += 1
        self.outcome.joined += held.joined
        self.outcome.torn += held.torn
        self.outcome.whole += held.complete

    async def _attempt(
        self, held: stream_clients.ClientStream, left_s: float, prompt: str
    ) -> float:
        """Makes an attempt; returns seconds to wait before the next one."""
        before = held.last_event
        box = self._choose(takes_up=before > 0)
        was_out = self._is_out and box in self._out
        answer = await self._send(box, held, left_s, prompt)
        if before:
            counts = self.outcome.at_out if was_out else self.outcome.elsewhere
            counts.asked += 1
            counts.gone_on += held.complete or held.last_event > before
            counts.refused += answer.is_refusal
        if not answer.is_refusal:
            return self.draw.uniform(*self.trial.pause_s)
        return stream_clients.refused_pause_s(answer, left_s)

    async def _send(
        self,
        box: gateway.Gateway,
        held: stream_clients.ClientStream,
        left_s: float,
        prompt: str,
    ) -> stream_clients.Answer:
        self._requests += 1
        fields = stream_clients.headers(
            f"r{self._requests}", held, left_s, prompt
        )
        return await stream_clients.attempt(
            box.members.own.callers, configuration.PATH, fields, held, left_s
        )

    def _choose(self, takes_up: bool) -> gateway.Gateway:
        """Returns the box to which an attempt goes."""
        others = [b for b in self.boxes.gateways if b not in self._out]
        if takes_up and self.draw.random() < self.trial.at_out:
            return self.draw.choice(self._out)
        return self.draw.choice(others)


async def play_here(trial: trials.Trial) -> outcome.Outcome:
    """Plays a trial on the running loop, which is one in simulated time."""
    return await OutOfStepFleet(trial).run()


def play(trial: trials.Trial) -> outcome.Outcome:
    """Plays a trial in simulated time."""
    return simulated_loop.run(play_here(trial), trial.seed)
