"""Orders engines from the platform."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import msgspec

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions.duties import engine_orders
from martenjunction.duties import duty
from martenjunction.duties import record
from martenjunction.platform import box_settings
from martenjunction.platform import duty_calls
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.log import decision_log

# Seconds after taking the duties over before the first order, in which the
# other boxes' loads and the list of endpoints arrive.
SETTLE_S = 0.5

# Seconds before an order without a known outcome is repeated.
REPEAT_S = 1.0

# Number of orders that the dump shows.
SHOWN_ORDERS = 8


class ScalingDuty:
    """Plans orders, records them, and sends them."""

    def __init__(
        self,
        config: Callable[[], model.RoutingConfig | None],
        table: endpoint_table.EndpointTable,
        calls: duty_calls.DutyCalls,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the duty.

        Args:
            config: Returns the configuration in force, or None.
            table: The endpoints, their loads, and the demand.
            calls: Makes the orders.
            log: Receives a line for each order.
        """
        self._config = config
        self._table = table
        self._calls = calls
        self._log = log
        self._planners: dict[str, engine_orders.OrderPlanner] = {}
        self._began_at = 0.0
        self._orders: tuple[record.Order, ...] = ()
        self._due: dict[record.Order, float] = {}
        self._recent: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=SHOWN_ORDERS
        )
        self._sent = 0
        self._unavailable = 0
        self._unknown = 0

    def begin(self, held: record.DutyRecord, now: float) -> None:
        """Starts from the orders of former holders.

        They may not have been sent, so they are sent again.
        """
        self._began_at = now
        self._planners.clear()
        self._orders = held.orders
        self._due = dict.fromkeys(held.orders, now)

    def prepare(self, held: record.DutyRecord, now: float) -> record.DutyRecord:
        """Records the orders that change."""
        config = self._config()
        if config is None or now - self._began_at < SETTLE_S:
            return held
        changed: list[record.Order] = []
        for service in config.services.values():
            if service.scaling is not None and service.engine is not None:
                changed += self._plan(service, service.scaling, held, now)
        if not changed:
            return held
        orders = {_key(order): order for order in (*held.orders, *changed)}
        return msgspec.structs.replace(held, orders=tuple(orders.values()))

    def calls(self, held: record.DutyRecord, now: float) -> list[duty.Call]:
        """Returns the orders that are due."""
        self._orders = held.orders
        return [
            self._call(order)
            for order in held.orders
            if now >= self._due.get(order, now + 1.0)
        ]

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state of the duty, for diagnostics."""
        return {
            "orders": [msgspec.structs.asdict(o) for o in self._orders],
            "needed": {n: p.need for n, p in self._planners.items()},
            "recent": list(self._recent),
            "orders_sent": self._sent,
            "orders_unavailable": self._unavailable,
            "orders_unknown_outcome": self._unknown,
        }

    def _plan(
        self,
        service: model.Service,
        scaling: model.Scaling,
        held: record.DutyRecord,
        now: float,
    ) -> list[record.Order]:
        """Returns the orders of a service that change, and makes them due."""
        planner = self._planners.get(service.name)
        if planner is None:
            planner = self._planners[service.name] = engine_orders.OrderPlanner(
                {
                    engine_orders.Subject(o.zone, o.reclaimable): o.count
                    for o in held.orders
                    if o.service == service.name
                },
                now,
            )
        endpoints = self._table.listed.ready(service.name)
        ready = collections.Counter(
            engine_orders.Subject(endpoint.zone, endpoint.reclaimable)
            for endpoint in endpoints
        )
        demand = self._demand(service, endpoints, now)
        changed = []
        for subject, count in planner.plan(scaling, ready, demand, now).items():
            planner.note_ordered(subject, count, now)
            order = record.Order(
                service.name, subject.zone, subject.reclaimable, count
            )
            changed.append(order)
            self._due[order] = now
            self._explain(order, planner, ready, demand)
        return changed

    def _demand(
        self,
        service: model.Service,
        endpoints: list[model.Endpoint],
        now: float,
    ) -> engine_orders.Demand:
        engines = self._table.engines
        rates = engines.prefill_demand(service.name, now)
        assert service.engine is not None
        running = sum(
            self._table.records[endpoint.id].loads.running(now)
            for endpoint in endpoints
            if endpoint.id in self._table.records
        )
        return engine_orders.Demand(
            rates.short + rates.long,
            engines.profile(service.name).prefill_tokens_per_s,
            running,
            service.engine.slots,
        )

    def _explain(
        self,
        order: record.Order,
        planner: engine_orders.OrderPlanner,
        ready: Mapping[engine_orders.Subject, int],
        demand: engine_orders.Demand,
    ) -> None:
        line = {
            **msgspec.structs.asdict(order),
            "needed": planner.need,
            "ready_regular": sum(
                n for s, n in ready.items() if not s.reclaimable
            ),
            "ready_reclaimable": sum(
                n for s, n in ready.items() if s.reclaimable
            ),
            "asked_per_s": round(demand.prefill_per_s),
            "engine_rate": round(demand.engine_rate),
            "running": demand.running,
        }
        self._recent.append(line)
        self._log.write("engines-ordered", **line)

    def _call(self, order: record.Order) -> duty.Call:
        async def make(caller: duty_calls.Credentials) -> None:
            self._sent += 1
            await self._calls.order_engines(
                caller,
                order.service,
                order.zone,
                order.count,
                order.reclaimable,
            )

        def done(error: Exception | None, now: float) -> None:
            self._note(order, error, now)

        return duty.Call(make, done)

    def _note(
        self, order: record.Order, error: Exception | None, now: float
    ) -> None:
        self._due.pop(order, None)
        if error is None:
            return
        if isinstance(error, errors.EnginesUnavailableError):
            self._unavailable += 1
            planner = self._planners.get(order.service)
            if planner is not None:
                planner.note_unavailable(
                    engine_orders.Subject(order.zone, order.reclaimable), now
                )
        elif not isinstance(error, errors.DutyRejectedError):
            self._unknown += isinstance(error, errors.PlatformUnavailableError)
            self._due[order] = now + REPEAT_S
        self._log.write(
            "order-failed", **msgspec.structs.asdict(order), why=str(error)
        )


def _key(order: record.Order) -> tuple[str, str, bool]:
    return order.service, order.zone, order.reclaimable


@duty.builders.register(box_settings.Duty.SCALING)
def build(parts: duty.Parts) -> ScalingDuty:
    """Builds the duty."""
    return ScalingDuty(parts.config, parts.endpoints, parts.calls, parts.log)
