"""How the runs of a request ended, one by one, for the log and metrics."""

import enum

from martenjunction import errors


class RunEnd(enum.StrEnum):
    """How a run ended.

    Attributes:
        ANSWERED: Its response was sent to the client.
        SUPERSEDED: Another run's response was.
        REFUSED: The endpoint reported that it did not run the request.
        FAILED: Its response was a failure that another endpoint may not have.
        NOT_REACHED: Nothing was sent.
        BROKEN: Its connection broke, or its response was invalid.
        NO_MEMORY: This box had no memory for its response.
        MOVED: This box ended it to try another endpoint.
        CANCELLED: The request ended: its client left, its time was over, or
            this box stopped.
    """

    ANSWERED = "answered"
    SUPERSEDED = "superseded"
    REFUSED = "refused"
    FAILED = "failed"
    NOT_REACHED = "not-reached"
    BROKEN = "broken"
    NO_MEMORY = "no-memory"
    MOVED = "moved"
    CANCELLED = "cancelled"


def end_of_failed(error: BaseException, given_up: bool) -> RunEnd:
    """Returns how a run ended that raised an error.

    Args:
        error: The error.
        given_up: Whether this box had ended the run before.
    """
    if not isinstance(error, errors.EndpointError):
        return RunEnd.CANCELLED
    if isinstance(error, errors.EndpointNotReachedError):
        return RunEnd.NOT_REACHED
    if given_up:
        return RunEnd.MOVED
    if isinstance(error, errors.AnswerGivenUpError):
        return RunEnd.NO_MEMORY
    return RunEnd.BROKEN
