"""Reads and parses what a client sends."""

from collections.abc import Callable

import h11

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import close_reports
from martenjunction.http1 import framing
from martenjunction.http1 import read_timers
from martenjunction.http1 import request_errors
from martenjunction.http1 import streams


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
        abort: Callable[[close_reports.CloseReason], None],
    ) -> None:
        """Initializes the input of an accepted connection.

        Args:
            source: Reads from the stream.
            timer: The timeout of the connection.
            max_header_bytes: Maximum size of a head, in bytes.
            abort: Closes the connection.
        """
        self._source = source
        self._timer = timer
        self._abort = abort
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
            ConnectionLostError: If the client disconnected, or did not pause
                until after a timeout.
        """
        if self._timer.expired is not None:
            self._abort(self._timer.expired)
            raise errors.ConnectionLostError("timed out")
        data = await self._source.read()
        self.received += len(data)
        return data

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
