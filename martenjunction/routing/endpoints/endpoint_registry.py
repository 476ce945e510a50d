"""Tracks endpoint loads and health and selects endpoints for requests."""

from collections.abc import Iterator
import contextlib
import math
import random
import time

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import endpoint_health
from martenjunction.routing.endpoints import endpoint_reports
from martenjunction.routing.endpoints import endpoint_selector
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.endpoints import run_tracker
from martenjunction.routing.log import decision_log

# Maximum time between two ticks, in seconds, that counts as listening time.
# Ticks are due every 0.1 s; a longer gap means that this box was stalled.
MAX_TICK_GAP_S = 0.15


class EndpointRegistry:
    """Tracks the endpoints of all services and selects one per request."""

    def __init__(
        self,
        listed: endpoint_list.EndpointList,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Initializes the registry.

        Args:
            listed: The list of endpoints.
            log: Receives a line for each endpoint ejected or reinstated.
            rng: Breaks ties.
        """
        self._table = endpoint_table.EndpointTable(listed, log)
        self._ejection = endpoint_ejection.EjectionTracker(log)
        self._tickets: set[run_tracker.RunTicket] = set()
        self._last_received: dict[str, float] = {}
        self._reports = endpoint_reports.EndpointReports(self._table)
        self._selector = endpoint_selector.EndpointSelector(self._table, rng)
        self._health = endpoint_health.EndpointHealth(
            self._table, self._ejection, rng
        )
        self._last_tick_at = math.inf
        self._stalled_s = 0.0
        self._paths: run_tracker.EndpointPathObserver = run_tracker.NoPaths()

    @property
    def table(self) -> endpoint_table.EndpointTable:
        """The records of endpoints."""
        return self._table

    @property
    def reports(self) -> endpoint_reports.EndpointReports:
        """What boxes tell each other of their runs at endpoints."""
        return self._reports

    @property
    def health(self) -> endpoint_health.EndpointHealth:
        """Which endpoints accept work."""
        return self._health

    @property
    def selector(self) -> endpoint_selector.EndpointSelector:
        """Selects one endpoint per request."""
        return self._selector

    @property
    def running(self) -> int:
        """The number of in-flight requests."""
        return len(self._tickets)

    def observe_paths(self, paths: run_tracker.EndpointPathObserver) -> None:
        """Sets the object that knows the paths of this box to endpoints."""
        self._paths = paths

    def note_path_cut(
        self, endpoint_id: str, connections_lost: bool, now: float
    ) -> None:
        """Records that a peer reaches an endpoint and this box does not.

        Args:
            endpoint_id: The endpoint.
            connections_lost: Whether its open connections are lost as well.
            now: The current time.
        """
        record = self._table.records.get(endpoint_id)
        if record is None:
            return
        self._health.note_path_cut(endpoint_id, now)
        if connections_lost:
            for ticket in self._tickets:
                if ticket.record is record and ticket.direct:
                    ticket.move_requested = True

    def begin(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
        resumed: bool = False,
        direct: bool = True,
    ) -> run_tracker.RunTicket:
        """Records that a request is sent to the selected endpoint.

        Args:
            choice: The selected endpoint.
            demand: The resources that the request needs.
            now: The current time.
            resumed: Whether the run continues an earlier one.
            direct: Whether its connection is this box's own.
        """
        ticket = run_tracker.RunTicket(
            choice, demand, now, self._listening_time(now), resumed, direct
        )
        choice.record.loads.add(demand.load_key, 1, choice.prefill_tokens)
        if demand.is_engine:
            choice.record.record_sent(choice.prefill_tokens, now)
        self._tickets.add(ticket)
        return ticket

    def note_response(self, ticket: run_tracker.RunTicket, now: float) -> None:
        """Records that an endpoint responded, whatever the response is.

        Args:
            ticket: The run.
            now: The current time.
        """
        record = ticket.record
        listened = self._listening_time(now)
        self._last_received[record.id] = listened
        if ticket.direct:
            self._paths.note_heard(record.id, now)
        self._ejection.note_response(record, now)
        record.refusals.record_answer(ticket.started_at)
        ticket.answered = True
        ticket.move_requested = False
        ticket.last_received_at = listened

    @contextlib.contextmanager
    def paused(self, ticket: run_tracker.RunTicket) -> Iterator[None]:
        """Does not count time in which this box reads nothing of an answer.

        Args:
            ticket: The run, of whose answer the head was read.
        """
        began_at = self._listening_time(time.monotonic())
        ticket.paused = True
        try:
            yield
        finally:
            ticket.paused = False
            listened = self._listening_time(time.monotonic())
            ticket.sent_at += listened - began_at
            ticket.last_received_at = listened

    def note_events(
        self, ticket: run_tracker.RunTicket, now: float, events: int
    ) -> None:
        """Records events of a successful stream, and learns from them.

        Args:
            ticket: The run.
            now: The current time.
            events: The number of complete events.
        """
        pause_s = self._listening_time(now) - ticket.last_received_at
        self.note_response(ticket, now)
        if not ticket.waiting:
            self._learn_pause(ticket, pause_s, events, now)
            return
        ticket.waiting = False
        ticket.first_event_at = ticket.last_received_at
        ticket.record.loads.add(
            ticket.demand.load_key, 0, -ticket.choice.prefill_tokens
        )
        if ticket.demand.is_engine:
            ticket.record.record_cached(ticket.demand.parts)
            if not ticket.resumed:
                self._learn_first_event(ticket, pause_s)

    def _learn_first_event(
        self, ticket: run_tracker.RunTicket, seconds: float
    ) -> None:
        """Learns from the time to the first event of a prompt that was read."""
        record = ticket.record
        # The prediction already includes the slowness factor.
        ratio = seconds * record.slowness.value / ticket.choice.predicted_s
        record.slowness.add(
            min(
                max(ratio, run_tracker.SLOWNESS_BOUNDS[0]),
                run_tracker.SLOWNESS_BOUNDS[1],
            )
        )
        if (
            ticket.choice.tokens_ahead == 0
            and ticket.choice.repeated_prefill_tokens == 0
        ):
            # Excludes prompts with shared parts that count as uncached. The
            # engine may have cached them unknown to this box, so that a
            # restarted box would greatly overestimate its engines.
            self._table.engines.note_prefill_time(
                ticket.demand.service, ticket.choice.prefill_tokens, seconds
            )

    def _learn_pause(
        self,
        ticket: run_tracker.RunTicket,
        pause_s: float,
        events: int,
        now: float,
    ) -> None:
        """Learns from a stream pause that overlapped with prefill."""
        record = ticket.record
        if not events or not record.loads.backlog_tokens(now):
            return
        if record.slowness.value > run_tracker.MAX_LEARNING_SLOWNESS:
            return
        tokens = events * ticket.demand.tokens_per_event
        self._table.engines.note_token_pause(
            ticket.demand.service, pause_s / tokens
        )

    def end(
        self, ticket: run_tracker.RunTicket, now: float, failed: bool
    ) -> None:
        """Records the end of a run at an endpoint."""
        record = ticket.record
        self._tickets.discard(ticket)
        unread = ticket.choice.prefill_tokens if ticket.waiting else 0
        record.loads.add(ticket.demand.load_key, -1, -unread)
        ticket.waiting = False
        in_backoff = now < record.refusals.backoff_until
        if not failed or (
            not in_backoff
            and self._paths.is_trusted(record.id)
            and not self._was_moved_early(ticket, now)
        ):
            # The back-off alone keeps work away; afterwards the endpoint gets
            # its full share again. A path that is in doubt says nothing about
            # the endpoint, here or at the boxes that are told of failures.
            record.failures.add(1.0 if failed else 0.0)
            record.outcomes.record(failed, now)
        if ticket.first_event_at is not None:
            record.hold_s.add(self._listening_time(now) - ticket.first_event_at)
        if not failed and not ticket.demand.is_engine:
            self._learn_response_time(ticket, now)

    def _learn_response_time(
        self, ticket: run_tracker.RunTicket, now: float
    ) -> None:
        """Learns from the time that a run at a plain endpoint took."""
        listened = self._listening_time(now)
        took_s = listened - ticket.sent_at
        times = ticket.record.response_s
        if ticket.answered:
            times.add(took_s, ticket.sent_at, listened)
        else:
            times.add_unanswered(took_s)

    def tick(self, now: float) -> None:
        """Ejects silent endpoints and drops the records of removed ones."""
        self._stalled_s += self._stall_s(now)
        self._last_tick_at = now
        pending: dict[str, list[run_tracker.RunTicket]] = {}
        for ticket in self._tickets:
            if not ticket.paused:
                pending.setdefault(ticket.record.id, []).append(ticket)
        for tickets in pending.values():
            if not self._is_silent(tickets, now):
                if self._is_quiet(tickets, now):
                    self._paths.check(tickets[0].record.id)
                continue
            self._ejection.note_silence(tickets[0].record, now)
            for ticket in tickets:
                ticket.move_requested = True
        for ticket in self._tickets:
            # The connection may stay open: a box partitioned from the endpoint
            # learns of its restart from the store or from a peer.
            if self._table.listed.restarted(ticket.record.id):
                ticket.endpoint_restarted = True
        for removed in self._table.drop_removed(now):
            self._last_received.pop(removed, None)
        self._table.decay_idle()
        self._table.engines.recompute(now)

    def _listening_time(self, now: float) -> float:
        """Returns the time on a clock that pauses while this box is stalled.

        Bytes sent by endpoints during a stall are not read yet. Counted on the
        steady clock, one stall would make all endpoints look silent and slow.
        """
        return now - self._stalled_s - self._stall_s(now)

    def _stall_s(self, now: float) -> float:
        return max(0.0, now - self._last_tick_at - MAX_TICK_GAP_S)

    def _is_silent(
        self, tickets: list[run_tracker.RunTicket], now: float
    ) -> bool:
        """Returns whether the endpoint of some runs, all there, is silent."""
        record = tickets[0].record
        return endpoint_ejection.is_silent(
            record,
            [ticket.sent_at for ticket in tickets],
            self._last_received.get(record.id, 0.0),
            self._listening_time(now),
        )

    def _was_moved_early(
        self, ticket: run_tracker.RunTicket, now: float
    ) -> bool:
        """Returns whether a run ends after a short silence of its endpoint."""
        return ticket.move_requested and endpoint_ejection.is_short_silence(
            ticket.sent_at,
            self._last_received.get(ticket.record.id, 0.0),
            self._listening_time(now),
        )

    def _is_quiet(
        self, tickets: list[run_tracker.RunTicket], now: float
    ) -> bool:
        """Returns whether an endpoint is quiet for longer than expected."""
        return endpoint_ejection.is_quiet(
            tickets[0].record,
            [ticket.sent_at for ticket in tickets],
            max(t.choice.predicted_s for t in tickets if t.waiting)
            if any(t.waiting for t in tickets)
            else 0.0,
            self._last_received.get(tickets[0].record.id, 0.0),
            self._listening_time(now),
        )
