"""Engines whose slots are all taken, with requests of three urgencies.

Plays the choice of endpoints against engines that give each free slot to the
most urgent request that waits, in simulated time. One box stands for all: it
knows all loads, and draws engines as a box among many does.
"""

import collections
import dataclasses
import heapq
import random
from typing import NamedTuple

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import load_shedding
from martenjunction.decisions.boxes import prefill_demand

SERVICE = "engines"
ZONE = "zone-a"
CACHE_TOKENS = 400_000
PROFILE = engine_profiles.EngineProfile(45_000.0, 0.049)


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one kind.

    Attributes:
        name: Its name.
        tier: Its tier; 0 is the most urgent.
        per_s: Requests a second.
        prompt_tokens: Tokens of a prompt.
        hold_s: Mean seconds for which a request holds its slot after its first
            event.
        target_s: Target in seconds for the first event.
        deadline_s: Seconds after which the client leaves.
        pause_s: Limit in seconds for pauses of its streams.
    """

    name: str
    tier: int
    per_s: float
    prompt_tokens: int
    hold_s: float
    target_s: float
    deadline_s: float
    pause_s: float


@dataclasses.dataclass(frozen=True)
class Trial:
    """What is played.

    Attributes:
        kinds: The kinds of requests.
        engines: The number of engines.
        slots: Slots of each engine.
        seconds: For how long requests arrive.
        seed: Decides arrivals and holds.
    """

    kinds: tuple[Kind, ...]
    engines: int = 3
    slots: int = 64
    seconds: float = 20.0
    seed: int = 1


@dataclasses.dataclass
class Tally:
    """What became of the requests of one kind."""

    asked: int = 0
    begun: int = 0
    refused: int = 0
    left: int = 0


class _Event(NamedTuple):
    at: float
    number: int
    name: str
    run: "_Run"


@dataclasses.dataclass
class _Run:
    """One request at an engine."""

    kind: Kind
    demand: endpoint_records.Demand
    arrived_at: float
    choice: endpoint_choice.Choice | None = None
    first_at: float | None = None
    is_over: bool = False

    @property
    def key(self) -> endpoint_loads.LoadKey:
        """The key under which its load is counted."""
        return self.demand.load_key


class _Engine:
    """Slots, and requests that wait for one by urgency."""

    def __init__(self, slots: int) -> None:
        self._free = slots
        self._waiting: list[tuple[int, int, _Run]] = []

    def enter(self, run: _Run, number: int) -> list[_Run]:
        """Adds a request; returns those that get a slot now."""
        heapq.heappush(self._waiting, (run.demand.urgency, number, run))
        return self._fill()

    def free(self) -> list[_Run]:
        """Frees a slot; returns those that get a slot now."""
        self._free += 1
        return self._fill()

    def _fill(self) -> list[_Run]:
        begun = []
        while self._free and self._waiting:
            run = heapq.heappop(self._waiting)[2]
            if not run.is_over:
                self._free -= 1
                begun.append(run)
        return begun


class SlotQueues:
    """Plays a trial."""

    def __init__(self, trial: Trial) -> None:
        """Initializes engines without requests; `run` plays the trial."""
        self._trial = trial
        self._draw = random.Random(trial.seed)
        self._events: list[_Event] = []
        self._number = 0
        self._records = [
            endpoint_records.EndpointRecord(
                f"e{number}", ZONE, trial.slots, CACHE_TOKENS
            )
            for number in range(trial.engines)
        ]
        self._engines = {
            record.id: _Engine(trial.slots) for record in self._records
        }
        self._tallies: dict[str, Tally] = collections.defaultdict(Tally)

    def run(self) -> dict[str, Tally]:
        """Returns what became of the requests, by the name of their kind."""
        for kind in self._trial.kinds:
            at = self._draw.expovariate(kind.per_s)
            while at < self._trial.seconds:
                demand = self._demand(kind)
                self._schedule(at, "arrive", _Run(kind, demand, at))
                at += self._draw.expovariate(kind.per_s)
        handlers = {
            "arrive": self._arrive,
            "first": self._begin,
            "leave": self._leave,
            "end": self._end,
        }
        while self._events:
            event = heapq.heappop(self._events)
            handlers[event.name](event.run, event.at)
        return self._tallies

    def _schedule(self, at: float, name: str, run: _Run) -> None:
        self._number += 1
        heapq.heappush(self._events, _Event(at, self._number, name, run))

    def _demand(self, kind: Kind) -> endpoint_records.Demand:
        kinds = self._trial.kinds
        shortest_s = min(one.pause_s for one in kinds)
        asked = [(one, one.per_s * one.prompt_tokens) for one in kinds]
        long = sum(rate for one, rate in asked if one.pause_s > shortest_s)
        total = sum(rate for _, rate in asked)
        return endpoint_records.Demand(
            SERVICE,
            (),
            kind.prompt_tokens,
            ZONE,
            True,
            False,
            urgency=kind.tier * endpoint_loads.WORKSPACE_TIERS,
            shortest_pause_s=shortest_s,
            pause_s=kind.pause_s,
            tokens_per_event=5,
            profile=PROFILE,
            prefill_rates=prefill_demand.PrefillRates(total - long, long),
            peer_prefill_per_s=total,
        )

    def _arrive(self, run: _Run, now: float) -> None:
        tally = self._tallies[run.kind.name]
        tally.asked += 1
        choice = endpoint_choice.choose(
            self._records, run.demand, now, self._draw
        )
        assert choice is not None
        if self._is_shed(run, choice, now):
            tally.refused += 1
            return
        run.choice = choice
        choice.record.loads.add(run.key, 1, choice.prefill_tokens)
        choice.record.record_sent(choice.prefill_tokens, now)
        self._schedule(run.arrived_at + run.kind.deadline_s, "leave", run)
        self._start(
            self._engines[choice.record.id].enter(run, self._number), now
        )

    def _is_shed(
        self, run: _Run, choice: endpoint_choice.Choice, now: float
    ) -> bool:
        """Returns whether a request is refused, as boxes refuse."""
        if any(
            record.loads.running_below(run.demand.urgency, now)
            for record in self._records
        ):
            return False
        forecast = load_shedding.AdmissionForecast(
            choice.predicted_s, run.kind.target_s, False, choice.busy
        )
        return load_shedding.retry_after_s(forecast) is not None

    def _start(self, runs: list[_Run], now: float) -> None:
        for run in runs:
            assert run.choice is not None
            read_s = PROFILE.prefill_s(run.choice.prefill_tokens)
            self._schedule(now + read_s, "first", run)

    def _begin(self, run: _Run, now: float) -> None:
        assert run.choice is not None
        hold_s = self._draw.expovariate(1.0 / run.kind.hold_s)
        self._schedule(now + hold_s, "end", run)
        if run.is_over:
            return
        run.first_at = now
        self._tallies[run.kind.name].begun += 1
        run.choice.record.loads.add(run.key, 0, -run.choice.prefill_tokens)

    def _leave(self, run: _Run, now: float) -> None:
        """Handles a client that leaves before its first event."""
        if run.first_at is not None:
            return
        assert run.choice is not None
        run.is_over = True
        self._tallies[run.kind.name].left += 1
        run.choice.record.loads.add(run.key, -1, -run.choice.prefill_tokens)

    def _end(self, run: _Run, now: float) -> None:
        assert run.choice is not None
        record = run.choice.record
        if run.first_at is not None:
            record.loads.add(run.key, -1, 0)
            record.hold_s.add(now - run.first_at)
        self._start(self._engines[record.id].free(), now)
