"""Authentication, admission and execution of requests, without HTTP."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging

import eliot

from martenjunction import errors
from martenjunction import events
from martenjunction import metrics
from martenjunction import timers
from martenjunction.callers import drain_gate
from martenjunction.callers import keys
from martenjunction.cells import broker
from martenjunction.claims import keeper
from martenjunction.config import fleet
from martenjunction.config import settings as daemon_settings
from martenjunction.decisions import classification
from martenjunction.decisions import estimates
from martenjunction.decisions import outcomes
from martenjunction.decisions import policies
from martenjunction.decisions import retries
from martenjunction.relay import relay
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import sinks

logger = logging.getLogger(__name__)

STALL_INTERVAL = 0.5

# Utilization of the daemon, as a fraction of `max_held`, at which requests of
# each tier are rejected: the lowest tier is shed first, and the highest only
# at full capacity.
ADMISSION_LIMITS = {1: 1.0, 2: 0.95, 3: 0.9, 4: 0.85}

# Seconds after which a caller rejected by an overloaded daemon may retry.
OVERLOAD_RETRY_AFTER = 2.0


@dataclasses.dataclass(frozen=True)
class EntryAddress:
    """An address that a caller may use."""

    box: str
    zone: str
    address: str


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Components of the daemon that the service depends on.

    Attributes:
        tools: Components that relays depend on.
        claims: Prevents requests with an idempotency key from running twice.
        clock: The clock and its timers.
        numbers: Counters and histograms.
        emitter: Publishes an event for each completed request.
        entry: Returns the addresses that callers may use, best first.
    """

    tools: relay.RelayContext
    claims: keeper.ClaimKeeper
    clock: timers.Timers
    numbers: metrics.Metrics
    emitter: events.Events
    entry: Callable[[], list[EntryAddress]]


