"""Generates messages of HTTP/1.1 whose framing is odd."""

import random

from martenjunction_lab.fuzz import spans

_EOL = (b"\r\n",) * 12 + (b"\n", b"\r", b"\n\r", b"\r\r\n")

# Fields that decide where a message ends.
_FRAMING = (
    b"Content-Length: 5",
    b"Content-Length: 5",
    b"Content-Length: 3",
    b"Content-Length: 0",
    b"content-length:5",
    b"Content-Length : 5",
    b" Content-Length: 5",
    b"Content-Length: +5",
    b"Content-Length: -5",
    b"Content-Length: 5 ",
    b"Content-Length: 0x5",
    b"Content-Length: 5, 5",
    b"Content-Length: 5, 6",
    b"Content-Length: 5;5",
    b"Content-Length: 5 5",
    b"Content-Length: 1_0",
    b"Content-Length: \xb2",
    b"Content-Length: 005",
    b"Content-Length:",
    b"Content-Length: " + b"9" * 30,
    b"Content-Length: " + b"0" * 5000 + b"5",
    b"Content-Length:\x0b5",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: chunked",
    b"Transfer-Encoding: Chunked",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: chunked, identity",
    b"Transfer-Encoding: identity",
    b"Transfer-Encoding:\x0bchunked",
    b"Transfer-Encoding: xchunked",
    b"Transfer-Encoding : chunked",
    b"Transfer-Encoding:",
    b"X: y\r\n Transfer-Encoding: chunked",
    b"Transfer-Encoding:\r\n chunked",
    b"Transfer\0-Encoding: chunked",
)
_FIELDS = (
    b"Host: a",
    b"Host: b",
    b"Host:",
    b"Accept: */*",
    b"Connection: close",
    b"Connection: keep-alive",
    b"Connection: content-length",
    b"Expect: 100-continue",
    b"X: \x00",
    b"X: \xff",
    b": empty",
    b"no colon",
    b"X: y\r\n folded",
    b"\tfolded",
    b"",
    b"Upgrade: websocket",
    b"Trailer: X",
    b"Keep-Alive: timeout=5",
    b"Keep-Alive: timeout=" + b"9" * 400,
)
_BODIES = (
    b"",
    b"hello",
    b"hel",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"5;a=b\r\nhello\r\n0\r\nX: y\r\n\r\n",
    b"5\nhello\n0\n\n",
    b"5 \r\nhello\r\n0 \r\n\r\n",
    b"+5\r\nhello\r\n0\r\n\r\n",
    b"-1\r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"5_0\r\nhello\r\n0\r\n\r\n",
    b"05\r\nhello\r\n000\r\n\r\n",
    b"5\r\nhelloXX0\r\n\r\n",
    b"5\r\nhello0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nContent-Length: 9\r\n\r\n",
    b"5\r\nhello\r\n0\r\n folded\r\n\r\n",
    b"5\r\nhello\r\n0\r\nbad\r\n\r\n",
    b"5;\xff\0\r\nhello\r\n0\r\n\r\n",
    b"f" * 17 + b"\r\nhello\r\n",
    b"f" * 40 + b"\r\nhello\r\n",
    b"\r\n5\r\nhello\r\n0\r\n\r\n",
    b"1\r\nh\r\n4\r\nello\r\n0\r\n\r\n",
)
_STARTS = (
    b"POST /a HTTP/1.1",
    b"POST /a HTTP/1.1",
    b"GET /a?b=c HTTP/1.1",
    b"HEAD / HTTP/1.1",
    b"POST /a HTTP/1.0",
    b"POST /a HTTP/2.0",
    b"POST /a HTTP/1.9",
    b"POST /a",
    b"POST  /a HTTP/1.1",
    b"POST /a b HTTP/1.1",
    b"POST /\xff HTTP/1.1",
    b"POST http://b/a HTTP/1.1",
    b"CONNECT a:80 HTTP/1.1",
    b"OPTIONS * HTTP/1.1",
    b" POST /a HTTP/1.1",
    b"\r\nPOST /a HTTP/1.1",
    b"PO(ST /a HTTP/1.1",
    b"PRI * HTTP/2.0",
    b"\x16\x03\x01",
)
_STATUS_LINES = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200 OK",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 100 Continue",
    b"HTTP/1.1 103 Early Hints",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 204 No Content",
    b"HTTP/1.1 304 Not Modified",
    b"HTTP/1.1 503 Service Unavailable",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 99 Low",
    b"HTTP/1.1 1000 High",
    b"HTTP/1.1 2x0 Odd",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.1  200 OK",
    b"http/1.1 200 OK",
    b"HTTP/1.1 200 \xff\0",
    b"200 OK",
)


# Fields and bodies that fit together.
_SOUND = (
    ((), b""),
    ((b"Content-Length: 5",), b"hello"),
    ((b"Content-Length: 0",), b""),
    ((b"content-length: 5, 5",), b"hello"),
    ((b"Transfer-Encoding: chunked",), b"5\r\nhello\r\n0\r\n\r\n"),
    ((b"Transfer-Encoding: Chunked",), b"2;a=b\r\nhe\r\n1\r\nl\r\n0\r\n\r\n"),
    ((b"Transfer-Encoding: chunked",), b"1\r\nh\r\n0\r\nX: y\r\n\r\n"),
)

# Share of messages that are sound, and of the parts of others that are odd.
_SOUND_SHARE = 0.5
_ODD_SHARE = 0.25


def _message(rng: random.Random, starts: tuple[bytes, ...]) -> bytes:
    fields, body = rng.choice(_SOUND)
    lines = [b"Host: a", *fields]
    start = starts[0]
    ends: tuple[bytes, ...] = _EOL[:1]
    if rng.random() >= _SOUND_SHARE:
        if rng.random() < _ODD_SHARE:
            start = rng.choice(starts)
        if rng.random() < _ODD_SHARE:
            lines[rng.randrange(len(lines))] = rng.choice(_FRAMING)
        if rng.random() < _ODD_SHARE:
            lines.append(rng.choice(_FRAMING))
        if rng.random() < _ODD_SHARE:
            lines += rng.choices(_FIELDS, k=2)
            rng.shuffle(lines)
        if rng.random() < _ODD_SHARE:
            body = rng.choice(_BODIES)
        if rng.random() < _ODD_SHARE:
            # Most lines of a head still end as they should.
            ends = _EOL
    head = b"".join(line + rng.choice(ends) for line in (start, *lines))
    return head + rng.choice(ends) + body


def _messages(rng: random.Random, starts: tuple[bytes, ...]) -> bytes:
    data = b"".join(
        _message(rng, starts) for _ in range(rng.choice((1, 2, 2, 3)))
    )
    share = rng.random()
    if share < 0.15:
        return data[: rng.randint(0, len(data))]
    return spans.damage(rng, data) if share < 0.3 else data


def requests(rng: random.Random) -> bytes:
    """Returns what a client may send over one connection."""
    return _messages(rng, _STARTS)


def responses(rng: random.Random) -> bytes:
    """Returns what an endpoint may send over one connection."""
    return _messages(rng, _STATUS_LINES)
