"""Ways to cut a message into the pieces in which it arrives."""

import random
import zlib

# Longest message that also arrives byte by byte.
MAX_SINGLE_BYTES = 400

# Most cuts of a message that is cut at random.
_MAX_CUTS = 6


def ways(data: bytes) -> list[list[bytes]]:
    """Returns lists of pieces of a message; the same ones for the same bytes.

    Args:
        data: The message.
    """
    rng = random.Random(zlib.crc32(data))
    found = [at_random(rng, data) for _ in range(2)]
    if len(data) <= MAX_SINGLE_BYTES and rng.random() < 0.25:
        found.append([data[at : at + 1] for at in range(len(data))])
    return found


def at_random(rng: random.Random, data: bytes) -> list[bytes]:
    """Returns pieces of a message, none of which is empty."""
    if len(data) < 2:
        return [data] if data else []
    count = rng.randint(1, _MAX_CUTS)
    cuts = sorted({rng.randrange(1, len(data)) for _ in range(count)})
    bounds = [0, *cuts, len(data)]
    return [data[a:b] for a, b in zip(bounds[:-1], bounds[1:], strict=True)]
