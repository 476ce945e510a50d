"""The other boxes that accept clients, and those that reach endpoints."""

from collections.abc import Callable
import random

from martenjunction.decisions.boxes import entry_choice
from martenjunction.decisions.boxes import tunnel_choice
from martenjunction.peers import membership
from martenjunction.routing.fleet import box_state_sync
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.sync import peer_sync


class ReachableBoxes:
    """What the other boxes last said of themselves."""

    def __init__(
        self,
        members: membership.Membership,
        overlay: fleet_overlay.FleetOverlay,
        sync: peer_sync.PeerSync,
        states: box_state_sync.BoxStateSync,
        is_ready: Callable[[], bool],
        reaches_endpoints: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        """Initializes the view.

        Args:
            members: The boxes of the fleet.
            overlay: Tells whether the fleet is sparsely connected.
            sync: What boxes of a full mesh hear of each other.
            states: What is told of the boxes of a large fleet.
            is_ready: Returns whether this box accepts clients.
            reaches_endpoints: Returns whether its own connections reach
                endpoints.
            rng: Spreads the clients.
        """
        self._members = members
        self._overlay = overlay
        self._sync = sync
        self._states = states
        self._is_ready = is_ready
        self._reaches_endpoints = reaches_endpoints
        self._rng = rng

    def ready(self) -> list[membership.Member]:
        """Returns the other boxes that accept clients."""
        if not self._overlay.is_sparse:
            return self._sync.ready_boxes()
        return [
            member
            for member in self._sync.responsive_peers()
            if self._states.is_ready(member.box)
        ]

    def reaches(self, box: str) -> bool:
        """Returns whether another box is ready and reaches endpoints."""
        if not self._overlay.is_sparse:
            return self._sync.reaches_endpoints(box)
        return self._states.reaches_endpoints(box)

    def tunnel_peers(self) -> list[tunnel_choice.TunnelPeer]:
        """Returns the boxes that may connect to endpoints for this one."""
        return [
            tunnel_choice.TunnelPeer(
                member.box,
                member.zone,
                member.tunnels,
                self.reaches(member.box),
            )
            for member in self.ready()
        ]

    def entries(self, zone: str) -> list[str]:
        """Returns box addresses for a client.

        Args:
            zone: The client's availability zone.
        """
        own = self._members.own
        boxes = [
            entry_choice.EntryBox(m.callers, m.zone, self.reaches(m.box))
            for m in self.ready()
        ]
        if self._is_ready():
            boxes.append(
                entry_choice.EntryBox(
                    own.callers, own.zone, self._reaches_endpoints()
                )
            )
        if not boxes:
            # No box is known to be ready; any live box is better than none.
            boxes = [
                entry_choice.EntryBox(m.callers, m.zone)
                for m in self._members.live_members()
            ]
        return entry_choice.select(boxes, zone, self._rng)
