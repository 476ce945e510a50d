"""Which requests a stopping box takes.

Guards against requests that are taken late in a planned stop, are passed on and
are ended with an unknown outcome as the stop is over.
"""

import pytest

from martenjunction.decisions import stop_admission
from martenjunction.decisions.boxes import stop_state

Reason = stop_admission.Reason

LIMIT_S = 7.6


@pytest.mark.parametrize(
    ("since_s", "stream", "target_s", "time_left_s", "predicted_s", "reason"),
    [
        (0.4, False, 3.0, 20.0, 0.0, Reason.EARLY),
        (0.4, False, 0.2, 20.0, 5.0, Reason.EARLY),
        (0.6, False, 3.0, 20.0, 0.0, Reason.LATE),
        (6.5, False, 0.2, 20.0, 0.0, Reason.FITS),
        (6.7, False, 0.2, 20.0, 0.0, Reason.LATE),
        (6.7, False, 0.2, 0.8, 0.0, Reason.FITS),
        (6.0, False, 0.2, 20.0, 0.3, Reason.FITS),
        (6.0, False, 0.2, 20.0, 0.5, Reason.LATE),
        (6.0, False, 0.2, 1.5, 0.5, Reason.FITS),
        (2.7, True, 0.2, 20.0, 0.0, Reason.FITS),
        (2.9, True, 0.2, 1.0, 0.0, Reason.LATE_STREAM),
        (7.6, False, 0.2, 0.0, 0.0, Reason.OVER),
        (7.7, True, 0.2, 0.0, 0.0, Reason.OVER),
    ],
)
def test_request_is_taken_if_it_is_expected_to_end_within_the_stop(
    since_s: float,
    stream: bool,
    target_s: float,
    time_left_s: float,
    predicted_s: float,
    reason: stop_admission.Reason,
) -> None:
    need = stop_admission.Need(stream, target_s, time_left_s, predicted_s)
    stop = stop_admission.StopTime(since_s, LIMIT_S)
    assert stop_admission.judge(stop, need) is reason


@pytest.mark.parametrize(
    ("predicted_s", "events_s", "reason"),
    [
        (0.0, 0.0, Reason.FITS),
        (0.6, 2.0, Reason.FITS),
        (0.6, 2.3, Reason.LATE),
        (5.2, 0.0, Reason.LATE),
    ],
)
def test_stream_is_taken_if_its_last_event_is_expected_within_the_stop(
    predicted_s: float, events_s: float, reason: stop_admission.Reason
) -> None:
    need = stop_admission.Need(True, 0.2, 20.0, predicted_s, events_s)
    stop = stop_admission.StopTime(2.5, LIMIT_S)
    assert stop_admission.judge(stop, need) is reason


def test_box_that_ends_takes_no_request() -> None:
    state = stop_state.StopState()
    assert state.stop_time(1.0) is None
    state.leave(1.0, LIMIT_S)
    assert state.stop_time(3.0) == stop_admission.StopTime(2.0, LIMIT_S)
    state.stop()
    ended = state.stop_time(3.0)
    assert ended is not None
    need = stop_admission.Need(False, 0.0, 0.0)
    assert stop_admission.judge(ended, need) is Reason.OVER
