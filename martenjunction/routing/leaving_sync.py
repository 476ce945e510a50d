"""Tells the other boxes which endpoints said that they leave."""

from martenjunction import events
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing import decision_log
from martenjunction.routing import peer_messages

# Endpoints that a box tells of on a new connection, those that it heard of
# last first; more would fill thin links.
TOLD_TO_NEW = 256


class LeavingSync:
    """One box's exchange with the others about endpoints that leave.

    An endpoint leaves for all boxes: the first word saves the others a request
    there each. What is told only grows, so it may come twice and in any order.
    """

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        peers: hub.PeerHub,
        members: membership.Membership,
        log: decision_log.DecisionLog,
    ) -> None:
        """Makes the exchange; `start` begins.

        Args:
            listed: Which endpoints there are; told of those that leave.
            peers: Connections to the other boxes.
            members: Which boxes there are.
            log: Told of each endpoint that leaves.
        """
        self._listed = listed
        self._peers = peers
        self._members = members
        self._log = log

    def start(self, emitter: events.Events) -> None:
        """Listens to the other boxes.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(peer_messages.EndpointsLeaving, self._on_news)
        emitter.connect(events.PEER_CONNECTED, self._greet)

    def say_leaving(self, endpoint_id: str) -> None:
        """Takes in an endpoint's own word, and tells all boxes."""
        if self._take(endpoint_id, "endpoint"):
            self._broadcast([endpoint_id])

    def _take(self, endpoint_id: str, told_by: str) -> bool:
        """Takes a word in; returns whether it is news."""
        if not self._listed.say_leaving(endpoint_id):
            return False
        self._log.write(
            "endpoint-leaving", endpoint=endpoint_id, told_by=told_by
        )
        return True

    def _broadcast(self, ids: list[str]) -> None:
        self._peers.broadcast(peer_messages.EndpointsLeaving(tuple(ids)))

    def _greet(self, box: str) -> None:
        """Tells a box that was not connected which endpoints leave."""
        ids = self._listed.leaving[-TOLD_TO_NEW:]
        if ids:
            self._peers.send(box, peer_messages.EndpointsLeaving(tuple(ids)))

    def _on_news(self, box: str, news: peer_messages.EndpointsLeaving) -> None:
        fresh = [i for i in news.ids if self._take(i, box)]
        linked = len(self._peers.boxes()) + 1
        if fresh and linked < len(self._members.believed()):
            # To boxes that the one that told it may not hear.
            self._broadcast(fresh)
