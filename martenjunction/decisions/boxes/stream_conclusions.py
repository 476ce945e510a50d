"""Concludes where a stream of which nothing is recorded began.

Load pattern: boxes end with their records, while a client whose stream broke
off takes it up at a box that never saw it. Mostly one version of one service
could have begun it.
"""

from collections.abc import Iterable

from martenjunction import model
from martenjunction.decisions.boxes import served_routes
from martenjunction.decisions.boxes import served_versions
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_table

Basis = stream_table.Basis


class StreamConclusions:
    """The origins that streams may have, by their host and path."""

    def __init__(self, first_start_at: float | None = None) -> None:
        """Initializes the origins.

        Args:
            first_start_at: Time before which no stream began, or None if that
                is not known.
        """
        self._versions = served_versions.ServedVersions(
            first_start_at=first_start_at
        )
        self._routes = served_routes.ServedRoutes(first_start_at=first_start_at)

    @property
    def has_config(self) -> bool:
        """Whether a configuration was applied."""
        return self._routes.version > 0

    def apply_config(self, config: model.RoutingConfig, now: float) -> None:
        """Takes in a configuration that comes into force."""
        self._routes.apply(config, now)

    def look(
        self, endpoints: Iterable[model.Endpoint], now: float, as_of: float
    ) -> None:
        """Takes in the listed endpoints.

        Args:
            endpoints: All listed endpoints.
            now: The current time.
            as_of: Time before which all changes of the list are in.
        """
        if self._versions.look(endpoints, now, as_of):
            self._routes.note_gap(now)

    def note_gap(self, now: float) -> None:
        """Takes in that versions may have come and gone unseen until now."""
        self._versions.note_gap(now)
        self._routes.note_gap(now)

    def note_listed(
        self, versions: Iterable[tuple[str, str]], now: float
    ) -> None:
        """Takes in services and versions that are or were listed.

        Unlike a look, that shows nothing of the time since the last one.
        """
        for service, version in versions:
            self._versions.note(service, version, now)

    def note(self, origin: stream_table.StreamOrigin, now: float) -> None:
        """Takes in that a stream began."""
        self._versions.note(origin.service, origin.version, now)

    def conclude(
        self, host: str, path: str, now: float
    ) -> stream_table.Finding:
        """Returns where streams of a path can have begun.

        Args:
            host: The host, as `model.host_name` returns it.
            path: The path.
            now: The current time.
        """
        services, is_complete = self._routes.services(host, path, now)
        possible = {
            stream_table.StreamOrigin(service, version)
            for service in services
            for version in self._versions.versions(service, now)
        }
        if len(possible) > 1:
            return stream_table.AMBIGUOUS
        if not possible:
            return stream_table.UNKNOWN
        is_complete = is_complete and all(
            self._versions.is_complete(service, now) for service in services
        )
        basis = Basis.SINGLE if is_complete else Basis.SEEN
        return stream_table.Finding(possible.pop(), basis)

    def nothing_settled(self) -> settled_services.Settled:
        """Returns that no service is settled."""
        return settled_services.Settled(self._routes.version, {})

    def settled(self, now: float) -> settled_services.Settled:
        """Returns what a box may conclude that starts after the loss of all."""
        unsettled = self._routes.unsettled(now)
        versions = self._versions.settled(now)
        return settled_services.Settled(
            self._routes.version,
            {s: v for s, v in versions.items() if s not in unsettled},
        )

    def may_be_several(self, service: str, now: float) -> bool:
        """Returns whether streams of a service may have several origins."""
        versions = self._versions.versions(service, now)
        is_certain = len(versions) == 1 and self._versions.is_complete(
            service, now
        )
        return not is_certain or service in self._routes.unsettled(now)

    def restore(self, settled: settled_services.Settled, now: float) -> bool:
        """Takes over what was settled before this box started.

        Args:
            settled: What was settled as all boxes ended.
            now: The current time.

        Returns:
            Whether it still holds: the configuration is the same, and no other
            version of its services is known.
        """
        holds = {
            service: version
            for service, version in settled.versions.items()
            if self._versions.versions(service, now) <= {version}
        }
        is_restored = bool(holds) and self._routes.restore(
            settled.config_version, holds.keys()
        )
        if is_restored:
            self._versions.restore(holds, now)
        return is_restored
