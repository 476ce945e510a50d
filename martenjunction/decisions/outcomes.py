"""What a caller is told about a request that was not answered in full."""

import enum

from martenjunction import errors


class Outcome(enum.StrEnum):
    """How far a request got.

    Attributes:
        NOT_RUN: No byte of it reached an endpoint, or the endpoint refused
            it before running it.
        RAN_PARTLY: An endpoint began to answer.
        UNKNOWN: It reached an endpoint and no answer came.
        DONE: The whole answer was delivered.
    """

    NOT_RUN = "not-run"
    RAN_PARTLY = "ran-partly"
    UNKNOWN = "unknown"
    DONE = "done"


class Event(enum.Enum):
    """What can happen to a request at its entry daemon."""

    SENT = "sent"
    NOT_REACHED = "not-reached"
    REFUSED = "refused"
    ANSWERING = "answering"
    BROKEN = "broken"
    COMPLETE = "complete"


class Progress(enum.Enum):
    """Where a request stands."""

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERING = "answering"
    COMPLETE = "complete"


# A request that once reached an endpoint never counts as unsent again, except
# where that same endpoint says that it refused it before running it.
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


class RequestProgress:
    """The state table of one request at its entry daemon.

    It counts the attempts that are known not to have run: a refusal by a
    second endpoint says nothing of the first.
    """

    def __init__(self) -> None:
        self._state = Progress.UNSENT
        self._attempts = 0
        self._not_run = 0

    @property
    def attempts(self) -> int:
        """How often the request was sent to an endpoint."""
        return self._attempts

    @property
    def outcome(self) -> Outcome:
        """What the caller may be told now."""
        open_attempts = self._attempts - self._not_run
        if self._state is Progress.UNSENT and open_attempts > 0:
            return Outcome.UNKNOWN
        return _OUTCOME[self._state]

    def note(self, event: Event) -> None:
        """Moves the request on.

        Raises:
            MartenjunctionError: If the event cannot happen in this state.
        """
        try:
            self._state = _NEXT[(self._state, event)]
        except KeyError:
            raise errors.MartenjunctionError(
                f"{event.value} cannot follow {self._state.value}"
            ) from None
        if event is Event.SENT:
            self._attempts += 1
        if event in (Event.NOT_REACHED, Event.REFUSED):
            self._not_run += 1

    def may_send_again(self, repeatable: bool) -> bool:
        """Returns whether another attempt keeps the promises."""
        if self._state is Progress.COMPLETE:
            return False
        return repeatable or self.outcome is Outcome.NOT_RUN
