"""Why a request that came to a server is not handed on."""

from martenjunction import errors
from martenjunction.http1 import messages


class RequestSyntaxError(errors.HttpSyntaxError):
    """A request is refused before it is read in full.

    Attributes:
        status: The HTTP status to answer with.
    """

    def __init__(self, status: int, message: str) -> None:
        self.status = status
        super().__init__(message)


class RequestNotTakenError(errors.ConnectionLostError):
    """The connection had ended when its request was read in full.

    Attributes:
        request: The request, which nobody waits for.
    """

    def __init__(self, request: messages.Request) -> None:
        self.request = request
        super().__init__("the connection ended before its request was taken")
