"""The duties of the fleet, as one part of a box's daemon."""

from collections.abc import Callable
import random
import time
from typing import Any

from martenjunction import events
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.duties import lease
from martenjunction.decisions.duties import true_time
from martenjunction.decisions.duties import usage_counts
from martenjunction.duties import duty
from martenjunction.duties import duty_sync
from martenjunction.duties import holder
from martenjunction.duties import scaling_duty  # noqa: F401
from martenjunction.duties import usage_duty  # noqa: F401
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.platform import box_settings
from martenjunction.platform import duty_calls
from martenjunction.platform import store
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.log import decision_log


class NoDuties:
    """Stands for the duties on a deployment that has none."""

    def start(self, emitter: events.Events) -> None:
        """Does nothing."""

    async def leave(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def record_run(self, workspace: str | None) -> None:
        """Does nothing."""

    def dump(self) -> dict[str, Any]:
        """Returns nothing."""
        return {}

    def counters(self) -> dict[str, float]:
        """Returns no metrics."""
        return {}


class FleetDuties:
    """Counts usage, and performs the duties if this box holds them."""

    def __init__(
        self,
        settings: box_settings.DutySettings,
        members: membership.Membership,
        place: fleet_overlay.FleetOverlay,
        rank: Callable[[], int],
        peers: hub.PeerHub,
        client: store.StoreClient,
        config: Callable[[], model.RoutingConfig | None],
        registry: endpoint_registry.EndpointRegistry,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Initializes the duties; `start` starts them.

        Args:
            settings: The duties of the deployment.
            members: The boxes of the fleet.
            place: The place of this box in the trees.
            rank: Returns the order in which this box takes the duties over.
            peers: Connections to the other boxes.
            client: The store's client.
            config: Returns the configuration in force, or None.
            registry: The endpoints.
            clock: The clock and timers.
            log: Receives what is decided.
            rng: Random source for jitter.
            wall_clock: Returns the time of day of this box.
        """
        own = members.own
        now = clock.now()
        self._timers = clock
        self._calls = duty_calls.DutyCalls(settings.address)
        self._lease = lease.DutyLease(
            own.box,
            own.incarnation,
            settings.no_return_s + lease.LEASE_MARGIN_S,
            now,
        )
        wall = true_time.TrueTime(wall_clock(), now)
        self._counts = usage_counts.UsageCounts(
            usage_counts.source_key(own.box, own.incarnation)
        )
        parts = duty.Parts(
            settings,
            self._counts,
            self._calls,
            wall.at,
            config,
            registry.table,
            log,
            rng,
        )
        performed = [
            duty.builders.get(kind)(parts)
            for kind in box_settings.Duty
            if kind in settings.kinds
        ]
        self._holder = holder.DutyHolder(
            own.box,
            self._lease,
            client,
            performed,
            settings.window_s,
            rank,
            clock,
            log,
        )
        self._sync = duty_sync.DutySync(
            self._holder,
            self._lease,
            self._counts,
            wall,
            settings.window_s,
            place,
            peers,
            clock,
            wall_clock,
        )

    def start(self, emitter: events.Events) -> None:
        """Starts counting, and looking whether duties are to be taken.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._sync.start(emitter)
        self._holder.start()

    async def leave(self) -> None:
        """Gives the duties up, as this box is being stopped."""
        await self._holder.leave()

    async def stop(self) -> None:
        """Stops at once."""
        await self._holder.stop()
        self._calls.close()

    def record_run(self, workspace: str | None) -> None:
        """Counts a request that began to run.

        Args:
            workspace: Its workspace; None for a request without any.
        """
        if workspace is not None:
            window = self._sync.current_window(self._timers.now())
            self._counts.record(workspace, window)

    def dump(self) -> dict[str, Any]:
        """Returns the state of the duties, for diagnostics."""
        return {**self._holder.dump(), "calls": self._calls.counts}

    def counters(self) -> dict[str, float]:
        """Returns the metrics of the duties."""
        totals = {"reported": 0, "late": 0, "unknown_outcome": 0, "given_up": 0}
        for performed in self._holder.dump()["performed"]:
            for name in totals:
                totals[name] += performed.get(name, 0)
        return {
            "duties_held": float(self._lease.holds),
            "duty_takeovers": float(self._holder.takeovers),
            "duty_calls": float(sum(self._calls.counts.values())),
            "usage_windows_reported": float(totals["reported"]),
            "usage_windows_late": float(totals["late"]),
            "usage_unknown_outcome": float(totals["unknown_outcome"]),
            "usage_windows_given_up": float(totals["given_up"]),
        }


def build(
    settings: box_settings.DutySettings | None, *parts: Any
) -> FleetDuties | NoDuties:
    """Returns the duties of a deployment, which may have none.

    Args:
        settings: Its duties, or None.
        parts: The other arguments of `FleetDuties`.
    """
    if settings is None:
        return NoDuties()
    return FleetDuties(settings, *parts)
