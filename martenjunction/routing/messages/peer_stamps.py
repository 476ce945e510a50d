"""What each frame to a peer tells of its sender."""

from collections.abc import Callable
import dataclasses
import struct

from martenjunction import errors
from martenjunction import revisions
from martenjunction.decisions.boxes import list_age
from martenjunction.decisions.boxes import store_contact

# Age that a box reports if its configuration was never confirmed.
NEVER_CONFIRMED = -1

_FORMAT = struct.Struct(">iQQQBiiiH")
_READS = 1
_FED = 2
_SETTLED = 4


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
        contact: When the store answered any box, and was away before.
        list_age_ms: Milliseconds since its list of endpoints was known to have
            all changes, or `list_age.UNKNOWN_AGE_MS`.
    """

    age_ms: int
    version: int
    revision: revisions.Revision
    reads: bool
    fed: bool
    contact: store_contact.ContactAges = store_contact.NO_CONTACT
    list_age_ms: int = list_age.UNKNOWN_AGE_MS


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
        self._note_contact: Callable[
            [store_contact.ContactAges, float | None], None
        ] = lambda contact, asked_at: None

    def connect(
        self,
        make: Callable[[], PeerStamp],
        take: Callable[[str, float | None, PeerStamp], None],
        note_contact: Callable[[store_contact.ContactAges, float | None], None],
    ) -> None:
        """Sets the source of this box's stamps and the users of received ones.

        Args:
            make: Returns what this box knows.
            take: Called with the sender, the time at which this box sent the
                last frame that the sender had processed, and the stamp.
            note_contact: Called before, with the sender's contact with the
                store and the same time.
        """
        self._make = make
        self._take = take
        self._note_contact = note_contact

    def make(self) -> bytes:
        """Returns the bytes for a frame that is about to be sent."""
        stamp = self._make()
        return _FORMAT.pack(
            stamp.age_ms,
            stamp.version,
            stamp.revision.era,
            stamp.revision.number,
            _READS * stamp.reads
            | _FED * stamp.fed
            | _SETTLED * stamp.contact.is_settled,
            stamp.contact.lost_ms,
            stamp.contact.since_ms,
            stamp.contact.until_ms,
            stamp.list_age_ms,
        )

    def decode(self, data: bytes) -> PeerStamp:
        """Returns the stamp whose bytes a received frame has."""
        age_ms, version, era, number, flags, lost, since, until, list_age_ms = (
            _FORMAT.unpack(data)
        )
        return PeerStamp(
            age_ms,
            version,
            revisions.Revision(era, number),
            bool(flags & _READS),
            bool(flags & _FED),
            store_contact.ContactAges(
                lost, since, until, bool(flags & _SETTLED)
            ),
            list_age_ms,
        )

    def take_early(self, asked_at: float | None, stamp: PeerStamp) -> None:
        """Processes what the messages of a received frame are judged by.

        Raises:
            PeerError: If an age cannot be.
        """
        contact = stamp.contact
        ages = (contact.lost_ms, contact.since_ms, contact.until_ms)
        if min(ages) < store_contact.UNKNOWN_AGE_MS:
            raise errors.PeerError(f"a stamp has ages {ages}")
        self._note_contact(contact, asked_at)

    def take(self, box: str, asked_at: float | None, stamp: PeerStamp) -> None:
        """Processes the rest of a stamp.

        Raises:
            PeerError: If the age cannot be.
        """
        if stamp.age_ms < NEVER_CONFIRMED:
            raise errors.PeerError(f"a stamp has age {stamp.age_ms}")
        self._take(box, asked_at, stamp)
