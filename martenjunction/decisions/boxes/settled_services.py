"""Services of which a single version may have living streams, as written.

Load pattern: all boxes start again at once, none has watched the list of
endpoints for as long as a stream lasts, and clients take up streams that began
while one version served alone.

What is written must never be wrong, as a box that starts relies on it. Services
are therefore taken out at once and added after a delay, and each write has an
effect, so that an earlier one that is done late does not meet its condition.

Boxes that do not know each other may all write as the first one. The one that
goes on reads again what the store holds, as nothing else tells it.
"""

from collections.abc import Mapping
import dataclasses

from martenjunction import revisions
from martenjunction.decisions import backoff

# Seconds for which a service must be settled before it is added.
ADD_DELAY_S = 2.0

# Seconds after a call after which the store is read again. Boxes that do not
# know each other find out from the list of boxes, which is as old.
CHECK_INTERVAL_S = 30.0

# Back-off in seconds after a failed call: the first and the longest one.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settled:
    """What follows from the configuration and the list of endpoints.

    Attributes:
        config_version: Version of the configuration; 0 if none is known.
        versions: The only version that may have living streams, by service.
    """

    config_version: int
    versions: Mapping[str, str]


NOTHING = Settled(0, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Read:
    """The object is to be read."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """The object is to be written.

    Attributes:
        settled: The content.
        revision: The expected revision, or None if it is to be created.
        number: Differs from that of all earlier writes.
    """

    settled: Settled
    revision: revisions.Revision | None
    number: int


class SettledServices:
    """Decides what the first box of the fleet writes, and when."""

    def __init__(self) -> None:
        self._stored: Settled | None = None
        self._revision: revisions.Revision | None = None
        self._number = 0
        self._must_write = True
        self._writing: Settled | None = None
        self._in_flight = False
        self._wanted = NOTHING
        self._wanted_since = 0.0
        self._retry_at = 0.0
        self._check_at = 0.0
        self._failures = 0

    @property
    def stored(self) -> Settled | None:
        """What the store holds, or None if it is not known."""
        return self._stored

    def reset(self) -> None:
        """Records that another box is the first now.

        A call in flight may still be done; the first write after the next
        `read` rules it out.
        """
        if not self._in_flight:
            self._stored = None
            self._must_write = True

    def poll(self, wanted: Settled, now: float) -> Read | Write | None:
        """Returns the call that is due, if any.

        One of `read`, `written`, `failed` and `conflicted` must follow.

        Args:
            wanted: What holds now.
            now: The current time.
        """
        if wanted != self._wanted:
            self._wanted = wanted
            self._wanted_since = now
        if self._in_flight or now < self._retry_at:
            return None
        if not wanted.config_version:
            return None
        if self._stored is None:
            return self._begin_read(now)
        target = _remaining(self._stored, wanted)
        if now - self._wanted_since >= ADD_DELAY_S:
            target = wanted
        if target == self._stored and not self._must_write:
            return self._begin_read(now) if now >= self._check_at else None
        self._in_flight = True
        self._check_at = now + CHECK_INTERVAL_S
        self._must_write = True
        self._number += 1
        self._writing = target
        return Write(target, self._revision, self._number)

    def _begin_read(self, now: float) -> Read:
        self._in_flight = True
        self._check_at = now + CHECK_INTERVAL_S
        return Read()

    def read(
        self,
        settled: Settled,
        number: int,
        revision: revisions.Revision | None,
    ) -> None:
        """Records what the store holds.

        Args:
            settled: The content; `NOTHING` without a readable object.
            number: The number of the last write.
            revision: The object's revision; None if there is no object.
        """
        self._in_flight = False
        self._stored = settled
        self._revision = revision
        self._number = max(self._number, number)

    def written(self, revision: revisions.Revision) -> None:
        """Records that the store has acknowledged a write."""
        self._in_flight = False
        self._must_write = False
        self._stored = self._writing
        self._revision = revision
        self._failures = 0

    def failed(self, now: float) -> None:
        """Records that a call failed or that its result is unknown."""
        self._in_flight = False
        self._check_at = now
        self._retry_at = now + backoff.pause_s(
            INITIAL_BACKOFF_S, self._failures, MAX_BACKOFF_S
        )
        self._failures += 1

    def conflicted(self) -> None:
        """Records that the object has another revision than expected."""
        self._in_flight = False
        self._stored = None


def _remaining(stored: Settled, wanted: Settled) -> Settled:
    """Returns what is stored and still holds."""
    if stored.config_version != wanted.config_version:
        return Settled(wanted.config_version, {})
    versions = {
        service: version
        for service, version in stored.versions.items()
        if wanted.versions.get(service) == version
    }
    return Settled(wanted.config_version, versions)
