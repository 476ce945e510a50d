"""Header fields that clients and endpoints set."""

import math
import random

import h11

from martenjunction.http1 import messages
from martenjunction.platform import headers
from martenjunction.platform import notices
from martenjunction_lab.fuzz import targets

# Most digits of a count that a request or an endpoint may tell.
_MAX_COUNT = 10**12

_VALUES = (
    b"",
    b"0",
    b"1",
    b"2.5",
    b"-1",
    b"+1",
    b" 1 ",
    b"1_000",
    b"1e3",
    b"1e400",
    b"nan",
    b"inf",
    b"-inf",
    b"\xb2",
    b"1\xb9",
    b"1,2",
    b"1,2,3",
    b"3,4,8",
    b"-3,4,8",
    b"1,,2",
    b"a:1",
    b"a:1, b:22, a:1",
    b"a:\xb2",
    b":1",
    b"a:",
    b"a:-1",
    b"9" * 16,
    b"9" * 400,
    b"9" * 5000,
    b"a:" + b"9" * 5000,
    b"a:1," * 50,
    b"1," + b"9" * 5000,
    b"bearer k",
    b"Bearer  k ",
    b"basic k",
    b"\xff\xfe",
    b"Wed, 21 Oct 2015 07:28:00 GMT",
    b"true",
    b"x" * 300,
    b"close, host",
    b"last-event-id",
)
_REQUEST_NAMES = (
    b"Host",
    b"Authorization",
    b"Last-Event-Id",
    b"Resumes",
    b"Connection",
    b"Martenjunction-Attempt-Id",
    b"Martenjunction-Deadline-Ms",
    b"Martenjunction-Prefix-Hash",
    b"Martenjunction-Token-Counts",
)
_RESPONSE_NAMES = (
    b"Server-Leaving",
    b"Retry-After",
    b"Server-Limit",
    b"Server-Brittle",
    b"Martenjunction-Replica-Id",
    b"Martenjunction-Attempt-Id",
    b"Martenjunction-Replica-Load",
    b"Martenjunction-Replica-Seal",
    b"Martenjunction-Not-Executed",
)


def _generate(rng: random.Random, names: tuple[bytes, ...]) -> bytes:
    lines = []
    for _ in range(rng.randint(1, 6)):
        value = rng.choice(_VALUES)
        if rng.random() < 0.2:
            value += rng.choice(_VALUES)
        lines.append(rng.choice(names) + b": " + value)
    return b"\n".join(lines)


def _fields(data: bytes) -> messages.Headers:
    """Returns fields as a parser returns them, in the same case."""
    pairs = (line.partition(b":") for line in data.split(b"\n"))
    return [(name, value.strip(b" \t\r")) for name, _, value in pairs]


@targets.registered.register("request-headers")
class RequestHeaders(targets.Target):
    """Fields of requests; malformed ones are ignored."""

    def generate(self, rng: random.Random) -> bytes:
        """Returns lines of fields."""
        return _generate(rng, _REQUEST_NAMES)

    def check(self, data: bytes) -> None:
        """Decodes fields; counts are such that products of them are finite."""
        found = headers.decode_request(_fields(data))
        counts = [found.prompt_tokens, found.max_tokens]
        counts += [part.tokens for part in found.parts]
        if not all(0 <= count < _MAX_COUNT for count in counts):
            raise targets.OracleError("a count of a request is out of range")
        deadline_s = found.deadline_s
        if deadline_s is not None and not math.isfinite(deadline_s):
            raise targets.OracleError("a deadline is not finite")


@targets.registered.register("endpoint-notices")
class EndpointNotices(targets.Target):
    """Fields of an endpoint's responses."""

    def generate(self, rng: random.Random) -> bytes:
        """Returns a status and lines of fields."""
        status = rng.choice((b"200", b"429", b"503", b"421", b"500"))
        return status + b"\n" + _generate(rng, _RESPONSE_NAMES)

    def check(self, data: bytes) -> None:
        """Decodes notices; numbers are finite."""
        status, _, rest = data.partition(b"\n")
        if not status.isdigit() or len(status) != 3:
            return
        head = messages.ResponseHead(int(status), _fields(rest))
        notice = notices.notice_of(head, "e-1")
        numbers = (
            notice.backoff_s,
            notice.limit_per_s or 0.0,
            notice.rejections_per_s or 0.0,
        )
        if not all(0 <= number < math.inf for number in numbers):
            raise targets.OracleError("a notice is out of range")
        load = headers.load_of(head)
        if load is not None and not all(
            0 <= count < _MAX_COUNT
            for count in (load.running, load.waiting, load.slots)
        ):
            raise targets.OracleError("a count of a load is out of range")
        headers.answers_request(head, "1")
        headers.was_not_executed(head)


@targets.registered.register("forwarded-headers")
class ForwardedHeaders(targets.Target):
    """Fields of requests that are passed on to endpoints."""

    def generate(self, rng: random.Random) -> bytes:
        """Returns lines of fields."""
        return _generate(rng, _REQUEST_NAMES)

    def check(self, data: bytes) -> None:
        """Heads a request to an endpoint by a request that h11 takes."""
        try:
            request = h11.Request(
                method=b"GET",
                target=b"/",
                headers=[(b"Host", b"a"), *_fields(data)],
            )
        except h11.LocalProtocolError:
            return
        fields = [(bytes(n), bytes(v)) for n, v in request.headers.raw_items()]
        if sum(name.lower() == b"host" for name, _ in fields) > 1:
            return
        sent = headers.endpoint_headers(
            fields, 3, 1.0, "e-1", "one", 3, resume_from="5"
        )
        h11.Request(method=b"GET", target=b"/", headers=sent)
