"""Decodes documents of the platform into internal types."""

import ipaddress
import math
import re
import socket
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec

from martenjunction import addresses
from martenjunction import decoding
from martenjunction import errors
from martenjunction import model
from martenjunction.http1 import messages

# Kinds and names of objects in the store.
CONFIG_KIND = "config"
CONFIG_NAME = "main"
ENDPOINT_KIND = "servers"
BOX_KIND = "martenjunction-boxes"

# Text that a header of a request can carry: no control characters, no space at
# its ends. And a path.
_FIELD_VALUE = re.compile(
    r"[^\x00-\x20\x7f](?:[^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?"
)
_PATH = re.compile(r"/[!-~]*")

MS = 0.001
MAX_PORT = 65535

# Characters of what is refused that an error shows.
MAX_SHOWN = 80

# More requests than any endpoint works on at once. A larger number counts as
# this one: it would not fit into the calculations with other endpoints.
MAX_SLOTS = 100_000

# Default time limit of a route in seconds.
DEFAULT_TIMEOUT_S = 60.0

# Default latency target of a route in seconds.
DEFAULT_TARGET_S = 1.0


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float | None = None
    goal_ms: float | None = None
    gap_goal_ms: float | None = None
    priority: int = 0
    service: str | None = None
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: int
    kv_bytes: float
    # The number of tokens in one event.
    stride: int = 1
    # Whether an engine keeps backups of the KV cache of another engine's runs.
    backups: bool = False


class _Scaling(msgspec.Struct):
    min: Annotated[int, msgspec.Meta(ge=0)]
    max: Annotated[int, msgspec.Meta(ge=0)]
    boot_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    spot_price: Annotated[float, msgspec.Meta(ge=0)] | None = None
    zone_prices: dict[str, Annotated[float, msgspec.Meta(ge=0)]] = {}


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/healthz"
    max_conns: int = 64
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 30000


class _Workspace(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # None if the deployment does not use API keys.
    tenants: list[_Workspace] | None = None


_NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class _Endpoint(msgspec.Struct):
    """An entry of the list of replicas.

    An entry that lacks a required field was not written by a replica.
    """

    service: _NonEmptyStr
    address: _NonEmptyStr
    zone: _NonEmptyStr
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0)]
    seq: _NonNegativeInt
    # Start time in Unix milliseconds, if replicas may restart under the same
    # name.
    born: _NonNegativeInt | None = None
    # Whether the platform may withdraw the replica.
    spot: bool = False


class BoxEntry(msgspec.Struct, frozen=True):
    """The entry in the store by which a daemon registers itself.

    Attributes:
        box: The box's name.
        zone: The box's availability zone.
        callers: The daemon's address for clients' requests.
        peers: The daemon's address for other daemons.
        incarnation: Increases with each start of the daemon.
        leaving: Whether the daemon is shutting down gracefully.
        link_kb: Bandwidth of the box's link in kilobytes per second; 0 if
            unknown.
        tunnels: The daemon's address for tunnels to endpoints; "" for none.
    """

    box: _NonEmptyStr
    zone: _NonEmptyStr
    callers: str
    peers: str
    incarnation: _NonNegativeInt
    leaving: bool = False
    link_kb: _NonNegativeInt = 0
    tunnels: str = ""


_KINDS = {
    "safe": model.RouteKind.SAFE,
    "unsafe": model.RouteKind.UNSAFE,
    "streaming": model.RouteKind.STREAM,
}


def decode_config(spec: bytes) -> model.RoutingConfig:
    """Decodes a routing configuration.

    Args:
        spec: The document's JSON.

    Raises:
        PlatformError: If the document is malformed.
    """
    try:
        wire = decoding.from_json(spec, _Config)
        return model.RoutingConfig(
            version=wire.version,
            routes=tuple(_route(route) for route in wire.routes),
            services={s.name: _service(s) for s in wire.services},
            workspaces={
                key: model.Workspace(
                    _field_value(workspace.name), workspace.priority
                )
                for workspace in wire.tenants or ()
                for key in workspace.api_keys
            },
            needs_keys=wire.tenants is not None,
            limits=messages.ClientLimits(
                wire.limits.max_header_bytes,
                wire.limits.max_body_bytes,
                wire.limits.header_timeout_ms * MS,
                wire.limits.idle_timeout_ms * MS,
            ),
        )
    except (ValueError, OverflowError, KeyError) as error:
        raise errors.PlatformError(
            f"malformed configuration: {error}"
        ) from error


