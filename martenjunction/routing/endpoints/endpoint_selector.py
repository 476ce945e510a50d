"""Selects endpoints for requests."""

import random
from typing import Any

from martenjunction import model
from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.endpoints import endpoint_table


def describe(choice: endpoint_choice.Choice) -> dict[str, Any]:
    """Returns the inputs of an endpoint selection, for the log."""
    return {
        "endpoint": choice.record.id,
        "predicted_ms": round(choice.predicted_s * 1000, 1),
        "unread": choice.prefill_tokens,
        "running": choice.running,
        "ahead": choice.tokens_ahead,
        "debt": choice.debt,
        "short": choice.short_running,
        "hold_ms": round(choice.record.hold_s.value * 1000, 1),
        "slowness": round(choice.record.slowness.value, 2),
        "failing": round(choice.failure_part, 2),
    }


class EndpointSelector:
    """Selects one endpoint per request."""

    def __init__(
        self, table: endpoint_table.EndpointTable, rng: random.Random
    ) -> None:
        """Initializes the selector.

        Args:
            table: The endpoints.
            rng: Breaks ties.
        """
        self._table = table
        self._listed = table.listed
        self._limits = table.limits
        self._brittle = table.brittle
        self._rng = rng

    def choose(
        self,
        service: model.Service,
        demand: endpoint_records.Demand,
        avoid: set[str],
        now: float,
        apart: bool = False,
    ) -> tuple[model.Endpoint, endpoint_choice.Choice] | None:
        """Selects an endpoint for a request.

        Args:
            service: The service.
            demand: The resources that the request needs.
            avoid: Ids of endpoints to exclude.
            now: The current time.
            apart: Whether to prefer the endpoint with the fewest in-flight
                requests.

        Returns:
            The endpoint and the selection data, or None if no endpoint is
            available.
        """
        endpoints = {
            endpoint.id: endpoint
            for endpoint in self._listed.ready(service.name)
            if endpoint.id not in avoid
            and self._limits.is_open(endpoint.id, now)
            and self._brittle.is_open(endpoint.id, now)
        }
        records = [self._table.record(e, service) for e in endpoints.values()]
        choice = endpoint_choice.choose(records, demand, now, self._rng, apart)
        if choice is None:
            return None
        return endpoints[choice.record.id], choice

    def evaluate(
        self,
        endpoint: model.Endpoint,
        service: model.Service,
        demand: endpoint_records.Demand,
        now: float,
    ) -> endpoint_choice.Choice:
        """Returns the prediction for a request at a given endpoint."""
        record = self._table.record(endpoint, service)
        return endpoint_choice.evaluate(record, demand, False, now)

    def other_versions(self, service: str, version: str | None) -> set[str]:
        """Returns the ids of a service's endpoints of other software versions.

        Args:
            service: The service.
            version: The software version; None for any.
        """
        if version is None:
            return set()
        return {
            endpoint.id
            for endpoint in self._listed.ready(service)
            if endpoint.version != version
        }

    def opens_in_s(self, service: model.Service, now: float) -> float | None:
        """Returns when the first endpoint of a service accepts work again.

        Args:
            service: The service.
            now: The current time.

        Returns:
            Seconds from now, with random jitter added; None if an endpoint
            accepts work now or none is known.
        """
        times = [
            max(
                record.refusals.opens_in_s(record.loads.own_running, now),
                self._limits.opens_in_s(record.id, now),
                self._brittle.opens_in_s(record.id, now),
            )
            for record in (
                self._table.record(endpoint, service)
                for endpoint in self._listed.ready(service.name)
            )
        ]
        first_s = min(times, default=0.0)
        if not first_s:
            return None
        # Without jitter, clients refused together would retry together.
        return first_s + self._rng.uniform(
            0.0, endpoint_refusals.RAMP_UP_STEP_S
        )

    def limited(self, service: str) -> bool:
        """Returns whether any endpoint of a service announces a rate limit."""
        return any(
            self._limits.per_s(endpoint.id) is not None
            for endpoint in self._listed.ready(service)
        )

    def is_brittle(self, service: str) -> bool:
        """Returns whether endpoints of a service crash when they reject."""
        return any(
            self._brittle.per_s(endpoint.id) is not None
            for endpoint in self._listed.ready(service)
        )

    def place_opens_in_s(self, service: str, now: float) -> float:
        """Returns the seconds until a place may be asked for; 0 for now."""
        return min(
            (
                self._brittle.opens_in_s(endpoint.id, now)
                for endpoint in self._listed.ready(service)
            ),
            default=0.0,
        )

    def serves_lower_tiers(
        self, service: model.Service, urgency: int, now: float
    ) -> bool:
        """Returns whether lower-tier requests are running at a service.

        Args:
            service: The service.
            urgency: The urgency to compare with.
            now: The current time.
        """
        return any(
            self._table.record(endpoint, service).loads.running_below(
                urgency, now
            )
            for endpoint in self._listed.ready(service.name)
        )
