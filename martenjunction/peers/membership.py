"""Which daemons there are: from the lagging list and from what is heard."""

from collections.abc import Callable
import dataclasses

from martenjunction import timers

# Seconds for which a daemon counts as live after it was last heard.
HEARD_LIFETIME = 3.0

# Seconds after which a list that calls a daemon live overrides the word that
# it is leaving: it was started again meanwhile.
LEAVING_LIFETIME = 60.0

# Daemons up to which each is connected to all others; in a larger fleet it is
# connected to those of its availability zone and to a few of each other one.
ALL_LINKS_UP_TO = 32


@dataclasses.dataclass(slots=True)
class Member:
    """One daemon.

    Attributes:
        box: Its box.
        zone: Its availability zone.
        callers: Its address for callers.
        operators: Its address for operators.
        peers: Its address for other daemons.
        incarnation: Rises with each of its starts; 0 if only listed.
        listed: Whether the platform's list calls it live.
        leaving_since: When it was first known to be leaving, or None.
        heard: When it was last heard, or None, on the clock of what was
            listened.
        held: Part of its capacity that is taken, as it last said.
        listed_since: When it was first seen in the list, on that clock.
    """

    box: str
    zone: str
    callers: str
    operators: str
    peers: str
    incarnation: int = 0
    listed: bool = False
    leaving_since: float | None = None
    heard: float | None = None
    held: float = 0.0
    listed_since: float = 0.0


class Membership:
    """One daemon's view of the fleet; views may differ for seconds."""

    def __init__(
        self,
        own: Member,
        clock: timers.Timers,
        on_change: Callable[[], None],
    ) -> None:
        """Makes a view that holds only this daemon.

        Args:
            own: This daemon.
            clock: Tells the time.
            on_change: Called when the view changed.
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
        """All daemons ever heard of, to be read only."""
        return self._members

    def believed(self) -> list[Member]:
        """Returns the daemons that are believed live and not leaving."""
        now = self._timers.listened()
        return [
            member
            for member in self._members.values()
            if member.leaving_since is None and self._is_live(member, now)
        ]

    def near(self) -> list[Member]:
        """Returns the other believed daemons that this one is connected to.

        In a large fleet it also has connections to some that are not near,
        but from their silence nothing follows.
        """
        believed = self.believed()
        small = len(believed) <= ALL_LINKS_UP_TO
        return [
            member
            for member in believed
            if member is not self._own and self._is_near(member, small)
        ]

    def listed(self, member: Member, live: bool, leaving: bool) -> None:
        """Takes in what the platform's list says of a daemon."""
        if member.box == self._own.box:
            return
        known = self._members.setdefault(member.box, member)
        if known is member:
            member.listed_since = self._timers.listened()
        before = (known.listed, known.leaving_since)
        known.listed = live
        if leaving:
            self._mark(known)
        elif live and known.leaving_since is not None:
            age = self._timers.now() - known.leaving_since
            if age > LEAVING_LIFETIME:
                known.leaving_since = None
        if not live and known.heard is None:
            del self._members[member.box]
        if before != (known.listed, known.leaving_since) or known is member:
            self._on_change()

    def met(self, member: Member) -> None:
        """Takes in a daemon that showed itself on a connection."""
        known = self._members.get(member.box)
        if known is None or member.incarnation > known.incarnation:
            member.listed = known.listed if known is not None else False
            self._members[member.box] = member
        self._members[member.box].heard = self._timers.listened()
        self._on_change()

    def heard(self, box: str, held: float) -> None:
        """Notes a heartbeat."""
        member = self._members.get(box)
        if member is not None:
            member.heard = self._timers.listened()
            member.held = held

    def leaving(self, box: str, incarnation: int) -> bool:
        """Notes that a daemon is leaving; returns whether that is news."""
        member = self._members.get(box)
        if member is None or member.incarnation > incarnation:
            return False
        if member.leaving_since is not None:
            return False
        self._mark(member)
        self._on_change()
        return True

    def silent_for(self, seconds: float) -> list[str]:
        """Returns listed boxes that were not heard for so many seconds.

        A box that was never heard counts from when it was first listed; one
        that this daemon is not connected to is not among them.
        """
        now = self._timers.listened()
        small = len(self.believed()) <= ALL_LINKS_UP_TO
        return [
            member.box
            for member in self._members.values()
            if member is not self._own
            and member.listed
            and self._is_near(member, small)
            and now - (member.heard or member.listed_since) > seconds
        ]

    def _is_near(self, member: Member, small_fleet: bool) -> bool:
        return small_fleet or member.zone == self._own.zone

    def _mark(self, member: Member) -> None:
        if member.leaving_since is None:
            member.leaving_since = self._timers.now()

    def _is_live(self, member: Member, now: float) -> bool:
        if member is self._own or member.listed:
            return True
        return member.heard is not None and now - member.heard < HEARD_LIFETIME
