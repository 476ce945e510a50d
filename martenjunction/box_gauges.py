"""The metrics of a box, as values of its parts."""

from martenjunction import box_parts
from martenjunction import fair_turns
from martenjunction.http1 import server


def metrics_text(
    box: box_parts.BoxParts, held: int, callers: server.Server
) -> bytes:
    """Returns all metrics of a box in text format.

    Args:
        box: The parts of the box.
        held: Requests in flight.
        callers: The server for callers.
    """
    # Imported on first use because it takes 2 MB of memory, which matters
    # on a small box.
    from martenjunction import metrics_text as text_format

    calls = box.store.calls
    turns = fair_turns.current_queue()
    now = box.timers.now()
    return text_format.render(
        box.metrics,
        {
            "held_requests": float(held),
            "endpoint_runs": float(box.registry.runs.running),
            "endpoint_connections_opened": float(box.pool.total_opened),
            **{
                f"endpoint_connections_{cause.replace('-', '_')}": float(count)
                for cause, count in box.pool.failed.items()
            },
            "tunnels_opened": float(box.tunnel_dialer.opened),
            "tunnels_failed": float(box.tunnel_dialer.failed),
            "tunnels_open_for_peers": float(box.tunnels.open),
            "tunnels_served": float(box.tunnels.served),
            "endpoints_listed": float(len(box.endpoint_list.entries)),
            "endpoints_ejected": float(box.registry.health.ejected_count()),
            "store_calls": float(sum(calls.values())),
            "config_version": float(box.store_cache.version),
            "repeats_refused": float(box.budget.refused),
            "endpoints_leaving": float(len(box.endpoint_list.leaving)),
            "endpoints_resting": float(box.registry.health.backoff_count(now)),
            "endpoints_limited": float(
                len(box.registry.table.limits.limited())
            ),
            "endpoints_brittle": float(
                len(box.registry.table.brittle.limited())
            ),
            "grants_given": float(box.grants.granted),
            "grants_refused": float(box.grants.refused),
            "stream_origins": float(box.origins.count),
            "suspects": float(len(box.quarantine.dump())),
            "quarantined_refused": float(box.quarantine.refused),
            "suspected_parts": float(len(box.parts.dump())),
            "quarantined_parts_refused": float(box.parts.refused),
            "store_returns": float(box.store_cache.store_returns),
            "entries_unreadable": float(box.store_cache.unreadable),
            "loop_delay_s": box.timers.worst_delay,
            "turn_waits": float(turns.waits),
            "turn_longest_wait_s": turns.longest_wait_s,
            "caller_connections": float(callers.connections),
            **callers.ledger.gauges(),
            **box.archive.gauges(),
            **box.connection_log.gauges(),
            **box.bodies.gauges(),
            **box.answers.gauges(),
            **box.memory.gauges(),
            **box.duties.counters(),
        },
    )
