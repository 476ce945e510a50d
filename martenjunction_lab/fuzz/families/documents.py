"""Endpoint entries, box entries and configurations of the store."""

import json
import math
import random
from typing import Any

import h11

from martenjunction import errors
from martenjunction import model
from martenjunction.platform import documents
from martenjunction.platform import headers
from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets

BOX = "edge-a-1"

ENDPOINT: dict[str, Any] = {
    "service": "chat",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 3,
    "born": 1_700_000_000_000,
    "spot": False,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "api.example",
            "path_prefix": "/chat/",
            "route_kind": "streaming",
            "timeout_ms": 2000,
            "goal_ms": 200,
            "gap_goal_ms": 250,
            "priority": 0,
            "split": [{"service": "chat", "weight": 1.0}],
            "max_attempts": 2,
            "public": False,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "chat",
            "health_path": "/healthz",
            "max_conns": 96,
            "engine": {
                "slots": 64,
                "kv_capacity": 280_000,
                "kv_bytes": 18_432,
                "stride": 6,
                "backups": False,
            },
            "scaling": {
                "min": 1,
                "max": 9,
                "boot_s": 40,
                "spot_price": 0.5,
                "zone_prices": {"zone-a": 1.5},
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 65_536,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15_000,
    },
    "tenants": [{"name": "one", "api_keys": ["k"], "priority": 1}],
}
BOX_ENTRY = documents.BoxEntry(
    BOX, "zone-a", "10.0.0.1:80", "10.0.0.1:81", 4, False, 9000, "10.0.0.1:82"
)

# Parts of addresses, and the share of entries with an address of them.
_HOSTS = (
    "10.0.0.1",
    "10.0.0.256",
    "10.0.0",
    "010.0.0.1",
    "[::1]",
    "::1",
    "[fe80::1%eth0]",
    "localhost",
    "10.0.0.1\r\n",
    "",
)
_PORTS = (
    "80",
    "0",
    "-1",
    "+1",
    "65535",
    "65536",
    "1000000",
    "8" * 5000,
    " 80",
    "8_0",
    "\u0663",
    "80/",
    "",
)
_ADDRESS_SHARE = 0.1


def _document(value: Any) -> spans.Document:
    return spans.json_document(value, odd_values.JSON, odd_values.LARGE_JSON)


@targets.registered.register("endpoint-entries")
class EndpointEntries(targets.Target):
    """Entries of the list of replicas."""

    declared = (errors.PlatformError,)
    _sound = _document(ENDPOINT)
    _before, _after = _document({**ENDPOINT, "address": "@"}).data.split(b'"@"')

    def generate(self, rng: random.Random) -> bytes:
        """Returns an entry, sometimes a sound one but for its address."""
        if rng.random() < _ADDRESS_SHARE:
            address = f"{rng.choice(_HOSTS)}:{rng.choice(_PORTS)}"
            return self._before + json.dumps(address).encode() + self._after
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Decodes an entry; its numbers are in range."""
        endpoint = documents.decode_endpoint("e-1", data)
        _check_ports(endpoint.address)
        if endpoint.slots < 1 or not 0 <= endpoint.cold_s < math.inf:
            raise targets.OracleError("numbers of an endpoint out of range")


@targets.registered.register("endpoint-names")
class EndpointNames(targets.Target):
    """Names of entries, which requests to the endpoints tell."""

    declared = (errors.PlatformError,)
    _sound = _document({k: v for k, v in ENDPOINT.items() if k != "born"})

    def generate(self, rng: random.Random) -> bytes:
        """Returns a name."""
        return spans.damage(rng, b"service-a/1234")

    def check(self, data: bytes) -> None:
        """Decodes a sound entry of that name, and heads a request for it."""
        try:
            name = data.decode()
        except UnicodeDecodeError as error:
            raise errors.PlatformError("the store has only text") from error
        endpoint = documents.decode_endpoint(name, self._sound.data)
        sent = headers.endpoint_headers([], None, 1.0, endpoint.id, None, None)
        _check_sendable("name of an endpoint", b"/", sent)


@targets.registered.register("box-entries")
class BoxEntries(targets.Target):
    """Entries by which boxes register themselves."""

    declared = (errors.PlatformError,)
    _sound = _document(documents.encode_box(BOX_ENTRY))

    def generate(self, rng: random.Random) -> bytes:
        """Returns an entry."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Decodes an entry; it is the same after it was encoded again."""
        entry = documents.decode_box(BOX, data)
        _check_ports(entry.callers, entry.peers, entry.tunnels)
        again = _document(documents.encode_box(entry)).data
        if documents.decode_box(BOX, again) != entry:
            raise targets.OracleError("the entry changes when it is encoded")


@targets.registered.register("configurations")
class Configurations(targets.Target):
    """Routing configurations."""

    declared = (errors.PlatformError,)
    _sound = _document(CONFIGURATION)

    def generate(self, rng: random.Random) -> bytes:
        """Returns a configuration."""
        return spans.mutate(rng, self._sound)

    def check(self, data: bytes) -> None:
        """Decodes a configuration; requests by it can be sent."""
        config = documents.decode_config(data)
        for route in config.routes:
            if route.max_attempts < 1 or not math.isfinite(route.timeout_s):
                raise targets.OracleError("numbers of a route out of range")
        if config == _SOUND_CONFIGURATION:
            return
        _check_configured(config)


_SOUND_CONFIGURATION = documents.decode_config(_document(CONFIGURATION).data)


def _check_configured(config: model.RoutingConfig) -> None:
    for service in config.services.values():
        path = service.health_path.encode()
        _check_sendable("health path", path, [])
    for workspace in config.workspaces.values():
        sent = headers.endpoint_headers(
            [], None, 1.0, "e-1", workspace.name, None
        )
        _check_sendable("name of a workspace", b"/", sent)


def _check_ports(*addresses: str) -> None:
    """Checks that the port of each address, unless it is empty, exists.

    Raises:
        OracleError: If one does not.
    """
    for address in filter(None, addresses):
        if not 0 < int(address.rpartition(":")[2]) <= documents.MAX_PORT:
            raise targets.OracleError("an address has no such port")


def _check_sendable(
    what: str, target: bytes, fields: list[tuple[bytes, bytes]]
) -> None:
    """Heads a request, as the client of the endpoints does.

    Raises:
        OracleError: If HTTP cannot carry it.
    """
    try:
        h11.Request(
            method=b"GET", target=target, headers=[(b"Host", b"a"), *fields]
        )
    except h11.LocalProtocolError as error:
        raise targets.OracleError(f"{what} cannot be sent") from error
