"""Headers of a daemon's responses that concern their connection."""

from typing import cast

from tornado import http1connection
from tornado import httputil
from tornado import web


class ConnectionHeaders(web.OutputTransform):
    """Tells callers how long their connection may rest.

    A response says `Connection: close` after `disable_keep_alive`, and if its
    request is not read by then: tornado closes the connection after it.
    """

    def __init__(
        self, told_s: int | None, request: httputil.HTTPServerRequest
    ) -> None:
        """Initializes the transform of one response.

        Args:
            told_s: Seconds to tell, or None for nothing.
            request: The request.
        """
        self._told_s = told_s
        connection = cast(http1connection.HTTP1Connection, request.connection)
        self._connection = connection
        self._persists = (
            request.version == "HTTP/1.1"
            and "close" not in request.headers.get("Connection", "").lower()
        )

    def transform_first_chunk(
        self,
        status_code: int,
        headers: httputil.HTTPHeaders,
        chunk: bytes,
        finishing: bool,
    ) -> tuple[int, httputil.HTTPHeaders, bytes]:
        """Adds the headers; see `web.OutputTransform`."""
        # tornado has no public API for the second.
        if (
            self._connection.params.no_keep_alive
            or not self._connection._read_finished
        ):
            headers["Connection"] = "close"
        elif (
            self._told_s is not None
            and self._persists
            and "Connection" not in headers
        ):
            headers["Connection"] = "keep-alive"
            headers["Keep-Alive"] = f"timeout={self._told_s}"
        return status_code, headers, chunk
