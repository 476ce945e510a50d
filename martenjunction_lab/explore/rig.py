"""A box's path from a client's bytes to endpoints, without its other parts.

The server, its connections, the exchanges, the registry, pool and connector of
endpoints are those of a box, and so are the periodic checks of runs and of idle
connections to endpoints. Store and peers do not run.
"""

import asyncio
import dataclasses
import enum
import functools
import json
import math

from tornado import iostream

from martenjunction import errors
from martenjunction import gateway
from martenjunction import revisions
from martenjunction import timers
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams
from martenjunction.platform import box_settings
from martenjunction.platform import store
from martenjunction_lab import boxes
from martenjunction_lab.explore import client
from martenjunction_lab.explore import configurations
from martenjunction_lab.explore import endpoints
from martenjunction_lab.simulated import loop as simulated_loop
from martenjunction_lab.simulated import sockets

# Seconds without a confirmation of the store for which keys hold.
_NO_LIMIT_S = 1e6

_ENTRY_SERVICES = (
    configurations.PLAIN_SERVICE,
    configurations.PLAIN_SERVICE,
    configurations.ENGINE_SERVICE,
    configurations.ENGINE_SERVICE,
)

# Seconds by which a timer differs from that of a periodic check at most.
_SAME_S = 1e-6

_connect = streams.connect


class Stop(enum.IntEnum):
    """How far a planned stop has come."""

    NONE = 0
    LEAVING = 1
    FINISHING = 2
    ENDING = 3
    CLOSED = 4


@dataclasses.dataclass(eq=False)
class Sent:
    """A request of the client.

    Attributes:
        id: Its id.
        kind: The kind of its route.
        began_at: Time of its first byte.
        timeout_s: Seconds that it may take.
        least_timeout_s: The same, if it differs by when the box reads it.
        turn: Turn in which it was complete.
        rest: What is not sent of it.
        complete: Whether all of it was sent while the connection was open.
        done_at: Time of its last byte.
    """

    id: str
    kind: str
    began_at: float
    timeout_s: float
    least_timeout_s: float
    turn: int
    rest: bytes = b""
    complete: bool = False
    done_at: float = 0.0


