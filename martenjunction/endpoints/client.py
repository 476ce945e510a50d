"""HTTP client for endpoints, based on tornado's `curl` client."""

import asyncio
import dataclasses
from typing import Any
from typing import cast

import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import streams

CONNECT_TIMEOUT = 1.0

# The relay enforces its own timeouts; this is a safety net for leaked
# transfers.
TRANSFER_TIMEOUT_S = 24 * 3600.0

# Seconds for a request whose response nobody reads.
NOTICE_TIMEOUT_S = 5.0

# Errors that curl reports if no connection was established, provided that no
# byte of the request was sent over an earlier connection.
_BEFORE_SENDING = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """A request to an endpoint.

    Attributes:
        method: HTTP method.
        url: Complete URL, with an IP address.
        headers: Header names and values.
        body: The body, or None.
        once: Whether to forbid the retry that libcurl performs by itself if a
            reused connection turns out to be closed.
    """

    method: str
    url: str
    headers: http_headers.Pairs
    body: bytes | None = None
    once: bool = False


class EndpointClient(curl_httpclient.CurlAsyncHTTPClient):
    """Sends requests and returns their responses as bounded streams."""

    _closing = False

    def __new__(cls, max_clients: int) -> "EndpointClient":
        """Creates a separate client instance.

        Args:
            max_clients: Maximum number of concurrent transfers. Further
                transfers would queue invisibly inside the client, so callers
                must limit themselves.
        """
        instance = super().__new__(
            cls, force_instance=True, max_clients=max_clients
        )
        return cast(EndpointClient, instance)

    def __init__(self, max_clients: int) -> None:
        """Does nothing: the library initializes in `__new__`."""

    def open(self, request: EndpointRequest) -> streams.EndpointStream:
        """Starts a request; the stream provides the response or an error."""
        stream = streams.EndpointStream()

        def prepare(curl: Any) -> None:
            _prepare(curl, stream, request.once)

        headers = httputil.HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        http_request = httpclient.HTTPRequest(
            request.url,
            method=request.method,
            headers=headers,
            body=request.body,
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=TRANSFER_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=prepare,
        )
        # On success and on failure, `_finish` has set `request_bytes` of the
        # stream by then.
        future = self.fetch(http_request, raise_error=False)
        future.add_done_callback(lambda done: _report_end(stream, done))
        return stream

    def notify(self, request: EndpointRequest) -> None:
        """Sends a request whose response nobody reads."""
        stream = self.open(request)
        self.io_loop.call_later(NOTICE_TIMEOUT_S, self.cancel, stream)

    def cancel(self, stream: streams.EndpointStream) -> None:
        """Cancels a transfer immediately and closes its connection."""
        stream.aborted = True
        curl = stream.transfer
        # The library reuses a handle as soon as its transfer ends, before the
        # stream is notified.
        if curl is None or curl.info is None or curl.stream is not stream:
            return
        # The library has no public method for this.
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")

    def close(self) -> None:
        """Cancels all transfers and closes the client."""
        for curl in self._curls:
            if getattr(curl, "info", None) is not None:
                self.cancel(curl.stream)
        self._closing = True
        super().close()

    def _set_timeout(self, msecs: int) -> None:
        # Closing a transfer makes libcurl set one more timeout.
        if not self._closing:
            super()._set_timeout(msecs)

    def _finish(
        self,
        curl: Any,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """Records the bytes sent before the library releases the handle."""
        curl.stream.request_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        super()._finish(curl, curl_error, curl_message)


def _prepare(curl: Any, stream: streams.EndpointStream, once: bool) -> None:
    if stream.aborted:
        raise errors.EndpointNotReachedError("cancelled before it was sent")
    stream.on_start(curl)
    curl.stream = stream
    curl.setopt(pycurl.HEADERFUNCTION, stream.on_header)
    curl.setopt(pycurl.WRITEFUNCTION, stream.on_body)
    curl.setopt(pycurl.NOPROXY, "*")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    # If a reused connection turns out to be closed, libcurl retries the request
    # by itself.
    curl.setopt(pycurl.FRESH_CONNECT, 1 if once else 0)


def _report_end(
    stream: streams.EndpointStream,
    done: "asyncio.Future[httpclient.HTTPResponse]",
) -> None:
    failure = done.exception()
    if failure is None:
        response = done.result()
        failure = (
            response.error if response.code == FAILED_TRANSFER_STATUS else None
        )
    stream.on_end(_to_endpoint_error(failure, stream.request_bytes))


def _to_endpoint_error(
    failure: BaseException | None, request_bytes: int
) -> errors.EndpointError | None:
    """Converts an error of the client library to an endpoint error.

    Args:
        failure: Error of the library, or None.
        request_bytes: Bytes of the request sent, over all connections.
    """
    if failure is None or isinstance(failure, errors.EndpointError):
        return failure
    number = getattr(failure, "errno", None)
    if number in _BEFORE_SENDING and request_bytes == 0:
        return errors.EndpointNotReachedError(str(failure))
    return errors.EndpointBrokenError(str(failure))


# Status with which tornado marks a failed transfer.
FAILED_TRANSFER_STATUS = 599
