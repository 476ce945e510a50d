"""Synchronizes announcements of leaving endpoints between boxes."""

from martenjunction import events
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_messages

# Maximum number of endpoints sent on a new connection, the latest ones; more
# would saturate links of low bandwidth.
MAX_ON_CONNECT = 256


class LeavingSync:
    """Exchanges announcements of leaving endpoints with the other boxes.

    An endpoint leaves for all boxes. Sharing its first announcement saves each
    other box a request to it. The set only grows, so messages may be repeated
    and arrive in any order.
    """

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        peers: hub.PeerHub,
        members: membership.Membership,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the exchange; `start` subscribes to peer messages.

        Args:
            listed: The endpoints; updated with those that leave.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            log: Records each endpoint that leaves.
        """
        self._listed = listed
        self._peers = peers
        self._members = members
        self._log = log

    def start(self, emitter: events.Events) -> None:
        """Subscribes to peer messages and new connections.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(peer_messages.EndpointsLeaving, self._on_leaving)
        emitter.connect(events.PEER_CONNECTED, self._on_connected)

    def report_leaving(self, endpoint_id: str) -> None:
        """Records an endpoint's own announcement and notifies all boxes."""
        if self._record(endpoint_id, "endpoint"):
            self._broadcast([endpoint_id])

    def _record(self, endpoint_id: str, source: str) -> bool:
        """Records that an endpoint leaves; returns whether it is new."""
        if not self._listed.mark_leaving(endpoint_id):
            return False
        self._log.write(
            "endpoint-leaving", endpoint=endpoint_id, told_by=source
        )
        return True

    def _broadcast(self, ids: list[str]) -> None:
        self._peers.broadcast(peer_messages.EndpointsLeaving(tuple(ids)))

    def _on_connected(self, box: str) -> None:
        """Sends the leaving endpoints to a newly connected box."""
        ids = self._listed.leaving[-MAX_ON_CONNECT:]
        if ids:
            self._peers.send(box, peer_messages.EndpointsLeaving(tuple(ids)))

    def _on_leaving(
        self, box: str, message: peer_messages.EndpointsLeaving
    ) -> None:
        new_ids = [i for i in message.ids if self._record(i, box)]
        linked = len(self._peers.boxes()) + 1
        if new_ids and linked < len(self._members.live_members()):
            # Forwards to boxes that the sender may not be connected to.
            self._broadcast(new_ids)
