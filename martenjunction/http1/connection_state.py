"""State machine of a client connection."""

import enum


class State(enum.Enum):
    """State of a connection."""

    RESTING = "resting"
    READING = "reading"
    SERVING = "serving"
    CLOSED = "closed"


class Event(enum.Enum):
    """Event that may change the state of a connection."""

    BYTES_CAME = "bytes-came"
    REQUEST_TAKEN = "request-taken"
    REQUEST_ENDED = "request-ended"
    CLOSED = "closed"


# Any other event leaves the state unchanged: no request is accepted from a
# closed connection.
_NEXT = {
    (State.RESTING, Event.BYTES_CAME): State.READING,
    (State.READING, Event.REQUEST_TAKEN): State.SERVING,
    (State.SERVING, Event.REQUEST_ENDED): State.RESTING,
    (State.RESTING, Event.CLOSED): State.CLOSED,
    (State.READING, Event.CLOSED): State.CLOSED,
    (State.SERVING, Event.CLOSED): State.CLOSED,
}


def next_state(state: State, event: Event) -> State:
    """Returns the state after an event."""
    return _NEXT.get((state, event), state)
