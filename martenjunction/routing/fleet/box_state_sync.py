"""Tells the states of the boxes of a large fleet from box to box."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from martenjunction import errors
from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import box_states
from martenjunction.decisions.boxes import overlay
from martenjunction.peers import codec
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.log import decision_log

# Seconds for which changes are gathered before they are passed on together.
GATHER_S = 0.03

# Intervals in seconds at which this box looks at its own state and at its
# children.
CHECK_INTERVAL_S = 0.1
CHILDREN_INTERVAL_S = 0.5

# Seconds for which an expected child may be unconnected before it is probed.
MISSING_CHILD_S = 1.0

# Interval in seconds at which this box compares its table with its parents'.
COMPARE_INTERVAL_S = 2.0

MAX_ROWS = 8192

CallLater = Callable[[float, Callable[[], None]], None]

_STATES = frozenset(box_states.State)

# Position of the first of the numbers among the fields of a row.
_FIRST_NUMBER = 5


_COLUMNS = (
    "boxes",
    "zones",
    "callers",
    "peers",
    "tunnels",
    "link_kb",
    "incarnations",
    "numbers",
    "states",
)


@codec.message("box-states", urgent=True, rows=(_COLUMNS,))
@dataclasses.dataclass(frozen=True, slots=True)
class BoxStates:
    """States of boxes; the fields have an item for each box.

    See `decisions.boxes.box_states.BoxState`.
    """

    boxes: tuple[str, ...]
    zones: tuple[str, ...]
    callers: tuple[str, ...]
    peers: tuple[str, ...]
    tunnels: tuple[str, ...]
    link_kb: tuple[int, ...]
    incarnations: tuple[int, ...]
    numbers: tuple[int, ...]
    states: tuple[int, ...]


@codec.message("box-states-digest", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class BoxStatesDigest:
    """Asks a box to send its table if it differs.

    Attributes:
        digest: Digest of the sender's table.
        is_answer: Whether the receiver's table was sent before.
    """

    digest: int
    is_answer: bool


class BoxStateSync:
    """Keeps the states of all boxes and finds those that are silent."""

    def __init__(
        self,
        place: fleet_overlay.FleetOverlay,
        peers: hub.PeerHub,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        own_state: Callable[[], box_states.State],
        rng: random.Random,
        call_later: CallLater | None = None,
    ) -> None:
        """Initializes the exchange; `start` subscribes to messages.

        Args:
            place: The place of this box in the trees.
            peers: Connections to the other boxes.
            members: The boxes of the fleet; updated with what is told of them.
            clock: The clock and timers.
            log: Records boxes that are called silent.
            own_state: Returns the state of this box, unless it leaves.
            rng: Draws the boxes to compare tables with.
            call_later: Calls a function after some seconds; the event loop does
                if left out.
        """
        self._call_later = call_later or _call_later
        self._rng = rng
        self._place = place
        self._peers = peers
        self._members = members
        self._timers = clock
        self._log = log
        self._own_state = own_state
        self._table = box_states.BoxStateTable(_first_row(members.own))
        self._pending: dict[str, tuple[box_states.BoxState, str]] = {}
        self._missing_since: dict[str, float] = {}
        self._on_contradicted: Callable[[], None] = lambda: None

    def start(self, emitter: events.Events) -> None:
        """Subscribes to messages, connections and timers.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(BoxStates, self._on_states)
        self._peers.subscribe(BoxStatesDigest, self._on_digest)
        self._peers.on_unreachable(self._on_unreachable)
        emitter.connect(events.PEER_CONNECTED, self._on_connected)
        self._timers.subscribe("box-states", CHECK_INTERVAL_S, self._check)
        self._timers.subscribe(
            "children", CHILDREN_INTERVAL_S, self._probe_missing_children
        )
        self._timers.subscribe(
            "compare-states", COMPARE_INTERVAL_S, self._compare
        )

    def on_contradicted(self, callback: Callable[[], None]) -> None:
        """Sets the callback for having been called silent by others."""
        self._on_contradicted = callback

    def is_ready(self, box: str) -> bool:
        """Returns whether a box last said that it accepts clients."""
        row = self._table.find(box)
        return row is not None and row.state in (
            box_states.State.READY,
            box_states.State.CUT_OFF,
        )

    def reaches_endpoints(self, box: str) -> bool:
        """Returns whether a ready box last said that it reaches endpoints."""
        row = self._table.find(box)
        return row is not None and row.state is box_states.State.READY

    def leave(self) -> None:
        """Tells that this box is shutting down."""
        self._set_own(box_states.State.LEAVING)

    def _check(self) -> None:
        if self._table.own.state is not box_states.State.LEAVING:
            self._set_own(self._own_state())

    def _set_own(self, state: box_states.State) -> None:
        changed = self._table.set_own(state, self._timers.now())
        if changed is not None:
            self._pass_on(changed, self._members.own.box)

    def _probe_missing_children(self) -> None:
        now = self._timers.now()
        expected = self._place.expected_children()
        missing = {b for b in expected if not self._peers.is_connected(b)}
        self._missing_since = {
            box: self._missing_since.get(box, now) for box in missing
        }
        for box, since in self._missing_since.items():
            if now - since >= MISSING_CHILD_S:
                self._peers.probe(box)

    def _on_unreachable(self, box: str) -> None:
        """Calls a box silent to which no connection can be made."""
        member = self._members.members.get(box)
        if member is None or not self._place.is_sparse:
            # Boxes of a full mesh hear each other.
            return
        row = self._table.mark_silent(_first_row(member), self._timers.now())
        if row is not None:
            self._log.write("box-silent", silent=box)
            self._apply(row)
            self._pass_on(row, self._members.own.box)

    def _on_connected(self, box: str) -> None:
        if self._place.is_sparse:
            self._peers.send(box, _encode(self._table.rows()))

    def _on_states(self, box: str, message: BoxStates) -> None:
        now = self._timers.now()
        rows = _decode(message)
        changes = [
            changed
            for row in rows
            if (changed := self._table.merge(row, now)) is not None
        ]
        own = self._members.own.box
        for changed in changes:
            if changed.box == own:
                self._on_contradicted()
            else:
                self._apply(changed)
        for changed in changes:
            self._pass_on(changed, box)
        self._peers.note_odd_rows(box, message, len(message.boxes) - len(rows))

    def _apply(self, row: box_states.BoxState) -> None:
        """Applies a state to the view of the fleet."""
        if row.state is box_states.State.LEAVING:
            self._members.mark_leaving(row.box, row.incarnation)
            return
        self._members.update_told(
            membership.Member(
                row.box,
                row.zone,
                row.callers,
                "",
                row.peers,
                row.incarnation,
                link_kb=row.link_kb,
                tunnels=row.tunnels,
            ),
            row.state is box_states.State.SILENT,
        )

    def _pass_on(self, row: box_states.BoxState, source: str) -> None:
        """Tells the peers of a change; boxes of a full mesh hear each other."""
        if not self._place.is_sparse:
            return
        if not self._pending:
            self._call_later(GATHER_S, self._flush)
        self._pending[row.box] = row, source

    def _flush(self) -> None:
        pending = list(self._pending.values())
        self._pending.clear()
        peers = set(self._peers.boxes())
        sources = {source for _, source in pending} & peers
        self._peers.send_to(peers - sources, _encode(row for row, _ in pending))
        for peer in sources:
            rows = [row for row, source in pending if source != peer]
            if rows:
                self._peers.send(peer, _encode(rows))

    def _compare(self) -> None:
        """Lets the parents send their tables if these differ.

        Forgets boxes that are long gone before.
        """
        for box in self._table.expire(self._timers.now()):
            self._members.forget(box)
        if not self._place.is_sparse:
            return
        message = BoxStatesDigest(self._table.digest(), False)
        parents = {self._place.parent(tree) for tree in overlay.Tree}
        self._peers.send_to((b for b in parents if b is not None), message)
        self._probe_silent()

    def _probe_silent(self) -> None:
        """Connects to a silent box, which may be beyond a cut that has healed.

        Nobody else does if each side of the cut calls the other silent.
        """
        silent = self._table.in_state(box_states.State.SILENT)
        if silent:
            self._peers.probe(self._rng.choice(sorted(silent)))

    def _on_digest(self, box: str, message: BoxStatesDigest) -> None:
        digest = self._table.digest()
        if message.digest == digest:
            return
        self._peers.send(box, _encode(self._table.rows()))
        if not message.is_answer:
            self._peers.send(box, BoxStatesDigest(digest, True))


