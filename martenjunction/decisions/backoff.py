"""Pauses that grow with failures in a row."""

# Doublings beyond which a pause counts as endless.
MAX_DOUBLINGS = 16


def pause_s(first_s: float, failures: int, longest_s: float) -> float:
    """Returns the seconds to wait after a failure.

    Args:
        first_s: The pause after the first failure, in seconds.
        failures: Number of failures in a row before this one.
        longest_s: The longest pause, in seconds.
    """
    return min(first_s * 2.0 ** min(failures, MAX_DOUBLINGS), longest_s)
