"""Whether a box serves clients, for the platform and for other boxes."""

from collections.abc import Callable

from martenjunction import timers
from martenjunction.decisions.boxes import box_states
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import stop_state
from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import box_settings
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_connector
from martenjunction.routing.limits import memory_guard


class Readiness:
    """Judges a box by its end, configuration, listing and memory."""

    def __init__(
        self,
        stop: stop_state.StopState,
        admitter: admission.Admitter,
        listed: endpoint_list.EndpointList,
        memory: memory_guard.MemoryGuard,
        freshness: config_freshness.ConfigFreshness,
        connector: endpoint_connector.EndpointConnector,
        settings: Callable[[], box_settings.BoxSettings],
        clock: timers.Timers,
    ) -> None:
        """Initializes the judge.

        Args:
            stop: Whether the box is being stopped.
            admitter: Has the configuration.
            listed: Tells whether the endpoints were listed.
            memory: Tells whether new clients fit into the memory.
            freshness: The age of the configuration.
            connector: Tells whether endpoints are reached.
            settings: Returns the settings in force.
            clock: The clock.
        """
        self._stop = stop
        self._admitter = admitter
        self._listed = listed
        self._memory = memory
        self._freshness = freshness
        self._connector = connector
        self._settings = settings
        self._clock = clock

    def is_ready(self) -> bool:
        """Returns whether the box accepts clients."""
        config = self._admitter.config
        if self._stop.leaving or config is None or not self._listed.has_listing:
            return False
        if not self._memory.accepts_clients:
            return False
        if self._freshness.is_lagging(self._clock.now()):
            return False
        if not config.needs_keys or not self._settings().keys_fail_closed:
            return True
        return self._freshness.allows_keys_at(self._clock.now())

    def state(self) -> box_states.State:
        """Returns the state of this box, unless it leaves."""
        if not self.is_ready():
            return box_states.State.UNREADY
        if not self._connector.reaches_endpoints:
            return box_states.State.CUT_OFF
        return box_states.State.READY

    async def serve(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Answers the platform's question whether the box is ready."""
        status = 200 if self.is_ready() else 503
        await connection.answer(status, [], b"")