class Rig:
    """One box, four endpoints and one client connection."""

    def __init__(self, network: sockets.Network) -> None:
        """Builds it in the running loop."""
        running = asyncio.get_running_loop()
        assert isinstance(running, simulated_loop.SimulatedLoop)
        self.loop = running
        self._network = network
        self.gateway = gateway.Gateway(_settings(), resident_bytes=lambda: 0)
        self.configuration = "usual"
        self.shortest_idle_s = configurations.idle_s(self.configuration)
        self.sent: list[Sent] = []
        self._version = 0
        self._listed = 0
        self.configure(self.configuration)
        self.endpoints = [endpoints.Endpoint(network) for _ in _ENTRY_SERVICES]
        for number, service in enumerate(_ENTRY_SERVICES):
            self._list_endpoint(number, service)
        self.reports: list[close_reports.ClosedConnection] = []
        self.server = server.Server(
            "callers",
            self.gateway.held.serve,
            self._limits,
            self.reports.append,
        )
        listening = network.listen(0, server.BACKLOG)
        self.server.add_sockets([listening])
        self.client = client.Client(network, listening.getsockname())
        self.connect_delay_s: float | None = 0.0
        self.mute = False
        self.stop_stage = Stop.NONE
        self.held_up_s = 0.0
        # When the play was over and its connections were to end.
        self.over_at = math.inf
        # Counts how often the loop came to rest, and when it last did.
        self.turn = 0
        self._rested_at = running.time()
        self._stopping: asyncio.Task[None] | None = None
        periodic = self.gateway.timers
        self._checks = (
            periodic.subscribe("watch", gateway.WATCH_INTERVAL_S, self._watch),
            periodic.subscribe(
                "idle", gateway.IDLE_CHECK_INTERVAL_S, self._close_idle
            ),
        )
        periodic.start()

    @property
    def runs(self) -> list[endpoints.Run]:
        """All runs at all endpoints, in order of their arrival."""
        found = [run for made in self.endpoints for run in made.runs]
        return sorted(found, key=lambda run: (run.at, run.request_id))

    @property
    def waiting_runs(self) -> list[endpoints.Run]:
        """The runs without a complete answer."""
        return [run for run in self.runs if run.waits]

    @property
    def unanswered(self) -> list[Sent]:
        """The requests without a complete response."""
        return self.sent[len(self.client.responses) :] if self.sent else []

    @property
    def rested_since(self) -> float:
        """Time of the last response, or of the connection's start."""
        answered = self.client.responses
        return answered[-1].at if answered else self.client.opened_at

    @property
    def check_due_in(self) -> float:
        """Seconds until the next periodic check."""
        due = min(check.due for check in self._checks)
        return max(0.0, due - self.loop.time())

    def timers_due_in(self) -> list[float]:
        """Returns the seconds until each timer but those of periodic checks."""
        now = self.loop.time()
        checks = [check.due - now for check in self._checks]
        return [
            left
            for left in self.loop.due_in()
            if all(abs(left - due) > _SAME_S for due in checks)
        ]

    def configure(self, name: str) -> None:
        """Puts a configuration in force."""
        self._version += 1
        self.configuration = name
        self.shortest_idle_s = min(
            self.shortest_idle_s, configurations.idle_s(name)
        )
        self._note_timeout(configurations.timeout_s(name))
        self.gateway.store_cache.apply_config(
            configurations.document(name, self._version),
            self.loop.time(),
            "lab",
        )

    def note_rest(self) -> None:
        """Notes that the loop had nothing to do before the present moment."""
        self.turn += 1
        self._rested_at = self.loop.time()

    def hold_up(self, seconds: float) -> None:
        """Lets time pass in which the box does nothing."""
        self.held_up_s += max(0.0, seconds)
        self.loop.hold_up(max(0.0, seconds))

    def new_stream(self) -> watched_streams.WatchedStream:
        """Returns a stream over a new socket of its network."""
        sock = self._network.new()
        streams.set_socket_options(sock)
        return watched_streams.WatchedStream(
            sock, max_buffer_size=streams.MAX_BUFFER_BYTES
        )

    async def connect(
        self, stream: iostream.IOStream, address: str, timeout_s: float
    ) -> None:
        """Connects to an endpoint as late as this play says."""
        delay_s = self.connect_delay_s
        if delay_s is None or delay_s >= timeout_s:
            # A connection that is never established ends by its timeout.
            await asyncio.sleep(timeout_s)
            raise errors.ConnectError("not established in time")
        if delay_s:
            await asyncio.sleep(delay_s)
        await _connect(stream, address, timeout_s - delay_s)

    def leave(self) -> None:
        """Begins a planned stop, as `Gateway.leave` does."""
        self.stop_stage = max(self.stop_stage, Stop.LEAVING)
        self.gateway.stop_state.leave(
            self.loop.time(), _settings().stop_s - gateway.STOP_MARGIN_S
        )

    def finish(self) -> None:
        """Closes connections as they become idle."""
        self.stop_stage = max(self.stop_stage, Stop.FINISHING)
        self.server.finish()

    def stop(self) -> None:
        """Ends all requests, as `Gateway.stop` does at its limit."""
        self.stop_stage = Stop.ENDING
        self.gateway.stop_state.stop()
        self.server.finish()
        self.gateway.held.stop()
        self._stopping = self.loop.create_task(self._close_all())

    async def end(self) -> None:
        """Ends everything that is left."""
        self.server.close_all()
        if self._stopping is not None:
            self._stopping.cancel()
        self.client.close(True)
        for made in self.endpoints:
            made.close()
        await self.gateway.liveness.stop()
        await self.gateway.connector.stop()
        await self.gateway.timers.stop()
        self.gateway.pool.close()

    async def _close_all(self) -> None:
        waits = [asyncio.ensure_future(self.server.wait_ended())]
        await timers.wait_while_running(
            waits, gateway.FINAL_RESPONSES_TIMEOUT_S
        )
        waits[0].cancel()
        self.stop_stage = Stop.CLOSED
        self.server.close_all()

    def _note_timeout(self, timeout_s: float) -> None:
        """Widens the timeouts of requests that the box may not have read."""
        # A request is read once the response before it is sent, and that may
        # be in the moment in which a rest ended.
        is_read = bool(self.sent) and self.rested_since < self._rested_at
        for number, sent in enumerate(self.unanswered):
            if number == 0 and is_read and sent.turn < self.turn:
                continue
            sent.timeout_s = max(sent.timeout_s, timeout_s)
            sent.least_timeout_s = min(sent.least_timeout_s, timeout_s)

    def _watch(self) -> None:
        """Checks runs, as `Gateway` does."""
        self.gateway.store_cache.expire()
        self.gateway.registry.tick(self.gateway.timers.now())
        self.gateway.held.move()

    def _close_idle(self) -> None:
        """Checks idle connections to endpoints, as `Gateway` does."""
        self.gateway.pool.prune(set(self.gateway.endpoint_list.entries))
        self.gateway.pool.expire()

    def _limits(self) -> messages.ClientLimits:
        config = self.gateway.admitter.config
        return messages.ClientLimits() if config is None else config.limits

    def restart_endpoint(self, restarted: endpoints.Endpoint) -> None:
        """Ends an endpoint's connections and lists it as started anew."""
        number = self.endpoints.index(restarted)
        for connection in restarted.connections:
            connection.end(False, endpoints.RunState.BROKEN)
        self._list_endpoint(number, _ENTRY_SERVICES[number])

    def _list_endpoint(self, number: int, service: str) -> None:
        self._listed += 1
        spec = {
            "service": service,
            "address": self.endpoints[number].address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": self._listed,
        }
        revision = revisions.Revision(1, self._listed)
        entry = store.StoredObject(
            f"e{number + 1}", revision, json.dumps(spec).encode()
        )
        self.gateway.store_cache.apply_endpoint_change(
            store.Change(entry, False)
        )


@functools.cache
def _settings() -> box_settings.BoxSettings:
    return boxes.settings("box-1", "127.0.0.1:1", key_lifetime_s=_NO_LIMIT_S)
