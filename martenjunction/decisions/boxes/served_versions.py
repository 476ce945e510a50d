"""Software versions of which each service had endpoints lately.

Load pattern: most of the time one version serves alone, so that a stream of
which nothing is known can only have begun there.
"""

from collections.abc import Iterable

from martenjunction import model

# Seconds for which a version that has left is remembered.
HISTORY_S = 120.0

# Maximum time in seconds between two looks at the list. After a longer gap,
# versions may have come and gone unseen.
MAX_GAP_S = 2.0


class ServedVersions:
    """The versions that were listed, and since when this box watches."""

    def __init__(self) -> None:
        self._watched_since: float | None = None
        self._last_look_at = 0.0
        self._last_listed_at: dict[str, dict[str, float]] = {}

    def look(self, endpoints: Iterable[model.Endpoint], now: float) -> None:
        """Records the endpoints that are listed now.

        Args:
            endpoints: All listed endpoints.
            now: The current time.
        """
        if self._watched_since is None or now - self._last_look_at > MAX_GAP_S:
            self._watched_since = now
        self._last_look_at = now
        for endpoint in endpoints:
            versions = self._last_listed_at.setdefault(endpoint.service, {})
            versions[endpoint.version] = now
        for versions in self._last_listed_at.values():
            for version, listed_at in list(versions.items()):
                if now - listed_at > HISTORY_S:
                    del versions[version]

    def versions(self, service: str, for_s: float, now: float) -> set[str]:
        """Returns the versions of a service that were listed lately.

        Args:
            service: The service.
            for_s: Seconds back from now; at most `HISTORY_S`.
            now: The current time.
        """
        listed = self._last_listed_at.get(service, {})
        return {
            v for v, listed_at in listed.items() if now - listed_at <= for_s
        }

    def only_version(
        self, service: str, for_s: float, now: float
    ) -> str | None:
        """Returns the one version that a service had lately, if it is certain.

        Args:
            service: The service.
            for_s: Seconds back from now for which it must have been the only
                one; at most `HISTORY_S`.
            now: The current time.

        Returns:
            The version; None if there were several or none, or if this box has
            not watched the list for that long.
        """
        since = self._watched_since
        if since is None or now - since < for_s:
            return None
        if now - self._last_look_at > MAX_GAP_S:
            return None
        versions = self.versions(service, for_s, now)
        return versions.pop() if len(versions) == 1 else None
