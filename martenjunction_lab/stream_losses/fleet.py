"""Engines, clients and losses; how boxes run is left to subclasses."""

import abc
import asyncio
from collections.abc import Coroutine
import time
from typing import Any

from martenjunction_lab import stream_clients
from martenjunction_lab import trial_fleet
from martenjunction_lab import versioned_engines
from martenjunction_lab.stream_losses import configuration
from martenjunction_lab.stream_losses import outcome
from martenjunction_lab.stream_losses import trials

# Prompt of each request, 500 tokens in all.
PROMPT = "aa:100,bb:400"

# Seconds before a loss at which the engines of a new version start.
NEW_VERSION_LEAD_S = 1.5

# Shortest and longest time in seconds from the start of engines that leave at a
# loss to the kill of the boxes.
BRIEF_LEAD_S = (0.6, 1.2)

# Shortest and longest time in seconds from the old version's end and the
# operator's change to the kill of the boxes.
CHANGE_LEAD_S = (0.05, 0.5)

# Seconds to the next attempt after a broken stream.
BROKEN_PAUSE_S = 0.05

# Statuses after which clients do not try again.
FINAL_STATUSES = frozenset({400, 401, 404, 413, 431})

# Seconds for boxes that are ready to learn of all engines.
SETTLE_S = 1.0

OTHER_VERSION = "other-v1"


