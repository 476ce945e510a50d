"""The routing configuration and the endpoints, as data."""

import dataclasses
import enum

import xxhash

from martenjunction.http1 import messages


class RouteKind(enum.StrEnum):
    """What may be repeated on a route, and how its answers come."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service of a route and its share of the requests.

    Attributes:
        service: The service's name.
        weight: Relative share.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
        name: The route's name.
        host: The host, in lower case.
        prefix: Begins and ends with a slash.
        kind: What may be repeated.
        resumable: Whether a stream may be continued at another endpoint.
        targets: Services that serve it.
        tier: Rank of the class; 0 is the highest.
        target_s: Seconds to a whole answer, or a stream's first event.
        gap_target_s: Longest pause between events, or None.
        timeout_s: Longest that a request may be held.
        max_attempts: Endpoints that one request may be sent to.
        public: Whether no key is needed.
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
    """What is known of the model engines of a service.

    Attributes:
        slots: Requests that one runs at once.
        cache_tokens: Tokens that fit into its memory.
        cache_token_bytes: Bytes of memory for one token.
        tokens_per_event: Tokens in one event of a stream.
        keeps_copies: Whether an engine takes copies of another one's runs.
    """

    slots: int
    cache_tokens: int
    cache_token_bytes: int
    tokens_per_event: int
    keeps_copies: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that can serve the same requests.

    Attributes:
        name: The service's name.
        health_path: Path of its health check.
        max_connections: Connections that one endpoint accepts from all.
        engine: The model engines' figures; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer with keys of its own.

    Attributes:
        name: The workspace's name.
        tier: Its rank; it goes before the route's. None if it has none.
    """

    name: str
    tier: int | None = None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the whole configuration; versions only rise.

    Attributes:
        version: The version.
        routes: All routes.
        services: Services by name.
        workspaces: Workspaces by key.
        needs_keys: Whether requests to routes that are not public must carry
            a key.
        limits: Limits for clients.
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
        """Returns the shortest pause that streams of a service may have."""
        return self._pauses.get(service)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
            host: The host, in any case, with or without a port.
            path: The path without its query.
        """
        name = host.lower().rpartition(":")[0] if ":" in host else host.lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of one replica of a service.

    Attributes:
        id: Names this start among all that are known; its entry's name, with
            the moment of the start where the entry tells it.
        service: The service that it serves.
        address: IP address and port.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        state: What it says of itself.
        cold_s: Seconds from its start for which it is slow.
        name: The name of its entry, if not `id`: what it answers to, and what
            it keeps when it starts again.
        version: The version of its software.
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

    @property
    def entry(self) -> str:
        """The name of its entry."""
        return self.name or self.id


def build(endpoint: Endpoint, service: Service) -> str:
    """Names what runs at an endpoint: its software and its configuration."""
    config = xxhash.xxh3_64_hexdigest(repr(service).encode())
    return f"{endpoint.version}/{config}"
