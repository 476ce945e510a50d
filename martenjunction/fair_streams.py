"""Streams of tornado's HTTP server that share the event loop fairly."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import cast

from tornado import httputil
from tornado import iostream

from martenjunction import closing_streams
from martenjunction import errors
from martenjunction import fair_turns
from martenjunction.http1 import framing
from martenjunction.http1 import streams

# Start of an interim response.
_INTERIM = b"HTTP/1.1 100 "


class FairStream(closing_streams.ClosingStream):
    """A server's stream that waits for its turn once its budget is spent.

    tornado's own pauses let each connection go on in each iteration of the
    event loop, and its limit of a body's size does not count the framing. A
    read of a body whose framing outweighs its data raises `HTTPInputError`,
    which tornado answers with 400.

    Attributes:
        has_written: Whether a final response was written, or a part of it,
            since this was last unset.
        request_id: Id of the current request for the log; "" for none.
        on_read_ahead: Called once bytes were read that nobody asked for.
    """

    has_written = False
    request_id = ""
    on_read_ahead: Callable[[], None] | None = None
    _turns: fair_turns.TurnBudget
    _body: framing.ChunkedBody
    _on_excess: Callable[[], None]

    @classmethod
    def over(
        cls, stream: iostream.IOStream, on_excess: Callable[[], None]
    ) -> "FairStream":
        """Returns a stream that replaces one that was not used yet.

        Args:
            stream: The stream to replace.
            on_excess: Called if the framing of a body outweighs its data.
        """
        made = cls(
            stream.socket,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )
        made._turns = fair_turns.TurnBudget()
        made._body = framing.ChunkedBody(0)
        made._on_excess = on_excess
        return made

    @property
    def never_pauses(self) -> bool:
        """Whether the peer sends faster than its share of the event loop.

        What waits in the socket is then no sign that the event loop was
        blocked.
        """
        return self._turns.waiting or self._turns.spent_lately

    @property
    def has_unread(self) -> bool:
        """Whether bytes were read that are not parsed yet."""
        # tornado has no public API for this.
        return self._read_buffer_size > 0

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Writes data; see `IOStream.write`."""
        if bytes(data[: len(_INTERIM)]) != _INTERIM:
            self.has_written = True
        return super().write(data)

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads the head of a request; see `IOStream.read_until_regex`."""
        self._body = framing.ChunkedBody(0)
        reading = super().read_until_regex(regex, max_bytes)
        return self._in_turn(reading, fair_turns.HEAD_COST, None)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads the head of a chunk; see `IOStream.read_until`.

        Raises:
            HTTPInputError: If the framing of the body outweighs its data.
        """
        if self._body.is_excessive(parsed=True):
            self._on_excess()
            raise httputil.HTTPInputError(
                "the framing of a body outweighs its data"
            )
        reading = super().read_until(delimiter, max_bytes)
        return self._in_turn(reading, fair_turns.PART_COST, False)

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Reads data of a body, or the end of a chunk if not partial."""
        reading = super().read_bytes(num_bytes, partial)
        return self._in_turn(reading, fair_turns.PART_COST, partial)

    def _handle_read(self) -> None:
        """Reads what the peer sent.

        tornado does not listen for the end of a connection while its buffer
        holds bytes.
        """
        super()._handle_read()
        if self.on_read_ahead and self.has_unread and not self.reading():
            self.on_read_ahead()

    def _read_from_buffer(self, pos: int) -> None:
        """Ends a read, without its limit being kept for the time after it.

        tornado would read up to the limit of the last head while no read is
        pending, and close at the end that follows a request in the buffer.
        """
        self._read_max_bytes = None
        super()._read_from_buffer(pos)

    def _in_turn(
        self, awaitable: Awaitable[bytes], cost: int, is_data: bool | None
    ) -> Awaitable[bytes]:
        """Returns a read that ends in a turn of this connection.

        Args:
            awaitable: A read of the library.
            cost: Cost of the read, in addition to its bytes.
            is_data: Whether it reads data of a body; None for a head.
        """
        # Tornado's futures are asyncio futures.
        reading = cast("asyncio.Future[bytes]", awaitable)
        if not reading.done():
            self._turns.renew()
            reading.add_done_callback(
                lambda done: self._note(done, cost, is_data)
            )
            return reading
        self._note(reading, cost, is_data)
        if not self._turns.is_spent:
            return reading
        waiting = asyncio.ensure_future(self._wait_for_turn(reading))
        waiting.add_done_callback(streams.retrieve_exception)
        return waiting

    async def _wait_for_turn(self, reading: "asyncio.Future[bytes]") -> bytes:
        await self._turns.pause_if_spent()
        if isinstance(self.error, errors.LocalCloseError):
            raise iostream.StreamClosedError(real_error=self.error)
        return await reading

    def _note(
        self, reading: "asyncio.Future[bytes]", cost: int, is_data: bool | None
    ) -> None:
        """Counts the cost and the bytes of a read that is done."""
        if reading.cancelled() or reading.exception() is not None:
            return
        size = len(reading.result())
        self._turns.spend(cost + size)
        if is_data is not None:
            self._body.note_received(size)
            self._body.note_data(size if is_data else 0)
