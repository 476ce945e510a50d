"""Tracks the runs of this box at endpoints, and their silences."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time
from typing import Protocol

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import endpoint_records
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.endpoints import listening_clock
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.endpoints import silence_watch

# Lower and upper bound of the ratio of observed to predicted latency.
SLOWNESS_BOUNDS = (0.3, 4.0)

# Maximum slowness of an engine whose token pauses are used to learn the profile
# of its service.
MAX_LEARNING_SLOWNESS = 1.5


class EndpointPathObserver(Protocol):
    """Knows the paths of this box to endpoints."""

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns whether a failure may be held against the endpoint."""

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Records bytes that came over an own connection."""

    def check(self, endpoint_id: str) -> None:
        """Checks the path to an endpoint that is unusually quiet."""


class NoPaths:
    """Paths that are never in doubt."""

    def is_trusted(self, endpoint_id: str) -> bool:
        """Returns that a failure may be held against the endpoint."""
        return True

    def note_heard(self, endpoint_id: str, now: float) -> None:
        """Does nothing."""

    def check(self, endpoint_id: str) -> None:
        """Does nothing."""


class RunTracker:
    """Tracks the runs of this box at endpoints, and learns from them."""

    def __init__(
        self,
        table: endpoint_table.EndpointTable,
        ejection: endpoint_ejection.EjectionTracker,
    ) -> None:
        """Initializes a tracker without runs.

        Args:
            table: The endpoints.
            ejection: Ejects and reinstates endpoints.
        """
        self._listed = table.listed
        self._engines = table.engines
        self._ejection = ejection
        self._silences = silence_watch.SilenceWatch(ejection)
        self._clock = listening_clock.ListeningClock()
        self._tickets: set[run_ticket.RunTicket] = set()
        self._last_received: dict[str, float] = {}
        self._paths: EndpointPathObserver = NoPaths()
        self._on_unheard: Callable[[str, float], None] = lambda its_id, at: None

    @property
    def running(self) -> int:
        """The number of in-flight requests."""
        return len(self._tickets)

    def observe_paths(self, paths: EndpointPathObserver) -> None:
        """Sets the object that knows the paths of this box to endpoints."""
        self._paths = paths

    def on_unheard(self, callback: Callable[[str, float], None]) -> None:
        """Sets the callback for an endpoint that acknowledges nothing.

        Args:
            callback: Called with the endpoint's id, and the time at which the
                request was sent to it.
        """
        self._on_unheard = callback

    def begin(
        self,
        choice: endpoint_choice.Choice,
        demand: endpoint_records.Demand,
        now: float,
        resumed: bool = False,
        direct: bool = True,
        is_unheard: Callable[[], bool] = bool,
        patience: run_ticket.Patience = run_ticket.NO_PATIENCE_LIMIT,
    ) -> run_ticket.RunTicket:
        """Records that a request is sent to the selected endpoint.

        Args:
            choice: The selected endpoint.
            demand: The resources that the request needs.
            now: The current time.
            resumed: Whether the run continues an earlier one.
            direct: Whether its connection is this box's own.
            is_unheard: Returns whether the other side of its connection
                acknowledges nothing.
            patience: When its answer is late, as far as the request tells.
        """
        listened = self._clock.time(now)
        ticket = run_ticket.RunTicket(
            choice,
            demand,
            now,
            listened,
            resumed,
            direct,
            is_unheard,
            patience,
        )
        choice.record.loads.add(demand.load_key, 1, choice.prefill_tokens)
        if demand.is_engine:
            choice.record.record_sent(choice.prefill_tokens, now)
        self._tickets.add(ticket)
        usual_s = self._silences.usual_s(silence_watch.kind_of(ticket))
        choice.record.doubt.note_sent(usual_s, now)
        return ticket

    def note_response(self, ticket: run_ticket.RunTicket, now: float) -> None:
        """Records that an endpoint responded, whatever the response is.

        Args:
            ticket: The run.
            now: The current time.
        """
        record = ticket.record
        self.note_bytes(ticket, now)
        self._ejection.note_response(record, now)
        record.refusals.record_answer(ticket.started_at)
        ticket.answered = True
        ticket.move_requested = ticket.keeps_running = False
        ticket.last_received_at = self._clock.time(now)

    def note_bytes(self, ticket: run_ticket.RunTicket, now: float) -> None:
        """Records that an endpoint, which is not silent, sent something.

        Args:
            ticket: The run.
            now: The current time.
        """
        listened = self._clock.time(now)
        self._silences.note_bytes(ticket, listened)
        if ticket.bytes_at is None:
            ticket.record.doubt.note_answered(now)
        ticket.bytes_at = self._last_received[ticket.record.id] = listened
        if ticket.direct:
            self._paths.note_heard(ticket.record.id, now)

    @contextlib.contextmanager
    def paused(self, ticket: run_ticket.RunTicket) -> Iterator[None]:
        """Does not count time in which this box reads nothing of an answer.

        Args:
            ticket: The run, of whose answer the head was read.
        """
        began_at = self._clock.time(time.monotonic())
        ticket.paused = True
        try:
            yield
        finally:
            ticket.paused = False
            listened = self._clock.time(time.monotonic())
            ticket.sent_at += listened - began_at
            ticket.last_received_at = listened
            if ticket.bytes_at is not None:
                ticket.bytes_at = listened

    def note_events(
        self, ticket: run_ticket.RunTicket, now: float, events: int
    ) -> None:
        """Records events of a successful stream, and learns from them.

        Args:
            ticket: The run.
            now: The current time.
            events: The number of complete events.
        """
        pause_s = self._clock.time(now) - ticket.last_received_at
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
        self, ticket: run_ticket.RunTicket, seconds: float
    ) -> None:
        """Learns from the time to the first event of a prompt that was read."""
        record = ticket.record
        # The prediction already includes the slowness factor.
        ratio = seconds * record.slowness.value / ticket.choice.predicted_s
        record.slowness.add(
            min(max(ratio, SLOWNESS_BOUNDS[0]), SLOWNESS_BOUNDS[1])
        )
        if (
            ticket.choice.tokens_ahead == 0
            and ticket.choice.repeated_prefill_tokens == 0
        ):
            # Excludes prompts with shared parts that count as uncached. The
            # engine may have cached them unknown to this box, so that a
            # restarted box would greatly overestimate its engines.
            self._engines.note_prefill_time(
                ticket.demand.service, ticket.choice.prefill_tokens, seconds
            )

    def _learn_pause(
        self,
        ticket: run_ticket.RunTicket,
        pause_s: float,
        events: int,
        now: float,
    ) -> None:
        """Learns from a stream pause that overlapped with prefill."""
        record = ticket.record
        if not events or not record.loads.backlog_tokens(now):
            return
        if record.slowness.value > MAX_LEARNING_SLOWNESS:
            return
        tokens = events * ticket.demand.tokens_per_event
        self._engines.note_token_pause(ticket.demand.service, pause_s / tokens)

    def end(
        self, ticket: run_ticket.RunTicket, now: float, failed: bool
    ) -> None:
        """Records the end of a run at an endpoint."""
        record = ticket.record
        self._tickets.discard(ticket)
        if ticket.bytes_at is None:
            record.doubt.note_ended(now)
        unread = ticket.choice.prefill_tokens if ticket.waiting else 0
        record.loads.add(ticket.demand.load_key, -1, -unread)
        self._silences.note_end(
            ticket, self._clock.time(now), failed and not ticket.given_up
        )
        ticket.waiting = False
        in_backoff = now < record.refusals.backoff_until
        if not ticket.given_up and (
            not failed
            or (
                not in_backoff
                and self._paths.is_trusted(record.id)
                and not self._was_moved_early(ticket, now)
            )
        ):
            # The back-off alone keeps work away; afterwards the endpoint gets
            # its full share again. A path that is in doubt says nothing about
            # the endpoint, here or at the boxes that are told of failures.
            record.failures.add(1.0 if failed else 0.0)
            record.outcomes.record(failed, now)
        if ticket.first_event_at is not None:
            record.hold_s.add(self._clock.time(now) - ticket.first_event_at)
        if not failed and not ticket.demand.is_engine:
            self._learn_response_time(ticket, now)

    def _learn_response_time(
        self, ticket: run_ticket.RunTicket, now: float
    ) -> None:
        """Learns from the time that a run at a plain endpoint took."""
        listened = self._clock.time(now)
        took_s = listened - ticket.sent_at
        times = ticket.record.response_s
        if ticket.answered:
            times.add(took_s, ticket.sent_at, listened)
        else:
            times.add_unanswered(took_s)

    def move(self, record: endpoint_records.EndpointRecord) -> None:
        """Has the runs at an endpoint moved that this box itself connects to.

        Args:
            record: The endpoint.
        """
        for ticket in self._tickets:
            if ticket.record is record and ticket.direct:
                ticket.move_requested = True
                ticket.keeps_running = False

    def tick(self, now: float) -> None:
        """Ejects silent endpoints and marks runs that are to end there."""
        self._clock.tick(now)
        self._find_unheard()
        self._silences.judge(
            [t for t in self._tickets if not t.paused and not t.unheard],
            self._last_received,
            self._clock.time(now),
            now,
            self._paths.check,
        )
        for ticket in self._tickets:
            # The connection may stay open: a box partitioned from the endpoint
            # learns of its restart from the store or from a peer.
            if self._listed.restarted(ticket.record.id):
                ticket.endpoint_restarted = True

    def forget(self, endpoint_ids: list[str]) -> None:
        """Forgets when endpoints that are gone were last heard of."""
        for endpoint_id in endpoint_ids:
            self._last_received.pop(endpoint_id, None)
        self._silences.forget(endpoint_ids)

    def _find_unheard(self) -> None:
        """Marks runs whose endpoint acknowledges nothing to end there.

        That is found on the connection alone, long before an endpoint that
        runs a request may count as silent, and is no evidence against it.
        """
        for ticket in self._tickets:
            if ticket.answered or ticket.unheard or not ticket.is_unheard():
                continue
            ticket.unheard = ticket.move_requested = True
            ticket.keeps_running = False
            self._on_unheard(ticket.record.id, ticket.started_at)

    def _was_moved_early(
        self, ticket: run_ticket.RunTicket, now: float
    ) -> bool:
        """Returns whether a run ends after a short silence of its endpoint."""
        return ticket.move_requested and endpoint_ejection.is_short_silence(
            ticket.sent_at,
            self._last_received.get(ticket.record.id, 0.0),
            self._clock.time(now),
        )
