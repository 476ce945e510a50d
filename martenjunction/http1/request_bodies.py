"""Reads the bodies of requests, as far as they are read at all."""

from collections.abc import Callable

import h11

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import body_gate
from martenjunction.http1 import close_reports
from martenjunction.http1 import discarding
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import read_timers
from martenjunction.http1 import request_errors
from martenjunction.http1 import request_input

# Maximum seconds between two reads of a request body.
BODY_TIMEOUT_S = 10.0


class BodyReader:
    """Reads the bodies of the requests of one connection.

    Attributes:
        unread: Whether the body of the current request is not read.
    """

    def __init__(
        self,
        received: request_input.RequestInput,
        timer: read_timers.ReadTimer,
        limits: Callable[[], messages.ClientLimits],
        gate: body_gate.BodyGate,
        write_event: Callable[[h11.Event], None],
    ) -> None:
        """Initializes the reader.

        Args:
            received: What the client sends.
            timer: The timeout of the connection.
            limits: Returns the current limits for clients.
            gate: Grants the memory of request bodies.
            write_event: Writes an interim response.
        """
        self._input = received
        self._timer = timer
        self._limits = limits
        self._gate = gate
        self._write_event = write_event
        self.unread = False
        # Where the current body ends at the latest, in bytes received.
        self._end = 0
        self._is_length_known = True
        self._lacks_memory = False
        # Reservations of the current body that count its buffers.
        self._buffered = 0

    @property
    def is_length_known(self) -> bool:
        """Whether the length of the current body is known."""
        return self._is_length_known

    @property
    def rest(self) -> int:
        """Bytes of the current body that may still come if it is not read.

        If its length is not known, it may have any that is allowed, but none
        are waited for if there was no memory for it.
        """
        if not self.unread or (
            self._lacks_memory and not self._is_length_known
        ):
            return 0
        return max(0, self._end - self._input.received)

    async def take(
        self, request: messages.Request, length: int | None, max_bytes: int
    ) -> messages.Body:
        """Reads a body, as far as it is read at all.

        Args:
            request: The request, with its head read.
            length: The length of the body in bytes, or None if it is chunked.
            max_bytes: The most bytes that the body can have.
        """
        size = max_bytes if length is None else length
        begins = self._input.received - len(self._input.unparsed)
        self._end = begins + size
        self._is_length_known = length is not None
        self._lacks_memory = False
        if length is not None and self._leaves_unread(request, length):
            return b""
        if length is None and self._gate.refuses(request):
            # More is not read unless the request is admitted by then.
            size = min(size, discarding.MAX_READ_BYTES)
        try:
            return await self._read(request, length, size, max_bytes)
        finally:
            if self._buffered:
                self._gate.end_read(self._buffered)
                self._buffered = 0

    async def _read(
        self,
        request: messages.Request,
        length: int | None,
        size: int,
        max_bytes: int,
    ) -> messages.Body:
        """Reads a body once there is memory for `size` bytes of it."""
        await self._reserve(request, size)
        if length is not None and self._leaves_unread(request, length):
            return b""
        if self._input.parser.they_are_waiting_for_100_continue:
            self._write_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        chunked = None
        if length is None:
            chunked = framing.ChunkedBody(len(self._input.unparsed))
        return await self._read_body(request, chunked, max_bytes)

    def reduce_reserved(self, request: messages.Request, size: int) -> None:
        """Gives back memory of a request beyond a number of bytes."""
        if request.reserved > size:
            self._gate.release(request.reserved - size)
            request.reserved = size

    def _leaves_unread(self, request: messages.Request, size: int) -> bool:
        """Leaves the rest of a large body unread if its request is refused.

        Args:
            request: The request.
            size: What is known of the size of its body, in bytes.
        """
        if size <= discarding.MAX_READ_BYTES:
            return False
        if request.discarded or self._gate.refuses(request):
            request.discarded = self.unread = True
        return self.unread

    async def _reserve(self, request: messages.Request, size: int) -> None:
        """Waits for memory for `size` more bytes of a body."""
        if size <= 0:
            return
        reservation = await self._gate.reserve(request, size)
        request.reserved += reservation.size
        self._buffered += reservation.buffered
        request.discarded = self._lacks_memory = not reservation.keeps_body

    async def _read_body(
        self,
        request: messages.Request,
        chunked: framing.ChunkedBody | None,
        max_bytes: int,
    ) -> messages.Body:
        body = bytearray()
        try:
            return await self._read_parts(body, request, chunked, max_bytes)
        except BaseException:
            # The exception keeps its frames, and with them the body, until the
            # client has its refusal.
            body.clear()
            raise

    async def _read_parts(
        self,
        body: bytearray,
        request: messages.Request,
        chunked: framing.ChunkedBody | None,
        max_bytes: int,
    ) -> messages.Body:
        size = 0
        decided = chunked is None
        turns = self._input.turns
        while True:
            await turns.pause_if_spent()
            if chunked is not None:
                unparsed = self._input.unparsed
                chunked.scan(unparsed)
                if chunked.has_too_many_lines(unparsed):
                    raise request_errors.RequestSyntaxError(
                        431, "too many header fields"
                    )
            event = self._input.next_event()
            if isinstance(event, h11.Data):
                turns.spend(fair_turns.PART_COST)
                size += len(event.data)
                if chunked is not None:
                    chunked.note_data(len(event.data), event.chunk_end)
                    _check_framing(chunked, parsed=False)
                if not request.discarded:
                    body += event.data
                if size > self._limits().max_body_bytes:
                    raise request_errors.RequestSyntaxError(
                        413, "request body too large"
                    )
                if not decided and size > discarding.MAX_READ_BYTES:
                    decided = True
                    self._timer.cancel()
                    if self._leaves_unread(request, size):
                        return b""
                    await self._reserve(request, max_bytes - request.reserved)
                    if self._leaves_unread(request, size):
                        return b""
            elif isinstance(event, h11.EndOfMessage):
                turns.spend(fair_turns.PART_COST)
                self._timer.cancel()
                return body
            elif event is h11.NEED_DATA:
                self._timer.set(
                    BODY_TIMEOUT_S, close_reports.CloseReason.SLOW_BODY
                )
                if chunked is not None:
                    _check_framing(chunked, parsed=True)
                data = await self._input.read()
                if chunked is not None:
                    chunked.note_received(len(data))
                self._input.parser.receive_data(data)
            else:
                raise errors.ConnectionLostError("closed within a request body")


def _check_framing(body: framing.ChunkedBody, parsed: bool) -> None:
    """Rejects a body whose framing outweighs its data.

    Raises:
        RequestSyntaxError: If it does.
    """
    if body.is_excessive(parsed):
        raise request_errors.RequestSyntaxError(
            400,
            "the framing of a body outweighs its data",
            close_reports.CloseReason.FRAMING,
        )
