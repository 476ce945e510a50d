"""Edits of a configuration that change or take away what a request needs."""

from collections.abc import Callable
from typing import Any

from tests import routing_builders as builders

Document = dict[str, Any]
Edit = Callable[[Document, str], None]


def _routes(document: Document, kind: str) -> list[Document]:
    """Returns the route of a kind of requests, unless it was removed."""
    return [route for route in document["routes"] if route["name"] == kind]


def _remove_route(document: Document, kind: str) -> None:
    for route in _routes(document, kind):
        document["routes"].remove(route)


def _replace_service(document: Document, kind: str) -> None:
    for route in _routes(document, kind):
        is_plain = route.get("service") == builders.PLAIN
        route["service"] = builders.ENGINE if is_plain else builders.PLAIN


def _split_route(document: Document, kind: str) -> None:
    for route in _routes(document, kind):
        own = route.pop("service", builders.PLAIN)
        route["split"] = [
            {"service": own, "weight": 0.0},
            {"service": "unknown", "weight": 1.0},
        ]


def _services(document: Document, kind: str) -> list[Document]:
    """Returns the service of a kind of requests, unless it was removed."""
    names = {route.get("service") for route in _routes(document, kind)}
    return [s for s in document["services"] if s["name"] in names]


def _remove_service(document: Document, kind: str) -> None:
    for service in _services(document, kind):
        document["services"].remove(service)


def _replace_engine(document: Document, kind: str) -> None:
    for service in _services(document, kind):
        if service.pop("engine", None) is None:
            service["engine"] = {"slots": 1, "kv_capacity": 10, "kv_bytes": 1}


def _forbid_connections(document: Document, kind: str) -> None:
    for service in _services(document, kind):
        service["max_conns"] = 0


def _tenants(document: Document) -> list[Document]:
    """Returns the tenant of the requests, unless it was removed."""
    tenants = document["tenants"] or []
    return [tenant for tenant in tenants if tenant["name"] == "one"]


def _move_key(document: Document, kind: str) -> None:
    for tenant in _tenants(document):
        moved = {"name": "three", "api_keys": tenant["api_keys"]}
        tenant["api_keys"] = []
        document["tenants"].append(moved)


def _set_tenant(**fields: Any) -> Edit:
    def edit(document: Document, kind: str) -> None:
        for tenant in _tenants(document):
            tenant.update(fields)

    return edit


def _set_route(**fields: Any) -> Edit:
    def edit(document: Document, kind: str) -> None:
        for route in _routes(document, kind):
            route.update(fields)

    return edit


def _set_limit(**fields: Any) -> Edit:
    return lambda document, _: document["limits"].update(fields)


def _set(**fields: Any) -> Edit:
    return lambda document, _: document.update(fields)


# Edits of the configuration's document, for a request of a route.
EDITS: dict[str, Edit] = {
    "key-removed": _set_tenant(api_keys=[]),
    "key-moved": _move_key,
    "tenant-priority": _set_tenant(priority=9),
    "tenant-quota": _set_tenant(quota=0, quota_per_s=0),
    "tenants-removed": _set(tenants=[]),
    "no-tenants": _set(tenants=None),
    "body-bytes": _set_limit(max_body_bytes=1),
    "header-bytes": _set_limit(max_header_bytes=16),
    "idle-time": _set_limit(idle_timeout_ms=20),
    "header-time": _set_limit(header_timeout_ms=20),
    "route-removed": _remove_route,
    "no-routes": _set(routes=[]),
    "route-service": _replace_service,
    "route-split": _split_route,
    "route-timeout": _set_route(timeout_ms=20),
    "route-attempts": _set_route(max_attempts=0),
    "route-host": _set_route(host="other.example"),
    "route-prefix": _set_route(path_prefix="/other/"),
    "route-plain": _set_route(route_kind="unsafe"),
    "route-stream": _set_route(route_kind="streaming", resumable=False),
    "route-public": _set_route(public=True),
    "service-removed": _remove_service,
    "no-services": _set(services=[]),
    "service-connections": _forbid_connections,
    "service-engine": _replace_engine,
}
