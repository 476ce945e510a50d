"""Messages between daemons about membership and the configuration."""

import dataclasses

from martenjunction.peers import codec


@codec.message("challenge")
@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the handshake, sent by the accepting daemon."""

    protocol: int
    nonce: bytes


@codec.message("hello")
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The connecting daemon identifies and authenticates itself.

    Attributes:
        tunnels: The daemon's address for tunnels to endpoints; "" for none.
        link_kb: Bandwidth of the daemon's link in kilobytes per second; 0 if
            unknown.
        incarnation: Increases with each start of the daemon.
        nonce: Random bytes that the accepting daemon's proof must cover.
        proof: HMAC of the challenge's nonce and the box.
    """

    protocol: int
    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    tunnels: str
    link_kb: int
    incarnation: int
    nonce: bytes
    proof: bytes


@codec.message("welcome")
@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """The accepting daemon identifies and authenticates itself."""

    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    tunnels: str
    link_kb: int
    incarnation: int
    proof: bytes


@codec.message("refusal")
@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Ends a handshake of daemons that cannot connect.

    Attributes:
        box: The sender.
        mismatch: What differs; see `handshake.Mismatch`.
    """

    box: str
    mismatch: str


@codec.message("beat")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Periodic sign of life of a daemon.

    Attributes:
        revision: Highest configuration version in force at the sender.
        digest: Digest of all keys and versions in force at the sender.
        held: Fraction of the sender's request capacity in use.
    """

    revision: int
    digest: int
    held: float


@codec.message("leaving")
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Notification that a daemon is shutting down gracefully."""

    box: str
    incarnation: int


@codec.message("pull")
@dataclasses.dataclass(frozen=True, slots=True)
class PullObjects:
    """Requests the configuration objects above a version."""

    after: int


@codec.message("objects", rows=(("keys", "versions", "values"),))
@dataclasses.dataclass(frozen=True, slots=True)
class Objects:
    """Configuration objects as parallel tuples.

    Attributes:
        keys: Key of each object.
        versions: Version of each object.
        values: Values of each object, or None if it was deleted.
    """

    keys: tuple[str, ...]
    versions: tuple[int, ...]
    values: tuple[dict[str, str] | None, ...]


@codec.message("boxes", rows=(("rows",),))
@dataclasses.dataclass(frozen=True, slots=True)
class Boxes:
    """Entries of the platform's list of boxes.

    Attributes:
        rows: For each box its name, role, state, zone, and its addresses for
            callers, operators and peers.
    """

    rows: tuple[tuple[str, str, str, str, str, str, str], ...]
