"""The states of a connection from a client."""

import enum


class State(enum.Enum):
    """What is under way on a connection."""

    RESTING = "resting"
    READING = "reading"
    SERVING = "serving"
    CLOSED = "closed"


class Event(enum.Enum):
    """What happens on a connection."""

    BYTES_CAME = "bytes-came"
    REQUEST_TAKEN = "request-taken"
    REQUEST_ENDED = "request-ended"
    CLOSED = "closed"


# Whatever is not here leaves the state as it is: nothing is taken from a
# connection that has been closed.
_NEXT = {
    (State.RESTING, Event.BYTES_CAME): State.READING,
    (State.READING, Event.REQUEST_TAKEN): State.SERVING,
    (State.SERVING, Event.REQUEST_ENDED): State.RESTING,
    (State.RESTING, Event.CLOSED): State.CLOSED,
    (State.READING, Event.CLOSED): State.CLOSED,
    (State.SERVING, Event.CLOSED): State.CLOSED,
}


def after(state: State, event: Event) -> State:
    """Returns the state that follows an event."""
    return _NEXT.get((state, event), state)
