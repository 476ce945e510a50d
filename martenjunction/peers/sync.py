"""Replicates configuration, box lists and leaving marks between daemons."""

from collections.abc import Callable
import logging

from martenjunction.config import store
from martenjunction.objects import model
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import messages

logger = logging.getLogger(__name__)

# Maximum number of objects in a message.
MAX_BATCH_OBJECTS = 500

_ROLES = frozenset(model.BoxRole)
_STATES = frozenset(model.BoxState)

OnListed = Callable[[list[model.ListedBox]], None]


class ConfigSync:
    """Replicates the configuration between peers by push and pull.

    Daemons that watch the platform push new objects to the peers of their
    zone. Every heartbeat carries a digest of all versions, and a daemon that
    finds a peer ahead of itself pulls the objects that it lacks. A daemon that
    cannot reach the platform or missed a push thus converges to the same
    configuration.
    """

    def __init__(
        self,
        peers: hub.PeerHub,
        held: store.ConfigStore,
        on_change: Callable[[], None],
    ) -> None:
        """Initializes the synchronization; `connect` subscribes it.

        Args:
            peers: The connections to peers.
            held: The configuration in force.
            on_change: Called after new objects have been applied.
        """
        self._peers = peers
        self._store = held
        self._on_change = on_change
        self._boxes: dict[str, model.ListedBox] = {}
        self._pulled: dict[str, tuple[int, int]] = {}

    def connect(
        self, members: membership.Membership, on_listed: OnListed
    ) -> None:
        """Subscribes to the messages of peers.

        Args:
            members: The view of the fleet.
            on_listed: Called with received entries of the list of boxes.
        """
        self._members = members
        self._on_listed = on_listed
        self._peers.subscribe(messages.Heartbeat, self._on_heartbeat)
        self._peers.subscribe(messages.Leaving, self._on_leaving)
        self._peers.subscribe(messages.PullObjects, self._on_pull)
        self._peers.subscribe(messages.Objects, self._on_objects)
        self._peers.subscribe(messages.Boxes, self._on_boxes)

    def heartbeat(self, held: float) -> messages.Heartbeat:
        """Returns this daemon's heartbeat.

        Args:
            held: Fraction of its request capacity in use.
        """
        return messages.Heartbeat(
            self._store.revision, self._store.digest, round(held, 2)
        )

    def push(self, objects: list[store.ConfigObject]) -> None:
        """Sends new objects to the peers of this availability zone."""
        zone = self._members.own.zone
        for message in _to_messages(objects):
            self._peers.broadcast(message, zone)

    def push_boxes(self, boxes: list[model.ListedBox]) -> None:
        """Sends entries of the list of boxes to the peers of this zone."""
        self._remember(boxes)
        self._peers.broadcast(_boxes_message(boxes), self._members.own.zone)

    def announce_leaving(self, own: membership.Member) -> None:
        """Notifies all peers that this daemon is leaving."""
        self._peers.broadcast(messages.Leaving(own.box, own.incarnation))

    def _remember(self, boxes: list[model.ListedBox]) -> None:
        for box in boxes:
            self._boxes[box.name] = box

    def _on_heartbeat(self, box: str, heartbeat: messages.Heartbeat) -> None:
        self._members.record_heartbeat(box, heartbeat.held)
        if heartbeat.digest == self._store.digest:
            return
        if heartbeat.revision > self._store.revision:
            self._pull(box, heartbeat, self._store.revision)
        elif heartbeat.revision == self._store.revision:
            # Both have the newest change, but one of them lacks an older one.
            self._pull(box, heartbeat, 0)

    def _pull(
        self, box: str, heartbeat: messages.Heartbeat, after: int
    ) -> None:
        """Requests missing objects, once for each pair of digests."""
        state = (heartbeat.digest, self._store.digest)
        if self._pulled.get(box) == state:
            return
        self._pulled[box] = state
        self._peers.send(box, messages.PullObjects(after))

    def _on_pull(self, box: str, pull: messages.PullObjects) -> None:
        for message in _to_messages(self._store.objects_after(pull.after)):
            self._peers.send(box, message)
        if self._boxes:
            self._peers.send(box, _boxes_message(list(self._boxes.values())))

    def _on_objects(self, box: str, message: messages.Objects) -> None:
        objects = [
            store.ConfigObject(key, version, values)
            for key, version, values in zip(
                message.keys, message.versions, message.values, strict=True
            )
        ]
        if self._store.apply(objects):
            self._on_change()

    def _on_boxes(self, box: str, message: messages.Boxes) -> None:
        boxes = [
            model.ListedBox(
                name,
                model.BoxRole(role),
                model.BoxState(state),
                *addresses,
            )
            for name, role, state, *addresses in message.rows
            if role in _ROLES and state in _STATES
        ]
        self._remember(boxes)
        self._on_listed(boxes)
        self._peers.note_odd_rows(box, message, len(message.rows) - len(boxes))

    def _on_leaving(self, box: str, leaving: messages.Leaving) -> None:
        if self._members.mark_leaving(leaving.box, leaving.incarnation):
            # Forwarded once, for peers without a connection to that daemon.
            self._peers.broadcast(leaving, self._members.own.zone)


def _to_messages(
    objects: list[store.ConfigObject],
) -> list[messages.Objects]:
    return [
        messages.Objects(
            tuple(o.key for o in part),
            tuple(o.version for o in part),
            tuple(o.values for o in part),
        )
        for part in (
            objects[start : start + MAX_BATCH_OBJECTS]
            for start in range(0, len(objects), MAX_BATCH_OBJECTS)
        )
    ]


def _boxes_message(boxes: list[model.ListedBox]) -> messages.Boxes:
    return messages.Boxes(
        tuple(
            (
                box.name,
                str(box.role),
                str(box.state),
                box.zone,
                box.callers,
                box.operators,
                box.peers,
            )
            for box in boxes
        )
    )
