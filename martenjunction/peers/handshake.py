"""How two daemons that connect identify and authenticate themselves."""

import asyncio
import contextlib
import enum
import hashlib
import hmac
import secrets
from typing import Any
from typing import NoReturn

from websockets import exceptions as ws_exceptions
from websockets.asyncio import connection as ws

from martenjunction import errors
from martenjunction.peers import codec
from martenjunction.peers import membership
from martenjunction.peers import messages

HANDSHAKE_TIMEOUT = 2.0
NONCE_BYTES = 16

# Maximum size in bytes of a frame of the handshake. Its sender is not
# authenticated yet.
MAX_HANDSHAKE_BYTES = 16 * 1024


class Mismatch(enum.StrEnum):
    """What keeps two daemons from connecting.

    Attributes:
        KEY: They have different keys.
        PROTOCOL: They use different versions of the protocol.
    """

    KEY = "key"
    PROTOCOL = "protocol"


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


async def perform_server_handshake(
    connection: ws.Connection, own: membership.Member, key: str
) -> membership.Member:
    """Performs the handshake on the accepting side.

    Args:
        connection: The connection, which takes messages of up to
            `MAX_HANDSHAKE_BYTES`; afterwards those of a link.
        own: This daemon.
        key: The shared secret of all daemons.

    Raises:
        PeerMismatchError: If the caller has another key or protocol version.
        PeerError: If it does not complete the handshake in time.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await _send_message(connection, messages.Challenge(codec.PROTOCOL, nonce))
    hello = await _receive_message(connection, messages.Hello)
    if hello.protocol != codec.PROTOCOL:
        await _refuse(connection, own, hello.box, Mismatch.PROTOCOL)
    expected = proof(key, "hello", nonce, hello.box)
    if not hmac.compare_digest(expected, hello.proof):
        await _refuse(connection, own, hello.box, Mismatch.KEY)
    # Before the caller may send a longer message.
    connection.protocol.max_message_size = codec.MAX_MESSAGE
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
    connection: ws.Connection, own: membership.Member, key: str, box: str = ""
) -> membership.Member:
    """Performs the handshake on the connecting side.

    Args:
        connection: The connection.
        own: This daemon.
        key: The shared secret of all daemons.
        box: The box that was called, as far as known.

    Raises:
        PeerMismatchError: If the called daemon has another key or protocol
            version.
        PeerError: If it does not complete the handshake in time.
    """
    challenge = await _receive_message(connection, messages.Challenge)
    if challenge.protocol != codec.PROTOCOL:
        await _refuse(connection, own, box, Mismatch.PROTOCOL)
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
        await _refuse(connection, own, welcome.box, Mismatch.KEY)
    return _member(welcome)


async def _refuse(
    connection: ws.Connection,
    own: membership.Member,
    box: str,
    mismatch: Mismatch,
) -> NoReturn:
    """Tells the other daemon why it is refused.

    Raises:
        PeerMismatchError: In any case.
    """
    with contextlib.suppress(ws_exceptions.ConnectionClosed):
        await _send_message(connection, messages.Refusal(own.box, mismatch))
    raise errors.PeerMismatchError(box, mismatch)


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
    except TimeoutError as error:
        raise errors.PeerError("no frame during the handshake") from error
    except ws_exceptions.ConnectionClosed as error:
        raise errors.PeerError(f"closed in the handshake: {error}") from error
    if isinstance(frame, str):
        raise errors.PeerError("unexpected text frame")
    if len(frame) > MAX_HANDSHAKE_BYTES:
        raise errors.PeerError("a frame of the handshake is too long")
    for message in codec.decode_batch(frame):
        if isinstance(message, kind):
            return message
        if isinstance(message, messages.Refusal):
            raise _mismatch(message)
    raise errors.PeerError(f"no {kind.__name__} in the handshake")


def _mismatch(refusal: messages.Refusal) -> errors.PeerError:
    if refusal.mismatch not in set(Mismatch):
        return errors.PeerError("refused for an unknown reason")
    return errors.PeerMismatchError(refusal.box, refusal.mismatch)
