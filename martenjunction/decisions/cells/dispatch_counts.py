"""What a dispatcher did, counted."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Counts:
    """What a dispatcher did since it started.

    Attributes:
        granted: Places given to requests.
        shed: Requests that were shed.
        preempted: Runs that were told to give their place up.
        ejected: Endpoints that were found slow or broken.
        shed_by_tier: Requests that were shed, by tier.
    """

    granted: int = 0
    shed: int = 0
    preempted: int = 0
    ejected: int = 0
    shed_by_tier: dict[int, int] = dataclasses.field(default_factory=dict)
