"""The boxes whose addresses a client is given.

Answers the load pattern in which clients keep choosing boxes that serve them
worse: boxes that reach no endpoint by themselves are left out while enough
others are left to take their clients.
"""

from collections.abc import Iterable
import dataclasses
import random

# Maximum number of addresses in a resolve response.
MAX_ENTRIES = 64

# Minimum number of ready boxes in a client's own availability zone for a
# resolve response to omit other zones. One box is not enough because it may
# fail before the client resolves again.
MIN_READY_IN_ZONE = 2

# Minimum part of the ready boxes that must reach endpoints for the others to be
# left out. Fewer could not take the clients of all.
MIN_REACHING_FRACTION = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class EntryBox:
    """A box that accepts clients.

    Attributes:
        address: Its address for clients' requests.
        zone: Its availability zone.
        reaches: Whether its own connections reach endpoints.
    """

    address: str
    zone: str
    reaches: bool = True


def select(
    boxes: Iterable[EntryBox], zone: str, rng: random.Random
) -> list[str]:
    """Returns addresses for a client, those in its zone first.

    Args:
        boxes: The boxes that accept clients.
        zone: The client's availability zone.
        rng: Spreads the clients.
    """
    chosen = list(boxes)
    reaching = [box for box in chosen if box.reaches]
    if len(reaching) >= MIN_REACHING_FRACTION * len(chosen):
        chosen = reaching
    same_zone = [box for box in chosen if box.zone == zone]
    if len(same_zone) >= MIN_READY_IN_ZONE:
        chosen = same_zone
    rng.shuffle(chosen)
    chosen.sort(key=lambda box: box.zone != zone)
    return [box.address for box in chosen[:MAX_ENTRIES]]
