"""Connects to endpoints directly, or through a peer where that fails."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
from typing import Any

from martenjunction import errors
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_paths
from martenjunction.endpoints import pool
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.http1 import streams
from martenjunction.routing.log import decision_log
from martenjunction.tunnels import connection as tunnel_connection
from martenjunction.tunnels import dialer

# Interval, in seconds, at which paths that are cut are checked, one at a time.
CHECK_INTERVAL_S = 0.25

# Minimum time, in seconds, between two checks of a path that is not known to be
# cut.
MIN_CHECK_DISTANCE_S = 1.0

# Maximum number of paths that are checked at the same time.
MAX_CHECKS = 16

# Other endpoints that are tried to tell whether a failure is this box's, and
# the timeout in seconds.
SAMPLE_COUNT = 3
SAMPLE_TIMEOUT_S = 0.1

# Minimum time, in seconds, between two such samples because of a late
# connection.
MIN_SAMPLE_DISTANCE_S = 0.5

# Time, in seconds, for which this box must be cut off before it says so.
TELL_AFTER_S = 0.2

_State = endpoint_paths.PathState
_Attempt = asyncio.Task[client.ClientConnection]


class EndpointConnector:
    """Opens connections to endpoints over the path that works."""

    def __init__(
        self,
        paths: endpoint_paths.EndpointPaths,
        listed: endpoint_list.EndpointList,
        tunnels: dialer.TunnelDialer,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initializes the connector; `start` begins to check paths.

        Args:
            paths: The paths of this box to endpoints.
            listed: The endpoints.
            tunnels: Connects through peers.
            clock: Provides the time and periodic callbacks.
            log: Records paths that are lost and that return.
            rng: Draws the endpoints that are tried.
        """
        self._paths = paths
        self._listed = listed
        self._tunnels = tunnels
        self._timers = clock
        self._log = log
        self._rng = rng
        self._tasks: set[_Attempt] = set()
        self._late: set[asyncio.Task[None]] = set()
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._checked_at: dict[str, float] = {}
        self._cut_off_since: float | None = None
        self._down: set[str] = set()
        self._suspected_at = -MIN_SAMPLE_DISTANCE_S
        self._on_cut: Callable[[str, bool], None] = lambda endpoint_id, all: (
            None
        )

    @property
    def reaches_endpoints(self) -> bool:
        """Whether own connections of this box reach endpoints."""
        if self._cut_off_since is None:
            return True
        return self._timers.now() - self._cut_off_since < TELL_AFTER_S

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns whether a failure may be held against the endpoint."""
        return self._paths.is_trusted(endpoint_id)

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Records bytes that came over an own connection."""
        self._paths.note_heard(endpoint_id, now)

    def on_cut(self, callback: Callable[[str, bool], None]) -> None:
        """Sets the callback for a path that is cut while a peer's works.

        Args:
            callback: Called with the endpoint's id and whether open
                connections over the path are lost as well.
        """
        self._on_cut = callback

    def start(self) -> None:
        """Starts the periodic checks."""
        self._timers.subscribe("paths", CHECK_INTERVAL_S, self._check_paths)

    async def stop(self) -> None:
        """Cancels all attempts and checks."""
        tasks = [*self._tasks, *self._late, *self._checks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def open(
        self, endpoint: model.Endpoint, on_head: pool.OnConnectionHead
    ) -> client.ClientConnection:
        """Returns a new connection; see `pool.Connector.open`.

        A peer is asked as well if the own connection is late or fails. Stalls
        of this box do not count as time in which an endpoint is not reached.
        """
        plan = self._paths.plan(endpoint.id)
        began_at = self._timers.stall_adjusted_now()
        deadline = began_at + plan.timeout_s
        tunnel_at = began_at + plan.tunnel_after_s
        direct: _Attempt | None = None
        tunnel: _Attempt | None = None
        used: _Attempt | None = None
        if plan.direct:
            direct = self._start(self._open_direct(endpoint, on_head))
        try:
            while True:
                now = self._timers.stall_adjusted_now()
                if tunnel is None and now >= tunnel_at:
                    if direct is not None and not direct.done():
                        self._note_late(endpoint.id)
                    tunnel = self._start(
                        self._open_tunnel(endpoint, on_head, deadline - now)
                    )
                pending = [
                    task
                    for task in (direct, tunnel)
                    if task is not None and not task.done()
                ]
                if not pending and direct is None:
                    # The path may have returned since.
                    direct = self._start(self._open_direct(endpoint, on_head))
                    continue
                if not pending or now >= deadline:
                    raise _failure(direct)
                until = deadline if tunnel is not None else tunnel_at
                done = await self._timers.wait_first(pending, until)
                for task in done:
                    if task.exception() is None:
                        used = task
                        return task.result()
                if direct in done:
                    tunnel_at = now
        finally:
            if direct is not None and direct is not used:
                self._abandon(endpoint, direct, began_at)
            if tunnel is not None and tunnel is not used:
                tunnel.cancel()
                tunnel.add_done_callback(_close_unused)

    def reuse(
        self, endpoint_id: str, connection: client.ClientConnection
    ) -> pool.Reuse:
        """Returns whether an idle connection may carry a request."""
        state = self._paths.state(endpoint_id)
        if isinstance(connection, tunnel_connection.TunnelConnection):
            if state is _State.OPEN or not self._tunnels.is_usable(connection):
                return pool.Reuse.NEVER
            return pool.Reuse.NOW
        if self._paths.allows_open_connections(endpoint_id):
            return pool.Reuse.NOW
        if state is _State.DOUBTED:
            return pool.Reuse.LATER
        return pool.Reuse.NEVER

    def check(self, endpoint_id: str) -> None:
        """Checks the path to an endpoint that is unusually quiet."""
        now = self._timers.now()
        last_at = self._checked_at.get(endpoint_id, -MIN_CHECK_DISTANCE_S)
        if now - last_at >= MIN_CHECK_DISTANCE_S:
            self._start_check(endpoint_id, self._check_any)

    async def is_down(self, endpoint: model.Endpoint) -> bool:
        """Returns whether an endpoint's port refuses connections.

        Asks no peer: a request that crashes endpoints is to be noticed before
        it is sent again. Another error is no evidence.

        Args:
            endpoint: The endpoint.

        Raises:
            EndpointNotReachedError: If it is not reached for another reason.
        """
        if self._paths.state(endpoint.id) in (_State.CUT, _State.RETURNING):
            return False
        try:
            # A new connection, because an idle one may be closing already.
            connection = await self._open_direct(endpoint, _ignore_head)
        except errors.NoSocketError:
            return False
        except errors.ConnectError as error:
            if isinstance(error, errors.PortRefusedError):
                return await self.confirm_failure(endpoint.id)
            raise errors.EndpointNotReachedError(str(error)) from error
        connection.abort()
        return False

    async def confirm_failure(self, endpoint_id: str) -> bool:
        """Returns whether a failed connection is the endpoint's failure.

        It is unless own connections to a few other endpoints, which are not
        known to be down, fail as well.
        """
        self._down &= self._listed.entries.keys()
        others = [
            listed.endpoint
            for other, listed in self._listed.entries.items()
            if other != endpoint_id
            and other not in self._down
            and self._listed.is_ready(other)
        ]
        if not others or await self._reaches_any(others):
            self._down.add(endpoint_id)
            return True
        return False

    async def _reaches_any(self, others: list[model.Endpoint]) -> bool:
        """Returns whether one of a few of some endpoints is reached."""
        sample = self._rng.sample(others, min(SAMPLE_COUNT, len(others)))
        tries = [
            self._start(self._open_direct(other, _ignore_head))
            for other in sample
        ]
        until = self._timers.stall_adjusted_now() + SAMPLE_TIMEOUT_S
        pending = set(tries)
        try:
            while pending:
                done = await self._timers.wait_first(pending, until)
                if not done:
                    return False
                if any(one.exception() is None for one in done):
                    return True
                pending -= done
        finally:
            for one in tries:
                one.add_done_callback(_close_unused)
        return False

    # Attempts.

    async def _open_direct(
        self, endpoint: model.Endpoint, on_head: pool.OnConnectionHead
    ) -> client.ClientConnection:
        connection = client.ClientConnection(endpoint.address, on_head)
        try:
            await connection.open(endpoint_paths.CONNECT_TIMEOUT_S)
        except errors.NoSocketError:
            raise
        except errors.ConnectError as error:
            refused = isinstance(error, errors.PortRefusedError)
            self._note_failed(endpoint.id, refused)
            raise
        now = self._timers.now()
        self._down.discard(endpoint.id)
        if self._paths.note_connected(endpoint.id, now):
            self._log_path(endpoint.id)
        return connection

    async def _open_tunnel(
        self,
        endpoint: model.Endpoint,
        on_head: pool.OnConnectionHead,
        timeout_s: float,
    ) -> client.ClientConnection:
        connection = await self._tunnels.open(endpoint, on_head, timeout_s)
        if self._paths.note_peer_reached(endpoint.id, self._timers.now()):
            self._announce_cut(endpoint.id)
        return connection

    def _note_late(self, endpoint_id: str) -> None:
        """Doubts a path, and tries a few others: all of them may be cut."""
        now = self._timers.now()
        if not self._paths.note_doubt(endpoint_id, now):
            return
        if self._paths.may_be_cut_off():
            self._doubt_others(now)
        elif now - self._suspected_at >= MIN_SAMPLE_DISTANCE_S:
            self._suspected_at = now
            unsuspected = [
                other
                for other in self._listed.entries
                if self._paths.is_trusted(other)
                and self._listed.is_ready(other)
            ]
            count = min(SAMPLE_COUNT, len(unsuspected))
            for other in self._rng.sample(unsuspected, count):
                self._start_check(other, self._check_any)

    def _note_failed(self, endpoint_id: str, refused: bool) -> None:
        if self._paths.note_failed(endpoint_id, refused, self._timers.now()):
            if self._paths.state(endpoint_id) is _State.CUT:
                self._announce_cut(endpoint_id)
            else:
                self._log_path(endpoint_id)

    def _announce_cut(self, endpoint_id: str) -> None:
        self._log_path(endpoint_id)
        lost = not self._paths.allows_open_connections(endpoint_id)
        self._on_cut(endpoint_id, lost)
        self._update_cut_off()

    def _start(
        self, work: Coroutine[Any, Any, client.ClientConnection]
    ) -> _Attempt:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(streams.retrieve_exception)
        return task

    def _abandon(
        self, endpoint: model.Endpoint, direct: _Attempt, began_at: float
    ) -> None:
        """Closes an own connection that nobody waits for, also a new one.

        One that is late is waited for a little longer if a peer reached the
        endpoint: its result decides about the path.
        """
        direct.add_done_callback(_close_unused)
        if direct.done():
            return
        late = asyncio.get_running_loop().create_task(
            self._await_result(endpoint.id, direct, began_at)
        )
        self._late.add(late)
        late.add_done_callback(self._late.discard)

    async def _await_result(
        self, endpoint_id: str, direct: _Attempt, began_at: float
    ) -> None:
        """Counts an own connection that is too late as failed."""
        until = began_at + endpoint_paths.MAX_CONNECT_S
        if not await self._timers.wait_first([direct], until):
            direct.cancel()
            self._note_failed(endpoint_id, False)

    # Checks of paths.

    def _check_paths(self) -> None:
        now = self._timers.now()
        self._paths.retain(set(self._listed.entries))
        for endpoint_id in self._paths.hold_returned(now):
            self._log_path(endpoint_id)
        cut = self._paths.in_state(_State.CUT)
        for endpoint_id in self._paths.in_state(_State.RETURNING):
            self._start_check(endpoint_id, self._check_own)
        if cut:
            self._start_check(self._rng.choice(cut), self._check_own)
        self._update_cut_off()

    def _start_check(
        self,
        endpoint_id: str,
        check: Callable[[model.Endpoint], Coroutine[Any, Any, None]],
    ) -> None:
        listed = self._listed.entries.get(endpoint_id)
        if (
            listed is None
            or endpoint_id in self._checks
            or len(self._checks) >= MAX_CHECKS
        ):
            return
        self._checked_at[endpoint_id] = self._timers.now()
        task = asyncio.get_running_loop().create_task(check(listed.endpoint))
        self._checks[endpoint_id] = task
        task.add_done_callback(lambda _: self._checks.pop(endpoint_id, None))

    async def _check_own(self, endpoint: model.Endpoint) -> None:
        """Checks whether own connections work again."""
        was_cut = self._paths.state(endpoint.id) is _State.CUT
        began_at = self._timers.stall_adjusted_now()
        attempt = self._start(self._open_direct(endpoint, _ignore_head))
        attempt.add_done_callback(_close_unused)
        await self._await_result(endpoint.id, attempt, began_at)
        if not attempt.done():
            return
        if was_cut and attempt.exception() is None:
            # The others may have returned together with this one.
            for other in self._paths.in_state(_State.CUT):
                self._start_check(other, self._check_own)

    async def _check_any(self, endpoint: model.Endpoint) -> None:
        """Checks whether the endpoint is reached, and over which path."""
        try:
            connection = await self.open(endpoint, _ignore_head)
        except errors.ConnectError:
            return
        connection.abort()

    def _update_cut_off(self) -> None:
        cut_off = self._paths.is_cut_off()
        if cut_off is (self._cut_off_since is not None):
            return
        now = self._timers.now()
        self._cut_off_since = now if cut_off else None
        self._log.write(
            "endpoints-unreached" if cut_off else "endpoints-reached",
            failed=len(self._paths.in_state(_State.FAILED)),
            cut=len(self._paths.in_state(_State.CUT)),
            listed=len(self._listed.entries),
        )
        if cut_off:
            self._doubt_others(now)

    def _doubt_others(self, now: float) -> None:
        """Puts all other paths in doubt, and checks some of them."""
        for endpoint_id in list(self._listed.entries):
            if self._paths.note_doubt(endpoint_id, now):
                self._start_check(endpoint_id, self._check_any)

    def _log_path(self, endpoint_id: str) -> None:
        self._log.write(
            "endpoint-path",
            endpoint=endpoint_id,
            state=self._paths.state(endpoint_id).value,
        )


def _failure(direct: _Attempt | None) -> errors.ConnectError:
    """Returns the error of an endpoint that was not reached."""
    if direct is not None and direct.done():
        error = direct.exception()
        if isinstance(error, errors.ConnectError):
            return error
    return errors.ConnectError("no connection in time")


def _ignore_head(head: messages.ResponseHead) -> None:
    """Ignores the head of a response."""


def _close_unused(attempt: _Attempt) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().abort()
