"""The peers that are asked to connect to an endpoint.

Answers the load pattern in which many boxes lose their own paths at once and a
few others carry their requests as well: the work is spread over the peers that
reach endpoints, those of the own availability zone first, and a peer that
failed is left out for a moment.
"""

from collections.abc import Iterable
import dataclasses
import random

# Peers that are asked for one connection.
MAX_ASKED = 3

# Seconds for which a peer is not asked again after it failed.
PENALTY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelPeer:
    """A peer that may be asked.

    Attributes:
        box: Its name.
        zone: Its availability zone.
        address: Its address for tunnels.
        reaches: Whether it says that it reaches endpoints.
    """

    box: str
    zone: str
    address: str
    reaches: bool


class TunnelPeers:
    """Orders peers by what this box has open through them."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Initializes the order.

        Args:
            zone: The availability zone of this box.
            rng: Spreads the choice.
        """
        self._zone = zone
        self._rng = rng
        self._open: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}

    def add(self, box: str, change: int) -> None:
        """Counts tunnels through a peer that are opened or closed."""
        count = self._open.get(box, 0) + change
        if count > 0:
            self._open[box] = count
        else:
            self._open.pop(box, None)

    def note_failed(self, box: str, now: float) -> None:
        """Records that a peer could not be reached or has no path."""
        self._failed_at[box] = now

    def select(
        self, peers: Iterable[TunnelPeer], now: float
    ) -> list[TunnelPeer]:
        """Returns the peers to ask, one after the other.

        Peers that say that they reach no endpoint are asked if no other is
        left: what is known of them may be old.
        """
        usable = [
            peer
            for peer in peers
            if peer.address
            and now - self._failed_at.get(peer.box, -PENALTY_S) >= PENALTY_S
        ]
        self._rng.shuffle(usable)
        usable.sort(
            key=lambda peer: (
                not peer.reaches,
                peer.zone != self._zone,
                self._open.get(peer.box, 0),
            )
        )
        return usable[:MAX_ASKED]
