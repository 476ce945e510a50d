"""Decides for how long a connection may rest between two requests.

Load pattern: clients keep connections open and use them again after seconds,
while configurations change the idle time. Nothing that one side does at the
end of that time is known to the other: a request that is sent meanwhile meets
a closed connection, and its client cannot tell whether it ran. A server
therefore tells its clients a time, holds each connection for longer than that,
whatever the configuration becomes, and lets a shorter time hold from the next
response on. A client uses a connection for less than it was told.
"""

import dataclasses
import math

# Seconds for which a server holds a connection beyond the time that it told:
# for the way of a response and of the next request, including the
# retransmission of a packet.
SERVER_MARGIN_S = 0.5

# Seconds before the end of the time that a server told after which its
# connections are not used again.
CLIENT_MARGIN_S = 1.0

# The shortest time in seconds that can be told; `Keep-Alive` takes whole ones.
SHORTEST_TOLD_S = 1

# The longest time in seconds that is told.
LONGEST_TOLD_S = 3600


@dataclasses.dataclass(frozen=True, slots=True)
class RestTime:
    """For how long a connection may rest.

    Attributes:
        told_s: Whole seconds that the client is told, or None for nothing.
        held_s: Seconds for which the connection is held at least.
    """

    told_s: int | None
    held_s: float


def untold(idle_timeout_s: float) -> RestTime:
    """Returns the rest time of a connection whose client was told nothing."""
    return RestTime(None, idle_timeout_s)


def told(idle_timeout_s: float) -> RestTime:
    """Returns the rest time after a response that tells it.

    A connection may be held for up to `SERVER_MARGIN_S` beyond an idle timeout
    of less than a second and a half. Nothing is told if that is less than a
    second: no whole number of seconds would be true.

    Args:
        idle_timeout_s: The idle timeout in force, in seconds.
    """
    if not idle_timeout_s >= SHORTEST_TOLD_S:
        return untold(idle_timeout_s)
    longest_s = min(idle_timeout_s - SERVER_MARGIN_S, LONGEST_TOLD_S)
    told_s = max(SHORTEST_TOLD_S, math.floor(longest_s))
    return RestTime(told_s, max(idle_timeout_s, told_s + SERVER_MARGIN_S))


def reusable_s(told_s: float | None, assumed_s: float) -> float:
    """Returns for how long a client uses a connection again, in seconds.

    Args:
        told_s: What the server told, in seconds, or None for nothing.
        assumed_s: What is assumed of a server that told nothing, in seconds.
    """
    return (assumed_s if told_s is None else told_s) - CLIENT_MARGIN_S