class CallerService:
    """Authenticates, classifies, admits and runs requests."""

    def __init__(
        self, settings: daemon_settings.DaemonSettings, parts: Dependencies
    ) -> None:
        """Initializes the service with an empty configuration.

        Args:
            settings: The daemon's settings.
            parts: Components that the service depends on.
        """
        self._settings = settings
        self._parts = parts
        self._config = fleet.FleetConfig()
        self._keys = keys.KeyTable(self._config)
        self._classifier = classification.Classifier(self._config)
        self._lengths = estimates.LengthEstimates()
        self._relays: dict[str, relay.Relay] = {}
        self._stopped = False
        self._gate = drain_gate.DrainGate(
            parts.clock, parts.tools.broker.service_delay
        )
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def settings(self) -> daemon_settings.DaemonSettings:
        """The daemon's settings."""
        return self._settings

    @property
    def config(self) -> fleet.FleetConfig:
        """The active configuration."""
        return self._config

    @property
    def classifier(self) -> classification.Classifier:
        """The classifier for the active bindings and policies."""
        return self._classifier

    @property
    def lengths(self) -> estimates.LengthEstimates:
        """Estimates of response lengths."""
        return self._lengths

    @property
    def relays(self) -> dict[str, relay.Relay]:
        """In-flight requests by id, read-only."""
        return self._relays

    @property
    def utilization(self) -> float:
        """In-flight requests as a fraction of `max_held`."""
        return len(self._relays) / self._settings.max_held

    @property
    def gate(self) -> drain_gate.DrainGate:
        """Admits requests during a graceful shutdown."""
        return self._gate

    def set_config(self, config: fleet.FleetConfig) -> None:
        """Activates a configuration for new requests."""
        previous = self._config
        self._config = config
        # A table that did not change is the same object in both versions.
        if config.workspace is not previous.workspace:
            self._keys = keys.KeyTable(config)
        if (
            config.policy is not previous.policy
            or config.binding is not previous.binding
            or config.classes is not previous.classes
        ):
            self._classifier = classification.Classifier(config)

    def start(self) -> None:
        """Starts the periodic check for stalled requests."""
        self._parts.clock.subscribe(
            "stalls", STALL_INTERVAL, self._check_stalls
        )

    def authenticate(self, authorization: str) -> fleet.Workspace:
        """Returns the workspace of an `Authorization` header.

        Raises:
            CallerError: If the key is missing or unknown.
        """
        if not authorization:
            raise errors.CallerError(401, "no-key", "a key is required")
        workspace = self._keys.find(authorization)
        if workspace is None:
            self._parts.numbers.count("keys_refused")
            raise errors.CallerError(401, "wrong-key", "the key is not known")
        return workspace

    def classify(
        self, workspace: fleet.Workspace, facts: policies.RequestFacts
    ) -> classification.Classification:
        """Returns the class of a request.

        Raises:
            CallerError: If the configuration assigns no class to it.
        """
        try:
            return self._classifier.classify(workspace, facts)
        except errors.MartenjunctionError as error:
            raise errors.CallerError(503, "no-class", str(error)) from error

    def expected_tokens(
        self, workspace: str, kind: str, limit: int | None
    ) -> float:
        """Returns the expected length of a response in tokens."""
        return self._lengths.expected(workspace, kind, limit)

    def entry(self) -> list[EntryAddress]:
        """Returns the addresses that callers may use, best first."""
        return self._parts.entry()

    def now(self) -> float:
        """Returns the time of the daemon's clock in seconds."""
        return self._parts.clock.now()

    def make_relay(
        self, request: requests.RoutedRequest, sink: sinks.Sink
    ) -> relay.Relay:
        """Admits a request and returns its relay.

        Raises:
            CallerError: If the daemon is overloaded for the request's tier,
                or it could outlast a graceful shutdown.
        """
        if self._stopped or not self._gate.admits(request):
            raise errors.CallerError(
                503,
                "box-leaving",
                "this box leaves",
                retries.LEAVING_RETRY_AFTER_S,
            )
        tier = request.service_class.tier
        if self.utilization >= ADMISSION_LIMITS[tier]:
            self._parts.numbers.count("turned_away", tier=str(tier))
            raise errors.CallerError(
                503, "box-full", "this box is full", OVERLOAD_RETRY_AFTER
            )
        admitted = relay.Relay(request, sink, self._parts.tools)
        self._relays[request.request_id] = admitted
        self._idle.clear()
        return admitted

    async def run(self, admitted: relay.Relay) -> results.Result:
        """Runs an admitted request and records its result."""
        request = admitted.request
        action = eliot.start_task(
            action_type="request",
            request_id=request.request_id,
            workspace=request.workspace,
            service_class=request.service_class.name,
            tier=request.service_class.tier,
        )
        try:
            result = await self._run_claimed(admitted)
        except Exception as error:
            logger.exception("request %s failed", request.request_id)
            action.finish(error)
            return results.Result(
                outcomes.Outcome.UNKNOWN,
                results.FailureCode.INTERNAL,
                "internal error",
            )
        finally:
            del self._relays[request.request_id]
            if not self._relays:
                self._idle.set()
        self._record_result(request, result)
        action.add_success_fields(**_log_fields(result))
        action.finish()
        return result

    async def wait_idle(self) -> None:
        """Waits until no request is in flight."""
        await self._idle.wait()

    async def _run_claimed(self, admitted: relay.Relay) -> results.Result:
        request = admitted.request
        if request.repeatable or not request.idempotency_key:
            return await admitted.run()
        rejection = await self._parts.claims.claim(request)
        if rejection is not None:
            return rejection
        result = await admitted.run()
        self._parts.claims.settle(request, result.outcome)
        return result

    def _record_result(
        self, request: requests.RoutedRequest, result: results.Result
    ) -> None:
        service_class = request.service_class
        numbers = self._parts.numbers
        name = service_class.name
        numbers.count(
            "requests", outcome=str(result.outcome), service_class=name
        )
        if result.code is not None:
            code = str(result.code)
            numbers.count("failures", code=code, service_class=name)
        if result.meets_targets(
            service_class.first_token, service_class.between_tokens
        ):
            numbers.count("attained", service_class=name)
        if result.first_token_s is not None:
            numbers.observe(
                "first_token", result.first_token_s, service_class=name
            )
        interval = result.token_interval_s
        if interval is not None:
            numbers.observe("between_tokens", interval, service_class=name)
        numbers.count("tokens", result.tokens, service_class=name)
        if result.outcome is outcomes.Outcome.DONE and result.tokens:
            self._lengths.add(request.workspace, request.kind, result.tokens)
        self._parts.emitter.emit(events.REQUEST_ENDED, request, result)

    def _check_stalls(self) -> None:
        now = self._parts.clock.stall_adjusted_now()
        for active in list(self._relays.values()):
            active.check_stalled(now)
            if not self._gate.keeps(active.request):
                active.refuse_unsent()

    def stop_all(self) -> None:
        """Stops all in-flight requests at the limit of a graceful shutdown.

        Later requests are rejected, so that each one gets a response before
        the process ends.
        """
        self._stopped = True
        for active in list(self._relays.values()):
            active.stop(broker.StopReason.TIME_LIMIT)


def _log_fields(result: results.Result) -> dict[str, object]:
    first = result.first_token_s
    return {
        "outcome": str(result.outcome),
        "code": str(result.code) if result.code else None,
        "endpoint": result.endpoint,
        "attempts": result.attempts,
        "preemptions": result.preemptions,
        "tokens": result.tokens,
        "first_token_ms": None if first is None else round(first * 1000, 1),
        "duration_ms": round(result.duration_s * 1000, 1),
    }
