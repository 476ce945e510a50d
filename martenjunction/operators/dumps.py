"""State of a daemon's components as JSON-serializable data."""

from typing import Any

from martenjunction.cells import broker
from martenjunction.cells import host
from martenjunction.claims import keeper
from martenjunction.config import store
from martenjunction.decisions import classification
from martenjunction.decisions.cells import placement
from martenjunction.objects import client as object_client
from martenjunction.objects import feed
from martenjunction.peers import hub
from martenjunction.peers import membership


def of_cells(cells: host.CellHost) -> dict[str, Any]:
    """Returns the cells that run on this daemon."""
    return {
        name: {
            "waiting": task.dispatcher.waiting,
            "running": task.dispatcher.running,
            "granted": task.dispatcher.counts.granted,
            "shed": task.dispatcher.counts.shed,
            "shed_by_tier": task.dispatcher.counts.shed_by_tier,
            "preempted": task.dispatcher.counts.preempted,
            "ejected": task.dispatcher.counts.ejected,
            "endpoints": {
                endpoint.name: of_endpoint(endpoint)
                for endpoint in task.dispatcher.endpoints.values()
            },
        }
        for name, task in cells.tasks.items()
    }


def of_endpoint(endpoint: placement.Endpoint) -> dict[str, Any]:
    """Returns the state of an endpoint in its cell."""
    return {
        "state": str(endpoint.health.state),
        "slots": endpoint.slots,
        "ours": len(endpoint.runs),
        "busy": endpoint.busy,
        "ratio": round(endpoint.health.ratio, 2),
        "faults": endpoint.health.faults,
        "interval_ms": round(endpoint.speed.interval_s.value * 1000, 1),
    }


def of_broker(cell_broker: broker.Broker) -> dict[str, Any]:
    """Returns the state of this box's requests to cells."""
    states: dict[str, int] = {}
    for ticket in cell_broker.tickets.values():
        states[ticket.state.value] = states.get(ticket.state.value, 0) + 1
    return {
        "asked": cell_broker.counts.asked,
        "moved": cell_broker.counts.moved,
        "returned": cell_broker.counts.returned,
        "tickets": states,
        "owners": cell_broker.current_owners,
    }


def of_members(members: membership.Membership) -> dict[str, Any]:
    """Returns the members that this daemon knows and whether they are live."""
    live = {member.box for member in members.live_members()}
    return {
        member.box: {
            "zone": member.zone,
            "believed": member.box in live,
            "listed": member.listed,
            "leaving": member.leaving_since is not None,
            "incarnation": member.incarnation,
        }
        for member in members.members.values()
    }


def of_peers(peers: hub.PeerHub) -> dict[str, Any]:
    """Returns peer connections and their traffic."""
    traffic = peers.traffic()
    return {
        "connected": sorted(peers.boxes()),
        "refused": peers.refused,
        "messages_in": traffic.messages_in,
        "messages_out": traffic.messages_out,
        "bytes_in": traffic.bytes_in,
        "bytes_out": traffic.bytes_out,
        "messages_out_by_kind": dict(traffic.by_kind),
    }


def of_config(config_store: store.ConfigStore) -> dict[str, Any]:
    """Returns the state of the active configuration."""
    return {
        "revision": config_store.revision,
        "digest": f"{config_store.digest:016x}",
        "objects": len(config_store),
        "rejected": config_store.rejected,
    }


def of_policies(classifier: classification.Classifier) -> dict[str, Any]:
    """Returns call and failure counts of the policies."""
    programs = {
        program.name: {
            "calls": program.calls,
            "failures": program.failures,
            "last_error": program.last_error,
        }
        for program in classifier.programs()
    }
    return {"programs": programs, "broken": classifier.broken}


def of_claims(claims: keeper.ClaimKeeper) -> dict[str, Any]:
    """Returns the claim shards that this daemon has owned."""
    return {
        str(number): {"writes": shard.writes, "conflicts": shard.conflicts}
        for number, shard in claims.owned.items()
    }


def of_platform(
    platform_feed: feed.PlatformFeed,
    platform: object_client.ObjectClient,
    watcher: bool,
) -> dict[str, Any]:
    """Returns the state of this daemon's platform feed and API calls."""
    return {
        "configured": True,
        "watcher": watcher,
        "answered_ago_s": platform_feed.last_response_age,
        "failures": platform_feed.failures,
        "calls": platform.calls,
    }
