"""How plain services are spoken to: HTTP as the caller sent it."""

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import client
from martenjunction.endpoints import streams

# By this header a plain service says that it did not run a request that it
# answers with an error.
RAN_HEADER = "X-Request-Ran"


def start(
    address: str,
    method: str,
    path: str,
    headers: http_headers.Pairs,
    body: bytes | None,
    request_id: str,
    once: bool,
) -> client.EndpointRequest:
    """Returns the request that a plain service gets.

    Args:
        address: IP number and port of the server.
        method: The caller's method.
        path: Path and query, from the first slash.
        headers: The caller's headers.
        body: The caller's body, or None.
        request_id: The request's id.
        once: Whether it must never be sent twice.
    """
    passed = http_headers.to_endpoint(headers)
    passed.append((http_headers.REQUEST_ID, request_id))
    return client.EndpointRequest(
        method, f"http://{address}{path}", passed, body, once
    )


def check_head(head: streams.ResponseHead, request_id: str) -> None:
    """Accepts any answer that is not known to belong to another request.

    Raises:
        EndpointRefusedError: If the service says that it did not run it.
        EndpointMismatchError: If the answer is to another request.
    """
    answered = head.get(http_headers.REQUEST_ID)
    if answered is not None and answered != request_id:
        raise errors.EndpointMismatchError(f"the answer is to {answered!r}")
    if head.status == 503 and head.get(RAN_HEADER) == "no":
        raise errors.EndpointRefusedError("status 503, not run", head.rest_s)
