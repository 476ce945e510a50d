"""Tells boxes who holds the duties, and the holder what they have counted."""

from collections.abc import Callable
import time

from martenjunction import events
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import overlay
from martenjunction.decisions.duties import lease
from martenjunction.decisions.duties import true_time
from martenjunction.decisions.duties import usage_counts
from martenjunction.duties import holder
from martenjunction.duties import messages
from martenjunction.peers import hub
from martenjunction.routing.fleet import fleet_overlay

# Intervals in seconds of the holder's heartbeats, of telling what was
# counted, and of comparing the time of day.
HEARTBEAT_INTERVAL_S = 1.0
ROWS_INTERVAL_S = 0.3
CLOCK_INTERVAL_S = 1.0

# Number of boxes that the holder tells its own counts.
BACKUPS = 2


class DutySync:
    """Exchanges heartbeats and counts of usage between boxes.

    Heartbeats are passed on to all boxes, over every link. Counts go to the
    holder over its direct link, or up the tree; the root passes them on.
    """

    def __init__(
        self,
        duty_holder: holder.DutyHolder,
        duty_lease: lease.DutyLease,
        counts: usage_counts.UsageCounts,
        wall: true_time.TrueTime,
        window_s: float,
        place: fleet_overlay.FleetOverlay,
        peers: hub.PeerHub,
        clock: timers.Timers,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Initializes the exchange; `start` subscribes to messages.

        Args:
            duty_holder: Performs the duties.
            duty_lease: The view of who holds them.
            counts: The counts of usage.
            wall: The time of day.
            window_s: Seconds of a window.
            place: The place of this box in the trees.
            peers: Connections to the other boxes.
            clock: The clock and timers.
            wall_clock: Returns the time of day of this box.
        """
        self._holder = duty_holder
        self._lease = duty_lease
        self._counts = counts
        self._wall = wall
        self._window_s = window_s
        self._place = place
        self._peers = peers
        self._timers = clock
        self._wall_clock = wall_clock
        self._number = 0
        self._heartbeat: messages.DutyHeartbeat | None = None
        self._hop: str | None = None

    def start(self, emitter: events.Events) -> None:
        """Subscribes to messages, connections and timers.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(messages.DutyHeartbeat, self._on_heartbeat)
        self._peers.subscribe(messages.UsageRows, self._on_rows)
        emitter.connect(events.PEER_CONNECTED, self._on_connected)
        self._holder.on_change(self._send_heartbeat)
        self._timers.subscribe(
            "duty-heartbeat", HEARTBEAT_INTERVAL_S, self._check_heartbeat
        )
        self._timers.subscribe("usage-rows", ROWS_INTERVAL_S, self.send_rows)
        self._timers.subscribe("true-time", CLOCK_INTERVAL_S, self._compare)

    def current_window(self, now: float) -> int:
        """Returns the window of usage at a monotonic time."""
        return int(self._wall.at(now) // self._window_s)

    def send_rows(self) -> None:
        """Tells the next box towards the holder what changed."""
        hop = self._next_hop()
        if hop != self._hop:
            self._hop = hop
            self._counts.mark_changed()
        if self._lease.holds:
            self._send_to_backups()
            return
        if hop is None:
            return
        rows = self._counts.take_changes()
        if rows and not self._peers.send_soon(hop, messages.encode_rows(rows)):
            self._hop = None

    def _send_to_backups(self) -> None:
        """Tells some boxes this holder's own counts.

        The next holder has them from there if this box ends.
        """
        rows = self._counts.take_own_changes()
        if rows:
            backups = sorted(self._peers.boxes())[:BACKUPS]
            self._peers.send_to(backups, messages.encode_rows(rows))

    def _check_heartbeat(self) -> None:
        if self._holder.works:
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        """Tells all boxes that this one holds the duties, or gave them up."""
        seen = self._lease.seen
        held = self._holder.held
        if seen is None:
            return
        self._number += 1
        self._heartbeat = messages.DutyHeartbeat(
            held.holder,
            held.incarnation,
            held.fence,
            held.released,
            seen.revision.era,
            seen.revision.number,
            self._number,
            held.last_window,
        )
        self._peers.broadcast(self._heartbeat)

    def _on_heartbeat(self, box: str, message: messages.DutyHeartbeat) -> None:
        known = self._heartbeat
        if known is not None and _order(message) <= _order(known):
            return
        self._heartbeat = message
        revision = revisions.Revision(message.era, message.revision)
        tenure = lease.Tenure(
            message.holder,
            message.incarnation,
            message.fence,
            message.released,
        )
        self._lease.note_heartbeat(
            lease.SeenRecord(tenure, revision), self._timers.now()
        )
        self._counts.settle(message.settled)
        if self._place.is_sparse:
            others = [peer for peer in self._peers.boxes() if peer != box]
            self._peers.send_to(others, message)

    def _on_connected(self, box: str) -> None:
        if box == self._hop:
            # It may have started again, without what it was told before.
            self._hop = None
        if self._heartbeat is not None:
            self._peers.send(box, self._heartbeat)

    def _on_rows(self, box: str, message: messages.UsageRows) -> None:
        window = self.current_window(self._timers.now())
        rows = messages.decode_rows(message)
        self._counts.merge(rows, window)
        if len(rows) < len(message.counts):
            left_out = len(message.counts) - len(rows)
            self._peers.note_odd_rows(box, message, left_out)

    def _next_hop(self) -> str | None:
        """Returns the next box towards the holder; None if there is none."""
        seen = self._lease.seen
        if self._lease.holds or seen is None or seen.tenure.released:
            return None
        target = seen.tenure.holder
        if self._peers.is_connected(target):
            return target
        if not self._place.is_sparse:
            return None
        parent = self._place.parent(overlay.Tree.PRIMARY)
        return target if parent is None else parent

    def _compare(self) -> None:
        self._wall.update(self._wall_clock(), self._timers.now())


def _order(heartbeat: messages.DutyHeartbeat) -> tuple[int, int]:
    return heartbeat.fence, heartbeat.number
