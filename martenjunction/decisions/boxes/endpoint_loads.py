"""What all boxes have at one endpoint, as one box knows it."""

import dataclasses

# Seconds for which another box's word on its runs counts.
PEER_LOAD_LIFETIME_S = 1.5


# Urgencies that the tier of one route spans: its requests are ranked among one
# another by the tiers of their workspaces.
WORKSPACE_TIERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LoadKey:
    """Requests that are counted together.

    Attributes:
        urgency: Their rank; 0 is served first.
        is_long: Whether their prompts hold up streams beside them.
    """

    urgency: int
    is_long: bool


@dataclasses.dataclass(slots=True)
class Load:
    """Requests of one key at one endpoint.

    Attributes:
        running: Requests there, those that wait included.
        unread: Prompt tokens that the endpoint has yet to read for them.
    """

    running: int = 0
    unread: int = 0


class EndpointLoads:
    """The requests of all boxes at one endpoint, and their sums.

    The sums are kept up to date, so that weighing an endpoint does not grow
    with the boxes.

    Attributes:
        scale: By how much more all boxes have than those that were heard.
    """

    def __init__(self) -> None:
        self.scale = 1.0
        self._own: dict[LoadKey, Load] = {}
        self._peers: dict[str, tuple[float, dict[LoadKey, Load]]] = {}
        self._total: dict[LoadKey, Load] = {}
        self._all_running = 0
        self._all_unread = 0
        self._all_short = 0
        # No peer's word is older than this.
        self._oldest = 0.0

    @property
    def own(self) -> dict[LoadKey, Load]:
        """What this box has there; to be read only."""
        return self._own

    @property
    def own_running(self) -> int:
        """Requests that this box has there."""
        return sum(load.running for load in self._own.values())

    def add(self, key: LoadKey, running: int, unread: int) -> None:
        """Books requests of this box that begin there, or end."""
        load = self._own.setdefault(key, Load())
        load.running += running
        load.unread += unread
        self._add_total(key, running, unread)

    def take_peer(
        self, box: str, loads: dict[LoadKey, Load], now: float
    ) -> None:
        """Notes what another box has there."""
        _, before = self._peers.pop(box, (0.0, {}))
        self._count(before, -1)
        if loads:
            if not self._peers:
                self._oldest = now
            self._peers[box] = (now, loads)
            self._count(loads, 1)

    def running(self, now: float) -> int:
        """Returns the requests of all boxes there."""
        self._forget_old(now)
        return self._all(self._all_running)

    def short_running(self, now: float) -> int:
        """Returns the requests of all boxes there with short prompts."""
        self._forget_old(now)
        return self._all(self._all_short)

    def ahead(self, urgency: int, now: float) -> int:
        """Returns the unread tokens of all boxes that go first.

        Args:
            urgency: Of the request that would wait.
            now: The current time.
        """
        self._forget_old(now)
        return self._all(
            sum(
                load.unread
                for key, load in self._total.items()
                if key.urgency <= urgency
            )
        )

    def lower_tiers(self, urgency: int, now: float) -> int:
        """Returns the requests there on routes of a lower tier.

        Args:
            urgency: Of a request.
            now: The current time.
        """
        self._forget_old(now)
        tier = urgency // WORKSPACE_TIERS
        return sum(
            load.running
            for key, load in self._total.items()
            if key.urgency // WORKSPACE_TIERS > tier
        )

    def waiting(self, now: float) -> int:
        """Returns the unread tokens of all boxes there."""
        self._forget_old(now)
        return self._all(self._all_unread)

    def _all(self, heard: int) -> int:
        """Returns what all boxes have, from what those that are heard have."""
        return round(heard * self.scale)

    def _count(self, loads: dict[LoadKey, Load], sign: int) -> None:
        for key, load in loads.items():
            self._add_total(key, sign * load.running, sign * load.unread)

    def _add_total(self, key: LoadKey, running: int, unread: int) -> None:
        total = self._total.setdefault(key, Load())
        total.running += running
        total.unread += unread
        self._all_running += running
        self._all_unread += unread
        if not key.is_long:
            self._all_short += running

    def _forget_old(self, now: float) -> None:
        if not self._peers or now - self._oldest < PEER_LOAD_LIFETIME_S:
            return
        for box, (heard, loads) in list(self._peers.items()):
            if now - heard >= PEER_LOAD_LIFETIME_S:
                del self._peers[box]
                self._count(loads, -1)
        times = [heard for heard, _ in self._peers.values()]
        self._oldest = min(times, default=now)
