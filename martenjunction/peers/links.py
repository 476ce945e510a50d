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

from websockets import exceptions as ws_exceptions
from websockets.asyncio import connection as ws

from martenjunction import errors
from martenjunction import mailbox
from martenjunction import timers
from martenjunction.peers import codec
from martenjunction.peers import flow
from martenjunction.peers import membership
from martenjunction.peers import messages
from martenjunction.peers import outbox

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT = 2.0
NONCE_BYTES = 16

# Bytes that are handed to a connection before its peer has taken them: what
# waits beyond them can still be put in order.
WRITE_LIMIT = 8 * 1024


@dataclasses.dataclass(slots=True)
class LinkCounts:
    """What went over a connection."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    by_kind: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def add(self, other: "LinkCounts") -> None:
        """Adds what went over another connection."""
        self.messages_in += other.messages_in
        self.messages_out += other.messages_out
        self.bytes_in += other.bytes_in
        self.bytes_out += other.bytes_out
        self.by_kind.update(other.by_kind)


def proof(key: str, word: str, nonce: bytes, box: str) -> bytes:
    """Returns the proof that the sender knows the key.

    Args:
        key: The key that daemons share.
        word: Which side proves itself, so that no proof can be sent back.
        nonce: The other side's random bytes.
        box: Who proves itself.
    """
    text = b"\x00".join((word.encode(), nonce, box.encode()))
    return hmac.digest(key.encode(), text, hashlib.sha256)


class Link:
    """A connection to one peer, once both sides have shown who they are."""

    def __init__(
        self,
        connection: ws.Connection,
        member: membership.Member,
        clock: timers.Timers,
    ) -> None:
        """Takes over a connection after the handshake.

        Args:
            connection: The websocket.
            member: The peer.
            clock: Tells the time.
        """
        self._connection = connection
        self._member = member
        self._timers = clock
        self._flow = flow.FlowControl(clock.now)
        self._unsent = outbox.Outbox(self._flow)
        self._heard = clock.listened()
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
    def heard(self) -> float:
        """When the peer was last heard, on the clock of what was listened."""
        return self._heard

    @property
    def counts(self) -> LinkCounts:
        """What went over the connection."""
        return self._counts

    def send(self, message: Any) -> bool:
        """Queues a message; returns whether the connection stands.

        Args:
            message: The message, or the bytes that it was encoded to before.
        """
        if self._closed:
            return False
        if not isinstance(message, codec.Encoded):
            message = codec.Encoded(message)
        try:
            self._unsent.put(message)
        except mailbox.MailboxFullError:
            logger.warning("%s does not keep up", self.box)
            self.close()
            return False
        return True

    def look(self) -> None:
        """Has the writer look whether the peer is owed a word."""
        self._unsent.wake()

    def close(self) -> None:
        """Ends the connection without waiting for the peer."""
        self._closed = True
        transport = self._connection.transport
        if transport is not None:
            transport.abort()

    async def run(self, receive: Callable[[Any], None]) -> None:
        """Carries messages both ways until the connection ends.

        Args:
            receive: Called with each message.

        Raises:
            PeerError: If the peer breaks the protocol.
        """
        writer = asyncio.get_running_loop().create_task(self._write())
        try:
            async for frame in self._connection:
                self._heard = self._timers.listened()
                self._read(frame, receive)
        except ws_exceptions.ConnectionClosed:
            return
        finally:
            self._closed = True
            writer.cancel()
            self.close()

    def _read(self, frame: str | bytes, receive: Callable[[Any], None]) -> None:
        if isinstance(frame, str):
            raise errors.PeerError("a text frame")
        self._counts.bytes_in += len(frame)
        batch = codec.decode_batch(self._flow.take_frame(frame))
        for message in batch:
            self._counts.messages_in += 1
            receive(message)
        if batch:
            self._flow.note_taken()
        self._unsent.wake()

    async def _write(self) -> None:
        try:
            while True:
                batch = await self._unsent.get_all()
                head = self._flow.begin_frame(bool(batch))
                frame = head + codec.join(batch)
                self._counts.messages_out += len(batch)
                self._count_kinds(batch)
                self._counts.bytes_out += len(frame)
                await self._connection.send(frame)
        except ws_exceptions.ConnectionClosed:
            return

    def _count_kinds(self, batch: list[codec.Encoded]) -> None:
        for message in batch:
            self._counts.by_kind[message.tag] += 1


async def answer(
    connection: ws.Connection, own: membership.Member, key: str
) -> membership.Member:
    """Carries the handshake out on the side that was called.

    Raises:
        PeerError: If the caller does not know the key or speaks another
            version.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _say(connection, messages.Challenge(codec.PROTOCOL, nonce))
    hello = await _hear(connection, messages.Hello)
    if hello.protocol != codec.PROTOCOL:
        raise errors.PeerError(f"protocol version {hello.protocol}")
    wanted = proof(key, "hello", nonce, hello.box)
    if not hmac.compare_digest(wanted, hello.proof):
        raise errors.PeerError(f"{hello.box} does not know the key")
    await _say(
        connection,
        messages.Welcome(
            own.box,
            own.zone,
            own.callers,
            own.operators,
            own.peers,
            own.incarnation,
            proof(key, "welcome", hello.nonce, own.box),
        ),
    )
    return _member(hello)


async def introduce(
    connection: ws.Connection, own: membership.Member, key: str
) -> membership.Member:
    """Carries the handshake out on the calling side.

    Raises:
        PeerError: If the called daemon does not know the key or speaks
            another version.
    """
    challenge = await _hear(connection, messages.Challenge)
    if challenge.protocol != codec.PROTOCOL:
        raise errors.PeerError(f"protocol version {challenge.protocol}")
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _say(
        connection,
        messages.Hello(
            codec.PROTOCOL,
            own.box,
            own.zone,
            own.callers,
            own.operators,
            own.peers,
            own.incarnation,
            nonce,
            proof(key, "hello", challenge.nonce, own.box),
        ),
    )
    welcome = await _hear(connection, messages.Welcome)
    wanted = proof(key, "welcome", nonce, welcome.box)
    if not hmac.compare_digest(wanted, welcome.proof):
        raise errors.PeerError(f"{welcome.box} does not know the key")
    return _member(welcome)


def _member(message: messages.Hello | messages.Welcome) -> membership.Member:
    return membership.Member(
        message.box,
        message.zone,
        message.callers,
        message.operators,
        message.peers,
        message.incarnation,
    )


async def _say(connection: ws.Connection, message: Any) -> None:
    await connection.send(codec.encode_batch([message]))


async def _hear(connection: ws.Connection, kind: type[Any]) -> Any:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT):
            frame = await connection.recv()
    except (TimeoutError, ws_exceptions.ConnectionClosed) as error:
        raise errors.PeerError("no handshake") from error
    if isinstance(frame, str):
        raise errors.PeerError("a text frame")
    for message in codec.decode_batch(frame):
        if isinstance(message, kind):
            return message
    raise errors.PeerError("no handshake")
