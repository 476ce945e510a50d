"""Software versions of which each service had endpoints lately.

Load pattern: most of the time one version serves alone, so that a stream of
which nothing is recorded can only have begun there.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

from martenjunction import model

# Seconds for which a version that has left may have streams that clients take
# up. Only a client decides when it gives its stream up, after any number of
# requests, so that no time limit of a request bounds this.
STREAM_LIFETIME_S = 3600.0

# Maximum time in seconds between two looks at the list, and between the times
# up to which two looks know all changes. After a longer gap, versions may have
# come and gone unseen. A box with a small link confirms its list every 3 s.
MAX_GAP_S = 2.0
MAX_UNKNOWN_S = 4.0

# Maximum time in seconds from the first start of a fleet to the first look, for
# no stream to have begun before.
MAX_FIRST_LOOK_S = 10.0


def watch_begin(first_start_at: float | None, now: float) -> float:
    """Returns since when a watch is complete that begins now.

    Args:
        first_start_at: Time before which no stream began, or None.
        now: The current time.
    """
    if first_start_at is None or now - first_start_at > MAX_FIRST_LOOK_S:
        return now
    return -math.inf


class ServedVersions:
    """The versions that may have begun streams, and what is known of others."""

    def __init__(
        self,
        lifetime_s: float = STREAM_LIFETIME_S,
        *,
        first_start_at: float | None = None,
    ) -> None:
        """Initializes the versions before the first look.

        Args:
            lifetime_s: Seconds for which a version that has left is kept.
            first_start_at: Time before which no stream began, or None if that
                is not known.
        """
        self._lifetime_s = lifetime_s
        self._first_start_at = first_start_at
        self._watched_since = math.inf
        self._last_look_at: float | None = None
        # Time up to which the last look knows all changes.
        self._known_until = -math.inf
        self._settled: set[str] = set()
        self._last_seen_at: dict[str, dict[str, float]] = {}

    def look(
        self, endpoints: Iterable[model.Endpoint], now: float, as_of: float
    ) -> bool:
        """Records the listed endpoints.

        Args:
            endpoints: All listed endpoints.
            now: The current time.
            as_of: Time before which all changes of the list are in.

        Returns:
            Whether the watch had a gap before this look.
        """
        last_look_at, self._last_look_at = self._last_look_at, now
        known_until = self._known_until
        self._known_until = max(known_until, as_of)
        has_gap = False
        if last_look_at is None:
            self._watched_since = watch_begin(self._first_start_at, now)
        elif (
            now - last_look_at > MAX_GAP_S
            or as_of - known_until > MAX_UNKNOWN_S
        ):
            self.note_gap(now)
            has_gap = True
        for endpoint in endpoints:
            self.note(endpoint.service, endpoint.version, now)
        for service, versions in list(self._last_seen_at.items()):
            for version, seen_at in list(versions.items()):
                if now - seen_at > self._lifetime_s:
                    del versions[version]
            if not versions:
                del self._last_seen_at[service]
        return has_gap

    def note_gap(self, now: float) -> None:
        """Records that versions may have come and gone unseen until now."""
        self._watched_since = now
        self._settled.clear()

    def note(self, service: str, version: str, now: float) -> None:
        """Records that a version of a service may begin streams now."""
        self._last_seen_at.setdefault(service, {})[version] = now

    def restore(self, settled: Mapping[str, str], now: float) -> None:
        """Takes over which services had a single version before the first look.

        Args:
            settled: The version by service.
            now: The current time.
        """
        for service, version in settled.items():
            self.note(service, version, now)
            self._settled.add(service)

    def versions(self, service: str, now: float) -> frozenset[str]:
        """Returns the known versions that may have streams of a service."""
        seen = self._last_seen_at.get(service, {})
        return frozenset(
            v for v, at in seen.items() if now - at <= self._lifetime_s
        )

    def is_complete(self, service: str, now: float) -> bool:
        """Returns whether no version besides the known ones has streams."""
        last_look_at = self._last_look_at
        if last_look_at is None or now - last_look_at > MAX_GAP_S:
            return False
        if service in self._settled:
            return True
        return now - self._watched_since >= self._lifetime_s

    def settled(self, now: float) -> dict[str, str]:
        """Returns the services of which a single version may have streams."""
        found: dict[str, str] = {}
        for service in self._last_seen_at:
            versions = self.versions(service, now)
            if len(versions) == 1 and self.is_complete(service, now):
                found[service] = next(iter(versions))
        return found
