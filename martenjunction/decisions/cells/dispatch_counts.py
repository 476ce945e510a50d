"""Counters of a dispatcher's decisions."""

import dataclasses


@dataclasses.dataclass(slots=True)
class DispatchCounts:
    """Counters since the dispatcher was created.

    Attributes:
        granted: Granted slots.
        shed: Shed requests.
        preempted: Preempted runs.
        ejected: Endpoint ejections.
        shed_by_tier: Shed requests by tier.
    """

    granted: int = 0
    shed: int = 0
    preempted: int = 0
    ejected: int = 0
    shed_by_tier: dict[int, int] = dataclasses.field(default_factory=dict)
