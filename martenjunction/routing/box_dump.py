"""Collects the state of a box's components for the operators' dump."""

from typing import Any

from martenjunction.decisions.boxes import config_freshness
from martenjunction.endpoints import pool
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.platform import store
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import store_cache


def component_states(
    cache: store_cache.StoreCache,
    freshness: config_freshness.ConfigFreshness,
    client: store.StoreClient,
    registry: endpoint_registry.EndpointRegistry,
    connections: pool.EndpointPool,
    peers: hub.PeerHub,
    members: membership.Membership,
    log: decision_log.DecisionLog,
    now: float,
) -> dict[str, Any]:
    """Returns the state of the components, without API keys.

    Args:
        cache: The local copy of the store's state.
        freshness: The age of the configuration.
        client: The store's client.
        registry: The endpoints and their records.
        connections: Connections to the endpoints.
        peers: Connections to the other boxes.
        members: The boxes of the fleet.
        log: The log.
        now: The current time on the steady clock in seconds.
    """
    return {
        "config": {"version": cache.version, "age_s": freshness.age_s(now)},
        "store": {
            "answers": cache.store_answers,
            "calls": client.calls,
            "era": client.era,
            "returns": cache.store_returns,
        },
        "endpoints": {
            endpoint_id: {
                "state": listed.endpoint.state.value,
                "service": listed.endpoint.service,
                "lapsed": listed.lapsed,
                "era": listed.revision.era,
                "revision": listed.revision.number,
                "connections": connections.open_connections(endpoint_id),
            }
            for endpoint_id, listed in registry.table.listed.entries.items()
        },
        "records": {
            record.id: {
                "running": record.loads.own_running,
                "failures": round(record.failures.value, 3),
                "slowness": round(record.slowness.value, 3),
                "health": record.health.state.value,
                "rests_s": round(record.refusals.backoff_until - now, 3)
                if now < record.refusals.backoff_until
                else 0.0,
            }
            for record in registry.table.records.values()
        },
        "leaving": registry.table.listed.leaving,
        "engines": registry.table.engines.dump(now),
        "peers": {
            member.box: peers.is_connected(member.box)
            for member in members.members.values()
        },
        "log_lines_left_out": log.dropped,
    }
