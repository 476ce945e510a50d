"""Logs boxes whose process ended by itself, as their peers see it.

A process that is killed for its memory, or by a signal's default action, leaves
no log line of its own.
"""

from collections.abc import Callable
from typing import Any

from martenjunction import events
from martenjunction import timers
from martenjunction.peers import membership
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.fleet import peer_views
from martenjunction.routing.log import decision_log

LastHeard = Callable[[str], peer_views.PeerView | None]


class BoxEnds:
    """Writes a line for a box that started again, and for a lost link."""

    def __init__(
        self,
        members: membership.Membership,
        place: fleet_overlay.FleetOverlay,
        last_heard: LastHeard,
        is_stopping: Callable[[], bool],
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the log; `start` subscribes to the fleet.

        Args:
            members: The boxes of the fleet.
            place: Tells whether the fleet is large.
            last_heard: Returns what a box last said of itself.
            is_stopping: Returns whether this box is being stopped, which ends
                its links.
            clock: Provides the time.
            log: Receives the lines.
        """
        self._members = members
        self._place = place
        self._last_heard = last_heard
        self._is_stopping = is_stopping
        self._timers = clock
        self._log = log

    def start(self, emitter: events.Events) -> None:
        """Subscribes to boxes that start again and to lost links."""
        self._members.on_ended(self._on_ended)
        emitter.connect(events.PEER_LOST, self._on_link_lost)

    def _on_ended(self, ended: membership.Member, incarnation: int) -> None:
        self._log.write(
            "box-ended", **self._describe(ended), started_as=incarnation
        )

    def _on_link_lost(self, box: str) -> None:
        """Logs a link that ended; a box may have ended, or the network failed.

        In a large fleet, links are opened and closed all the time.
        """
        member = self._members.members.get(box)
        if member is None or member.leaving_since is not None:
            return
        if not self._is_stopping() and not self._place.is_sparse:
            self._log.write("box-link-lost", **self._describe(member))

    def _describe(self, member: membership.Member) -> dict[str, Any]:
        heard_at = member.last_heartbeat_at
        now = self._timers.stall_adjusted_now()
        fields: dict[str, Any] = {
            "other": member.box,
            "incarnation": member.incarnation,
            "heard_s": None if heard_at is None else round(now - heard_at, 3),
        }
        heard = self._last_heard(member.box)
        if heard is not None:
            fields["ready"] = heard.ready
            fields["reaches"] = heard.reaches
            fields["version"] = heard.stamp.version
            fields["reads"] = heard.stamp.reads
        return fields
