"""Websockets that share the event loop fairly with other connections.

The library parses all frames of a read at once: a read of 256 KB may hold
43,690 empty frames, and their sender need not be authenticated.
"""

import asyncio
from typing import Any

from websockets import exceptions as ws_exceptions
from websockets import frames
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws
from websockets.asyncio import server as ws_server

from martenjunction import fair_turns

# Bytes that are parsed at once: they grow while each piece holds few frames.
# The smallest holds 21 empty frames of a client, the largest 341.
MIN_PIECE_BYTES = 128
MAX_PIECE_BYTES = 2048

# Frames in a piece above which the next piece is the smallest again.
FEW_FRAMES = 4

# Pings that a peer may send while what waits for it exceeds the write limit:
# the answer to each would wait as well.
MAX_UNREAD_PINGS = 64

# Bytes that are read on after this side has ended what was sent to it, so that
# the peer may see why.
MAX_DISCARDED_BYTES = 256 * 1024

# Close codes for malformed and for too large frames.
_FRAMING_CODES = {
    frames.CloseCode.PROTOCOL_ERROR,
    frames.CloseCode.INVALID_DATA,
    frames.CloseCode.MESSAGE_TOO_BIG,
}


class _FairConnection(ws.Connection):
    """Parses what it receives in pieces, within a budget a turn."""

    @property
    def _must_wait(self) -> bool:
        """Whether no more frames may be parsed in this turn."""
        return (
            self._turns.is_spent
            or self.recv_messages.paused
            or self.transport.is_closing()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begins to receive."""
        super().connection_made(transport)
        self._turns = fair_turns.TurnBudget()
        self._unparsed = bytearray()
        self._piece_bytes = MIN_PIECE_BYTES
        self._frames = 0
        self._unread_pings = 0
        self._discarded = 0
        self._parsing = False
        self._waiting: asyncio.Task[None] | None = None
        # The queue of frames resumes reading; unparsed bytes go first.
        self.recv_messages.resume = self._parse

    def data_received(self, data: bytes) -> None:
        """Receives bytes, some of which may be parsed in later turns."""
        if self._waiting is None:
            # A loop reads from each connection once in an iteration.
            self._turns.renew()
        if self.protocol.close_expected():
            self._discarded += len(data)
        if self._discarded > MAX_DISCARDED_BYTES:
            self.transport.abort()
            return
        self._unparsed += data
        self._parse()

    def process_event(self, event: Any) -> None:
        """Processes a frame or a message of the handshake."""
        self._frames += 1
        self._turns.spend(
            fair_turns.PART_COST
            if isinstance(event, frames.Frame)
            else fair_turns.HEAD_COST
        )
        super().process_event(event)
        if (
            isinstance(event, frames.Frame)
            and event.opcode is frames.Opcode.PING
        ):
            self._note_ping()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection; what is not parsed yet is discarded."""
        self._unparsed.clear()
        if self._waiting is not None:
            self._waiting.cancel()
        super().connection_lost(exc)

    def _note_ping(self) -> None:
        """Ends the connection of a peer that pings on and reads nothing."""
        # `paused` is the library's: whether writing is paused.
        self._unread_pings = self._unread_pings + 1 if self.paused else 0
        if self._unread_pings > MAX_UNREAD_PINGS:
            self.protocol.fail(
                frames.CloseCode.PROTOCOL_ERROR, "too many unread pings"
            )
            self.transport.abort()

    def _parse(self) -> None:
        """Parses pieces until the budget is spent or the queue is full."""
        if self._parsing or self._waiting is not None:
            return
        self._parsing = True
        try:
            while self._unparsed and not self._must_wait:
                piece = bytes(self._unparsed[: self._piece_bytes])
                del self._unparsed[: self._piece_bytes]
                self._turns.spend(len(piece))
                self._frames = 0
                super().data_received(piece)
                self._piece_bytes = (
                    MIN_PIECE_BYTES
                    if self._frames > FEW_FRAMES
                    else min(2 * self._piece_bytes, MAX_PIECE_BYTES)
                )
        finally:
            self._parsing = False
        if self._turns.is_spent and not self.transport.is_closing():
            self.transport.pause_reading()
            self._waiting = self.loop.create_task(self._parse_in_turn())
        elif self._must_wait:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    async def _parse_in_turn(self) -> None:
        await self._turns.pause_if_spent()
        self._waiting = None
        self._parse()


class FairServerConnection(_FairConnection, ws_server.ServerConnection):
    """A connection that a peer opened."""


class FairClientConnection(_FairConnection, ws_client.ClientConnection):
    """A connection to a peer."""


def was_ended_for_framing(error: ws_exceptions.ConnectionClosed) -> bool:
    """Returns whether this side ended a connection for what it received.

    Args:
        error: The end of the connection.
    """
    return (
        error.sent is not None
        and not error.rcvd_then_sent
        and error.sent.code in _FRAMING_CODES
    )
