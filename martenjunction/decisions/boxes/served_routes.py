"""Services to which the streams of a path were routed lately.

Load pattern: operators move and split routes while streams run, so that the
service to which a path leads now need not be the one that began its streams.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math

from martenjunction import model
from martenjunction.decisions.boxes import served_versions

# Maximum age in seconds of the services that are unsettled; with time alone,
# they only become fewer.
UNSETTLED_AGE_S = 10.0


@dataclasses.dataclass(slots=True)
class _RouteHistory:
    """The services of one host and prefix.

    Attributes:
        since: Time since which the route exists without a break.
        left_at: Time at which it was removed, or None.
        services: Time at which each service was removed from the route, or
            None if it is there.
    """

    since: float
    left_at: float | None = None
    services: dict[str, float | None] = dataclasses.field(default_factory=dict)


class ServedRoutes:
    """The routes of streams, with those that were changed lately."""

    def __init__(
        self,
        lifetime_s: float = served_versions.STREAM_LIFETIME_S,
        *,
        first_start_at: float | None = None,
    ) -> None:
        """Initializes the routes before the first configuration.

        Args:
            lifetime_s: Seconds for which a stream may be taken up.
            first_start_at: Time before which no stream began, or None if that
                is not known.
        """
        self._lifetime_s = lifetime_s
        self._first_start_at = first_start_at
        self._watched_since: float | None = None
        self._version = 0
        self._is_first = False
        self._hosts: dict[str, dict[str, _RouteHistory]] = {}
        self._unsettled: frozenset[str] | None = None
        self._unsettled_at = 0.0

    @property
    def version(self) -> int:
        """Version of the configuration that was applied last; 0 for none."""
        return self._version

    def apply(self, config: model.RoutingConfig, now: float) -> None:
        """Records the routes of a configuration that comes into force."""
        since = now
        if self._watched_since is None:
            since = served_versions.watch_begin(self._first_start_at, now)
            self._watched_since = since
        self._is_first = self._version == 0
        self._version = config.version
        self._unsettled = None
        current = {
            (route.host, route.prefix): {t.service for t in route.targets}
            for route in config.routes
            if route.kind is model.RouteKind.STREAM
        }
        for (host, prefix), services in current.items():
            prefixes = self._hosts.setdefault(host, {})
            known = prefixes.setdefault(prefix, _RouteHistory(since))
            if known.left_at is not None:
                known.since, known.left_at = now, None
            known.services.update(dict.fromkeys(services))
        self._mark_removed(current, now)

    def note_gap(self, now: float) -> None:
        """Records that routes may have been changed unseen until now."""
        if self._watched_since is None:
            return
        self._watched_since = now
        self._unsettled = None
        for prefixes in self._hosts.values():
            for history in prefixes.values():
                history.since = now

    def restore(self, version: int, settled: Set[str]) -> bool:
        """Takes over which routes led nowhere else before their arrival.

        Args:
            version: Version of the configuration for which that holds.
            settled: Services to all of whose routes it applies.

        Returns:
            Whether that configuration is in force and the only one so far.
        """
        if version != self._version or not self._is_first:
            return False
        for prefixes in self._hosts.values():
            for history in prefixes.values():
                if history.services.keys() <= settled:
                    history.since = -math.inf
        self._unsettled = None
        return True

    def services(
        self, host: str, path: str, now: float
    ) -> tuple[frozenset[str], bool]:
        """Returns the services that may have begun streams of a path.

        Args:
            host: The host, as `model.host_name` returns it.
            path: The path.
            now: The current time.

        Returns:
            The known services, and whether there can be no others.
        """
        if self._watched_since is None:
            return frozenset(), False
        prefixes = self._hosts.get(host, {})
        found: set[str] = set()
        for history in _matching(prefixes, path):
            found |= self._recent_services(history, now)
            if history.left_at is None and (
                now - history.since >= self._lifetime_s
            ):
                # It had precedence over the shorter ones all the time.
                return frozenset(found), True
        return frozenset(found), now - self._watched_since >= self._lifetime_s

    def unsettled(self, now: float) -> frozenset[str]:
        """Returns the services of paths that may have led to several of them.

        Args:
            now: The current time.
        """
        if (
            self._unsettled is None
            or now - self._unsettled_at > UNSETTLED_AGE_S
        ):
            self._unsettled = self._find_unsettled(now)
            self._unsettled_at = now
        return self._unsettled

    def _find_unsettled(self, now: float) -> frozenset[str]:
        found: set[str] = set()
        for prefixes in self._hosts.values():
            for prefix, history in prefixes.items():
                services = self._recent_services(history, now)
                was_always = now - history.since >= self._lifetime_s
                if history.left_at is not None or not was_always:
                    for shorter in _matching(prefixes, prefix):
                        services |= self._recent_services(shorter, now)
                    if self._watched_since != -math.inf and not was_always:
                        found |= services
                if len(services) > 1:
                    found |= services
        return frozenset(found)

    def _recent_services(self, history: _RouteHistory, now: float) -> set[str]:
        return {
            service
            for service, left_at in history.services.items()
            if self._is_recent(left_at, now)
        }

    def _is_recent(self, left_at: float | None, now: float) -> bool:
        return left_at is None or now - left_at <= self._lifetime_s

    def _mark_removed(
        self, current: dict[tuple[str, str], set[str]], now: float
    ) -> None:
        for host, prefixes in list(self._hosts.items()):
            for prefix, history in list(prefixes.items()):
                services = current.get((host, prefix), set())
                if (host, prefix) not in current and history.left_at is None:
                    history.left_at = now
                for service, left_at in list(history.services.items()):
                    if service not in services and left_at is None:
                        history.services[service] = now
                    elif not self._is_recent(left_at, now):
                        del history.services[service]
                if not self._is_recent(history.left_at, now):
                    del prefixes[prefix]
            if not prefixes:
                del self._hosts[host]


def _matching(
    prefixes: Mapping[str, _RouteHistory], path: str
) -> Iterator[_RouteHistory]:
    """Yields the histories whose prefix begins a path, the longest first.

    Prefixes begin and end with a slash.
    """
    end = path.rfind("/")
    while end >= 0:
        history = prefixes.get(path[: end + 1])
        if history is not None:
            yield history
        end = path.rfind("/", 0, end)
