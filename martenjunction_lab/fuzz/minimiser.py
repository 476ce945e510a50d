"""Shrinks an input that shows a fault."""

from collections.abc import Callable

# Most inputs that are tried to shrink one.
MAX_TRIALS = 2000

# What bytes are replaced by where they cannot be left out.
_PLAIN = b"0"


def shrink(
    data: bytes,
    shows: Callable[[bytes], bool],
    max_trials: int = MAX_TRIALS,
) -> bytes:
    """Returns a smaller input that shows the same fault.

    Leaves out ever shorter runs of bytes (delta debugging), then makes the
    bytes that are left alike.

    Args:
        data: The input.
        shows: Returns whether an input shows the fault.
        max_trials: Number of inputs after which it gives up.
    """
    trials = 0

    def holds(smaller: bytes) -> bool:
        nonlocal trials
        trials += 1
        return shows(smaller)

    size = max(1, len(data) // 2)
    while trials < max_trials:
        start = 0
        before = len(data)
        while start < len(data) and trials < max_trials:
            smaller = data[:start] + data[start + size :]
            if holds(smaller):
                data = smaller
            else:
                start += size
        if size == 1 and len(data) == before:
            break
        size = max(1, size // 2)
    for at in range(len(data)):
        if trials >= max_trials:
            break
        plain = data[:at] + _PLAIN + data[at + 1 :]
        if plain != data and holds(plain):
            data = plain
    return data