def _call_later(seconds: float, call: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(seconds, call)


def _first_row(member: membership.Member) -> box_states.BoxState:
    """Returns the state of a box that has told nothing yet."""
    return box_states.BoxState(
        member.box,
        member.zone,
        member.callers,
        member.peers,
        member.tunnels,
        member.link_kb,
        member.incarnation,
        0,
        box_states.State.UNREADY,
    )


def _encode(rows: Iterable[box_states.BoxState]) -> BoxStates:
    listed = list(rows)
    return BoxStates(
        tuple(row.box for row in listed),
        tuple(row.zone for row in listed),
        tuple(row.callers for row in listed),
        tuple(row.peers for row in listed),
        tuple(row.tunnels for row in listed),
        tuple(row.link_kb for row in listed),
        tuple(row.incarnation for row in listed),
        tuple(row.number for row in listed),
        tuple(int(row.state) for row in listed),
    )


def _decode(message: BoxStates) -> list[box_states.BoxState]:
    """Returns the states in a message.

    Those with an unknown state or a negative number are left out.

    Raises:
        PeerError: If the columns do not fit together.
    """
    columns = [getattr(message, f.name) for f in dataclasses.fields(message)]
    if len({len(column) for column in columns}) != 1:
        raise errors.PeerError("the columns of box states do not fit")
    if len(message.boxes) > MAX_ROWS:
        raise errors.PeerError("too many box states")
    return [
        box_states.BoxState(*(*fields, box_states.State(state)))
        for *fields, state in zip(*columns, strict=True)
        if state in _STATES and min(fields[_FIRST_NUMBER:]) >= 0
    ]
