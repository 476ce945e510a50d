"""The application of a box on the platform: starts and stops its parts."""

import asyncio
from collections.abc import Callable
from typing import Any

from martenjunction import box_gauges
from martenjunction import box_parts
from martenjunction import own_records
from martenjunction import stop_steps
from martenjunction import timers
from martenjunction.decisions.boxes import connection_share
from martenjunction.decisions.boxes import load_shedding
from martenjunction.decisions.boxes import tier_precedence
from martenjunction.http1 import body_gate
from martenjunction.http1 import messages
from martenjunction.http1 import server
from martenjunction.platform import box_settings
from martenjunction.routing import box_dump
from martenjunction.routing.access import request_content
from martenjunction.routing.log import closing_log
from martenjunction.routing.ports import entry_answers
from martenjunction.routing.ports import operator_answers
from martenjunction.routing.requests import exchange_context
from martenjunction.routing.requests import held_requests
from martenjunction.routing.requests import stop_gate
from martenjunction.routing.streams import keys

# Seconds between checks for silent endpoints, expired entries and requests
# that should move to another endpoint.
WATCH_INTERVAL_S = 0.1

# Seconds between checks for idle connections.
IDLE_CHECK_INTERVAL_S = 0.5

# Seconds before the platform kills a stopping box at which the box ends the
# requests that are still in flight.
STOP_MARGIN_S = 0.4

# Part of STOP_MARGIN_S, in seconds in which the process runs, for sending the
# final responses of the requests that were ended.
FINAL_RESPONSES_TIMEOUT_S = 0.2

# Minimum time, in seconds, for which a stopping box keeps serving, even when
# idle, because clients may use a cached resolve response: three times
# entry_answers.ENTRY_TTL_S plus a margin.
LINGER_S = 3.5

# Limits of the ports for the platform and operators, whose requests have no
# body.
SERVICE_LIMITS = messages.ClientLimits(max_body_bytes=16 * 1024)


