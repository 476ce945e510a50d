"""What each frame to a peer tells of its sender."""

from collections.abc import Callable
import dataclasses
import struct

from martenjunction import errors
from martenjunction import revisions

# Age that a box reports if its configuration was never confirmed.
NEVER_CONFIRMED = -1

_FORMAT = struct.Struct(">iQQQB")
_READS = 1
_FED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStamp:
    """What the sender of a frame knows.

    Attributes:
        age_ms: Milliseconds since its configuration was confirmed as the
            newest; -1 if it never was.
        version: Version of its configuration; 0 for none.
        revision: The store's revision up to which it knows the endpoints.
        reads: Whether it reads from the store and gets answers.
        fed: Whether its confirmation is its own or comes from its parent, so
            that a box below it may rely on it.
    """

    age_ms: int
    version: int
    revision: revisions.Revision
    reads: bool
    fed: bool


class PeerStamps:
    """Encodes and decodes the stamps of frames; see `links.Stamps`."""

    size = _FORMAT.size

    def __init__(self) -> None:
        """Initializes stamps that tell nothing; see `connect`."""
        self._make: Callable[[], PeerStamp] = lambda: PeerStamp(
            NEVER_CONFIRMED, 0, revisions.NONE, False, False
        )
        self._take: Callable[[str, float | None, PeerStamp], None] = (
            lambda box, asked_at, stamp: None
        )

    def connect(
        self,
        make: Callable[[], PeerStamp],
        take: Callable[[str, float | None, PeerStamp], None],
    ) -> None:
        """Sets the source of this box's stamps and the user of received ones.

        Args:
            make: Returns what this box knows.
            take: Called with the sender, the time at which this box sent the
                last frame that the sender had processed, and the stamp.
        """
        self._make = make
        self._take = take

    def make(self) -> bytes:
        """Returns the bytes for a frame that is about to be sent."""
        stamp = self._make()
        return _FORMAT.pack(
            stamp.age_ms,
            stamp.version,
            stamp.revision.era,
            stamp.revision.number,
            _READS * stamp.reads | _FED * stamp.fed,
        )

    def take(self, box: str, asked_at: float | None, data: bytes) -> None:
        """Processes the bytes of a received frame.

        Raises:
            PeerError: If the age cannot be.
        """
        age_ms, version, era, number, flags = _FORMAT.unpack(data)
        if age_ms < NEVER_CONFIRMED:
            raise errors.PeerError(f"a stamp has age {age_ms}")
        self._take(
            box,
            asked_at,
            PeerStamp(
                age_ms,
                version,
                revisions.Revision(era, number),
                bool(flags & _READS),
                bool(flags & _FED),
            ),
        )
