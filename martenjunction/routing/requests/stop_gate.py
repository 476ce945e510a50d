"""Takes or refuses requests during a planned stop, and accounts for them."""

import collections
import time
from typing import Any

from martenjunction import model
from martenjunction import timers
from martenjunction.decisions import outcomes
from martenjunction.decisions import stop_admission
from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import stop_state
from martenjunction.routing.access import admission
from martenjunction.routing.log import decision_log

# Retry-After, in seconds, during a planned stop; another box takes the retry.
RETRY_STOPPING_S = 0.05


class StopGate:
    """Admits the requests of a box that is being stopped."""

    def __init__(
        self,
        state: stop_state.StopState,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the account, which is empty.

        Args:
            state: Whether the box is being stopped.
            clock: Provides the time.
            log: Records each decision, within its limit of lines a second.
        """
        self._state = state
        self._timers = clock
        self._log = log
        self._taken = 0
        self._refused: collections.Counter[str] = collections.Counter()
        self._withdrawn: collections.Counter[str] = collections.Counter()
        self._ended: collections.Counter[str] = collections.Counter()

    def admit(self, request_id: str, admitted: admission.Admission) -> None:
        """Refuses a new request that could outlast a stop of this box.

        Raises:
            RefusalError: If the client should retry at another box.
        """
        reason = self._judge(request_id, admitted, None, "refused")
        if reason is None:
            return
        if reason in stop_admission.TAKEN:
            self._taken += 1
            return
        self._refused[reason] += 1
        raise _refusal()

    def confirm(
        self,
        request_id: str,
        admitted: admission.Admission,
        choice: endpoint_choice.Choice,
    ) -> None:
        """Refuses a request that ran nowhere, before it is sent.

        Args:
            request_id: Its id.
            admitted: The admitted request.
            choice: Its endpoint.

        Raises:
            RefusalError: If the client should retry at another box.
        """
        reason = self._judge(request_id, admitted, choice, "withdrawn")
        if reason is not None and reason not in stop_admission.TAKEN:
            self._withdrawn[reason] += 1
            raise _refusal()

    def record_ended(self, outcome: outcomes.Outcome) -> None:
        """Counts a request that the end of the stop ended."""
        self._ended[outcome.value] += 1

    def summary(self) -> dict[str, Any]:
        """Returns log fields that tell what became of a stop's requests."""
        return {
            "taken": self._taken,
            "refused": dict(self._refused),
            "withdrawn": dict(self._withdrawn),
            "ended": dict(self._ended),
        }

    def _judge(
        self,
        request_id: str,
        admitted: admission.Admission,
        choice: endpoint_choice.Choice | None,
        refused: str,
    ) -> stop_admission.Reason | None:
        """Returns the decision, or None if the box is not being stopped."""
        stop = self._state.stop_time(self._timers.now())
        if stop is None:
            return None
        route = admitted.route
        need = stop_admission.Need(
            route.kind is model.RouteKind.STREAM,
            route.target_s,
            admitted.deadline - time.monotonic(),
            0.0 if choice is None else choice.predicted_s,
            0.0 if choice is None else choice.record.hold_s.value,
        )
        reason = stop_admission.judge(stop, need)
        taken = reason in stop_admission.TAKEN
        if taken and refused == "withdrawn":
            return reason
        self._log.write(
            "stop-request-taken" if taken else f"stop-request-{refused}",
            id=request_id,
            route=route.name,
            why=reason.value,
            since_ms=round(stop.since_s * 1000, 1),
            needed_ms=round(need.seconds * 1000, 1),
            left_ms=round(stop.left_s * 1000, 1),
        )
        return reason


def _refusal() -> admission.RefusalError:
    return admission.RefusalError(
        503, "stopping", "this box is being stopped", RETRY_STOPPING_S
    )
