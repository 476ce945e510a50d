"""Tests the content keys that identify resent requests."""

import dataclasses

import pytest

from martenjunction.decisions.boxes import content_key
from martenjunction.http1 import messages
from martenjunction.platform import headers
from martenjunction.routing.access import request_content

FLEET = "one fleet"
REQUEST = messages.Request(
    b"POST",
    b"/chat/a?b=c",
    [
        (b"Host", b"api.example"),
        (b"Authorization", b"Bearer key-of-one"),
        (b"Martenjunction-Attempt-Id", b"r1"),
        (b"Martenjunction-Deadline-Ms", b"1500"),
    ],
    b"hello",
)


def key(
    request: messages.Request, fleet: str = FLEET
) -> content_key.ContentKey:
    keys = request_content.ContentKeys(fleet)
    return keys.key(request, headers.decode_request(request.headers))


def with_header(name: bytes, value: bytes) -> messages.Request:
    kept = [(n, v) for n, v in REQUEST.headers if n != name]
    return dataclasses.replace(REQUEST, headers=[*kept, (name, value)])


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Martenjunction-Attempt-Id", b"r2"),
        (b"Martenjunction-Deadline-Ms", b"700"),
        (b"Last-Event-Id", b"3"),
    ],
)
def test_values_that_differ_between_retries_are_ignored(
    name: bytes, value: bytes
) -> None:
    assert key(with_header(name, value)) == key(REQUEST)


@pytest.mark.parametrize(
    "other",
    [
        with_header(b"Host", b"other.example"),
        dataclasses.replace(REQUEST, method=b"PUT"),
        dataclasses.replace(REQUEST, target=b"/chat/a?b=d"),
        dataclasses.replace(REQUEST, body=b"hello!"),
        dataclasses.replace(REQUEST, target=b"/chat/a?b=ch", body=b"ello"),
    ],
)
def test_other_content_has_another_key(other: messages.Request) -> None:
    assert key(other).content != key(REQUEST).content
    assert key(other).caller == key(REQUEST).caller


def test_another_caller_has_another_key() -> None:
    other = key(with_header(b"Authorization", b"Bearer key-of-two"))
    assert other.caller != key(REQUEST).caller
    assert other.content == key(REQUEST).content


def test_keys_of_another_fleet_differ() -> None:
    assert key(REQUEST, "another fleet") != key(REQUEST)
