"""Protocol of plain services: HTTP passed on as the caller sent it."""

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import client
from martenjunction.endpoints import streams

# Header with which a plain service reports that it did not execute a request
# that it answers with an error.
EXECUTED_HEADER = "X-Request-Ran"


def start(
    address: str,
    method: str,
    path: str,
    headers: http_headers.Pairs,
    body: bytes | None,
    request_id: str,
    once: bool,
) -> client.EndpointRequest:
    """Returns the request to a plain service.

    Args:
        address: IP address and port of the server.
        method: The caller's HTTP method.
        path: Path and query, from the first slash.
        headers: The caller's headers.
        body: The caller's body, or None.
        request_id: Request id.
        once: Whether the client must not retry the request.
    """
    passed = http_headers.endpoint_headers(headers)
    passed.append((http_headers.REQUEST_ID, request_id))
    return client.EndpointRequest(
        method, f"http://{address}{path}", passed, body, once
    )


def check_head(head: streams.ResponseHead, request_id: str) -> None:
    """Checks a response head; a missing request id is accepted.

    Raises:
        EndpointRefusedError: If the service did not execute the request.
        EndpointMismatchError: If the response is to another request.
    """
    answered = head.get(http_headers.REQUEST_ID)
    if answered is not None and answered != request_id:
        raise errors.EndpointMismatchError(f"response is to {answered!r}")
    if head.status == 503 and head.get(EXECUTED_HEADER) == "no":
        raise errors.EndpointRefusedError(
            "status 503, not executed", head.backoff_s
        )
