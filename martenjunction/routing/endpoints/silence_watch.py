"""Judges endpoints and runs from which nothing comes.

An endpoint that is quiet for longer than a sound one would be is ejected. Its
runs are kept: the endpoint may go on, and what may be repeated gets a second
endpoint meanwhile. A run that takes longer than nearly all others of its
service gets one as well, whatever its endpoint does for others.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import math

from martenjunction.decisions.boxes import response_survival
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import run_ticket

# Runs without a response that are remembered of an endpoint.
MAX_UNANSWERED = 8

# Quiet endpoints that are judged at a time. A box has hundreds of them if
# responses take seconds, and it judges them many times a second.
MAX_JUDGED = 100

# Part of the known runs that are added before the usual time is learned again.
USUAL_AGE = 0.1

# Probability that a sound endpoint is as quiet, below which what may be
# repeated gets a second endpoint. That costs less than an ejection in error.
SECOND_PROBABILITY = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class RunKind:
    """Runs whose times are alike.

    Attributes:
        service: The service.
        is_long: Whether their prompts are long.
        begun: Whether bytes of a body came; their times are pauses then.
    """

    service: str
    is_long: bool
    begun: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _EndedRun:
    """A run without a response.

    Attributes:
        kind: Its kind.
        sent_at: Listening time since which it waited.
        ended_at: Listening time until which it did.
    """

    kind: RunKind
    sent_at: float
    ended_at: float


def kind_of(ticket: run_ticket.RunTicket) -> RunKind:
    """Returns the kind of a run."""
    demand = ticket.demand
    return RunKind(demand.service, demand.is_long, ticket.bytes_at is not None)


class SilenceWatch:
    """Learns how long responses take, and finds what is silent or late."""

    def __init__(self, ejection: endpoint_ejection.EjectionTracker) -> None:
        """Initializes the watch, which knows of no response time.

        Args:
            ejection: Ejects endpoints.
        """
        self._ejection = ejection
        self._survivals: dict[RunKind, response_survival.ResponseSurvival] = {}
        # Runs that ended without a response since their endpoint last sent
        # anything.
        self._unanswered: dict[str, collections.deque[_EndedRun]] = {}
        # Usual times of each kind, and of how many more runs it is known since.
        self._usual_s: dict[RunKind, float] = {}
        self._added: collections.Counter[RunKind] = collections.Counter()
        # When each quiet endpoint was last judged, in listening time.
        self._judged_at: dict[str, float] = {}

    def usual_s(self, kind: RunKind) -> float:
        """Returns the seconds within which runs of a kind are usually answered.

        Returns:
            Seconds; infinite if that is not known.
        """
        return self._usual_s.get(kind, math.inf)

    def note_bytes(self, ticket: run_ticket.RunTicket, now: float) -> None:
        """Learns from the time until bytes of a body came.

        Args:
            ticket: The run, before its bytes are noted.
            now: The current listening time.
        """
        self._unanswered.pop(ticket.record.id, None)
        if ticket.bytes_at != now:
            self._add(ticket, now, answered=True)

    def note_end(
        self, ticket: run_ticket.RunTicket, now: float, broke_off: bool
    ) -> None:
        """Learns from a run that ends without a byte of a body.

        Args:
            ticket: The run.
            now: The current listening time.
            broke_off: Whether its endpoint ended it, which is no silence.
        """
        if ticket.bytes_at is not None:
            return
        if not broke_off:
            self._unanswered.setdefault(
                ticket.record.id, collections.deque(maxlen=MAX_UNANSWERED)
            ).append(_EndedRun(kind_of(ticket), ticket.sent_at, now))
        self._add(ticket, now, answered=False)

    def forget(self, endpoint_ids: Iterable[str]) -> None:
        """Forgets the runs at endpoints that are gone."""
        for endpoint_id in endpoint_ids:
            self._unanswered.pop(endpoint_id, None)

    def judge(
        self,
        tickets: Iterable[run_ticket.RunTicket],
        last_received: dict[str, float],
        listened: float,
        now: float,
        check_path: Callable[[str], None],
    ) -> None:
        """Ejects silent endpoints and marks runs that need another one.

        Args:
            tickets: The runs that wait for bytes.
            last_received: When each endpoint last sent anything, in listening
                time.
            listened: The current listening time.
            now: The current time.
            check_path: Checks the path to an endpoint that is quiet.
        """
        pending = _Pending(tickets, self._survivals, listened)
        quiet = []
        for endpoint_id, waiting in pending.by_endpoint.items():
            last = last_received.get(endpoint_id, 0.0)
            if endpoint_ejection.is_quiet_for_long(
                waiting[0].record,
                [ticket.sent_at for ticket in waiting],
                len(waiting) + len(self._unanswered.get(endpoint_id, ())),
                last,
                listened,
            ):
                quiet.append(endpoint_id)
            elif _is_quiet(waiting, last, listened):
                check_path(endpoint_id)
        for endpoint_id in self._next_judged(quiet, listened):
            last = last_received.get(endpoint_id, 0.0)
            waiting = pending.by_endpoint[endpoint_id]
            probability = self._quiet_probability(
                endpoint_id, pending, last, listened
            )
            is_silent = probability <= response_survival.SILENT_PROBABILITY
            if is_silent:
                self._ejection.note_silence(waiting[0].record, now)
            else:
                check_path(endpoint_id)
            if probability <= SECOND_PROBABILITY:
                for ticket in waiting:
                    _request_move(ticket, listened, not is_silent)
        self._find_late(pending, listened)

    def _next_judged(self, quiet: list[str], listened: float) -> list[str]:
        """Returns the endpoints whose turn it is to be judged."""
        self._judged_at = {
            endpoint_id: self._judged_at.get(endpoint_id, -math.inf)
            for endpoint_id in quiet
        }
        chosen = heapq.nsmallest(
            MAX_JUDGED, quiet, key=self._judged_at.__getitem__
        )
        self._judged_at.update(dict.fromkeys(chosen, listened))
        return chosen

    def _quiet_probability(
        self,
        endpoint_id: str,
        pending: "_Pending",
        last_received_at: float,
        listened: float,
    ) -> float:
        """Returns how likely a sound endpoint would be as quiet."""
        waits: dict[RunKind, list[response_survival.Wait]] = (
            collections.defaultdict(list)
        )
        runs = [
            _EndedRun(kind_of(t), t.waiting_since, listened)
            for t in pending.by_endpoint[endpoint_id]
        ]
        for run in [*runs, *self._unanswered.get(endpoint_id, ())]:
            waits[run.kind].append(
                response_survival.Wait(
                    run.ended_at - run.sent_at,
                    max(0.0, last_received_at - run.sent_at),
                )
            )
        return math.prod(
            pending.observed(kind).quiet_probability(of_kind, endpoint_id)
            for kind, of_kind in waits.items()
        )

    def _find_late(self, pending: "_Pending", listened: float) -> None:
        """Marks the runs that take longer than nearly all others."""
        limits: dict[RunKind, float] = {}
        for ticket in pending.tickets:
            waited_s = listened - ticket.sent_at
            patience = ticket.patience
            if ticket.bytes_at is not None or waited_s < patience.least_s:
                continue
            kind = kind_of(ticket)
            if kind not in limits:
                limits[kind] = pending.observed(kind).late_after_s()
            limit_s = limits[kind]
            if math.isinf(limit_s):
                limit_s = patience.unknown_s
            if waited_s > limit_s and not ticket.move_requested:
                ticket.move_requested = ticket.keeps_running = True

    def _add(
        self, ticket: run_ticket.RunTicket, now: float, answered: bool
    ) -> None:
        kind = kind_of(ticket)
        survival = self._survival(kind)
        survival.add(ticket.record.id, ticket.waiting_since, now, answered)
        self._added[kind] += 1
        if self._added[kind] > USUAL_AGE * survival.known:
            self._added[kind] = 0
            self._usual_s[kind] = survival.usual_s()

    def _survival(self, kind: RunKind) -> response_survival.ResponseSurvival:
        return self._survivals.setdefault(
            kind, response_survival.ResponseSurvival()
        )


class _Pending:
    """The runs that wait for bytes, and what is known of their kinds."""

    def __init__(
        self,
        tickets: Iterable[run_ticket.RunTicket],
        survivals: dict[RunKind, response_survival.ResponseSurvival],
        listened: float,
    ) -> None:
        self.tickets = list(tickets)
        self._survivals = survivals
        self._listened = listened
        self._observed: dict[RunKind, response_survival.ObservedTimes] = {}
        self.by_endpoint: dict[str, list[run_ticket.RunTicket]] = {}
        self._by_kind: dict[RunKind, list[response_survival.PendingRun]] = (
            collections.defaultdict(list)
        )
        for ticket in self.tickets:
            endpoint_id = ticket.record.id
            self.by_endpoint.setdefault(endpoint_id, []).append(ticket)
            self._by_kind[kind_of(ticket)].append(
                response_survival.PendingRun(endpoint_id, ticket.waiting_since)
            )

    def observed(self, kind: RunKind) -> response_survival.ObservedTimes:
        """Returns the response times of a kind, those of pending runs too."""
        if kind not in self._observed:
            known = self._survivals.get(kind)
            if known is None:
                known = response_survival.ResponseSurvival()
            self._observed[kind] = known.observe(
                self._by_kind[kind], self._listened
            )
        return self._observed[kind]


def _request_move(
    ticket: run_ticket.RunTicket, listened: float, keeps_running: bool
) -> None:
    """Marks a run at a quiet endpoint that has itself waited for long."""
    if not endpoint_ejection.has_waited_for_long(
        ticket.record, ticket.waiting_since, listened
    ):
        return
    if not ticket.move_requested:
        ticket.move_requested = True
        ticket.keeps_running = keeps_running
    elif not keeps_running:
        ticket.keeps_running = False


def _is_quiet(
    waiting: list[run_ticket.RunTicket], last_received_at: float, now: float
) -> bool:
    """Returns whether an endpoint is quiet for longer than expected."""
    expected_s = max(
        (t.choice.predicted_s for t in waiting if t.waiting), default=0.0
    )
    return endpoint_ejection.is_quiet(
        waiting[0].record,
        [ticket.sent_at for ticket in waiting],
        expected_s,
        last_received_at,
        now,
    )
