"""Whether this box's own connections reach each endpoint.

Answers the load pattern of a box that keeps its clients, the store and its
peers, and loses its connections to some or all endpoints: requests go through a
peer as soon as the own path is in doubt, and the loss is not held against the
endpoints. What a peer reaches and this box does not is this box's path; where
all own connections fail at once and none works, so is that.
"""

import dataclasses
import enum
import math

# Seconds after which a connection that is not established is in doubt.
# Endpoints accept within milliseconds.
HEDGE_S = 0.06

# Seconds after which a connection that is not established counts as failed if a
# peer reached the endpoint meanwhile.
MAX_CONNECT_S = 0.15

# Seconds that a request waits for connections in all, and the same to an
# endpoint that neither this box nor a peer has reached lately.
CONNECT_TIMEOUT_S = 0.4
REPEATED_TIMEOUT_S = 0.2

# Number of paths that fail at least, while nothing is heard over any other, for
# this box to be cut off, and number of those in doubt for it perhaps to be.
MIN_CUT_OFF = 2
MIN_DOUBTED = 3

# Seconds for which a path that has failed must work before it is used again. It
# doubles each time that the path fails within `RELAPSE_S` of its return.
FIRST_HOLD_S = 0.2
MAX_HOLD_S = 6.4
RELAPSE_S = 10.0

# Seconds for which a peer's connection to an endpoint is evidence that the
# endpoint is up.
EVIDENCE_S = 1.0


class PathState(enum.Enum):
    """What is known of the own path to an endpoint.

    Attributes:
        OPEN: It works, as far as known.
        DOUBTED: A connection is late, or the endpoint silent.
        FAILED: The last connection failed; perhaps the endpoint is down.
        CUT: It failed, and a peer reaches the endpoint.
        RETURNING: It was cut, and works again.
    """

    OPEN = "open"
    DOUBTED = "doubted"
    FAILED = "failed"
    CUT = "cut"
    RETURNING = "returning"


class PathEvent(enum.Enum):
    """Events that can change the state of a path.

    Attributes:
        CONNECTED: An own connection was established.
        HEARD: Bytes came over an own connection.
        DOUBT: An own connection is late, or the endpoint silent.
        FAILED: An own connection failed.
        CUT: As `FAILED`, while a peer reaches the endpoint.
        HELD: The path worked for long enough.
    """

    CONNECTED = "connected"
    HEARD = "heard"
    DOUBT = "doubt"
    FAILED = "failed"
    CUT = "cut"
    HELD = "held"


_NEXT: dict[tuple[PathState, PathEvent], PathState] = {
    (PathState.OPEN, PathEvent.DOUBT): PathState.DOUBTED,
    (PathState.OPEN, PathEvent.FAILED): PathState.FAILED,
    (PathState.OPEN, PathEvent.CUT): PathState.CUT,
    (PathState.DOUBTED, PathEvent.CONNECTED): PathState.OPEN,
    (PathState.DOUBTED, PathEvent.HEARD): PathState.OPEN,
    (PathState.DOUBTED, PathEvent.FAILED): PathState.FAILED,
    (PathState.DOUBTED, PathEvent.CUT): PathState.CUT,
    (PathState.FAILED, PathEvent.CONNECTED): PathState.OPEN,
    (PathState.FAILED, PathEvent.CUT): PathState.CUT,
    (PathState.CUT, PathEvent.CONNECTED): PathState.RETURNING,
    (PathState.RETURNING, PathEvent.FAILED): PathState.CUT,
    (PathState.RETURNING, PathEvent.CUT): PathState.CUT,
    (PathState.RETURNING, PathEvent.HELD): PathState.OPEN,
}

# States in which only a peer's connections are used.
_PEERS_ONLY = frozenset({PathState.CUT, PathState.RETURNING})

# States in which the path is not known to work, or not for long enough.
_FAILING = frozenset({PathState.FAILED, *_PEERS_ONLY})


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectPlan:
    """How to connect to an endpoint.

    Attributes:
        direct: Whether to try an own connection.
        tunnel_after_s: Seconds after which a peer is asked as well.
        timeout_s: Seconds after which the endpoint counts as not reached.
    """

    direct: bool
    tunnel_after_s: float
    timeout_s: float = CONNECT_TIMEOUT_S


@dataclasses.dataclass(slots=True)
class _Path:
    """The own path to one endpoint.

    Attributes:
        state: The state.
        refused: Whether the last failure was a refusal, so that open
            connections may still work.
        changed_at: Time of the last change of the state.
        heard_at: Time of the last sign of life over the path.
        peer_reached_at: Time at which a peer last reached the endpoint.
        hold_s: Seconds for which the path must work before it is used.
        returned_at: Time at which it was last used again after a cut.
    """

    state: PathState = PathState.OPEN
    refused: bool = False
    changed_at: float = -math.inf
    heard_at: float = -math.inf
    peer_reached_at: float = -math.inf
    hold_s: float = FIRST_HOLD_S
    returned_at: float = -math.inf


