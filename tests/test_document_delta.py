"""Tests the delta encoding of documents."""

import tracemalloc
import zlib

import cbor2
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.peers import document_delta
from martenjunction_lab.spread import fleet

# Documents consist of few distinct pieces, so that many pieces are equal.
documents = st.lists(
    st.sampled_from([b'{"a":1}', b'{"b":2}', b",", b"}", b"[", b'{"c"']),
    max_size=30,
).map(b"".join)


# All runs of pieces that a document of two pieces has.
RUNS_OF_TWO_PIECES = ([0, 1], [0, 2], [1, 1])


@given(documents, documents)
def test_applying_a_delta_yields_the_document(
    base: bytes, target: bytes
) -> None:
    delta = document_delta.encode(base, target)
    assert document_delta.apply(base, delta) == target


@given(st.binary(max_size=200), documents)
def test_malformed_delta_is_rejected(delta: bytes, base: bytes) -> None:
    with pytest.raises(errors.PeerError):
        document_delta.apply(base, delta)


@given(
    st.recursive(
        st.integers() | st.text(max_size=3) | st.none(),
        lambda inner: st.lists(inner, max_size=3),
        max_leaves=10,
    )
)
@example([-1, 1])
def test_well_formed_delta_of_wrong_types_is_rejected(value: object) -> None:
    packed = zlib.compress(cbor2.dumps([[0, 2], value]))
    if value in RUNS_OF_TWO_PIECES:
        assert document_delta.apply(b"{}", packed)
        return
    with pytest.raises(errors.PeerError):
        document_delta.apply(b"{}", packed)


def test_delta_to_a_document_over_the_size_limit_is_rejected() -> None:
    base = b"x" * (document_delta.MAX_BYTES // 4)
    packed = zlib.compress(cbor2.dumps([[0, 1]] * 8))
    with pytest.raises(errors.PeerError, match="too large"):
        document_delta.apply(base, packed)


@pytest.mark.parametrize(
    ("base", "parts"),
    [
        (b"x" * 1024 * 1024, [[0, 1]] * 64),
        (b"", [b"x" * 64 * 1024 * 1024]),
    ],
    ids=["runs", "literal"],
)
def test_delta_to_a_large_document_takes_little_memory(
    base: bytes, parts: list[object]
) -> None:
    # 64 MiB are neither decompressed nor put together before they are refused.
    packed = zlib.compress(cbor2.dumps(parts), 1)
    tracemalloc.start()
    try:
        with pytest.raises(errors.PeerError):
            document_delta.apply(base, packed)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < 4 * document_delta.MAX_BYTES


def test_delta_is_small_for_a_small_change() -> None:
    base, target = fleet.document(7, 1452), fleet.document(8, 1452)
    assert len(document_delta.encode(base, target)) < len(target) // 100
    whole = document_delta.encode(b"", target)
    assert len(whole) < len(target) // 8
