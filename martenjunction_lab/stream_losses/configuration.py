"""The configuration under which losses are played."""

from typing import Any

from martenjunction_lab import trial_fleet
from martenjunction_lab.stream_losses import trials

# The service to which a route is moved.
OTHER = "other-engine-service"

PATH = "/digest/a"

# Milliseconds to the first event that count as in time. Boxes shed less on a
# loaded machine than they do with a shorter time.
GOAL_MS = 1500


def document(trial: trials.Trial, has_changed: bool = False) -> dict[str, Any]:
    """Returns the operator's configuration.

    Args:
        trial: The trial.
        has_changed: Whether the first loss has begun.
    """
    timeout_s = trial.timeout_s
    service = trial_fleet.ENGINE
    if has_changed:
        timeout_s = trial.later_timeout_s or timeout_s
        service = OTHER if trial.is_moved else service
    return {
        "version": 9 if has_changed else 7,
        "routes": [
            {
                "name": "digest",
                "host": "api.example",
                "path_prefix": "/digest/",
                "route_kind": "streaming",
                "resumable": True,
                "timeout_ms": int(timeout_s * 1000),
                "goal_ms": GOAL_MS,
                "gap_goal_ms": 250,
                "sticky": True,
                "priority": 1,
                "service": service,
                "max_attempts": 2,
                "public": False,
            }
        ],
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_conns": 360,
                "engine": {
                    "slots": trial_fleet.SLOTS[trial_fleet.ENGINE],
                    "kv_capacity": 280000,
                    "kv_bytes": 18432,
                    "stride": 6,
                },
            }
            for name in (trial_fleet.ENGINE, OTHER)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": ["key-of-one"], "priority": 1}],
    }
