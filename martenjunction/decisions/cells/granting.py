"""Grants free slots to waiting requests in order of priority."""

from collections.abc import Iterator
import dataclasses

from martenjunction.decisions.cells import cell_state
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import placement
from martenjunction.decisions.cells import reserve


class Granting:
    """Grants the slots of one cell."""

    def __init__(self, cell: cell_state.CellState, reserved: float) -> None:
        """Initializes the granter.

        Args:
            cell: The cell.
            reserved: Fraction of its slots reserved for higher tiers, 0 to 1.
        """
        self._cell = cell
        self._reserve = reserve.Reserve(reserved)
        self._by_share = False

    def record_arrival(self, tier: int, now: float) -> None:
        """Records the arrival of a request of a tier."""
        self._reserve.record_arrival(tier, now)

    def grants(self, now: float) -> Iterator[dispatch_types.Grant]:
        """Yields grants until no waiting request can be granted."""
        deferred: list[dispatch_types.SlotRequest] = []
        places = self._cell.endpoints.places
        while True:
            free = places.open()
            ask = self._next_ask(free, now)
            if ask is None:
                break
            chosen = self._choose(ask, free, now)
            if chosen is None:
                deferred.append(ask)
                continue
            yield self.grant(ask, chosen[0], chosen[1], now)
        for ask in deferred:
            self._cell.waiting.push(ask, now)

    def grant(
        self,
        ask: dispatch_types.SlotRequest,
        endpoint: placement.Endpoint,
        predicted: float,
        now: float,
    ) -> dispatch_types.Grant:
        """Grants a request a slot.

        Args:
            ask: The request.
            endpoint: The endpoint.
            predicted: Predicted seconds to the first token.
            now: The current time.
        """
        run = dispatch_types.Run(
            ask,
            endpoint.name,
            now,
            predicted,
            uncached=endpoint.uncached(ask),
            batch=endpoint.busy,
            guaranteed=self._by_share,
        )
        self._cell.add_run(run, now)
        self._cell.pace.granted(ask.tier, now)
        self._cell.counts.granted += 1
        return dispatch_types.Grant(
            ask.request_id, ask.entry, endpoint.name, predicted
        )

    def _next_ask(
        self, free: list[placement.Endpoint], now: float
    ) -> dispatch_types.SlotRequest | None:
        if not free:
            return None
        waiting = self._cell.waiting
        present = waiting.tiers()
        if not present:
            return None
        due = waiting.due(present, now)
        self._by_share = due is not None
        tier = present[0] if due is None else due
        places = self._cell.endpoints.places
        if due is None and not self._reserve.allows(tier, places, now):
            return None
        return waiting.take(tier, present, now, self._cell.pace.lead)

    def _choose(
        self,
        ask: dispatch_types.SlotRequest,
        free: list[placement.Endpoint],
        now: float,
    ) -> tuple[placement.Endpoint, float] | None:
        use = self._cell.endpoints.places.use
        chosen = placement.choose(ask, free, use, now)
        if chosen is None and not self._cell.endpoints.has_routing_outside(
            ask.avoid
        ):
            retried = dataclasses.replace(ask, avoid=frozenset())
            chosen = placement.choose(retried, free, use, now)
        return chosen
