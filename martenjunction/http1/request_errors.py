"""Errors for requests that a server does not pass to its handler."""

from martenjunction import errors
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages


class RequestSyntaxError(errors.HttpSyntaxError):
    """A request is rejected before it is read completely.

    Attributes:
        status: HTTP status of the response.
        reason: Why the connection is closed after it.
    """

    def __init__(
        self,
        status: int,
        message: str,
        reason: close_reports.CloseReason = close_reports.CloseReason.REFUSED,
    ) -> None:
        self.status = status
        self.reason = reason
        super().__init__(message)


class RequestNotTakenError(errors.ConnectionLostError):
    """A request was read completely after its connection was closed.

    Attributes:
        request: The request, whose client no longer waits for it.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        super().__init__(
            "the connection was closed before its request was accepted"
        )
