"""Which endpoints may get work: the platform's list and what it lacks."""

from collections.abc import Iterable
import dataclasses

from martenjunction.routing import model

# Seconds after the store's return for which an entry that went away during
# its outage is kept: its endpoint may not have been able to write.
LAPSE_GRACE_S = 2.0

# Shortest outage, in seconds, during which entries may lapse: endpoints write
# about every 1.2 s and their entries go after three missed writes, but an
# outage may have begun before we noticed.
SHORTEST_LAPSE_S = 1.0


@dataclasses.dataclass(slots=True)
class Listed:
    """An endpoint of the list.

    Attributes:
        endpoint: What it says of itself.
        revision: The store's revision of that.
        lapsed: Whether its entry is missing and it is only kept for a while.
    """

    endpoint: model.Endpoint
    revision: int
    lapsed: bool = False


class EndpointList:
    """The endpoints of all services, as one box knows them."""

    def __init__(self) -> None:
        self._listed: dict[str, Listed] = {}
        self._gone: dict[str, int] = {}
        self._revision = 0
        self._lost_at: float | None = None
        self._grace_until = 0.0

    @property
    def revision(self) -> int:
        """The store's revision up to which changes are known."""
        return self._revision

    @property
    def known(self) -> bool:
        """Whether a list was ever taken in."""
        return self._revision > 0

    @property
    def entries(self) -> dict[str, Listed]:
        """All entries by endpoint id, to be read only."""
        return self._listed

    def ready(self, service: str) -> list[model.Endpoint]:
        """Returns a service's endpoints that may get new work."""
        return [
            listed.endpoint
            for listed in self._listed.values()
            if listed.endpoint.service == service
            and listed.endpoint.state is model.EndpointState.READY
        ]

    def may_send(self, endpoint_id: str) -> bool:
        """Returns whether an endpoint may get new work at this moment."""
        listed = self._listed.get(endpoint_id)
        return (
            listed is not None
            and listed.endpoint.state is model.EndpointState.READY
        )

    def take_listing(
        self,
        entries: Iterable[tuple[model.Endpoint, int]],
        revision: int,
        now: float,
    ) -> list[str]:
        """Takes in a whole list.

        Args:
            entries: Endpoints, each with the revision of its entry.
            revision: The store's revision when it was read.
            now: The current time.

        Returns:
            Ids of endpoints that may no longer get work because of it.
        """
        if revision < self._revision:
            return []
        left: list[str] = []
        present = set()
        for endpoint, entry_revision in entries:
            present.add(endpoint.id)
            left += self._put(endpoint, entry_revision)
        for missing in [i for i in self._listed if i not in present]:
            left += self._remove(missing, revision, now)
        self._revision = revision
        return left

    def take_change(
        self,
        endpoint: model.Endpoint,
        revision: int,
        deleted: bool,
        now: float,
    ) -> list[str]:
        """Takes in one change; returns ids that may no longer get work."""
        if deleted:
            return self._remove(endpoint.id, revision, now)
        return self._put(endpoint, revision)

    def leave(self, endpoint_id: str, revision: int) -> bool:
        """Notes that an endpoint may get no more work.

        Args:
            endpoint_id: The endpoint.
            revision: The store's revision of that.

        Returns:
            Whether that is news.
        """
        listed = self._listed.get(endpoint_id)
        if not self.may_send(endpoint_id) or listed is None:
            return False
        if listed.revision > revision:
            return False
        listed.endpoint = dataclasses.replace(
            listed.endpoint, state=model.EndpointState.DRAINING
        )
        return True

    def advance(self, revision: int) -> None:
        """Notes that all changes up to a revision were taken in."""
        self._revision = max(self._revision, revision)

    def store_lost(self, now: float) -> None:
        """Notes that the store does not answer."""
        if self._lost_at is None:
            self._lost_at = now

    def store_returned(self, now: float) -> None:
        """Notes that the store answers."""
        if self._lost_at is None:
            return
        if now - self._lost_at >= SHORTEST_LAPSE_S:
            self._grace_until = now + LAPSE_GRACE_S
        self._lost_at = None

    def expire(self, now: float) -> list[str]:
        """Drops lapsed entries whose time is over; returns their ids."""
        if now < self._grace_until or self._lost_at is not None:
            return []
        gone = [i for i, listed in self._listed.items() if listed.lapsed]
        for endpoint_id in gone:
            del self._listed[endpoint_id]
        return gone

    def _put(self, endpoint: model.Endpoint, revision: int) -> list[str]:
        listed = self._listed.get(endpoint.id)
        if revision <= self._gone.get(endpoint.id, 0):
            return []
        if listed is not None and listed.revision > revision:
            return []
        was_ready = self.may_send(endpoint.id)
        if listed is not None and not was_ready:
            # An endpoint that once said that it leaves does not come back.
            endpoint = dataclasses.replace(
                endpoint, state=model.EndpointState.DRAINING
            )
        self._listed[endpoint.id] = Listed(endpoint, revision)
        left = was_ready and endpoint.state is not model.EndpointState.READY
        return [endpoint.id] if left else []

    def _remove(self, endpoint_id: str, revision: int, now: float) -> list[str]:
        listed = self._listed.get(endpoint_id)
        if listed is None or listed.revision > revision:
            return []
        in_grace = self._lost_at is not None or now < self._grace_until
        if in_grace and self.may_send(endpoint_id):
            listed.lapsed = True
            return []
        del self._listed[endpoint_id]
        self._gone[endpoint_id] = revision
        return [endpoint_id]
