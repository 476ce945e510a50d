"""Outcomes reported to callers for requests that were not completed."""

import enum

from martenjunction import errors


class Outcome(enum.StrEnum):
    """Outcomes of a request.

    Attributes:
        NOT_RUN: No byte reached an endpoint, or the endpoint refused the
            request before running it.
        RAN_PARTLY: An endpoint began to answer.
        UNKNOWN: It reached an endpoint, which did not answer.
        DONE: The complete answer was delivered.
    """

    NOT_RUN = "not-run"
    RAN_PARTLY = "ran-partly"
    UNKNOWN = "unknown"
    DONE = "done"


class Event(enum.Enum):
    """Events in the life of a request at its entry daemon."""

    SENT = "sent"
    NOT_REACHED = "not-reached"
    REFUSED = "refused"
    ANSWERING = "answering"
    BROKEN = "broken"
    COMPLETE = "complete"


class Progress(enum.Enum):
    """States of a request."""

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERING = "answering"
    COMPLETE = "complete"


# A request that reached an endpoint returns to UNSENT only if that endpoint
# reports that it refused the request before running it.
_NEXT: dict[tuple[Progress, Event], Progress] = {
    (Progress.UNSENT, Event.SENT): Progress.SENT,
    (Progress.SENT, Event.NOT_REACHED): Progress.UNSENT,
    (Progress.SENT, Event.REFUSED): Progress.UNSENT,
    (Progress.SENT, Event.ANSWERING): Progress.ANSWERING,
    (Progress.SENT, Event.BROKEN): Progress.SENT,
    (Progress.SENT, Event.COMPLETE): Progress.COMPLETE,
    (Progress.SENT, Event.SENT): Progress.SENT,
    (Progress.ANSWERING, Event.SENT): Progress.ANSWERING,
    (Progress.ANSWERING, Event.NOT_REACHED): Progress.ANSWERING,
    (Progress.ANSWERING, Event.REFUSED): Progress.ANSWERING,
    (Progress.ANSWERING, Event.ANSWERING): Progress.ANSWERING,
    (Progress.ANSWERING, Event.BROKEN): Progress.ANSWERING,
    (Progress.ANSWERING, Event.COMPLETE): Progress.COMPLETE,
}

_OUTCOME: dict[Progress, Outcome] = {
    Progress.UNSENT: Outcome.NOT_RUN,
    Progress.SENT: Outcome.UNKNOWN,
    Progress.ANSWERING: Outcome.RAN_PARTLY,
    Progress.COMPLETE: Outcome.DONE,
}


# How an event changes the number of attempts that are under way.
_UNDER_WAY: dict[Event, int] = {
    Event.SENT: 1,
    Event.NOT_REACHED: -1,
    Event.REFUSED: -1,
    Event.BROKEN: -1,
    Event.COMPLETE: -1,
}


class RequestProgress:
    """Tracks the state of one request at its entry daemon.

    Attempts known not to have run are counted, because a refusal by a second
    endpoint does not show that the first one did not run the request. Attempts
    may be under way side by side.
    """

    def __init__(self) -> None:
        self._state = Progress.UNSENT
        self._attempts = 0
        self._not_run = 0
        self._under_way = 0

    @property
    def attempts(self) -> int:
        """Number of times the request was sent to an endpoint."""
        return self._attempts

    @property
    def outcome(self) -> Outcome:
        """The outcome to report to the caller in the current state."""
        open_attempts = self._attempts - self._not_run
        if self._state is Progress.UNSENT and open_attempts > 0:
            return Outcome.UNKNOWN
        return _OUTCOME[self._state]

    def record(self, event: Event) -> None:
        """Applies an event.

        Raises:
            MartenjunctionError: If the event is invalid in the current state.
        """
        try:
            after = _NEXT[(self._state, event)]
        except KeyError:
            raise errors.MartenjunctionError(
                f"event {event.value!r} is invalid in state"
                f" {self._state.value!r}"
            ) from None
        self._under_way += _UNDER_WAY.get(event, 0)
        if after is not Progress.UNSENT or self._under_way <= 0:
            self._state = after
        if event is Event.SENT:
            self._attempts += 1
        if event in (Event.NOT_REACHED, Event.REFUSED):
            self._not_run += 1

    def may_retry(self, repeatable: bool) -> bool:
        """Returns whether another attempt is allowed.

        A request that is not repeatable is retried only if it did not run.
        """
        if self._state is Progress.COMPLETE:
            return False
        return repeatable or self.outcome is Outcome.NOT_RUN
