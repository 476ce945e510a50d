"""Binds streams that clients take up to where they began."""

import dataclasses

from martenjunction import model
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import request_state

# Retry-After, in seconds, if it may be found out soon where a stream began: a
# box that starts connects to the others, or reads the records in the store.
RETRY_STARTING_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class StreamBinding:
    """What a request that takes up a stream is bound to.

    Attributes:
        admitted: The admission to the service where the stream began.
        version: The software version that began it; None for a new stream.
    """

    admitted: admission.Admission
    version: str | None = None


async def bind(
    context: exchange_context.ExchangeContext,
    facts: headers.RequestMetadata,
    state: request_state.RequestState,
    admitted: admission.Admission,
) -> StreamBinding:
    """Returns what a request is bound to by the stream that it takes up.

    Args:
        context: The objects shared by all exchanges.
        facts: The decoded headers.
        state: The progress of the request.
        admitted: The admitted request.

    Raises:
        RefusalError: If no box can tell where the stream began, or if the route
            does not lead there any more.
    """
    takes_up = facts.resume_from or facts.resumes
    if admitted.route.kind is not model.RouteKind.STREAM or not takes_up:
        return StreamBinding(admitted)
    answer = await context.origins.find(
        state.stream_key, admitted.host, admitted.path
    )
    if answer.origin is not None:
        bound = context.admitter.at_service(admitted, answer.origin.service)
        if bound is not None:
            return StreamBinding(bound, answer.origin.version)
    raise admission.RefusalError(
        503,
        "stream-unknown",
        "it is not known where this stream began",
        _retry_after_s(state, admitted, is_final=answer.is_final),
    )


def _retry_after_s(
    state: request_state.RequestState,
    admitted: admission.Admission,
    *,
    is_final: bool,
) -> float:
    """Returns after how many seconds asking again can succeed.

    If it never can, that is the time for which the client waits.
    """
    if not is_final:
        return RETRY_STARTING_S
    return max(
        RETRY_STARTING_S, state.client_waits_s or admitted.route.timeout_s
    )
