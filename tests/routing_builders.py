"""Builders of routing test data."""

import json
from typing import Any

from martenjunction import model
from martenjunction import revisions
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.decisions.boxes import engine_profiles
from martenjunction.decisions.boxes import store_contact
from martenjunction.platform import documents
from martenjunction_lab import settings_files

HOST = "api.example"
ENGINE = "engine-service"
PLAIN = "plain-service"
KEY = "key-of-one"

settings_text = settings_files.settings_text


def rev(number: int, era: int = 1) -> revisions.Revision:
    """Returns a store revision, by default of the first era."""
    return revisions.Revision(era, number)


def route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration document."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": "safe",
        "timeout_ms": 2000,
        "goal_ms": 200,
        "priority": 1,
        "service": PLAIN,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def config_document(version: int = 7, **changes: Any) -> dict[str, Any]:
    """Returns a configuration document with a route of each kind."""
    stream = {"service": ENGINE, "gap_goal_ms": 250, "sticky": True}
    return {
        "version": version,
        "routes": [
            route("safe", "/safe/"),
            route("unsafe", "/unsafe/", route_kind="unsafe", max_attempts=1),
            route(
                "chat",
                "/chat/",
                route_kind="streaming",
                max_attempts=1,
                priority=0,
                **stream,
            ),
            route(
                "digest",
                "/digest/",
                route_kind="streaming",
                resumable=True,
                **stream,
            ),
            route("open", "/open/", public=True),
        ],
        "services": [
            {"name": PLAIN, "health_path": "/healthz", "max_conns": 96},
            {
                "name": ENGINE,
                "health_path": "/healthz",
                "max_conns": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 280000,
                    "kv_bytes": 18432,
                    "stride": 6,
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "one", "api_keys": [KEY], "priority": 1},
            {"name": "two", "api_keys": ["key-of-two"]},
        ],
        **changes,
    }


def relaxed_config_document() -> dict[str, Any]:
    """Returns a configuration with latency targets for a loaded machine.

    With the default targets, requests are shed because the machine is slow.
    """
    document = config_document()
    for made in document["routes"]:
        made["goal_ms"] = 1500
    return document


def config(version: int = 7, **changes: Any) -> model.RoutingConfig:
    """Returns the decoded configuration."""
    document = config_document(version, **changes)
    return documents.decode_config(json.dumps(document).encode())


def endpoint(
    endpoint_id: str = "e1",
    state: model.EndpointState = model.EndpointState.READY,
    service: str = PLAIN,
) -> model.Endpoint:
    """Returns an endpoint as listed by the platform."""
    return model.Endpoint(
        endpoint_id, service, "10.0.0.1:80", "zone-a", 6, state
    )


def answer_calls(
    contact: store_contact.StoreContact, since: float, until: float
) -> None:
    """Records that the store answered calls of a box all the time."""
    at = since
    while at < until:
        contact.note_answered(at, at)
        at += 0.2
    contact.note_answered(until, until)


def lose_store(
    contact: store_contact.StoreContact, lost_at: float, back_at: float
) -> None:
    """Records that the store answered no call of a box for a while."""
    contact.note_answered(lost_at, lost_at)
    contact.note_failed((lost_at + back_at) / 2)
    contact.note_answered(back_at, back_at)


def record(
    endpoint_id: str = "e1", cache_tokens: int = 280_000, slots: int = 64
) -> endpoint_records.EndpointRecord:
    """Returns the record of a newly listed engine."""
    return endpoint_records.EndpointRecord(
        endpoint_id, "zone-a", slots, cache_tokens
    )


# Learned profile of an engine with a prefill rate of 50,000 tokens per second,
# whose streams get a token every 43.1 ms during prefill.
FIGURES = engine_profiles.EngineProfile(50_000.0, 0.0431)


def demand(
    prompt: tuple[tuple[str, int], ...] = (("a", 100), ("own", 400)),
    **changes: Any,
) -> endpoint_records.Demand:
    """Returns the demand of a request with a short prompt."""
    values: dict[str, Any] = {
        "service": ENGINE,
        "parts": prompt,
        "prompt_tokens": sum(tokens for _, tokens in prompt),
        "zone": "zone-a",
        "is_engine": True,
        "repeatable": False,
        "urgency": 1,
        "shortest_pause_s": 0.25,
        "tokens_per_event": 6,
        "profile": FIGURES,
    }
    values.update(changes)
    return endpoint_records.Demand(**values)
