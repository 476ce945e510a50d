"""Fleet membership from the platform's delayed list and from heartbeats."""

from collections.abc import Callable
import dataclasses

from martenjunction import timers

# Seconds after its last heartbeat for which a daemon counts as live.
HEARTBEAT_LIFETIME_S = 3.0

# Seconds after which a list entry that reports a daemon as live overrides a
# notification that it is leaving: it has been restarted meanwhile.
LEAVING_LIFETIME_S = 60.0

# Maximum number of daemons in a full mesh. In a larger fleet, a daemon connects
# to all daemons of its availability zone and to a few of each other zone.
MAX_FULL_MESH_SIZE = 32


@dataclasses.dataclass(slots=True)
class Member:
    """A daemon of the fleet.

    Attributes:
        box: Name of its box.
        zone: Its availability zone.
        callers: Its address for callers.
        operators: Its address for operators.
        peers: Its address for other daemons.
        incarnation: Increases with each start; 0 if only listed.
        listed: Whether the platform's list reports it as live.
        leaving_since: Time when it was first known to be leaving, or None.
        last_heartbeat_at: Time of its last heartbeat or handshake, from
            `Timers.listened`, or None.
        utilization: Fraction of its capacity in use, from its last heartbeat.
        listed_since: Time when it was first listed, from `Timers.listened`.
    """

    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    incarnation: int = 0
    listed: bool = False
    leaving_since: float | None = None
    last_heartbeat_at: float | None = None
    utilization: float = 0.0
    listed_since: float = 0.0


class Membership:
    """A daemon's view of the fleet.

    The views of two daemons may differ for some seconds.
    """

    def __init__(
        self,
        own: Member,
        clock: timers.Timers,
        on_change: Callable[[], None],
    ) -> None:
        """Initializes a view that contains only this daemon.

        Args:
            own: This daemon.
            clock: Provides the time.
            on_change: Called after the view has changed.
        """
        self._own = own
        self._timers = clock
        self._on_change = on_change
        self._members = {own.box: own}

    @property
    def own(self) -> Member:
        """This daemon."""
        return self._own

    @property
    def members(self) -> dict[str, Member]:
        """All known daemons by box; callers must not modify it."""
        return self._members

    def live_members(self) -> list[Member]:
        """Returns the daemons that count as live and are not leaving."""
        now = self._timers.stall_adjusted_now()
        return [
            member
            for member in self._members.values()
            if member.leaving_since is None and self._is_live(member, now)
        ]

    def monitored_peers(self) -> list[Member]:
        """Returns the other live daemons whose heartbeats are monitored.

        In a large fleet, this daemon also connects to a few daemons of other
        zones, but missing heartbeats of these have no effect.
        """
        believed = self.live_members()
        is_full_mesh = len(believed) <= MAX_FULL_MESH_SIZE
        return [
            member
            for member in believed
            if member is not self._own
            and self._is_monitored(member, is_full_mesh)
        ]

    def update_listed(self, member: Member, live: bool, leaving: bool) -> None:
        """Updates a daemon from the platform's list."""
        if member.box == self._own.box:
            return
        known = self._members.setdefault(member.box, member)
        if known is member:
            member.listed_since = self._timers.stall_adjusted_now()
        before = (known.listed, known.leaving_since)
        known.listed = live
        if leaving:
            self._mark_leaving(known)
        elif live and known.leaving_since is not None:
            age = self._timers.now() - known.leaving_since
            if age > LEAVING_LIFETIME_S:
                known.leaving_since = None
        if not live and known.last_heartbeat_at is None:
            del self._members[member.box]
        if before != (known.listed, known.leaving_since) or known is member:
            self._on_change()

    def record_connected(self, member: Member) -> None:
        """Records a daemon that completed a handshake."""
        known = self._members.get(member.box)
        if known is None or member.incarnation > known.incarnation:
            member.listed = known.listed if known is not None else False
            self._members[member.box] = member
        self._members[
            member.box
        ].last_heartbeat_at = self._timers.stall_adjusted_now()
        self._on_change()

    def record_heartbeat(self, box: str, held: float) -> None:
        """Records a heartbeat."""
        member = self._members.get(box)
        if member is not None:
            member.last_heartbeat_at = self._timers.stall_adjusted_now()
            member.utilization = held

    def mark_leaving(self, box: str, incarnation: int) -> bool:
        """Marks a daemon as leaving and returns whether this is new."""
        member = self._members.get(box)
        if member is None or member.incarnation > incarnation:
            return False
        if member.leaving_since is not None:
            return False
        self._mark_leaving(member)
        self._on_change()
        return True

    def silent_boxes(self, seconds: float) -> list[str]:
        """Returns listed boxes without a heartbeat for the given seconds.

        For a box without any heartbeat, the time counts from its first
        listing. Boxes whose heartbeats are not monitored are left out.
        """
        now = self._timers.stall_adjusted_now()
        is_full_mesh = len(self.live_members()) <= MAX_FULL_MESH_SIZE
        return [
            member.box
            for member in self._members.values()
            if member is not self._own
            and member.listed
            and self._is_monitored(member, is_full_mesh)
            and now - (member.last_heartbeat_at or member.listed_since)
            > seconds
        ]

    def _is_monitored(self, member: Member, is_full_mesh: bool) -> bool:
        return is_full_mesh or member.zone == self._own.zone

    def _mark_leaving(self, member: Member) -> None:
        if member.leaving_since is None:
            member.leaving_since = self._timers.now()

    def _is_live(self, member: Member, now: float) -> bool:
        if member is self._own or member.listed:
            return True
        return (
            member.last_heartbeat_at is not None
            and now - member.last_heartbeat_at < HEARTBEAT_LIFETIME_S
        )
