"""Binds streams that clients take up to where they began."""

import dataclasses

from martenjunction import model
from martenjunction.platform import headers
from martenjunction.routing.access import admission
from martenjunction.routing.requests import offers

# Retry-After, in seconds, if it is not known where a stream began. Another box
# may know it.
RETRY_UNKNOWN_S = 0.1


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
    context: offers.ExchangeContext,
    facts: headers.RequestMetadata,
    state: offers.RequestState,
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
    origin = await context.origins.find(
        state.stream_key, admitted.host, admitted.path
    )
    if origin is not None:
        bound = context.admitter.at_service(admitted, origin.service)
        if bound is not None:
            return StreamBinding(bound, origin.version)
    raise admission.RefusalError(
        503,
        "stream-unknown",
        "it is not known where this stream began",
        RETRY_UNKNOWN_S,
    )
