"""A fleet before engines that crash under certain parts of prompts.

It counts how often requests with such a part reach engines, and what becomes of
sound requests that share their caller and their other parts.
"""

import asyncio
import dataclasses
import itertools
import time
from typing import Any

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction_lab import boxes
from martenjunction_lab import replica
from martenjunction_lab import trial_fleet

# Crashes after which a part should be known, and seconds that all boxes have
# for it.
KNOWN_AFTER = 5
KNOWN_WITHIN_S = 3.0

# The part that all requests share, and further ones.
FIRST = "f0"
COMPANY = tuple(f"c{number}" for number in range(8))
FATAL = ("d0", "d1")
TOKENS = 100

# Name of the answer to a request that is quarantined.
QUARANTINED = b"ends-endpoints"


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        path: Decides the route of the requests.
        fatal: Parts that crash engines.
        fatal_per_s: Requests with such a part a second.
        sound_per_s: Other requests a second.
        drawn_company: Whether the requests with such a part have drawn other
            parts, rather than always the same.
        comes_first: Whether the part comes before the one that all share.
        sound_until_s: Seconds for which requests with the part are served
            before it crashes engines.
        company: Parts beside the first that sound requests draw from.
        writes: Whether engines write events before they crash.
        immune: Engines of another software version, which do not crash.
        own_ends: Engines that crash by themselves, over the whole trial.
        own_ends_at_once: How many of them crash at the same moment.
        boxes: How many boxes there are.
        engines: How many engines there are.
        begins_s: Seconds of sound requests alone.
        seconds: For how long requests are sent after that.
        run_s: Shortest and longest time from the begin of a run to the crash.
        back_s: Seconds until an engine is back.
        seed: Decides the rest.
    """

    path: str = "/digest/a"
    fatal: int = 1
    fatal_per_s: float = 4.0
    sound_per_s: float = 30.0
    drawn_company: bool = True
    comes_first: bool = False
    sound_until_s: float = 0.0
    company: int = 8
    writes: bool = False
    immune: int = 0
    own_ends: int = 0
    own_ends_at_once: int = 1
    boxes: int = 6
    engines: int = 16
    begins_s: float = 4.0
    seconds: float = 20.0
    run_s: tuple[float, float] = (0.05, 0.11)
    back_s: float = 3.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        crashes: When engines crashed under each part, steady clock.
        arrivals: When requests with each part reached engines.
        sound: When each sound request was sent, and whether it began at its
            first try.
        own_ends: Engines that crashed by themselves.
        innocent_refused: Sound requests that were refused as quarantined.
    """

    crashes: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    arrivals: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    sound: list[tuple[float, bool]] = dataclasses.field(default_factory=list)
    own_ends: int = 0
    innocent_refused: int = 0

    @property
    def crashed(self) -> int:
        """Engines that crashed under requests."""
        return sum(len(times) for times in self.crashes.values())

    def late_arrivals(self, part: str) -> int:
        """Arrivals of a part after all boxes should know of it."""
        times = sorted(self.crashes.get(part, []))
        if len(times) < KNOWN_AFTER:
            return 0
        known = times[KNOWN_AFTER - 1] + KNOWN_WITHIN_S
        return sum(at > known for at in self.arrivals[part])

    @property
    def most_late_arrivals(self) -> int:
        """The most late arrivals of one part."""
        return max(
            (self.late_arrivals(part) for part in self.arrivals), default=0
        )

    def begun(self, known: bool) -> tuple[int, int]:
        """Returns how many sound requests began, of how many.

        Args:
            known: Whether to count those that were sent after all parts should
                be known, rather than those before the first crash.
        """
        first = min(itertools.chain(*self.crashes.values()), default=0.0)
        last = max(
            (sorted(t)[:KNOWN_AFTER][-1] for t in self.crashes.values() if t),
            default=0.0,
        )
        chosen = [
            begun
            for at, begun in self.sound
            if (at > last + 2 * KNOWN_WITHIN_S if known else at < first)
        ]
        return sum(chosen), len(chosen)


class CrashingReplica(replica.Replica):
    """An engine that crashes soon after it begins to write on some parts."""

    def __init__(self, endpoint_id: str, fleet: "CrashingFleet") -> None:
        """Makes it; `start` brings it up."""
        super().__init__(endpoint_id, events=8)
        self._fleet = fleet
        self.event_pause_s = 0.02
        self.crashed = False
        self.immune = False

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        fleet = self._fleet
        part = fleet.fatal_part(request)
        if part is not None:
            fleet.outcome.arrivals.setdefault(part, []).append(time.monotonic())
            if fleet.is_fatal_now and not self.immune:
                asyncio.get_running_loop().call_later(
                    fleet.draw.uniform(*fleet.trial.run_s),
                    lambda: fleet.crash(self, part),
                )
                if not fleet.trial.writes:
                    await reader.read()
                    return False
        return await super()._answer(request, behaviour, reader, writer)


