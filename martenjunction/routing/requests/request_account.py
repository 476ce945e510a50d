"""Records metrics and the log line of a completed request."""

import time

from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.platform import headers
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import request_state

# Maximum number of parts of a prompt that are logged.
MAX_PARTS_LOGGED = 16


def record_result(
    context: exchange_context.ExchangeContext,
    state: request_state.RequestState,
    route: model.Route | None,
    result: str,
    facts: headers.RequestMetadata,
) -> None:
    """Counts a request and writes its log line.

    Args:
        context: The objects shared by all exchanges.
        state: The progress of the request.
        route: The route, or None if the request was not admitted.
        result: The status sent to the client, or why none was sent.
        facts: The decoded headers.
    """
    duration_s = time.monotonic() - state.received_at
    kind = "none" if route is None else route.kind.value
    context.metrics.count("requests", kind=kind, result=result)
    context.metrics.observe("request_s", duration_s, kind=kind)
    served = state.progress.outcome is outcomes.Outcome.DONE
    more = {} if served else _part_fields(facts)
    if len(state.runs) > 1 or not served:
        more["runs"] = state.runs
    if state.continuation:
        more["continuation"] = state.continuation
    context.log.write(
        "request" if served else "request-failed",
        id=state.id,
        route="" if route is None else route.name,
        result=result,
        outcome=state.progress.outcome.value,
        why=state.failure,
        came_back=state.is_retry,
        endpoints=state.offers,
        content=str(state.content),
        ms=round(duration_s * 1000, 1),
        **_timing_fields(state, facts.prompt_tokens),
        **_stream_fields(state, facts),
        **more,
    )


def _part_fields(facts: headers.RequestMetadata) -> dict[str, object]:
    """Returns the parts that a failed request shares with others."""
    shared = [part.id for part in facts.parts[:-1]]
    return {"parts": shared[:MAX_PARTS_LOGGED]} if shared else {}


def _stream_fields(
    state: request_state.RequestState, facts: headers.RequestMetadata
) -> dict[str, object]:
    """Returns the fields that tell where a stream began and was taken up."""
    fields: dict[str, object] = {}
    if state.stream_version is not None:
        fields["stream_version"] = state.stream_version
    if state.resume_from:
        fields["resume_from"] = state.resume_from
        fields["resumes"] = facts.resumes
    return fields


def _timing_fields(
    state: request_state.RequestState, prompt_tokens: int
) -> dict[str, object]:
    """Returns the fields that explain a slow response."""
    fields: dict[str, object] = {"choices": state.choices}
    if prompt_tokens:
        fields["prompt_tokens"] = prompt_tokens
    if state.first_event_at is not None:
        first_s = state.first_event_at - state.received_at
        fields["first_ms"] = round(first_s * 1000, 1)
        fields["pause_ms"] = round(state.longest_pause_s * 1000, 1)
    return fields
