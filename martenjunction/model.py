"""Data classes of the routing configuration and the endpoints."""

from collections.abc import Mapping
import dataclasses
import enum

import msgspec
import xxhash

from martenjunction.http1 import messages


class RouteKind(enum.StrEnum):
    """Kind of a route: what may be retried and whether it streams."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Target(msgspec.Struct, frozen=True, gc=False):
    """A service of a route and its share of the requests.

    Attributes:
        service: The service's name.
        weight: Relative share.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, gc=False):
    """Requests of one host whose path begins with a prefix.

    Attributes:
        name: The route's name.
        host: The host, in lower case.
        prefix: Begins and ends with a slash.
        kind: What may be retried, and whether responses are streamed.
        resumable: Whether a stream may be resumed on another endpoint.
        targets: Services that serve it.
        tier: Priority tier; 0 is the highest.
        target_s: Target in seconds for the whole response, or for the first
            event of a stream.
        gap_target_s: Target for the longest pause between events of a stream,
            in seconds, or None.
        timeout_s: Maximum time in seconds for which a request may be held.
        max_attempts: Maximum number of endpoints to which a request is sent.
        public: Whether requests need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    resumable: bool
    targets: tuple[Target, ...]
    tier: int
    target_s: float
    gap_target_s: float | None
    timeout_s: float
    max_attempts: int
    public: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Properties of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs concurrently.
        cache_tokens: Capacity of its cache in tokens.
        cache_token_bytes: Bytes of cache memory per token.
        tokens_per_event: Tokens per event of a stream.
        keeps_copies: Whether an engine stores copies of another engine's runs.
    """

    slots: int
    cache_tokens: int
    cache_token_bytes: int
    tokens_per_event: int
    keeps_copies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """The terms on which engines of a service can be ordered.

    Attributes:
        least: Minimum number of engines in an availability zone.
        most: Maximum number of engines in an availability zone.
        boot_s: Seconds from an order until an engine serves.
        reclaimable_price: Price of an engine that may be taken away, as a
            fraction of that of a regular one; None if there are none.
        zone_prices: Price of a regular engine by availability zone.
    """

    least: int
    most: int
    boot_s: float
    reclaimable_price: float | None
    zone_prices: Mapping[str, float] = dataclasses.field(hash=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that can serve the same requests.

    Attributes:
        name: The service's name.
        health_path: Path of its health check.
        max_connections: Connections that an endpoint accepts in total from all
            boxes.
        engine: Properties of the model engines; None for a plain service.
        scaling: The terms on which engines are ordered; None if they are not.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer with its own keys.

    Attributes:
        name: The workspace's name.
        tier: Its tier, which takes precedence over the route's; None if unset.
    """

    name: str
    tier: int | None = None


def host_name(host: str) -> str:
    """Returns a host in lower case and without its port."""
    return host.lower().rpartition(":")[0] if ":" in host else host.lower()


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the whole configuration; versions only increase.

    Attributes:
        version: The version.
        routes: All routes.
        services: Services by name.
        workspaces: Workspaces by key.
        needs_keys: Whether requests to routes that are not public must carry
            a key.
        limits: Limits for client connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    needs_keys: bool
    limits: messages.ClientLimits
    _by_host: dict[str, list[Route]] = dataclasses.field(
        default_factory=dict, repr=False
    )
    _pauses: dict[str, float] = dataclasses.field(
        default_factory=dict, repr=False
    )

    def __post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host, []).append(route)
            if route.gap_target_s is None:
                continue
            for target in route.targets:
                known = self._pauses.get(target.service, route.gap_target_s)
                shortest = min(known, route.gap_target_s)
                self._pauses[target.service] = shortest
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def shortest_pause_s(self, service: str) -> float | None:
        """Returns the shortest pause target of a service's streams."""
        return self._pauses.get(service)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: The host, in any case, with or without a port.
            path: The path without the query string.
        """
        for route in self._by_host.get(host_name(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


class EndpointState(enum.StrEnum):
    """State that an endpoint reports."""

    READY = "ready"
    DRAINING = "draining"


class Endpoint(msgspec.Struct, frozen=True, gc=False):
    """One start of one replica of a service.

    Attributes:
        id: Unique id of this start: the name of its entry, followed by the
            start time if the entry contains it.
        service: Name of the service.
        address: IP address and port.
        zone: Its availability zone.
        slots: Requests that it runs concurrently.
        state: The state that it reports.
        cold_s: Duration of its slow warm-up after the start, in seconds.
        name: The name of its entry, if different from `id`. The endpoint is
            addressed by this name and keeps it across restarts.
        version: Software version.
        reclaimable: Whether the platform may take it away at short notice.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    cold_s: float = 0.0
    name: str = ""
    version: str = ""
    reclaimable: bool = False

    @property
    def entry(self) -> str:
        """The name of the endpoint's entry."""
        return self.name or self.id


def build_id(endpoint: Endpoint, service: Service) -> str:
    """Returns an id of an endpoint's software version and configuration."""
    config = xxhash.xxh3_64_hexdigest(repr(service).encode())
    return f"{endpoint.version}/{config}"
