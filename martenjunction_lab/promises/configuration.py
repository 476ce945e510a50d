"""The configuration of trials of promises, and its operator."""

from collections.abc import Iterable
import time
from typing import Any

from martenjunction_lab import boxes
from martenjunction_lab import trial_fleet
from martenjunction_lab.promises import events

# A plain service of its own, whose route is moved.
OTHER = "other-service"
MOVED = "open"

# Names of the tenants, by key.
TENANTS = {
    "key-of-one": "one",
    "key-of-two": "two",
    "key-of-three": "three",
}

# Milliseconds to an answer, or to the first event, that count as in time.
# Boxes shed less on a loaded machine than they do with a shorter time.
GOAL_MS = 1500

# Seconds after which a route ends a request.
TIMEOUT_S = 2.0

KINDS = {
    "safe": events.RouteKind.SAFE,
    "unsafe": events.RouteKind.UNSAFE,
    "chat": events.RouteKind.STREAM,
    "digest": events.RouteKind.RESUMABLE,
    "open": events.RouteKind.SAFE,
}

_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# No route has a limit of one attempt, which would hide that a request is sent
# again that may run once.
_FIELDS: dict[str, dict[str, Any]] = {
    "safe": {"route_kind": "safe"},
    "unsafe": {"route_kind": "unsafe"},
    "chat": {
        "route_kind": "streaming",
        "priority": 0,
        "gap_goal_ms": 250,
        "sticky": True,
    },
    "digest": {
        "route_kind": "streaming",
        "resumable": True,
        "gap_goal_ms": 250,
        "sticky": True,
    },
    "open": {"route_kind": "safe", "public": True},
}


class Operator:
    """Writes configurations, and records those that the store took."""

    def __init__(self, fleet: boxes.Boxes, history: events.History) -> None:
        """Makes an operator of the first configuration, not written yet."""
        self.services = {
            "safe": trial_fleet.PLAIN,
            "unsafe": trial_fleet.PLAIN,
            "chat": trial_fleet.ENGINE,
            "digest": trial_fleet.ENGINE,
            MOVED: OTHER,
        }
        self.keys = list(TENANTS)
        self.limits = dict(_LIMITS)
        self._fleet = fleet
        self._history = history
        self._version = 7

    def document(self) -> dict[str, Any]:
        """Returns the present configuration."""
        return {
            "version": self._version,
            "routes": [
                _route(name, service) for name, service in self.services.items()
            ],
            "services": _services(),
            "limits": dict(self.limits),
            "tenants": [
                {"name": TENANTS[key], "api_keys": [key]} for key in self.keys
            ],
        }

    def record(self) -> None:
        """Records that the store has the present configuration."""
        self._history.add(
            events.Configured(
                time.monotonic(),
                self._version,
                dict(self.services),
                frozenset(self.keys),
            )
        )

    def write(self) -> None:
        """Writes the present configuration under the next version."""
        self._version += 1
        self._fleet.configure(self.document())
        self.record()


def _route(name: str, service: str) -> dict[str, Any]:
    return {
        "name": name,
        "host": "api.example",
        "path_prefix": f"/{name}/",
        "timeout_ms": int(TIMEOUT_S * 1000),
        "goal_ms": GOAL_MS,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **_FIELDS[name],
    }


def _services() -> Iterable[dict[str, Any]]:
    plain = [
        {"name": name, "health_path": "/healthz", "max_conns": 96}
        for name in (trial_fleet.PLAIN, OTHER)
    ]
    engine = {
        "name": trial_fleet.ENGINE,
        "health_path": "/healthz",
        "max_conns": 360,
        "engine": {
            "slots": trial_fleet.SLOTS[trial_fleet.ENGINE],
            "kv_capacity": 280000,
            "kv_bytes": 18432,
            "stride": 6,
        },
    }
    return [*plain, engine]
