"""The waiting requests of one cell: a queue per tier and tier shares."""

from collections.abc import Iterator

from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import queues
from martenjunction.decisions.cells import tiers


class WaitingRequests:
    """The queues of all tiers, highest first."""

    def __init__(self, sharing: tiers.TierSettings) -> None:
        """Initializes empty queues.

        Args:
            sharing: How slots are shared between tiers.
        """
        self._queues = {tier: queues.TierQueue() for tier in tiers.TIERS}
        self._shares = tiers.TierShares(sharing)

    @property
    def counted(self) -> int:
        """Number of waiting requests without the oldest of each tier."""
        return sum(max(0, len(queue) - 1) for queue in self._queues.values())

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[dispatch_types.SlotRequest]:
        for queue in self._queues.values():
            yield from queue

    def of_tier(self, tier: int) -> queues.TierQueue:
        """Returns the queue of a tier."""
        return self._queues[tier]

    def up_to(self, tier: int) -> int:
        """Returns the number of waiting requests of a tier and higher ones."""
        return sum(len(queue) for t, queue in self._queues.items() if t <= tier)

    def push(self, ask: dispatch_types.SlotRequest, now: float) -> None:
        """Adds a request to the queue of its tier."""
        self._queues[ask.tier].push(ask)
        self._shares.waiting(ask.tier, now)

    def remove(self, request_id: str) -> bool:
        """Removes a request; returns whether it was waiting."""
        return any(
            queue.remove(request_id) is not None
            for queue in self._queues.values()
        )

    def take_newest_of_lowest(self) -> dispatch_types.SlotRequest | None:
        """Removes and returns the newest request of the lowest tier, or None.

        The oldest waiting request of each tier is kept, so that a full cell
        still holds one of every tier.
        """
        tier = max(t for t, queue in self._queues.items() if len(queue) > 1)
        newest = self._queues[tier].newest()
        if newest is not None:
            self._queues[tier].remove(newest.request_id)
        return newest

    def tiers(self) -> list[int]:
        """Returns the tiers with waiting requests, highest first.

        Tiers without waiting requests lose their credit.
        """
        present = []
        for tier, queue in self._queues.items():
            if len(queue):
                present.append(tier)
            else:
                self._shares.idle(tier)
        return present

    def due(self, present: list[int], now: float) -> int | None:
        """Returns the lower tier that is next because of its share, or None.

        Args:
            present: Tiers with waiting requests, highest first.
            now: The current time.
        """
        return self._shares.due(present, now)

    def take(
        self, tier: int, present: list[int], now: float, lead: float
    ) -> dispatch_types.SlotRequest | None:
        """Removes the next request of a tier and updates the shares.

        Args:
            tier: The tier to grant.
            present: Tiers with waiting requests, including this one.
            now: The current time.
            lead: Expected seconds to the first token.
        """
        ask = self._queues[tier].pop(now, lead)
        if ask is not None:
            self._shares.granted(tier, ask.cost, present, now)
        return ask
