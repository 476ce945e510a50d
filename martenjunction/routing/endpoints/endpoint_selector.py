"""Selects endpoints for requests."""

from typing import Any

from martenjunction.decisions.boxes import endpoint_choice


def describe(choice: endpoint_choice.Choice) -> dict[str, Any]:
    """Returns the inputs of an endpoint selection, for the log."""
    return {
        "endpoint": choice.record.id,
        "predicted_ms": round(choice.predicted_s * 1000, 1),
        "unread": choice.prefill_tokens,
        "running": choice.running,
        "ahead": choice.tokens_ahead,
        "debt": choice.debt,
        "short": choice.short_running,
        "hold_ms": round(choice.record.hold_s.value * 1000, 1),
        "slowness": round(choice.record.slowness.value, 2),
        "failing": round(choice.failure_part, 2),
    }