class EndpointPaths:
    """The own paths to all endpoints."""

    def __init__(self) -> None:
        """Initializes paths that all count as open."""
        self._paths: dict[str, _Path] = {}

    def state(self, endpoint_id: str) -> PathState:
        """Returns the state of the path to an endpoint."""
        return self._path(endpoint_id).state

    def in_state(self, *states: PathState) -> list[str]:
        """Returns the ids of the endpoints whose paths are in some states."""
        return [i for i, path in self._paths.items() if path.state in states]

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns whether a failure may be held against the endpoint."""
        return self.state(endpoint_id) is PathState.OPEN

    def allows_open_connections(self, endpoint_id: str) -> bool:
        """Returns whether open connections of this box may be used.

        They may where the path is in no doubt, or where only new connections
        fail at once.
        """
        path = self._path(endpoint_id)
        if path.state is PathState.OPEN:
            return True
        return path.refused and path.state is not PathState.DOUBTED

    def plan(self, endpoint_id: str) -> ConnectPlan:
        """Returns how to connect to an endpoint."""
        state = self.state(endpoint_id)
        if state is PathState.OPEN:
            return ConnectPlan(True, HEDGE_S)
        if state is PathState.FAILED:
            return ConnectPlan(True, 0.0, REPEATED_TIMEOUT_S)
        return ConnectPlan(state not in _PEERS_ONLY, 0.0)

    def note_connected(self, endpoint_id: str, now: float) -> bool:
        """Records an own connection; returns whether the state changed."""
        path = self._path(endpoint_id)
        path.heard_at = now
        path.refused = False
        return self._move(path, PathEvent.CONNECTED, now)

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Records bytes that came over an own connection."""
        path = self._path(endpoint_id)
        path.heard_at = now
        if path.state is PathState.DOUBTED:
            self._move(path, PathEvent.HEARD, now)

    def note_doubt(self, endpoint_id: str, now: float) -> bool:
        """Records a late connection; returns whether the state changed."""
        return self._move(self._path(endpoint_id), PathEvent.DOUBT, now)

    def note_failed(self, endpoint_id: str, refused: bool, now: float) -> bool:
        """Records that an own connection failed.

        Args:
            endpoint_id: The endpoint.
            refused: Whether it was refused.
            now: The current time.

        Returns:
            Whether the state changed.
        """
        path = self._path(endpoint_id)
        path.refused = refused
        reached = now - path.peer_reached_at <= EVIDENCE_S
        event = PathEvent.CUT if reached else PathEvent.FAILED
        return self._move(path, event, now)

    def note_peer_reached(self, endpoint_id: str, now: float) -> bool:
        """Records that a peer reached it; returns whether the state changed."""
        path = self._path(endpoint_id)
        path.peer_reached_at = now
        if path.state is not PathState.FAILED:
            return False
        return self._move(path, PathEvent.CUT, now)

    def hold_returned(self, now: float) -> list[str]:
        """Opens the paths that work again; returns their endpoints' ids."""
        opened = []
        for endpoint_id, path in self._paths.items():
            if path.state is not PathState.RETURNING:
                continue
            if now - path.changed_at >= path.hold_s:
                self._move(path, PathEvent.HELD, now)
                path.returned_at = now
                opened.append(endpoint_id)
        return opened

    def is_cut_off(self) -> bool:
        """Returns whether this box, and no endpoint, is the likely cause.

        It is if several paths fail and none was heard of since the first of
        them failed.
        """
        return self._only_in(_FAILING, MIN_CUT_OFF)

    def may_be_cut_off(self) -> bool:
        """Returns whether this box is perhaps cut off.

        As `is_cut_off`, with several paths that are in doubt.
        """
        return self._only_in(
            _FAILING | {PathState.DOUBTED}, min(MIN_DOUBTED, len(self._paths))
        )

    def _only_in(self, states: frozenset[PathState], minimum: int) -> bool:
        """Returns whether paths are in some states and no other was heard of.

        Args:
            states: The states.
            minimum: Minimum number of paths in them.
        """
        found = [p for p in self._paths.values() if p.state in states]
        if len(found) < max(MIN_CUT_OFF, minimum):
            return False
        since = min(path.changed_at for path in found)
        return not any(
            path.heard_at >= since and path.state is PathState.OPEN
            for path in self._paths.values()
        )

    def retain(self, endpoint_ids: set[str]) -> None:
        """Forgets all other endpoints."""
        for removed in self._paths.keys() - endpoint_ids:
            del self._paths[removed]

    def _path(self, endpoint_id: str) -> _Path:
        return self._paths.setdefault(endpoint_id, _Path())

    def _move(self, path: _Path, event: PathEvent, now: float) -> bool:
        after = _NEXT.get((path.state, event), path.state)
        if after is path.state:
            return False
        if after is PathState.CUT and path.state is not PathState.RETURNING:
            relapsed = now - path.returned_at <= RELAPSE_S
            path.hold_s = (
                min(path.hold_s * 2.0, MAX_HOLD_S) if relapsed else FIRST_HOLD_S
            )
        path.state = after
        path.changed_at = now
        return True
