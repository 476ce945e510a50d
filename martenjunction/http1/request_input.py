"""Reads and parses what a client sends."""

import asyncio
import http

import h11

from martenjunction import fair_turns
from martenjunction.http1 import close_reports
from martenjunction.http1 import framing
from martenjunction.http1 import read_timers
from martenjunction.http1 import request_errors
from martenjunction.http1 import streams

REQUEST_TIMEOUT = http.HTTPStatus.REQUEST_TIMEOUT.value


class RequestInput:
    """What a client sends over one connection.

    Attributes:
        parser: Parses requests and frames responses.
        received: Number of bytes that were read.
    """

    def __init__(
        self,
        source: streams.ByteSource,
        timer: read_timers.ReadTimer,
        max_header_bytes: int,
    ) -> None:
        """Initializes the input of an accepted connection.

        Args:
            source: Reads from the stream.
            timer: The timeout of the connection.
            max_header_bytes: Maximum size of a head, in bytes.
        """
        self._source = source
        self._timer = timer
        self._reader: asyncio.Task[object] | None = None
        # Why `expire` cancelled the reader. Unlike the timer's reason it holds
        # until the reader has run, whatever the timer is set to meanwhile.
        self._cancelled_by: close_reports.CloseReason | None = None
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=max_header_bytes
        )
        self.received = 0

    @property
    def turns(self) -> fair_turns.TurnBudget:
        """The turns of the connection."""
        return self._source.turns

    @property
    def unparsed(self) -> bytes:
        """What was read and is not parsed yet."""
        return self.parser.trailing_data[0]

    async def read(self) -> bytes:
        """Waits for data.

        Raises:
            ConnectionLostError: If the client disconnected.
            RequestSyntaxError: If the timeout of the request is over.
        """
        if self._timer.expired is not None:
            raise _too_slow(self._timer.expired)
        self._reader = asyncio.current_task()
        try:
            data = await self._source.read()
        except asyncio.CancelledError:
            reason = self._cancelled_by
            if reason is None or self._is_cancelled_otherwise():
                raise
            raise _too_slow(reason) from None
        finally:
            self._reader = self._cancelled_by = None
        self.received += len(data)
        return data

    def expire(self, reason: close_reports.CloseReason) -> None:
        """Ends the read of a request whose timeout is over.

        Args:
            reason: Which timeout it is.
        """
        self._timer.expired = reason
        if self._reader is not None and self._cancelled_by is None:
            self._cancelled_by = reason
            self._reader.cancel()

    def _is_cancelled_otherwise(self) -> bool:
        """Takes the request of `expire` back; returns whether others remain."""
        assert self._reader is not None
        return self._reader.uncancel() > 0

    def next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        """Returns the next part of a request, or that data is needed.

        Raises:
            RequestSyntaxError: If the data is not a valid request.
        """
        try:
            event = self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise request_errors.RequestSyntaxError(
                error.error_status_hint, str(error)
            ) from error
        if framing.has_too_many_fields(event):
            raise request_errors.RequestSyntaxError(
                431, "too many header fields"
            )
        return event  # type: ignore[return-value]


def _too_slow(
    reason: close_reports.CloseReason,
) -> request_errors.RequestSyntaxError:
    """Returns the error that rejects a request whose timeout is over."""
    return request_errors.RequestSyntaxError(
        REQUEST_TIMEOUT, "too slow", reason
    )