class CrashingFleet(trial_fleet.TrialFleet[CrashingReplica]):
    """Boxes, and engines that crash."""

    def __init__(self, trial: Trial) -> None:
        """Makes a fleet; `run` plays the trial.

        Args:
            trial: What is played.
        """
        super().__init__(trial.seed)
        self.trial = trial
        self.outcome = Outcome()
        self._numbers = 0
        self._fatal_from = 0.0

    @property
    def is_fatal_now(self) -> bool:
        """Whether the parts crash engines already."""
        return time.monotonic() >= self._fatal_from

    async def run(self, config: dict[str, Any]) -> Outcome:
        """Plays the trial under a configuration; returns what was seen."""
        trial = self.trial
        made = [
            CrashingReplica(f"i-{number}", self)
            for number in range(1, trial.engines + 1)
        ]
        for one in made[: trial.immune]:
            one.immune = True
        try:
            await self.start(config, trial.boxes, {trial_fleet.ENGINE: made})
            began = time.monotonic()
            self._fatal_from = began + trial.begins_s + trial.sound_until_s
            until = began + trial.begins_s + trial.seconds
            self.spawn(
                self.send_steadily(trial.sound_per_s, until, self._send_sound)
            )
            await asyncio.sleep(trial.begins_s)
            self._plan_own_ends()
            if trial.fatal:
                await self.send_steadily(
                    trial.fatal_per_s, until, self._send_fatal
                )
            await self.settle()
        finally:
            await self.stop()
        return self.outcome

    def _entry_fields(self, one: CrashingReplica) -> dict[str, str]:
        return {"version": "v2" if one.immune else "v1"}

    def fatal_part(self, request: replica.Received) -> str | None:
        """Returns the part of a request that crashes engines, or None."""
        prompt = request.headers.get("martenjunction-prefix-hash", "")
        parts = [text.partition(":")[0] for text in prompt.split(",")[:-1]]
        return next((part for part in parts if part in FATAL), None)

    def crash(self, made: CrashingReplica, part: str | None) -> None:
        """Crashes an engine; it is back after a while as another start.

        Args:
            made: The engine.
            part: The part that it crashes under; None if by itself.
        """
        if made.crashed:
            return
        made.crashed = True
        if part is None:
            self.outcome.own_ends += 1
        else:
            self.outcome.crashes.setdefault(part, []).append(time.monotonic())
        self.spawn(self._restart(made))

    async def _restart(self, made: CrashingReplica) -> None:
        await made.stop()
        await asyncio.sleep(self.trial.back_s)
        await self.start_again(made)
        made.crashed = False

    def _plan_own_ends(self) -> None:
        at_once = self.trial.own_ends_at_once
        for _ in range(self.trial.own_ends // at_once):
            asyncio.get_running_loop().call_later(
                self.draw.uniform(0.5, self.trial.seconds - 1.0),
                lambda: self._crash_some(at_once),
            )

    def _crash_some(self, count: int) -> None:
        live = [made for made in self.made if not made.crashed]
        for made in self.draw.sample(live, min(count, len(live))):
            self.crash(made, None)

    async def _send_sound(self) -> None:
        at = time.monotonic()
        company = self.draw.choice(COMPANY[: self.trial.company])
        status, body = await self._send([FIRST, company])
        self.outcome.sound.append((at, status == 200))
        self.outcome.innocent_refused += body == QUARANTINED

    async def _send_fatal(self) -> None:
        part = self.draw.choice(FATAL[: self.trial.fatal])
        if self.trial.comes_first:
            await self._send([part, FIRST])
            return
        count = self.draw.randint(1, 3) if self.trial.drawn_company else 1
        company = (
            self.draw.sample(COMPANY, count)
            if self.trial.drawn_company
            else [COMPANY[0]]
        )
        parts = [*company]
        place = self.draw.randint(0, len(parts))
        parts.insert(place, part)
        await self._send([FIRST, *parts])

    async def _send(self, parts: list[str]) -> tuple[int, bytes]:
        """Sends a request to a drawn box; returns status and answer.

        The status is 0 for a request that was broken off.
        """
        self._numbers += 1
        own = f"own{self._numbers}"
        prompt = ",".join(f"{part}:{TOKENS}" for part in [*parts, own])
        box = self.draw.choice(self.boxes.gateways)
        try:
            head, answer = await _ask(
                box.members.own.callers, self.trial.path, own, prompt
            )
        except (errors.TransportError, TimeoutError):
            return 0, b""
        return head.status, answer


async def _ask(
    address: str, path: str, request_id: str, prompt: str
) -> tuple[messages.ResponseHead, bytes]:
    tokens = (prompt.count(",") + 1) * TOKENS
    return await boxes.call(
        address,
        "POST",
        path,
        {
            "Martenjunction-Attempt-Id": request_id,
            "Martenjunction-Deadline-Ms": "1500",
            "Authorization": "Bearer key-of-one",
            "Martenjunction-Token-Counts": f"{tokens},80",
            "Martenjunction-Prefix-Hash": prompt,
        },
        request_id.encode(),
    )
