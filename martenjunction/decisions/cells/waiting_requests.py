"""The requests that wait in one cell: a queue a tier, and the tiers' shares."""

from collections.abc import Iterator

from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import queues
from martenjunction.decisions.cells import tiers


class WaitingRequests:
    """Queues of all tiers, the highest first."""

    def __init__(self, sharing: tiers.TierSettings) -> None:
        """Makes empty queues.

        Args:
            sharing: How places are shared between tiers.
        """
        self._queues = {tier: queues.TierQueue() for tier in tiers.TIERS}
        self._shares = tiers.TierShares(sharing)

    @property
    def counted(self) -> int:
        """Waiting requests but for the oldest one of each tier."""
        return sum(max(0, len(queue) - 1) for queue in self._queues.values())

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def __iter__(self) -> Iterator[asks.Ask]:
        for queue in self._queues.values():
            yield from queue

    def of_tier(self, tier: int) -> queues.TierQueue:
        """Returns the queue of a tier."""
        return self._queues[tier]

    def up_to(self, tier: int) -> int:
        """Returns how many requests of a tier and of higher ones wait."""
        return sum(len(queue) for t, queue in self._queues.items() if t <= tier)

    def push(self, ask: asks.Ask, now: float) -> None:
        """Adds a request to the queue of its tier."""
        self._queues[ask.tier].push(ask)
        self._shares.waiting(ask.tier, now)

    def remove(self, request_id: str) -> bool:
        """Takes a request out; returns whether it was waiting."""
        return any(
            queue.remove(request_id) is not None
            for queue in self._queues.values()
        )

    def take_newest_of_lowest(self) -> asks.Ask | None:
        """Takes the newest request of the lowest tier out, or returns None.

        The oldest waiting request of each tier stays, so that a full cell
        still holds one of every tier.
        """
        tier = max(t for t, queue in self._queues.items() if len(queue) > 1)
        newest = self._queues[tier].newest()
        if newest is not None:
            self._queues[tier].remove(newest.request_id)
        return newest

    def tiers(self) -> list[int]:
        """Returns the tiers with waiting requests; the others save up nothing.

        A tier of which nothing waits loses its claim on a place.
        """
        present = []
        for tier, queue in self._queues.items():
            if len(queue):
                present.append(tier)
            else:
                self._shares.idle(tier)
        return present

    def due(self, present: list[int], now: float) -> int | None:
        """Returns the lower tier whose share says that it is next, if any.

        Args:
            present: Tiers with waiting requests, the highest first.
            now: The current time.
        """
        return self._shares.due(present, now)

    def take(
        self, tier: int, present: list[int], now: float, lead: float
    ) -> asks.Ask | None:
        """Takes the next request of a tier out and books it on the shares.

        Args:
            tier: The tier that gets a place.
            present: Tiers with waiting requests, this one among them.
            now: The current time.
            lead: Seconds that a first token takes.
        """
        ask = self._queues[tier].pop(now, lead)
        if ask is not None:
            self._shares.granted(tier, ask.cost, present, now)
        return ask
