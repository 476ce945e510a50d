"""Which requests a box takes during its planned stop.

Answers requests that arrive late in the grace period, or wait long for a place
at an endpoint: they are taken only if their response is expected before the box
ends those that remain. A refused request was not run, and another box takes it.
"""

import dataclasses
import enum

# Seconds from the start of a stop after which new streams are refused: they
# would be cut off when the box is killed. By then, clients have learned of
# other boxes.
STREAM_ADMISSION_S = 2.8

# Seconds from the start of a stop during which all other requests are taken,
# whatever their latency target.
MIN_ADMISSION_S = 0.5

# Multiple of the latency target that must fit into the rest of a stop.
# Otherwise, a request at a slow endpoint would be cut off with an unknown
# outcome.
TARGET_FACTOR = 5

# The same of the predicted response time of a plain endpoint;
# response_times.MAX_RATIO tells up to which multiple it counts as expected.
PREDICTED_FACTOR = 4

# The same of the mean time from the first to the last event of a stream.
EVENTS_FACTOR = 2


class Reason(enum.StrEnum):
    """Why a request is taken or refused.

    Attributes:
        EARLY: The stop has only just begun.
        FITS: It is expected to end in time.
        LATE: It could outlast the stop.
        LATE_STREAM: It is a stream, and could be cut off.
        OVER: The box ends its requests.
    """

    EARLY = "early"
    FITS = "fits"
    LATE = "late"
    LATE_STREAM = "late-stream"
    OVER = "over"


TAKEN = frozenset({Reason.EARLY, Reason.FITS})


@dataclasses.dataclass(frozen=True, slots=True)
class StopTime:
    """How far a planned stop is.

    Attributes:
        since_s: Seconds since it began.
        limit_s: Seconds after its start at which remaining requests are ended.
        streams_s: Seconds after its start from which new streams are refused.
    """

    since_s: float
    limit_s: float
    streams_s: float = STREAM_ADMISSION_S

    @property
    def left_s(self) -> float:
        """Seconds until the remaining requests are ended."""
        return self.limit_s - self.since_s


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
    """What a request needs.

    Attributes:
        is_stream: Whether its response is a stream.
        target_s: Its latency target in seconds.
        time_left_s: Seconds until its deadline.
        predicted_s: Predicted time in seconds to its response, or to the first
            event, at its endpoint; 0 if none was chosen yet.
        events_s: Mean time in seconds from the first to the last event of
            streams there.
    """

    is_stream: bool
    target_s: float
    time_left_s: float
    predicted_s: float = 0.0
    events_s: float = 0.0

    @property
    def seconds(self) -> float:
        """Seconds within which its response is expected."""
        if self.is_stream:
            expected_s = self.predicted_s + EVENTS_FACTOR * self.events_s
        else:
            expected_s = PREDICTED_FACTOR * self.predicted_s
        needed_s = max(TARGET_FACTOR * self.target_s, expected_s)
        return min(needed_s, self.time_left_s)


def judge(stop: StopTime, need: Need) -> Reason:
    """Returns why a request is taken or refused; see `TAKEN`."""
    if stop.left_s <= 0:
        return Reason.OVER
    if need.is_stream and stop.since_s > stop.streams_s:
        return Reason.LATE_STREAM
    if need.seconds <= stop.left_s:
        return Reason.FITS
    if stop.since_s <= MIN_ADMISSION_S:
        return Reason.EARLY
    return Reason.LATE
