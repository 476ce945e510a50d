"""The HTTP client for endpoints, on tornado's `curl` client."""

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

# The relay keeps its own time; this only ends what it forgot.
TRANSFER_TIMEOUT = 24 * 3600.0

# Errors that curl reports where no connection came about, provided that no
# byte of the request had left on an earlier one.
_BEFORE_SENDING = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointRequest:
    """A request as an endpoint gets it.

    Attributes:
        method: The HTTP method.
        url: The whole URL, with an IP number.
        headers: Header names and values.
        body: The body, or None.
        once: Whether the request must not be sent twice by the client
            itself, which it otherwise does on a kept connection that turns
            out to be dead.
    """

    method: str
    url: str
    headers: http_headers.Pairs
    body: bytes | None = None
    once: bool = False


class EndpointClient(curl_httpclient.CurlAsyncHTTPClient):
    """Sends requests and hands out their answers as bounded streams."""

    _closing = False

    def __new__(cls, max_clients: int) -> "EndpointClient":
        """Makes a client of its own.

        Args:
            max_clients: Transfers at once. A transfer beyond it would wait
                unseen inside the client, so callers must bound themselves.
        """
        instance = super().__new__(
            cls, force_instance=True, max_clients=max_clients
        )
        return cast(EndpointClient, instance)

    def __init__(self, max_clients: int) -> None:
        """Does nothing: the library initializes from `__new__`."""

    def open(self, request: EndpointRequest) -> streams.EndpointStream:
        """Starts a request; the stream tells how it goes."""
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
            request_timeout=TRANSFER_TIMEOUT,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            prepare_curl_callback=prepare,
        )
        # Whether it fails or not, `_finish` has told the stream by then.
        future = self.fetch(http_request, raise_error=False)
        future.add_done_callback(lambda done: _end(stream, done))
        return stream

    def cancel(self, stream: streams.EndpointStream) -> None:
        """Ends a transfer now and closes its connection."""
        stream.aborted = True
        curl = stream.transfer
        # A handle is used again at once when its transfer ends, which is
        # before the stream hears of it.
        if curl is None or curl.info is None or curl.stream is not stream:
            return
        # The library has no public call for this.
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")

    def close(self) -> None:
        """Cuts every transfer off and frees the client."""
        for curl in self._curls:
            if getattr(curl, "info", None) is not None:
                self.cancel(curl.stream)
        self._closing = True
        super().close()

    def _set_timeout(self, msecs: int) -> None:
        # Closing a transfer makes the library ask for one more call.
        if not self._closing:
            super()._set_timeout(msecs)

    def _finish(
        self,
        curl: Any,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        """Notes what was sent, before the library lets the handle go."""
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
    # On a kept connection that turns out to be dead, libcurl sends a request
    # a second time by itself.
    curl.setopt(pycurl.FRESH_CONNECT, 1 if once else 0)


def _end(
    stream: streams.EndpointStream,
    done: "asyncio.Future[httpclient.HTTPResponse]",
) -> None:
    failure = done.exception()
    if failure is None:
        response = done.result()
        failure = response.error if response.code == FAILED_TRANSFER else None
    stream.on_end(_to_endpoint_error(failure, stream.request_bytes))


def _to_endpoint_error(
    failure: BaseException | None, request_bytes: int
) -> errors.EndpointError | None:
    """Turns an error of the client into one of ours.

    Args:
        failure: The client's error, or None.
        request_bytes: Bytes of the request that left, over all connections.
    """
    if failure is None or isinstance(failure, errors.EndpointError):
        return failure
    number = getattr(failure, "errno", None)
    if number in _BEFORE_SENDING and request_bytes == 0:
        return errors.EndpointNotReachedError(str(failure))
    return errors.EndpointBrokenError(str(failure))


# The status by which tornado marks a transfer that failed.
FAILED_TRANSFER = 599
