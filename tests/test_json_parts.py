"""Tests of splitting JSON, against the decoder of the standard library."""

import contextlib
import json
import time
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.platform import json_parts
from tests import odd_entries

text = st.text(st.sampled_from('"\\[]{},: a\n') | st.characters())
anything = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | text,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(text, inner, max_size=4)
    ),
    max_leaves=12,
)
indents = st.sampled_from([None, 0, 2])


def run(steps: json_parts.Steps[Any]) -> Any:
    """Returns the result of steps without sharing an event loop."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


def items_of(data: bytes) -> list[bytes]:
    """Returns the items of an array without sharing an event loop."""
    return [part for part in json_parts.items(data) if part is not None]


@given(st.lists(anything), indents, st.booleans())
def test_items_are_those_of_the_decoder(
    value: list[Any], indent: int | None, ascii_only: bool
) -> None:
    whole = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
    parts = items_of(whole.encode("utf-8", "surrogatepass"))
    # Compared as text, as NaN is not equal to itself.
    decoded = [json.loads(p.decode("utf-8", "surrogatepass")) for p in parts]
    assert repr(decoded) == repr(json.loads(whole))


@given(st.dictionaries(st.text(), anything), indents)
def test_members_are_those_of_the_decoder(
    value: dict[str, Any], indent: int | None
) -> None:
    whole = json.dumps(value, indent=indent).encode()
    parts = run(json_parts.members(whole))
    decoded = {key: json.loads(part) for key, part in parts.items()}
    assert repr(decoded) == repr(json.loads(whole))


@given(st.binary(max_size=40) | st.text('"\\[]{},:1 ').map(str.encode))
def test_other_bytes_are_split_or_malformed(data: bytes) -> None:
    with contextlib.suppress(errors.MalformedError):
        items_of(data)
    with contextlib.suppress(errors.MalformedError):
        run(json_parts.members(data))


@pytest.mark.parametrize("size", [1, 200, 4000])
@given(data=st.data())
def test_cut_document_is_malformed(size: int, data: st.DataObject) -> None:
    whole = b'{"a":[{"b":"%s"}]}' % (rb"\"" * size)
    cut = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(errors.MalformedError):
        run(json_parts.members(whole[:cut]))


@pytest.mark.parametrize("odd", odd_entries.CONTENT)
def test_part_that_no_decoder_reads_is_found(odd: str) -> None:
    content = odd_entries.CONTENT[odd]
    whole = b'[1, %s ,{"a":2}]' % content
    assert items_of(whole) == [b"1", content, b'{"a":2}']


@pytest.mark.parametrize(
    "content",
    [
        b"[" * 4_000_000,
        b'{"a":' * 800_000,
        b'"' + rb"\"" * 2_000_000,
        b'["' + rb"\"" * 2_000_000,
        b'"",' * 1_300_000,
    ],
    ids=["open", "objects", "escapes", "escapes within", "strings"],
)
def test_time_grows_with_the_size_alone(content: bytes) -> None:
    # 4 MB in a second or two, where quadratic time would take hours.
    began_at = time.monotonic()
    with pytest.raises(errors.MalformedError):
        items_of(b"[" + content)
    assert time.monotonic() - began_at < 20.0
