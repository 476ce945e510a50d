"""One authenticated connection between two daemons."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import logging
from typing import Any
from typing import Protocol

from websockets import exceptions as ws_exceptions
from websockets.asyncio import connection as ws

from martenjunction import errors
from martenjunction import mailbox
from martenjunction import timers
from martenjunction.peers import codec
from martenjunction.peers import fair_connections
from martenjunction.peers import flow
from martenjunction.peers import membership
from martenjunction.peers import outbox

logger = logging.getLogger(__name__)

# High-water mark of a connection's write buffer in bytes. Messages beyond it
# stay in the outbox, where they can still be reordered or replaced.
WRITE_LIMIT = 8 * 1024


class Stamps(Protocol):
    """A few bytes about the sender that each frame starts with.

    They are made when the frame is sent, so they are as new as its
    acknowledgment, however long its messages waited.

    Attributes:
        size: Number of bytes.
    """

    size: int

    def make(self) -> bytes:
        """Returns the bytes for a frame that is about to be sent."""

    def decode(self, data: bytes) -> Any:
        """Returns the stamp whose bytes a received frame has."""

    def take_early(self, asked_at: float | None, stamp: Any) -> None:
        """Processes a stamp before the messages of its frame.

        Args:
            asked_at: As for `take`.
            stamp: The decoded stamp.
        """

    def take(self, box: str, asked_at: float | None, stamp: Any) -> None:
        """Processes a stamp after the messages of its frame.

        Args:
            box: The sender.
            asked_at: Time at which this box sent the last frame that the
                sender had processed when it made the bytes, or None.
            stamp: The decoded stamp.
        """


class NoStamps:
    """Frames without stamps."""

    size = 0

    def make(self) -> bytes:
        """Returns no bytes."""
        return b""

    def decode(self, data: bytes) -> None:
        """Returns no stamp."""

    def take_early(self, asked_at: float | None, stamp: None) -> None:
        """Does nothing."""

    def take(self, box: str, asked_at: float | None, stamp: None) -> None:
        """Does nothing."""


@dataclasses.dataclass(slots=True)
class LinkCounts:
    """Traffic counters of a connection."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, other: "LinkCounts") -> None:
        """Adds the counters of another connection."""
        self.messages_in += other.messages_in
        self.messages_out += other.messages_out
        self.bytes_in += other.bytes_in
        self.bytes_out += other.bytes_out
        self.by_kind.update(other.by_kind)


class Link:
    """An authenticated connection to one peer."""

    def __init__(
        self,
        connection: ws.Connection,
        member: membership.Member,
        clock: timers.Timers,
        stamps: Stamps,
        dialed: bool,
    ) -> None:
        """Initializes the link after the handshake.

        Args:
            connection: The websocket.
            member: The peer.
            clock: Provides the time.
            stamps: Makes and takes the stamps of frames.
            dialed: Whether this daemon opened the connection.
        """
        self._connection = connection
        self._member = member
        self._stamps = stamps
        self._dialed = dialed
        self._timers = clock
        self._flow = flow.FlowControl(clock.now)
        self._outbox = outbox.Outbox(self._flow)
        self._opened_at = self._last_received_at = clock.stall_adjusted_now()
        self._counts = LinkCounts()
        self._closed = False

    @property
    def box(self) -> str:
        """The peer's box."""
        return self._member.box

    @property
    def member(self) -> membership.Member:
        """The peer."""
        return self._member

    @property
    def dialed(self) -> bool:
        """Whether this daemon opened the connection."""
        return self._dialed

    @property
    def opened_at(self) -> float:
        """Time of the handshake, from `Timers.stall_adjusted_now`."""
        return self._opened_at

    @property
    def last_sent_at(self) -> float:
        """Time of the last frame to the peer on the steady clock."""
        return self._flow.last_sent_at

    @property
    def last_received_at(self) -> float:
        """Time of the last frame received, from `Timers.listened`."""
        return self._last_received_at

    @property
    def counts(self) -> LinkCounts:
        """Traffic counters of the connection."""
        return self._counts

    def send(self, message: Any) -> bool:
        """Queues a message and returns whether the connection is open.

        Args:
            message: The message, or a `codec.Encoded` message.
        """
        if self._closed:
            return False
        if not isinstance(message, codec.Encoded):
            message = codec.Encoded(message)
        try:
            self._outbox.put(message)
        except mailbox.MailboxFullError:
            logger.warning(
                "closing the connection to %s: its outbox is full", self.box
            )
            self.close()
            return False
        return True

    def flush_ack(self) -> None:
        """Wakes the writer to send an acknowledgment if one is due."""
        self._outbox.wake()

    def close(self) -> None:
        """Aborts the connection."""
        self._closed = True
        transport = self._connection.transport
        if transport is not None:
            transport.abort()

    async def run(
        self,
        receive: Callable[[Any], None],
        on_odd: codec.OnOdd | None = None,
    ) -> None:
        """Sends and receives messages until the connection is closed.

        Args:
            receive: Called with each received message.
            on_odd: See `codec.decode_batch`.

        Raises:
            PeerError: If the peer violates the protocol.
        """
        writer = asyncio.get_running_loop().create_task(self._write())
        try:
            async for frame in self._connection:
                self._last_received_at = self._timers.stall_adjusted_now()
                self._read(frame, receive, on_odd)
        except ws_exceptions.ConnectionClosed as error:
            if fair_connections.was_ended_for_framing(error):
                raise errors.PeerError(str(error)) from error
        finally:
            self._closed = True
            writer.cancel()
            self.close()

    def _read(
        self,
        frame: str | bytes,
        receive: Callable[[Any], None],
        on_odd: codec.OnOdd | None,
    ) -> None:
        if isinstance(frame, str):
            raise errors.PeerError("unexpected text frame")
        self._counts.bytes_in += len(frame)
        payload = self._flow.receive_frame(frame)
        size = self._stamps.size
        if len(payload) < size:
            raise errors.PeerError("a frame is shorter than its stamp")
        data = payload[size:]
        batch = codec.decode_batch(data, on_odd)
        asked_at = self._flow.acked_sent_at
        stamp = self._stamps.decode(payload[:size])
        self._stamps.take_early(asked_at, stamp)
        for message in batch:
            self._counts.messages_in += 1
            receive(message)
        # Afterwards, as the messages may bring what the stamp tells of.
        self._stamps.take(self.box, asked_at, stamp)
        # The peer counts a frame of which all messages are left out as well.
        if batch or data != codec.EMPTY_BATCH:
            self._flow.record_processed()
        self._outbox.wake()

    async def _write(self) -> None:
        try:
            while True:
                batch = await self._outbox.get_all()
                head = self._flow.begin_frame(bool(batch))
                frame = head + self._stamps.make() + codec.join(batch)
                self._counts.messages_out += len(batch)
                self._count_kinds(batch)
                self._counts.bytes_out += len(frame)
                await self._connection.send(frame)
        except ws_exceptions.ConnectionClosed:
            return

    def _count_kinds(self, batch: list[codec.Encoded]) -> None:
        for message in batch:
            self._counts.by_kind[message.tag] += 1
