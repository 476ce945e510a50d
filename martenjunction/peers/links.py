"""One authenticated connection between two daemons."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import logging
import secrets
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
from martenjunction.peers import messages
from martenjunction.peers import outbox

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT = 2.0
NONCE_BYTES = 16

# Maximum size in bytes of a frame of the handshake. Its sender is not
# authenticated yet.
MAX_HANDSHAKE_BYTES = 16 * 1024

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


def proof(key: str, message_name: str, nonce: bytes, box: str) -> bytes:
    """Returns the HMAC by which a daemon proves that it knows the key.

    Args:
        key: The shared secret of all daemons.
        message_name: The name of the sender's handshake message; prevents
            reflection of a proof to its sender.
        nonce: Random bytes from the verifying side.
        box: The box that authenticates itself.
    """
    text = b"\x00".join((message_name.encode(), nonce, box.encode()))
    return hmac.digest(key.encode(), text, hashlib.sha256)


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

    async def run(self, receive: Callable[[Any], None]) -> None:
        """Sends and receives messages until the connection is closed.

        Args:
            receive: Called with each received message.

        Raises:
            PeerError: If the peer violates the protocol.
        """
        writer = asyncio.get_running_loop().create_task(self._write())
        try:
            async for frame in self._connection:
                self._last_received_at = self._timers.stall_adjusted_now()
                self._read(frame, receive)
        except ws_exceptions.ConnectionClosed as error:
            if fair_connections.was_ended_for_framing(error):
                raise errors.PeerError(str(error)) from error
        finally:
            self._closed = True
            writer.cancel()
            self.close()

    def _read(self, frame: str | bytes, receive: Callable[[Any], None]) -> None:
        if isinstance(frame, str):
            raise errors.PeerError("unexpected text frame")
        self._counts.bytes_in += len(frame)
        payload = self._flow.receive_frame(frame)
        size = self._stamps.size
        if len(payload) < size:
            raise errors.PeerError("a frame is shorter than its stamp")
        batch = codec.decode_batch(payload[size:])
        asked_at = self._flow.acked_sent_at
        stamp = self._stamps.decode(payload[:size])
        self._stamps.take_early(asked_at, stamp)
        for message in batch:
            self._counts.messages_in += 1
            receive(message)
        # Afterwards, as the messages may bring what the stamp tells of.
        self._stamps.take(self.box, asked_at, stamp)
        if batch:
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


async def perform_server_handshake(
    connection: ws.Connection, own: membership.Member, key: str
) -> membership.Member:
    """Performs the handshake on the accepting side.

    Raises:
        PeerError: If the caller does not know the key, uses another protocol
            version, or does not complete the handshake in time.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send_message(connection, messages.Challenge(codec.PROTOCOL, nonce))
    hello = await _receive_message(connection, messages.Hello)
    if hello.protocol != codec.PROTOCOL:
        raise errors.PeerError(f"unsupported protocol version {hello.protocol}")
    expected = proof(key, "hello", nonce, hello.box)
    if not hmac.compare_digest(expected, hello.proof):
        raise errors.PeerError(f"{hello.box} did not prove that it has the key")
    await _send_message(
        connection,
        messages.Welcome(
            own.box,
            own.zone,
            own.callers,
            own.operators,
            own.peers,
            own.tunnels,
            own.link_kb,
            own.incarnation,
            proof(key, "welcome", hello.nonce, own.box),
        ),
    )
    return _member(hello)


async def perform_client_handshake(
    connection: ws.Connection, own: membership.Member, key: str
) -> membership.Member:
    """Performs the handshake on the connecting side.

    Raises:
        PeerError: If the called daemon does not know the key, uses another
            protocol version, or does not complete the handshake in time.
    """
    challenge = await _receive_message(connection, messages.Challenge)
    if challenge.protocol != codec.PROTOCOL:
        raise errors.PeerError(
            f"unsupported protocol version {challenge.protocol}"
        )
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send_message(
        connection,
        messages.Hello(
            codec.PROTOCOL,
            own.box,
            own.zone,
            own.callers,
            own.operators,
            own.peers,
            own.tunnels,
            own.link_kb,
            own.incarnation,
            nonce,
            proof(key, "hello", challenge.nonce, own.box),
        ),
    )
    welcome = await _receive_message(connection, messages.Welcome)
    expected = proof(key, "welcome", nonce, welcome.box)
    if not hmac.compare_digest(expected, welcome.proof):
        raise errors.PeerError(
            f"{welcome.box} did not prove that it has the key"
        )
    return _member(welcome)


def _member(message: messages.Hello | messages.Welcome) -> membership.Member:
    return membership.Member(
        message.box,
        message.zone,
        message.callers,
        message.operators,
        message.peers,
        message.incarnation,
        link_kb=message.link_kb,
        tunnels=message.tunnels,
    )


async def _send_message(connection: ws.Connection, message: Any) -> None:
    await connection.send(codec.encode_batch([message]))


async def _receive_message(connection: ws.Connection, kind: type[Any]) -> Any:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            frame = await connection.recv()
    except (TimeoutError, ws_exceptions.ConnectionClosed) as error:
        raise errors.PeerError("no frame during the handshake") from error
    if isinstance(frame, str):
        raise errors.PeerError("unexpected text frame")
    if len(frame) > MAX_HANDSHAKE_BYTES:
        raise errors.PeerError("a frame of the handshake is too long")
    for message in codec.decode_batch(frame):
        if isinstance(message, kind):
            return message
    raise errors.PeerError(f"no {kind.__name__} in the handshake")
