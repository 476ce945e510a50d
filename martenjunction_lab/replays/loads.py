"""Loads that are replayed, by name."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import random

from martenjunction import registry
from martenjunction_lab.replays import engines

SEED = 21

# Part of the target after which an impatient client leaves.
PATIENCE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Requests of one kind.

    Attributes:
        name: Names it.
        urgency: Its rank; 0 is served first.
        per_s: Requests in a second.
        shared_tokens: Tokens of the part that requests on a subject share.
        subjects: How many subjects there are.
        stem_tokens: Tokens of the part before it, which many subjects share.
        stems: How many such parts there are.
        own_tokens: Tokens of a prompt's own part, in the mean.
        events: Events of an answer, in the mean.
        target_s: Seconds to a first event.
        pause_s: Longest pause between events.
        worth: What an answer in time is worth.
    """

    name: str
    urgency: int
    per_s: float
    shared_tokens: int
    subjects: int
    own_tokens: float
    events: float
    target_s: float
    pause_s: float
    worth: float
    stem_tokens: int = 0
    stems: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Some seconds in which more requests of a kind come."""

    kind: str
    begins_s: float
    ends_s: float
    times: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What comes, and at which engines.

    Attributes:
        engine_kind: What the engines are like.
        engines: How many there are.
        kinds: The requests.
        bursts: When more of them come.
        lost: Seconds at which an engine is lost, for good.
        leaving: Seconds at which some engines say that they leave, and how many
            do; they are gone `notice_s` later.
        notice_s: Seconds between the two.
        joining: Seconds at which some new engines are ready, and how many are;
            they hold nothing.
        warm_s: Seconds at the start, while engines hold nothing, whose requests
            do not count.
        length_s: How long requests come.
        boxes: Boxes that decide, each for its part of the requests.
        sums_s: Seconds between two totals of all boxes' loads, as in a large
            fleet; None where each box tells each other one.
        impatient: Part of the clients that leave when no event has come in
            `PATIENCE` of the target, and ask again at once.
        returns: Whether refused clients come back, once, when they are told to.
        seed: Draws the requests.
    """

    engine_kind: engines.EngineKind
    engines: int
    kinds: tuple[Kind, ...]
    bursts: tuple[Burst, ...] = ()
    lost: tuple[float, ...] = ()
    leaving: tuple[tuple[float, int], ...] = ()
    notice_s: float = 2.0
    joining: tuple[tuple[float, int], ...] = ()
    warm_s: float = 5.0
    length_s: float = 20.0
    boxes: int = 4
    sums_s: float | None = None
    impatient: float = 0.0
    returns: bool = False
    seed: int = SEED


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request.

    Attributes:
        at_s: When it comes.
        kind: Its kind.
        shared: The parts that it shares with others, with their tokens.
        own_tokens: Tokens of its own part.
        events: Events of its answer.
        impatient: Whether its client leaves early, and asks again.
    """

    at_s: float
    kind: Kind
    shared: tuple[tuple[str, int], ...]
    own_tokens: int
    events: int
    impatient: bool = False


DRAFT = Kind("draft", 2, 8.0, 3_780, 74, 2_890, 17, 0.6, 0.3, 3.6)
SHORT = Kind("short", 0, 16.0, 198, 40, 628, 97, 0.6, 0.2, 1.7)

loads: registry.Registry[Callable[[], Load]] = registry.Registry("load")


@loads.register("drafts-burst")
def drafts_burst() -> Load:
    """Long prompts come twice as often beside streams that may not pause."""
    return Load(
        engines.SECOND,
        5,
        (DRAFT, SHORT),
        (Burst("draft", 6.0, 15.0, 2.1),),
    )


@loads.register("engine-lost")
def engine_lost() -> Load:
    """The same, and two of five engines are lost."""
    return dataclasses.replace(drafts_burst(), lost=(7.0, 10.0))


@loads.register("streams-that-read-little")
def streams_that_read_little() -> Load:
    """Many streams run that ask for little, while long prompts burst."""
    short = dataclasses.replace(SHORT, per_s=8.0, events=170, own_tokens=300.0)
    return Load(
        engines.SECOND, 5, (DRAFT, short), (Burst("draft", 6.0, 15.0, 3.0),)
    )


@loads.register("first-engines")
def first_engines() -> Load:
    """Streams that stay in time beside prompts, on faster engines."""
    return Load(
        engines.FIRST,
        5,
        (DRAFT, dataclasses.replace(SHORT, pause_s=0.25)),
        (Burst("draft", 6.0, 15.0, 2.1),),
    )


SUMMARY = Kind("summary", 4, 121.0, 6_300, 1269, 2_890, 9, 1.2, 1.0, 1.4)
DIGEST = Kind("digest", 2, 75.0, 568, 1176, 1_800, 4, 0.4, 0.4, 1.1)
CHAT = Kind("chat", 0, 46.0, 172, 486, 543, 47, 0.25, 0.25, 5.3)


@loads.register("many-boxes")
def many_boxes() -> Load:
    """Summaries burst at 50 engines, for which 195 boxes decide."""
    return Load(
        dataclasses.replace(engines.FIRST, slots=32),
        50,
        (SUMMARY, DIGEST, CHAT),
        (Burst("summary", 5.0, 8.0, 2.0),),
        warm_s=3.0,
        length_s=8.0,
        boxes=195,
        sums_s=0.4,
    )


SHIFTED_SUMMARY = Kind("summary", 4, 54.0, 6_300, 390, 2_890, 7, 1.5, 1.2, 1.4)
SHIFTED_DIGEST = Kind("digest", 2, 36.0, 568, 550, 1_800, 3, 0.5, 0.5, 1.1)
SHIFTED_CHAT = Kind("chat", 0, 16.0, 172, 180, 543, 40, 0.3, 0.3, 5.0)
STEMMED_SUMMARY = dataclasses.replace(
    SHIFTED_SUMMARY, shared_tokens=3_780, stem_tokens=2_520, stems=4
)
SHIFTED_ENGINE = engines.EngineKind(64, 0.0031, 0.0001, 56_900.0, 2_048, 7)


@loads.register("zone-leaves-in-a-burst")
def zone_leaves_in_a_burst() -> Load:
    """A third of the engines leave soon, in a burst of long prompts."""
    return Load(
        SHIFTED_ENGINE,
        15,
        (SHIFTED_SUMMARY, SHIFTED_DIGEST, SHIFTED_CHAT),
        (Burst("summary", 6.0, 15.0, 2.6),),
        leaving=((9.0, 5),),
        length_s=18.0,
        boxes=12,
    )


@loads.register("chats-after-summaries")
def chats_after_summaries() -> Load:
    """Long prompts come three times as often, and short chats burst after."""
    return Load(
        SHIFTED_ENGINE,
        10,
        (SHIFTED_SUMMARY, SHIFTED_DIGEST, SHIFTED_CHAT),
        (Burst("summary", 5.0, 11.0, 3.0), Burst("chat", 10.0, 16.0, 2.5)),
        length_s=18.0,
        boxes=12,
    )


@loads.register("few-subjects")
def few_subjects() -> Load:
    """One workspace asks six times as much, about few subjects."""
    crowd = dataclasses.replace(
        SHIFTED_SUMMARY, name="crowd", per_s=12.0, subjects=3
    )
    return Load(
        SHIFTED_ENGINE,
        10,
        (SHIFTED_SUMMARY, SHIFTED_DIGEST, SHIFTED_CHAT, crowd),
        (Burst("crowd", 6.0, 13.0, 6.0),),
        length_s=18.0,
        boxes=12,
    )


@loads.register("engines-join-in-a-burst")
def engines_join_in_a_burst() -> Load:
    """Over half of the engines leave in a burst, and empty ones come.

    Many boxes decide by the same totals, which are old.
    """
    return Load(
        SHIFTED_ENGINE,
        12,
        (STEMMED_SUMMARY, SHIFTED_DIGEST, SHIFTED_CHAT),
        (Burst("summary", 5.0, 13.0, 1.6),),
        leaving=((6.0, 4), (7.3, 3)),
        joining=((11.0, 3), (13.0, 3)),
        length_s=15.0,
        boxes=44,
        sums_s=0.4,
    )


@loads.register("clients-leave-and-repeat")
def clients_leave_and_repeat() -> Load:
    """A third of the clients leave early and ask again, in a burst.

    Refused clients come back when they are told to.
    """
    return dataclasses.replace(
        chats_after_summaries(), impatient=0.35, returns=True
    )


def arrivals(load: Load) -> Iterator[Arrival]:
    """Draws the requests of a load; the same ones each time."""
    rng = random.Random(load.seed)
    drawn = []
    for kind in load.kinds:
        at_s = 0.0
        while True:
            times = [
                burst.times
                for burst in load.bursts
                if burst.kind == kind.name
                and burst.begins_s <= at_s < burst.ends_s
            ]
            at_s += rng.expovariate(kind.per_s * max(times, default=1.0))
            if at_s > load.length_s:
                break
            drawn.append(
                Arrival(
                    at_s,
                    kind,
                    _shared_parts(kind, rng.randrange(kind.subjects)),
                    _spread(rng, kind.own_tokens),
                    _spread(rng, kind.events),
                    bool(load.impatient) and rng.random() < load.impatient,
                )
            )
    return iter(sorted(drawn, key=lambda arrival: arrival.at_s))


def _shared_parts(kind: Kind, subject: int) -> tuple[tuple[str, int], ...]:
    """Returns the stem of a subject, if there is one, and the subject."""
    part = f"{kind.name}-{subject}", kind.shared_tokens
    if not kind.stem_tokens:
        return (part,)
    stem = f"{kind.name}-stem-{subject % kind.stems}", kind.stem_tokens
    return stem, part


def _spread(rng: random.Random, mean: float) -> int:
    """Draws a length: half of them below 0.7 of the mean, some far above."""
    return max(1, round(mean * min(5.0, rng.lognormvariate(-0.32, 0.8))))
