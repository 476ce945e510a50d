"""What callers send, drawn ahead of time from a seed."""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

# The share of load that a stream has at a time, in seconds from the start.
Shape = Callable[[float], float]


def steady(_: float) -> float:
    """Returns 1 at all times."""
    return 1.0


def burst(start: float, end: float, height: float) -> Shape:
    """Returns a shape that is `height` between two times, and 1 elsewhere."""

    def shape(at: float) -> float:
        return height if start <= at < end else 1.0

    return shape


@dataclasses.dataclass(frozen=True)
class Stream:
    """One kind of traffic.

    Attributes:
        service_class: The class it is expected to get.
        key: The workspace's key.
        target: The model, or the plain service.
        kind: The request kind.
        rate: Requests a second.
        prompt_tokens: Mean length of the prompt.
        answer_tokens: Mean length of the answer; 0 for a plain call.
        shape: How the rate changes.
        shared_prefix: Part of the prompt that many requests share.
    """

    service_class: str
    key: str
    target: str
    kind: str
    rate: float
    prompt_tokens: int = 100
    answer_tokens: int = 0
    shape: Shape = steady
    shared_prefix: float = 0.5

    @property
    def is_plain(self) -> bool:
        """Whether it calls a plain service."""
        return self.answer_tokens == 0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request, at its time.

    Attributes:
        at: Seconds from the start.
        number: Unique in the run.
        stream: What kind of request it is.
        body: The body of a chat request.
    """

    at: float
    number: int
    stream: Stream
    body: dict[str, Any]


def draw(streams: list[Stream], seconds: float, seed: int) -> list[Arrival]:
    """Draws all arrivals of a run.

    Arrivals are a Poisson process whose rate follows each stream's shape, so
    they do not wait for answers.
    """
    rng = random.Random(seed)
    arrivals = []
    for stream in streams:
        at = 0.0
        while True:
            rate = max(1e-9, stream.rate * stream.shape(at))
            at += rng.expovariate(rate)
            if at >= seconds:
                break
            arrivals.append((at, stream, _body(stream, rng)))
    arrivals.sort(key=lambda row: row[0])
    return [
        Arrival(at, number, stream, body)
        for number, (at, stream, body) in enumerate(arrivals)
    ]


WORD = "grape "


def _body(stream: Stream, rng: random.Random) -> dict[str, Any]:
    if stream.is_plain:
        return {}
    shared = int(stream.prompt_tokens * stream.shared_prefix)
    own = max(1, int(rng.expovariate(1.0) * (stream.prompt_tokens - shared)))
    # About four characters a token, as the daemon estimates it.
    system = f"You serve {stream.key}. " + WORD * (shared * 2 // 3)
    user = f"{rng.getrandbits(64):016x} " + WORD * (own * 2 // 3)
    length = max(4, int(rng.lognormvariate(0.0, 0.6) * stream.answer_tokens))
    return {
        "model": stream.target,
        "stream": True,
        "messages": [
            {"role": "system", "content": system},
            {"role": "user", "content": user},
        ],
        "answer_tokens": length,
    }
