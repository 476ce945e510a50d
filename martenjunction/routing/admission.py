"""Whether a request is taken, on which route, for whom and for how long."""

import dataclasses
import random

from martenjunction import errors
from martenjunction import model
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import key_freshness
from martenjunction.platform import headers

# Seconds without a confirmed configuration after which an unknown path or key
# may be one that we have not heard of yet.
STALE_AFTER_S = 2.6

# Seconds after which a client may come back.
RETRY_NO_CONFIG_S = 0.5
RETRY_STALE_S = 0.3


class RefusalError(errors.CallerError):
    """A request is refused before anything was sent for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """A request that is taken.

    Attributes:
        route: Its route.
        service: The service that is to serve it.
        workspace: Whose it is, or None.
        key: The key that it came with, where the route needs one.
        deadline: Steady clock until which it may be held.
        urgency: 0 (first) to 9 for a model engine, None for a plain service.
        shortest_pause_s: The shortest pause between events that any stream
            of the service may have, or None.
        host: The host that it came for.
        path: Its path.
        version: The configuration that it was judged by.
    """

    route: model.Route
    service: model.Service
    workspace: model.Workspace | None
    key: str | None
    deadline: float
    urgency: int | None
    shortest_pause_s: float | None
    host: str
    path: str
    version: int


class Admitter:
    """Judges requests by the configuration in force."""

    def __init__(
        self,
        freshness: key_freshness.ConfigFreshness,
        fail_closed: bool,
        rng: random.Random,
    ) -> None:
        """Makes an admitter without a configuration.

        Args:
            freshness: Tells how old the configuration is.
            fail_closed: Whether keys are refused once it is too old.
            rng: Draws the service of a split route.
        """
        self._freshness = freshness
        self._fail_closed = fail_closed
        self._rng = rng
        self._config: model.RoutingConfig | None = None

    @property
    def config(self) -> model.RoutingConfig | None:
        """The configuration in force, or None."""
        return self._config

    def put_in_force(self, config: model.RoutingConfig) -> bool:
        """Puts a configuration in force if it is newer; returns whether."""
        if self._config is not None and config.version <= self._config.version:
            return False
        self._config = config
        return True

    def admit(
        self, facts: headers.RequestFacts, path: str, received_at: float
    ) -> Admission:
        """Judges a request.

        Args:
            facts: What its headers say.
            path: Its path.
            received_at: When it came.

        Raises:
            RefusalError: If it is not taken.
        """
        config = self._config
        if config is None:
            raise RefusalError(
                503, "no-config", "no configuration yet", RETRY_NO_CONFIG_S
            )
        if self._freshness.lags(received_at):
            raise RefusalError(
                503,
                "behind",
                "a newer configuration is not in force here yet",
                RETRY_STALE_S,
            )
        route = config.find_route(facts.host, path)
        if route is None:
            self._refuse_if_stale(received_at)
            raise RefusalError(404, "no-route", "there is no such route")
        workspace = self._workspace(config, route, facts, received_at)
        service = self._service(config, route)
        hold_s = route.timeout_s
        if facts.deadline_s is not None:
            hold_s = min(hold_s, facts.deadline_s)
        urgency = None
        if service.engine is not None:
            urgency = _urgency(workspace, route)
        return Admission(
            route,
            service,
            workspace,
            None if workspace is None else facts.key,
            received_at + hold_s,
            urgency,
            config.shortest_pause_s(service.name),
            facts.host,
            path,
            config.version,
        )

    def still_allowed(
        self, admission: Admission, received_at: float, now: float
    ) -> bool:
        """Returns whether a request may be sent to an endpoint now.

        Args:
            admission: How it was taken.
            received_at: When it came.
            now: The current time.
        """
        if self._freshness.lags(now) or not self._still_routed(admission):
            return False
        if admission.key is None or self._config is None:
            return True
        if admission.key not in self._config.workspaces:
            return False
        return not self._fail_closed or self._freshness.covers(received_at)

    def _still_routed(self, admission: Admission) -> bool:
        """Returns whether the newest configuration sends it where it goes.

        A request may wait in its box while a change comes in force.
        """
        config = self._config
        if config is None or config.version == admission.version:
            return True
        route = config.find_route(admission.host, admission.path)
        return route is not None and any(
            target.service == admission.service.name for target in route.targets
        )

    def _workspace(
        self,
        config: model.RoutingConfig,
        route: model.Route,
        facts: headers.RequestFacts,
        received_at: float,
    ) -> model.Workspace | None:
        if not config.needs_keys or route.public:
            return None
        workspace = config.workspaces.get(facts.key or "")
        if workspace is None:
            self._refuse_if_stale(received_at)
            raise RefusalError(401, "unknown-key", "the key is not known")
        if self._fail_closed and not self._freshness.covers(received_at):
            raise RefusalError(
                503,
                "stale-keys",
                "keys cannot be checked at the moment",
                RETRY_STALE_S,
            )
        return workspace

    def _refuse_if_stale(self, received_at: float) -> None:
        age = self._freshness.age_s(received_at)
        if age is None or age > STALE_AFTER_S:
            raise RefusalError(
                503,
                "stale-config",
                "the configuration may have changed",
                RETRY_STALE_S,
            )

    def _service(
        self, config: model.RoutingConfig, route: model.Route
    ) -> model.Service:
        targets = route.targets
        name = targets[0].service
        if len(targets) > 1:
            weights = [target.weight for target in targets]
            chosen = self._rng.choices(targets, weights)[0]
            name = chosen.service
        service = config.services.get(name)
        if service is None:
            raise RefusalError(
                503, "no-service", f"{name} is not known", RETRY_NO_CONFIG_S
            )
        return service


def _urgency(workspace: model.Workspace | None, route: model.Route) -> int:
    """Returns the rank at the engine: routes first, then workspaces."""
    tier = 0
    if workspace is not None and workspace.tier is not None:
        tier = min(workspace.tier, endpoint_loads.WORKSPACE_TIERS - 1)
    urgency = route.tier * endpoint_loads.WORKSPACE_TIERS + tier
    return min(urgency, headers.LOWEST_URGENCY)
