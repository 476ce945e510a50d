"""Tells which runs are copied to a second engine, and when they resume there.

The second engine holds a copy of the memory of a stream's prompt. If the first
one fails, the run continues there.
"""

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.requests import request_state

# Time, in seconds, from the first event of a run after which its copy is
# assumed to be at the second engine; copies are sent several times a second. A
# run sent there before its copy arrived would run a second time.
MIN_COPY_AGE_S = 0.75

# Maximum size, in bytes, of the prompt memory of a run that is copied. Larger
# copies cost more than they save.
MAX_COPIED_BYTES = 60_000_000


def is_worthwhile(
    service: model.Service,
    route: model.Route,
    demand: endpoint_records.Demand,
) -> bool:
    """Returns whether the memory of a run is copied to a second engine.

    Args:
        service: The service of the request.
        route: The route of the request.
        demand: The resources that it needs.
    """
    engine = service.engine
    return (
        engine is not None
        and engine.keeps_copies
        and not route.repeatable
        and route.kind is model.RouteKind.STREAM
        and not demand.is_long
        and demand.prompt_tokens * engine.cache_token_bytes <= MAX_COPIED_BYTES
    )


def has_arrived(state: request_state.RequestState) -> bool:
    """Returns whether the copy of a run is assumed to be at its engine.

    Args:
        state: The progress of the request.
    """
    return (
        state.first_event_at is not None
        and state.last_event_at - state.first_event_at >= MIN_COPY_AGE_S
    )