def _route(wire: _Route) -> model.Route:
    split = wire.split or [_Split(wire.service or "")]
    return model.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        kind=_KINDS[wire.route_kind],
        resumable=wire.resumable and wire.route_kind == "streaming",
        targets=tuple(model.Target(s.service, s.weight) for s in split),
        tier=wire.priority,
        target_s=_seconds(wire.goal_ms, DEFAULT_TARGET_S),
        gap_target_s=None
        if wire.gap_goal_ms is None
        else wire.gap_goal_ms * MS,
        timeout_s=_seconds(wire.timeout_ms, DEFAULT_TIMEOUT_S),
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
    )


def _seconds(milliseconds: float | None, default: float) -> float:
    if milliseconds is None or not math.isfinite(milliseconds):
        return default
    return milliseconds * MS


def _service(wire: _Service) -> model.Service:
    engine = None
    if wire.engine is not None:
        engine = model.Engine(
            wire.engine.slots,
            wire.engine.kv_capacity,
            round(wire.engine.kv_bytes),
            max(1, wire.engine.stride),
            wire.engine.backups,
        )
    scaling = None
    if wire.scaling is not None and wire.scaling.zone_prices:
        scaling = model.Scaling(
            wire.scaling.min,
            wire.scaling.max,
            wire.scaling.boot_s,
            wire.scaling.spot_price,
            dict(sorted(wire.scaling.zone_prices.items())),
        )
    if not _PATH.fullmatch(wire.health_path):
        raise ValueError(f"service {wire.name!r} has an invalid health path")
    return model.Service(
        wire.name, wire.health_path, wire.max_conns, engine, scaling
    )


def decode_endpoint(name: str, spec: bytes) -> model.Endpoint:
    """Decodes an endpoint from an entry of the list of replicas.

    Args:
        name: The entry's name, which is the endpoint's id, or the first part
            of the id if the entry has a start time.
        spec: The entry's JSON.

    Raises:
        PlatformError: If the entry is malformed.
    """
    try:
        wire = decoding.from_json(spec, _Endpoint)
        _check_address(wire.address)
        _field_value(name)
    except ValueError as error:
        raise errors.PlatformError(
            f"malformed endpoint entry: {error}"
        ) from error
    ready = wire.state == "ready"
    return model.Endpoint(
        id=name if wire.born is None else f"{name}/{wire.born}",
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=min(wire.slots, MAX_SLOTS),
        state=model.EndpointState.READY
        if ready
        else model.EndpointState.DRAINING,
        cold_s=wire.cold_left_ms * MS,
        name=name,
        version=wire.version,
        reclaimable=wire.spot,
    )


def _field_value(text: str) -> str:
    """Returns text that is sent as the value of a header.

    Raises:
        ValueError: If a header cannot carry it.
    """
    if not _FIELD_VALUE.fullmatch(text):
        raise ValueError(f"not the value of a header: {text[:MAX_SHOWN]!r}")
    return text


def _check_address(address: str) -> None:
    """Checks that an address consists of an IP address and a port.

    Raises:
        ValueError: If the address is invalid.
    """
    host, port = addresses.split_address(address)
    try:
        # Faster than the module ipaddress, which knows all forms.
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        ipaddress.ip_address(host)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"invalid port: {port}")


def decode_box(name: str, spec: bytes) -> BoxEntry:
    """Decodes the entry by which a daemon registers itself.

    Args:
        name: The entry's name, which is the box's name.
        spec: The entry's JSON.

    Raises:
        PlatformError: If the entry is malformed or names another box.
    """
    try:
        entry = decoding.from_json(spec, BoxEntry)
        _check_address(entry.callers)
        _check_address(entry.peers)
        if entry.tunnels:
            _check_address(entry.tunnels)
    except ValueError as error:
        raise errors.PlatformError(f"malformed box entry: {error}") from error
    if entry.box != name:
        raise errors.PlatformError(f"the entry of {name} names box {entry.box}")
    return entry


def encode_box(entry: BoxEntry) -> dict[str, Any]:
    """Returns a daemon's entry as a mapping for the store."""
    return msgspec.structs.asdict(entry)


def decode_resolve_query(query: dict[str, str]) -> tuple[str, str]:
    """Returns the region and availability zone in a resolve query."""
    return query.get("region", ""), query.get("zone", "")


def encode_resolve_response(addresses: list[str], ttl_s: float) -> bytes:
    """Returns the JSON body of a resolve response."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
