"""Fleet membership from the platform's delayed list and from heartbeats."""

from collections.abc import Callable
import dataclasses

from martenjunction import timers

# Seconds after its last heartbeat for which a daemon counts as live.
HEARTBEAT_LIFETIME_S = 3.0

# Seconds after which a list entry that reports a daemon as live overrides a
# notification that it is leaving: it has been restarted meanwhile.
LEAVING_LIFETIME_S = 60.0

# Seconds for which the list of live daemons is kept if nothing was reported.
# Silence changes it without a report.
LIVE_CACHE_S = 0.5

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
        link_kb: Bandwidth of its link in kilobytes per second; 0 if unknown.
        told: Whether other daemons told of it and did not call it silent.
        silent_since: Time when it was first called silent, by this daemon or
            others, from `Timers.listened`, or None.
        tunnels: Its address for tunnels to endpoints; "" for none.
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
    link_kb: int = 0
    told: bool = False
    silent_since: float | None = None
    tunnels: str = ""


OnEnded = Callable[[Member, int], None]


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
        self._live: list[Member] | None = None
        self._live_at = 0.0
        self._known_count = 1
        self._was_full_mesh = True
        self._full_mesh_since = 0.0
        self._on_ended: OnEnded = lambda ended, incarnation: None

    @property
    def own(self) -> Member:
        """This daemon."""
        return self._own

    @property
    def members(self) -> dict[str, Member]:
        """All known daemons by box; callers must not modify it."""
        return self._members

    @property
    def known_count(self) -> int:
        """Number of daemons that are not leaving, silent ones included."""
        self.live_snapshot()
        return self._known_count

    @property
    def is_full_mesh(self) -> bool:
        """Whether the fleet is small enough for a full mesh."""
        return len(self.live_snapshot()) <= MAX_FULL_MESH_SIZE

    def on_ended(self, callback: OnEnded) -> None:
        """Sets the callback for daemons that ended by themselves.

        Args:
            callback: Called with a daemon that is heard of at a later start
                without having announced that it leaves, as it was last known,
                and with its new incarnation.
        """
        self._on_ended = callback

    def live_members(self) -> list[Member]:
        """Returns the daemons that count as live and are not leaving."""
        return list(self.live_snapshot())

    def live_snapshot(self) -> list[Member]:
        """Returns the same as `live_members`; callers must not modify it.

        As long as nothing has changed it is the same list.
        """
        now = self._timers.stall_adjusted_now()
        if self._live is None or now - self._live_at >= LIVE_CACHE_S:
            known = self.known_members()
            live = [m for m in known if m.silent_since is None]
            self._known_count = len(known)
            if live != self._live:
                self._live = live
            self._live_at = now
            self._note_size(len(live), now)
        return self._live

    def known_members(self) -> list[Member]:
        """Returns the daemons that are not leaving, silent ones included."""
        now = self._timers.stall_adjusted_now()
        return [
            member
            for member in self._members.values()
            if member.leaving_since is None
            and (member.silent_since is not None or self._is_live(member, now))
        ]

    def _note_size(self, live: int, now: float) -> None:
        is_full_mesh = live <= MAX_FULL_MESH_SIZE
        if is_full_mesh and not self._was_full_mesh:
            self._full_mesh_since = now
        self._was_full_mesh = is_full_mesh

    def _changed(self) -> None:
        self._live = None
        self._on_change()

    def monitored_peers(self) -> list[Member]:
        """Returns the other live daemons whose heartbeats are monitored.

        In a large fleet, this daemon also connects to a few daemons of other
        zones, but missing heartbeats of these have no effect.
        """
        is_full_mesh = self.is_full_mesh
        return [
            member
            for member in self.live_snapshot()
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
        before = (known.listed, known.leaving_since, known.silent_since)
        known.listed = live
        known.link_kb = known.link_kb or member.link_kb
        known.tunnels = known.tunnels or member.tunnels
        if live and member.incarnation > known.incarnation:
            # The entry is of a later start than the one that was silent.
            known.silent_since = None
        if leaving:
            self._mark_leaving(known)
        elif live and known.leaving_since is not None:
            age = self._timers.now() - known.leaving_since
            if age > LEAVING_LIFETIME_S:
                known.leaving_since = None
        if not live and known.last_heartbeat_at is None and not known.told:
            del self._members[member.box]
        after = (known.listed, known.leaving_since, known.silent_since)
        if before != after or known is member:
            self._changed()

    def update_told(self, member: Member, silent: bool) -> None:
        """Updates a daemon from what other daemons tell of it.

        Args:
            member: The daemon, at the start that they tell of.
            silent: Whether it is called silent.
        """
        if member.box == self._own.box:
            return
        known = self._members.get(member.box)
        if known is None or member.incarnation > known.incarnation:
            self._note_restart(known, member)
            member.listed = known.listed if known is not None else False
            member.listed_since = self._timers.stall_adjusted_now()
            self._members[member.box] = known = member
        known.link_kb = known.link_kb or member.link_kb
        known.tunnels = known.tunnels or member.tunnels
        known.told = not silent
        if not silent:
            known.silent_since = None
        elif known.silent_since is None:
            known.silent_since = self._timers.stall_adjusted_now()
        self._changed()

    def forget(self, box: str) -> None:
        """Removes a daemon that is long gone, unless it is listed."""
        member = self._members.get(box)
        if member is not None and not member.listed:
            del self._members[box]
            self._changed()

    def record_connected(self, member: Member) -> None:
        """Records a daemon that completed a handshake."""
        known = self._members.get(member.box)
        if known is None or member.incarnation > known.incarnation:
            self._note_restart(known, member)
            member.listed = known.listed if known is not None else False
            self._members[member.box] = member
        current = self._members[member.box]
        current.last_heartbeat_at = self._timers.stall_adjusted_now()
        current.link_kb = current.link_kb or member.link_kb
        current.tunnels = member.tunnels
        current.silent_since = None
        self._changed()

    def record_heartbeat(self, box: str, held: float) -> None:
        """Records a heartbeat."""
        member = self._members.get(box)
        if member is not None:
            member.last_heartbeat_at = self._timers.stall_adjusted_now()
            member.utilization = held
            if member.silent_since is not None:
                member.silent_since = None
                self._changed()

    def mark_leaving(self, box: str, incarnation: int) -> bool:
        """Marks a daemon as leaving and returns whether this is new."""
        member = self._members.get(box)
        if member is None or member.incarnation > incarnation:
            return False
        if member.leaving_since is not None:
            return False
        self._mark_leaving(member)
        self._changed()
        return True

    def silent_boxes(self, seconds: float) -> list[str]:
        """Returns listed boxes that have been silent for the given seconds.

        The time counts from the last heartbeat, or from the first listing of a
        box without any, and in a fleet that has become a full mesh at the
        earliest from then on, as boxes were not connected before. In a large
        fleet, boxes that others tell of are left
        out, and those of other zones unless they are called silent.
        """
        now = self._timers.stall_adjusted_now()
        is_full_mesh = self.is_full_mesh
        return [
            member.box
            for member in self._members.values()
            if member is not self._own
            and member.listed
            and (
                self._is_monitored(member, is_full_mesh)
                or member.silent_since is not None
            )
            and (is_full_mesh or not member.told)
            and now - self._silent_from(member, is_full_mesh) > seconds
        ]

    def _note_restart(self, known: Member | None, started: Member) -> None:
        """Reports a daemon that starts again and did not leave before."""
        if known is None or not known.incarnation:
            return
        if known.leaving_since is None:
            self._on_ended(known, started.incarnation)

    def _is_monitored(self, member: Member, is_full_mesh: bool) -> bool:
        return is_full_mesh or member.zone == self._own.zone

    def _mark_leaving(self, member: Member) -> None:
        if member.leaving_since is None:
            member.leaving_since = self._timers.now()

    def _is_live(self, member: Member, now: float) -> bool:
        if member is self._own:
            return True
        if member.silent_since is not None:
            return False
        if member.listed or member.told:
            return True
        return (
            member.last_heartbeat_at is not None
            and now - member.last_heartbeat_at < HEARTBEAT_LIFETIME_S
        )

    def _silent_from(self, member: Member, is_full_mesh: bool) -> float:
        """Returns the time since which a daemon may be silent."""
        return max(
            member.silent_since or 0.0,
            member.last_heartbeat_at or member.listed_since,
            self._full_mesh_since if is_full_mesh else 0.0,
        )