class Gateway(box_parts.BoxParts):
    """One box's daemon on the platform, as a library object."""

    def __init__(
        self,
        settings: box_settings.BoxSettings,
        resident_bytes: Callable[[], int] | None = None,
    ) -> None:
        """Initializes the gateway; `start` brings it up.

        Args:
            settings: The box's settings.
            resident_bytes: Returns the box's resident memory; that of the
                process if left out.
        """
        super().__init__(settings, resident_bytes)
        self._stopped = asyncio.Event()
        self._stop_gate = stop_gate.StopGate(
            self.stop_state, self.timers, self.log
        )
        self._context = exchange_context.ExchangeContext(
            self.admitter,
            self.registry,
            self.pool,
            self.budget,
            load_shedding.DeadlineTracker(),
            self.log,
            self.metrics,
            settings.zone,
            lambda: self.stop_state.leaving_for_s(self.timers.now()),
            self._stop_gate,
            request_content.ContentKeys(own_records.peer_key(settings)),
            self.quarantine,
            self.liveness,
            self.run_reports,
            self.grants,
            tier_precedence.TierPrecedence(),
            self.duties,
            keys.StreamKeys(own_records.peer_key(settings)),
            self.origins,
            self.answers,
        )
        self.registry.runs.on_unheard(self.pool.note_unheard)
        self.held = held_requests.HeldRequests(self._context)
        self._callers = self._server(
            "callers",
            self.held.serve,
            self._limits,
            self.bodies,
            lambda: self.memory.accepts_clients,
            connection_share.CALLERS_FRACTION,
        )
        self._ready = self._server("ready", self.readiness.serve)
        self._entry = self._server(
            "entry",
            entry_answers.EntryAnswers(
                self.reachable, lambda: self._settings
            ).serve,
        )
        self._operator = self._server(
            "operator",
            operator_answers.OperatorAnswers(
                self._metrics_text, self.dump, self.quarantine
            ).serve,
        )

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.stop_state.leaving

    async def start(self) -> None:
        """Brings the daemon up; it listens when this returns."""
        self._ready.listen_on(self._settings.ready)
        self._operator.listen_on(
            f"{self._settings.ip}:{self._settings.metrics_port}"
        )
        self._entry.listen_on(self._settings.entry)
        self._callers.listen_on(self._settings.callers)
        if self._settings.tunnels:
            self.tunnels.listen_on(self._settings.tunnels)
        self.sync.start()
        self.box_states.start(self.events)
        self.box_ends.start(self.events)
        self.load_exchange.start(self.events)
        self.outcomes.start()
        self.quarantine.start()
        self.parts.start()
        self.leaving_endpoints.start(self.events)
        self.limits.start(self.events)
        self.brittleness.start(self.events)
        self.grants.start()
        self.origins.start()
        self.archive.start()
        self.usage.start()
        self.prober.start()
        self.connector.start()
        self.follower.start()
        self.duties.start(self.events)
        await self.peers.start()
        self.bodies.start()
        self.timers.subscribe("watch", WATCH_INTERVAL_S, self._watch)
        self.timers.subscribe("idle", IDLE_CHECK_INTERVAL_S, self._close_idle)
        self.timers.on_stall(self._log_stall)
        self.timers.start()
        self.log.write("started", incarnation=self.members.own.incarnation)

    def reload(self, settings: box_settings.BoxSettings) -> None:
        """Applies settings that changed at run time.

        Changed addresses and seeds take effect only at the next start.
        """
        self._settings = settings
        self.log.write("reloaded")

    async def leave(self) -> None:
        """Shuts down gracefully.

        The box directs clients to other boxes and drains in-flight requests
        until its stop time is nearly over.
        """
        if self.leaving:
            return
        started_at = self.timers.now()
        limit_s = self._settings.stop_s - STOP_MARGIN_S
        self.stop_state.leave(started_at, limit_s)
        self.log.write("stop-begins", held=len(self.held))
        stop_steps.run(
            [
                self._mark_leaving,
                self.sync.announce_leaving,
                self.box_states.leave,
                self.sync.announce,
                self.origins.hand_over,
            ]
        )
        loop = asyncio.get_running_loop()
        release = loop.create_task(self.duties.leave())
        removal = loop.create_task(self.follower.remove_own_entry())
        try:
            await self._drain(started_at, limit_s)
        finally:
            removal.cancel()
            release.cancel()
            stop_steps.run([self.usage.write])
            cut_off = len(self.held)
            try:
                await self.stop()
            finally:
                self.log.write(
                    "stopped",
                    cut_off=cut_off,
                    unanswered=len(self.held),
                    **self._stop_gate.summary(),
                )
                self._stopped.set()

    async def _drain(self, started_at: float, limit_s: float) -> None:
        """Serves until no request is in flight or the stop time is near.

        Args:
            started_at: Time at which the shutdown began.
            limit_s: Seconds after which requests in flight are ended.
        """
        deadline = started_at + limit_s
        while self.timers.now() < deadline:
            lingered = self.timers.now() - started_at > LINGER_S
            if lingered and not self.held:
                # Requests that are still being read have no exchange yet, so
                # each connection checks that it is idle before it closes.
                self._callers.finish()
            if self._callers.ended and not self.tunnels.open:
                break
            remaining = max(0.0, deadline - self.timers.now())
            await asyncio.sleep(min(WATCH_INTERVAL_S, remaining))

    def _mark_leaving(self) -> None:
        self.members.mark_leaving(
            self._settings.box, self.members.own.incarnation
        )

    async def wait_stopped(self) -> None:
        """Waits until a graceful shutdown has completed."""
        await self._stopped.wait()

    async def stop(self) -> None:
        """Stops at once; in-flight requests get a final response first."""
        self.stop_state.stop()
        servers = (self._callers, self._ready, self._entry, self._operator)
        for listening in servers:
            listening.finish()
        self.held.stop()
        waits = [asyncio.ensure_future(s.wait_ended()) for s in servers]
        await timers.wait_while_running(waits, FINAL_RESPONSES_TIMEOUT_S)
        for listening, wait in zip(servers, waits, strict=True):
            wait.cancel()
            listening.close_all()
        self.tunnels.close_all()
        await self.duties.stop()
        await self.prober.stop()
        await self.liveness.stop()
        await self.run_reports.stop()
        await self.archive.stop()
        await self.fresh_reading.stop()
        await self.connector.stop()
        await self.follower.stop()
        await self.timers.stop()
        await self.peers.stop()
        self.pool.close()

    def dump(self) -> dict[str, Any]:
        """Returns the state of all components, without keys."""
        return {
            "box": self._settings.box,
            "leaving": self.leaving,
            "ready": self.readiness.is_ready(),
            "held": len(self.held),
            **box_dump.component_states(
                self.store_cache,
                self.freshness,
                self.store,
                self.registry,
                self.pool,
                self.peers,
                self.members,
                self.log,
                self.timers.now(),
            ),
            "limits": self.grants.dump(),
            "suspects": self.quarantine.dump(),
            "suspected_parts": self.parts.dump(),
            "duties": self.duties.dump(),
            "streams": self.archive.dump(),
        }

    def _server(
        self,
        name: str,
        handler: server.Handler,
        limits: Callable[[], messages.ClientLimits] = lambda: SERVICE_LIMITS,
        gate: body_gate.BodyGate | None = None,
        accepts: Callable[[], bool] = lambda: True,
        fraction: float = connection_share.SERVICE_FRACTION,
    ) -> server.Server:
        share = connection_share.ConnectionShare(
            connection_share.limit(self._settings.max_descriptors, fraction)
        )
        return server.Server(
            name,
            handler,
            limits,
            closing_log.ClosingLog(self.log, self.metrics),
            gate,
            accepts,
            share,
            self.connection_log.watch(name, share),
        )

    # Callbacks for the components.

    def _metrics_text(self) -> bytes:
        return box_gauges.metrics_text(self, len(self.held), self._callers)

    def _limits(self) -> messages.ClientLimits:
        config = self.admitter.config
        return messages.ClientLimits() if config is None else config.limits

    def _watch(self) -> None:
        now = self.timers.now()
        self.store_cache.expire()
        self.registry.tick(now)
        self.held.move()

    def _log_stall(self, delay_s: float) -> None:
        self.log.write("held-up", ms=round(delay_s * 1000, 1))

    def _close_idle(self) -> None:
        self.pool.prune(set(self.endpoint_list.entries))
        self.pool.expire()
