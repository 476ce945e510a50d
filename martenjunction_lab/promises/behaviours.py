"""What stand-ins do to boxes, as one typed description, and who applies it.

`endpoint_behaviours`, `other_behaviours` and `silent_links` fill the registry.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import enum
import time

from martenjunction_lab.promises import events
from martenjunction_lab.promises import fleet


class Part(enum.StrEnum):
    """What behaves."""

    ENDPOINT = "endpoint"
    STORE = "store"
    CLIENTS = "clients"
    BOX = "box"
    OPERATOR = "operator"
    ALL = "all"


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """What one part does for a while.

    Attributes:
        kind: Name of its kind.
        at_s: Seconds after the first request at which it begins.
        for_s: Seconds for which it goes on.
        share: Part of the requests or calls that meet it, where it is not all.
        strength: How strong it is, in the unit of its kind.
        on: Name of the box; for an endpoint, its service and its rank by
            requests so far, as `fleet.ranked_names` has them; name of the part
            for the others.
    """

    kind: str
    at_s: float
    for_s: float
    share: float = 1.0
    strength: float = 1.0
    on: str = ""


Applied = contextlib.AbstractAsyncContextManager[None]
Applier = Callable[[fleet.PairFleet, Behaviour], AsyncIterator[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of behaviour.

    Attributes:
        name: Its name.
        part: What behaves so.
        apply: Returns a context within which a fleet behaves so.
        for_s: Shortest and longest time that is drawn, in seconds.
        share: Smallest and largest share that is drawn.
        strength: Smallest and largest strength that is drawn.
        event: What is recorded of it.
    """

    name: str
    part: Part
    apply: Callable[[fleet.PairFleet, Behaviour], Applied]
    for_s: tuple[float, float]
    share: tuple[float, float]
    strength: tuple[float, float]
    event: type[events.Disturbance] = events.Disturbance


KINDS: dict[str, Kind] = {}


def applies(
    name: str,
    part: Part,
    for_s: tuple[float, float] = (1.0, 2.5),
    share: tuple[float, float] = (1.0, 1.0),
    strength: tuple[float, float] = (1.0, 1.0),
    event: type[events.Disturbance] = events.Disturbance,
) -> Callable[[Applier], Applier]:
    """Registers a function that behaves before its `yield`, and ends it after.

    Args:
        name: Name of the kind.
        part: What behaves so.
        for_s: Shortest and longest time that is drawn, in seconds.
        share: Smallest and largest share that is drawn.
        strength: Smallest and largest strength that is drawn.
        event: What is recorded of it.
    """

    def register(applier: Applier) -> Applier:
        KINDS[name] = Kind(
            name,
            part,
            contextlib.asynccontextmanager(applier),
            for_s,
            share,
            strength,
            event,
        )
        return applier

    return register


def affected(played: fleet.PairFleet, behaviour: Behaviour) -> set[str]:
    """Returns the names under which a behaviour's part appears in events now.

    Args:
        played: The fleet.
        behaviour: The behaviour.
    """
    part = KINDS[behaviour.kind].part
    if part is Part.ENDPOINT:
        return {played.endpoint(behaviour.on).name}
    if part is Part.ALL:
        return {*fleet.box_names(), *(one.name for one in played.made)}
    return {behaviour.on}


def record(
    played: fleet.PairFleet,
    behaviour: Behaviour,
    began: float,
    parts: set[str],
) -> None:
    """Records a disturbance that ends now.

    Args:
        played: The fleet.
        behaviour: What was played.
        began: When it began.
        parts: Names of what was disturbed.
    """
    made = KINDS[behaviour.kind].event
    for part in sorted(parts):
        played.history.add(made(began, time.monotonic(), behaviour.kind, part))
