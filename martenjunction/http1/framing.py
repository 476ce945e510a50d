"""Checks that the framing of a request is unambiguous."""

from martenjunction.http1 import messages
from martenjunction.http1 import request_errors


def check(request: messages.Request, max_body_bytes: int) -> int | None:
    """Rejects framing that two parsers could interpret differently.

    Args:
        request: The request, with its head read.
        max_body_bytes: Maximum size of the body.

    Returns:
        The length of the body in bytes, or None if it is chunked.

    Raises:
        RequestSyntaxError: If the framing is ambiguous or the body too large.
    """
    names = [name.lower() for name, _ in request.headers]
    coded = names.count(b"transfer-encoding")
    lengths = names.count(b"content-length")
    if coded > 1 or lengths > 1 or (coded and lengths):
        raise request_errors.RequestSyntaxError(400, "ambiguous framing")
    if coded:
        return None
    length = int(messages.header(request.headers, b"content-length") or 0)
    if length > max_body_bytes:
        raise request_errors.RequestSyntaxError(413, "request body too large")
    return length
