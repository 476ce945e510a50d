"""This box's part in the loads of a large fleet."""

from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import load_sums
from martenjunction.decisions.boxes import prefill_demand
from martenjunction.routing.endpoints import endpoint_registry

# Name under which the loads of all other boxes are counted.
FLEET = "fleet"


class FleetLoads:
    """Takes the load of this box from the registry, and puts in the others'."""

    def __init__(
        self, registry: endpoint_registry.EndpointRegistry, priority: int
    ) -> None:
        """Initializes the loads.

        Args:
            registry: The endpoints.
            priority: Priority of this box's estimates; see `load_sums`.
        """
        self._reports = registry.reports
        self._table = registry.table
        self._priority = priority
        self._own = load_sums.LoadSums()

    def take(self, now: float) -> load_sums.LoadSums:
        """Returns the load of this box alone, to be told."""
        own = load_sums.LoadSums()
        for (
            endpoint_id,
            urgency,
            is_long,
            running,
            unread,
        ) in self._reports.loads():
            key = endpoint_loads.LoadKey(urgency, is_long)
            row = load_sums.endpoint_key(endpoint_id), key
            own.loads[row] = endpoint_loads.Load(running, unread)
        for record in self._table.records.values():
            rate = record.sent_per_s(now)
            if rate >= 1.0:
                own.sent_per_s[load_sums.endpoint_key(record.id)] = rate
        for endpoint_id, ended, failed in self._reports.outcome_rows(now):
            key_number = load_sums.endpoint_key(endpoint_id)
            own.outcomes[key_number] = ended, failed
        for (
            name,
            rate,
            token_us,
            short,
            long,
        ) in self._table.engines.rows(now):
            own.demand[name] = prefill_demand.PrefillRates(short, long)
            if rate or token_us:
                own.estimates[name] = [
                    load_sums.Estimate(self._priority, rate, token_us)
                ]
        self._own = own
        return own

    def apply(self, total: load_sums.LoadSums, now: float) -> None:
        """Applies a total as the load of the other boxes.

        Args:
            total: A total that covers what `take` last returned.
            now: The current time.
        """
        others = total.without(self._own)
        records = self._table.records
        ids = {load_sums.endpoint_key(i): i for i in records}
        rows = [
            (
                ids[number],
                key.urgency,
                key.is_long,
                load.running,
                load.backlog_tokens,
            )
            for (number, key), load in others.loads.items()
            if number in ids
        ]
        self._reports.update_peer_loads(FLEET, rows, now)
        for number, endpoint_id in ids.items():
            records[endpoint_id].update_fleet_rate(
                others.sent_per_s.get(number, 0.0), now
            )
        outcomes = [
            (ids[number], ended, failed)
            for number, (ended, failed) in others.outcomes.items()
            if number in ids
        ]
        self._reports.update_peer_outcomes(FLEET, outcomes, now)
        self._apply_engines(others, now)

    def _apply_engines(self, others: load_sums.LoadSums, now: float) -> None:
        engines = self._table.engines
        for name, rates in others.demand.items():
            row = (name, 0, 0, round(rates.short), round(rates.long))
            engines.update_peer(FLEET, [row], now)
        for name, drawn in others.estimates.items():
            for number, estimate in enumerate(drawn):
                if estimate.priority != self._priority:
                    engines.update_estimate(
                        f"{FLEET}-{number}", name, estimate.as_profile(), now
                    )
