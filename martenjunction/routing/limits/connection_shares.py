"""Shares of the connections that a service's endpoints accept."""

from martenjunction.endpoints import pool
from martenjunction.peers import membership
from martenjunction.routing.access import admission


class ConnectionShares:
    """Parts the connections of a service between the boxes that run."""

    def __init__(
        self, admitter: admission.Admitter, members: membership.Membership
    ) -> None:
        """Initializes the shares.

        Args:
            admitter: Has the configuration with the limits of services.
            members: The boxes of the fleet.
        """
        self._admitter = admitter
        self._members = members

    def share(self, service: str) -> int:
        """Returns the most connections of this box to a service's endpoint."""
        config = self._admitter.config
        known = config.services.get(service) if config else None
        limit = known.max_connections if known is not None else 1
        # A box that is silent may live, and use its share, beyond a cut.
        boxes = max(1, self._members.known_count)
        return max(2, int(limit * pool.CONNECTION_LIMIT_FRACTION / boxes))
