"""What daemons say to one another about themselves and the configuration."""

import dataclasses

from martenjunction.peers import codec


@codec.message("challenge")
@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """The first word of the daemon that was called."""

    protocol: int
    nonce: bytes


@codec.message("hello")
@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The caller shows who it is and that it knows the key.

    Attributes:
        proof: HMAC of the challenge's nonce and the box.
        nonce: The called daemon proves itself on it.
        incarnation: Rises with each start of the daemon.
    """

    protocol: int
    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    incarnation: int
    nonce: bytes
    proof: bytes


@codec.message("welcome")
@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """The called daemon shows the same in return."""

    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    incarnation: int
    proof: bytes


@codec.message("beat")
@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A daemon is alive.

    Attributes:
        revision: The highest configuration version in force there.
        digest: Sum over all keys and versions in force there.
        held: Requests that it holds, in parts of what it may hold.
    """

    revision: int
    digest: int
    held: float


@codec.message("leaving")
@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A daemon is being stopped as planned."""

    box: str
    incarnation: int


@codec.message("pull")
@dataclasses.dataclass(frozen=True, slots=True)
class PullObjects:
    """A daemon wants the configuration above a version."""

    after: int


@codec.message("objects")
@dataclasses.dataclass(frozen=True, slots=True)
class Objects:
    """Configuration objects: keys, versions and values side by side.

    Attributes:
        values: None where an object was deleted.
    """

    keys: tuple[str, ...]
    versions: tuple[int, ...]
    values: tuple[dict[str, str] | None, ...]


@codec.message("boxes")
@dataclasses.dataclass(frozen=True, slots=True)
class Boxes:
    """What the platform's list says of some boxes.

    Attributes:
        rows: Name, role, state, zone, and the addresses for callers,
            operators and peers.
    """

    rows: tuple[tuple[str, str, str, str, str, str, str], ...]