class LossFleet(
    trial_fleet.TrialFleet[versioned_engines.VersionedReplica], abc.ABC
):
    """Engines whose events name their version, and clients of their streams."""

    def __init__(self, trial: trials.Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = outcome.Outcome()
        self._versions = 0
        self._parts: list[asyncio.Task[Any]] = []
        self._streams = 0
        self._requests = 0
        self._listed: list[versioned_engines.VersionedReplica] = []
        self._routed_to = trial_fleet.ENGINE
        self._began_at = 0.0

    async def run(self) -> outcome.Outcome:
        """Plays the trial; returns what was seen.

        Raises:
            Exception: What a part of the trial raised.
        """
        trial = self.trial
        try:
            await self.start(configuration.document(trial), 0, {})
            await self._start_version()
            if trial.versions is trials.Versions.SIDE_BY_SIDE:
                await self._start_version()
            if trial.is_moved:
                await self._start_engines(configuration.OTHER, OTHER_VERSION)
            await self._start_boxes()
            await asyncio.sleep(SETTLE_S)
            self._began_at = time.monotonic()
            self.spawn(self._lose())
            until = self._began_at + trial.seconds
            await self.send_steadily(trial.per_s, until, self._stream)
            await self.settle()
            for part in self._parts:
                part.result()
        finally:
            await self.stop()
        return self.outcome

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Has a part of the trial run; `run` raises what it raises."""
        task = super().spawn(work)
        self._parts.append(task)
        return task

    @abc.abstractmethod
    def _addresses(self) -> list[str]:
        """Returns the addresses of all boxes, running or not."""

    @abc.abstractmethod
    async def _start_boxes(self) -> None:
        """Starts all boxes and waits until they are ready."""

    @abc.abstractmethod
    async def _kill(self, boxes: list[int]) -> None:
        """Ends boxes at once, without notice."""

    @abc.abstractmethod
    async def _start_again(self, box: int) -> None:
        """Starts a box that was killed."""

    async def _suspend(self, box: int) -> None:
        """Suspends a box for the trial's time.

        Raises:
            NotImplementedError: If boxes have no process of their own.
        """
        raise NotImplementedError

    def _entry_fields(
        self, one: versioned_engines.VersionedReplica
    ) -> dict[str, str]:
        return {"version": one.version}

    # Engines.

    async def _start_version(self) -> None:
        self._versions += 1
        await self._start_engines(trial_fleet.ENGINE, f"v{self._versions}")

    async def _start_engines(self, service: str, version: str) -> None:
        for _ in range(self.trial.engines):
            one = versioned_engines.VersionedReplica(
                f"i-{len(self.made) + 1}",
                version,
                self.trial.events,
                self.trial.pause_s,
                self.trial.breaking,
                self.draw,
            )
            await self.add(service, one, trial_fleet.SLOTS[trial_fleet.ENGINE])
            self._listed.append(one)

    def _listed_engines(self) -> list[versioned_engines.VersionedReplica]:
        """Returns the listed engines of the first service."""
        return [
            one for one in self.of(trial_fleet.ENGINE) if one in self._listed
        ]

    async def _remove(self, one: versioned_engines.VersionedReplica) -> None:
        self.boxes.forget(one)
        self._listed.remove(one)
        await asyncio.sleep(self.trial.linger_s)
        await one.stop()

    # Losses.

    async def _lose(self) -> None:
        trial = self.trial
        replaced = trial.versions is trials.Versions.REPLACED
        brief = trial.versions is trials.Versions.BRIEF
        for number in range(1, trial.losses + 1):
            loss_at = self._began_at + number * trial.loss_each_s
            old = self._listed_engines()
            killed = self.draw.sample(range(trial.boxes), trial.killed)
            if replaced:
                await self._until(loss_at - NEW_VERSION_LEAD_S)
                await self._start_version()
            if brief:
                await self._until(loss_at - self.draw.uniform(*BRIEF_LEAD_S))
                if trial.suspended_s:
                    for box in set(range(trial.boxes)) - set(killed):
                        self.spawn(self._suspend(box))
                await self._start_version()
            await self._until(loss_at - self.draw.uniform(*CHANGE_LEAD_S))
            self.outcome.losses_s.append(time.monotonic() - self._began_at)
            if replaced:
                for one in old:
                    self.spawn(self._remove(one))
            if number == 1 and (trial.is_moved or trial.later_timeout_s):
                self.boxes.configure(configuration.document(trial, True))
                if trial.is_moved:
                    self._routed_to = configuration.OTHER
            await self._until(loss_at)
            await self._kill_some(killed)
            if brief:
                for one in self._listed_engines():
                    if one not in old:
                        self.spawn(self._remove(one))

    async def _kill_some(self, killed: list[int]) -> None:
        trial = self.trial
        await self._kill(killed)
        for number, box in enumerate(killed):
            away_s = self.draw.uniform(*trial.away_s)
            if number:
                away_s += trial.others_away_s
            self.spawn(self._return(box, away_s))

    async def _return(self, box: int, away_s: float) -> None:
        await asyncio.sleep(away_s)
        await self._start_again(box)

    async def _until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    # Clients.

    async def _stream(self) -> None:
        """Has a client get one stream, over attempts until its deadline."""
        self._streams += 1
        stream = self._streams
        held = stream_clients.ClientStream(self.trial.events)
        ends_at = time.monotonic() + self.trial.deadline_s
        while (
            left_s := ends_at - time.monotonic()
        ) > stream_clients.MIN_LEFT_S:
            pause_s = await self._attempt(stream, held, left_s)
            if held.complete or pause_s is None:
                break
            await asyncio.sleep(pause_s)
        self.outcome.streams += held.last_event > 0
        self.outcome.joined += held.joined
        self.outcome.torn += held.torn
        self.outcome.whole += held.complete

    async def _attempt(
        self, stream: int, held: stream_clients.ClientStream, left_s: float
    ) -> float | None:
        """Makes an attempt at a stream.

        Returns:
            Seconds to wait before the next; None if there is to be none.
        """
        self._requests += 1
        before, was_joined = held.last_event, held.joined
        began_s = time.monotonic() - self._began_at
        after_loss, is_served = self._is_after_loss(held), self._is_served(held)
        fields = stream_clients.headers(
            f"r{self._requests}", held, left_s, PROMPT, self.trial.hidden
        )
        answer = await stream_clients.attempt(
            self.draw.choice(self._addresses()),
            configuration.PATH,
            fields,
            held,
            left_s,
        )
        ending = outcome.Ending.FAILED
        if held.joined and not was_joined:
            ending = outcome.Ending.JOINED
        elif held.complete or held.last_event > before:
            ending = outcome.Ending.GONE_ON
        elif answer.is_refusal:
            ending = outcome.Ending.REFUSED
        if before:
            self.outcome.take_ups.append(
                outcome.TakeUp(stream, began_s, ending, after_loss, is_served)
            )
        if not answer.is_refusal:
            return BROKEN_PAUSE_S
        if before:
            self.outcome.refused[f"{answer.status} {answer.refusal}"] += 1
        if answer.status in FINAL_STATUSES:
            return None
        return stream_clients.refused_pause_s(answer, left_s)

    def _is_after_loss(self, held: stream_clients.ClientStream) -> bool:
        """Returns whether a loss came since a stream's first event."""
        if held.first_event_at is None or not self.outcome.losses_s:
            return False
        return held.first_event_at - self._began_at < self.outcome.losses_s[-1]

    def _is_served(self, held: stream_clients.ClientStream) -> bool:
        """Returns whether an engine to which the route leads may go on."""
        return any(
            one in self._listed and one.version in held.versions
            for one in self.of(self._routed_to)
        )
