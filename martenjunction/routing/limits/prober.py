"""Probes endpoints, ejected or in doubt, that receive no trial request."""

import asyncio

from martenjunction import errors
from martenjunction import model
from martenjunction import timers
from martenjunction.endpoints import pool
from martenjunction.platform import notices
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.limits import rate_grants

# Interval, in seconds, at which ejected endpoints are checked.
PROBE_INTERVAL_S = 0.5

# Timeout of a health check, in seconds.
PROBE_TIMEOUT_S = 0.5

# Maximum bytes of the body of a health check's response. An endpoint that sends
# more is not healthy.
MAX_BODY_BYTES = 1024 * 1024


class Prober:
    """Reinstates endpoints that receive no repeatable request."""

    def __init__(
        self,
        registry: endpoint_registry.EndpointRegistry,
        connections: pool.EndpointPool,
        admitter: admission.Admitter,
        gate: rate_grants.RateGrants,
        clock: timers.Timers,
    ) -> None:
        """Initializes the prober; `start` begins probing.

        Args:
            registry: The endpoint registry; records the results.
            connections: The connection pool.
            admitter: Provides the health check paths of services.
            gate: Grants requests to endpoints with a rate limit.
            clock: Provides the time and periodic callbacks.
        """
        self._health = registry.health
        self._table = registry.table
        self._connections = connections
        self._admitter = admitter
        self._gate = gate
        self._timers = clock
        self._probes: dict[str, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Starts the periodic check."""
        self._timers.subscribe("probes", PROBE_INTERVAL_S, self._check_ejected)

    async def stop(self) -> None:
        """Cancels the running probes."""
        for probe in self._probes.values():
            probe.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)

    def _check_ejected(self) -> None:
        config = self._admitter.config
        if config is None:
            return
        for endpoint_id in self._health.due_for_probe(self._timers.now()):
            listed = self._table.listed.entries[endpoint_id]
            service = config.services.get(listed.endpoint.service)
            if service is None or endpoint_id in self._probes:
                continue
            work = self._probe(listed.endpoint, service.health_path)
            task = asyncio.get_running_loop().create_task(work)
            self._probes[endpoint_id] = task

    async def _probe(self, endpoint: model.Endpoint, path: str) -> None:
        try:
            # A health check counts towards the rate limit like any request.
            grant = await self._gate.acquire(endpoint.id)
            if grant is None:
                return
            try:
                healthy = await self._ask(endpoint, path)
            finally:
                self._gate.release(grant, False)
            self._health.note_probe_result(
                endpoint.id, healthy, self._timers.now()
            )
        finally:
            self._probes.pop(endpoint.id, None)

    async def _ask(self, endpoint: model.Endpoint, path: str) -> bool:
        """Returns whether the endpoint reports itself healthy.

        Uses a connection of its own: responses to health checks carry no id, so
        that a late response to another request would be taken for one.
        """
        try:
            connection = await self._connections.connect(endpoint)
        except errors.EndpointError:
            return False
        try:
            async with connection.response_timeout(PROBE_TIMEOUT_S):
                host = (b"Host", endpoint.address.encode())
                connection.send(b"GET", path.encode(), [host], b"")
                head = await connection.read_head()
                received = 0
                while part := await connection.read_body():
                    received += len(part)
                    if received > MAX_BODY_BYTES:
                        return False
            # Another endpoint that took over its address may be healthy.
            is_same = not notices.is_from_other_endpoint(head, endpoint.entry)
            return head.status == 200 and is_same
        except (errors.TransportError, TimeoutError):
            return False
        finally:
            connection.abort()
            self._connections.release(endpoint.id, connection)
