"""The configurations that are in force in plays."""

import json
from typing import Any

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "chat"
RESUMABLE = "talk"
PLAIN_SERVICE = "plain"
ENGINE_SERVICE = "engine"

# Limits of a configuration, by the name of the event that puts it in force.
LIMITS: dict[str, dict[str, int]] = {
    "usual": {},
    "short-rest": {"idle_timeout_ms": 1000},
    "long-rest": {"idle_timeout_ms": 4000},
    "short-times": {"timeout_ms": 300, "header_timeout_ms": 100},
    "small": {"max_body_bytes": 2},
    "patient": {"timeout_ms": 5000},
}

_USUAL = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 2000,
}
_TIMEOUT_MS = 400
_LATENCY_TARGET_MS = 100


def timeout_s(name: str) -> float:
    """Returns the seconds that a request may take, by configuration."""
    return LIMITS[name].get("timeout_ms", _TIMEOUT_MS) / 1000


def idle_s(name: str) -> float:
    """Returns the seconds that a connection may rest, by configuration."""
    idle_ms = LIMITS[name].get("idle_timeout_ms", _USUAL["idle_timeout_ms"])
    return idle_ms / 1000


def document(name: str, version: int) -> bytes:
    """Returns the document of a configuration."""
    changes = dict(LIMITS[name])
    timeout_ms = changes.pop("timeout_ms", _TIMEOUT_MS)
    common = {
        "host": "api.example",
        "timeout_ms": timeout_ms,
        "goal_ms": _LATENCY_TARGET_MS,
        "priority": 1,
        "public": True,
    }
    routes: list[dict[str, Any]] = [
        {**common, "name": kind, "path_prefix": f"/{kind}/", **more}
        for kind, more in _ROUTES.items()
    ]
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": _SERVICES,
            "limits": {**_USUAL, **changes},
            "tenants": [],
        }
    ).encode()


_ROUTES: dict[str, dict[str, Any]] = {
    SAFE: {"route_kind": "safe", "service": PLAIN_SERVICE, "max_attempts": 2},
    UNSAFE: {
        "route_kind": "unsafe",
        "service": PLAIN_SERVICE,
        "max_attempts": 1,
    },
    STREAM: {
        "route_kind": "streaming",
        "service": ENGINE_SERVICE,
        "max_attempts": 1,
        "gap_goal_ms": 250,
        "sticky": True,
    },
    RESUMABLE: {
        "route_kind": "streaming",
        "service": ENGINE_SERVICE,
        "max_attempts": 2,
        "gap_goal_ms": 250,
        "resumable": True,
        "sticky": True,
    },
}
_SERVICES = [
    {"name": PLAIN_SERVICE, "health_path": "/healthz", "max_conns": 96},
    {
        "name": ENGINE_SERVICE,
        "health_path": "/healthz",
        "max_conns": 360,
        "engine": {
            "slots": 64,
            "kv_capacity": 280000,
            "kv_bytes": 18432,
            "stride": 6,
        },
    },
]
