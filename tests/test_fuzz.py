"""Decoders under odd inputs, and the fuzzer that makes them.

Guards against a decoder that raises what its callers do not expect, takes a
message otherwise than it was sent, or takes long over a short input.
"""

from collections.abc import Callable
import json
import pathlib
import random
import time
from typing import Any

import h11
import pytest

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import event_stream
from martenjunction.http1 import framing
from martenjunction.http1 import messages
from martenjunction.http1 import request_input
from martenjunction.http1 import response_parser
from martenjunction.peers import document_delta
from martenjunction.platform import box_settings
from martenjunction.platform import documents
from martenjunction.platform import stream_documents
from martenjunction_lab.fuzz import corpus
from martenjunction_lab.fuzz import families
from martenjunction_lab.fuzz import minimiser
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import runs
from martenjunction_lab.fuzz import session
from martenjunction_lab.fuzz import targets

SEED = 89
COUNT = 4000
# Targets whose inputs take longer.
COUNTS = {"box-settings": 800, "http-requests": 1200, "http-responses": 1500}

CORPUS = list(corpus.read())


@pytest.mark.parametrize("name", list(targets.registered))
def test_odd_inputs_show_no_fault(name: str) -> None:
    run = runs.run(name, SEED, count=COUNTS.get(name, COUNT))
    assert not run.findings, [(f.fault, f.data[:300]) for f in run.findings]
    assert run.inputs >= min(COUNTS.values())


@pytest.mark.parametrize(
    ("name", "data"),
    [(name, data) for name, _, data in CORPUS],
    ids=[f"{name}-{case}" for name, case, _ in CORPUS],
)
def test_kept_input_shows_no_fault(name: str, data: bytes) -> None:
    assert targets.judge(targets.registered.get(name)(), data) == ""


def test_every_folder_of_the_corpus_has_a_target() -> None:
    folders = {path.name for path in corpus.FOLDER.iterdir()}
    assert folders <= set(targets.registered)
    assert len(CORPUS) == len(list(corpus.FOLDER.glob("*/*")))


def _takes_all(request: messages.Request, max_body_bytes: int) -> int | None:
    if messages.header(request.headers, b"transfer-encoding") is not None:
        return None
    return int(messages.header(request.headers, b"content-length") or 0)


def _ends_cut_bodies(parser: response_parser.ResponseParser) -> object:
    try:
        return _next_event(parser)
    except errors.ConnectionLostError:
        return h11.EndOfMessage()


_next_event = response_parser.ResponseParser.next_event
_decode_endpoint = documents.decode_endpoint
_encode_records = stream_documents.encode_records
_read_head = request_input.RequestInput.next_event


def _skips_data(received: request_input.RequestInput) -> object:
    """Loses a part of a body that arrived in pieces."""
    event = _read_head(received)
    if isinstance(event, h11.Data) and len(event.data) == 2:
        return h11.Data(data=b"")
    return event


def _decodes_slowly(name: str, spec: bytes) -> object:
    until = time.thread_time() + 1.5 * targets.MAX_INPUT_S
    while time.thread_time() < until:
        pass
    return _decode_endpoint(name, spec)


def _forgets_lifetimes(records: Any) -> dict[str, Any]:
    mapping = _encode_records(records)
    return {**mapping, "left_ms": [0] * len(mapping["left_ms"])}


BROKEN: dict[str, tuple[str, Any, str, object, str]] = {
    "ambiguous framing": (
        "http-requests",
        framing,
        "check",
        _takes_all,
        "rule: ambiguous framing is taken",
    ),
    "lost data of a request": (
        "http-requests",
        request_input.RequestInput,
        "next_event",
        _skips_data,
        "rule: pieces change what is read",
    ),
    "cut response": (
        "http-responses",
        response_parser.ResponseParser,
        "next_event",
        _ends_cut_bodies,
        "rule: a response is read otherwise",
    ),
    "pieces of an event": (
        "event-streams",
        event_stream,
        "_SEPARATOR_BYTES",
        1,
        "rule: pieces change the events",
    ),
    "difference": (
        "delta-documents",
        document_delta,
        "_piece_at",
        lambda found, number: found[number - 2],
        "rule: a difference loses something",
    ),
    "encoder": (
        "stream-records",
        stream_documents,
        "encode_records",
        _forgets_lifetimes,
        "rule: records change when they are encoded",
    ),
    "undeclared error": (
        "endpoint-notices",
        http_headers,
        "parse_decimal",
        float,
        "undeclared: ValueError in notices.py:_decimals",
    ),
    "type of a setting": (
        "box-settings",
        box_settings,
        "_text",
        lambda value: value,
        "rule: a text setting is no text",
    ),
    "slow decoder": (
        "endpoint-entries",
        documents,
        "decode_endpoint",
        _decodes_slowly,
        "slow",
    ),
}


@pytest.mark.parametrize("case", list(BROKEN))
def test_fault_made_by_hand_is_found(
    monkeypatch: pytest.MonkeyPatch, case: str
) -> None:
    name, owner, attribute, replacement, fault = BROKEN[case]
    monkeypatch.setattr(minimiser, "MAX_TRIALS", 0)
    monkeypatch.setattr(owner, attribute, replacement)
    target = targets.registered.get(name)()
    rng = random.Random(SEED)
    found = (targets.judge(target, target.generate(rng)) for _ in range(3000))
    assert any(seen == fault for seen in found)


def _shows(needed: bytes) -> Callable[[bytes], bool]:
    return lambda data: all(bytes([byte]) in data for byte in needed)


def test_minimiser_leaves_only_what_shows_the_fault() -> None:
    data = bytes(range(256)) * 8
    small = minimiser.shrink(data, _shows(b"\x07\xf0"))
    assert sorted(small) == [0x07, 0xF0]


def test_minimiser_gives_up_in_time() -> None:
    trials = []

    def shows(data: bytes) -> bool:
        trials.append(data)
        return len(data) > 990

    small = minimiser.shrink(bytes(1000), shows, max_trials=50)
    assert len(trials) <= 50
    assert shows(small)


def test_equal_seeds_give_equal_inputs_and_others_do_not() -> None:
    target = families.http_requests.HttpRequests()
    first, again, other = (
        [target.generate(random.Random(seed)) for _ in range(5)]
        for seed in (1, 1, 2)
    )
    assert first == again != other


@pytest.mark.parametrize(
    ("fields", "ambiguous"),
    [
        (b"Content-Length: 5,\r\n 5", False),
        (b"Content-Length: 5\r\n\t, 6", True),
        (b"Content-Length: 5\n , 6", True),
        (b"Content-Length: 5, 5", False),
        (b"Content-Length: 5, 6", True),
        (b"Content-Length:\r\n 5\r\nTransfer-Encoding: chunked", True),
        (b"X: y\r\n Transfer-Encoding: a\r\nContent-Length: 5", False),
    ],
)
def test_field_that_goes_on_in_the_next_line_counts_whole(
    fields: bytes, ambiguous: bool
) -> None:
    head = b"POST / HTTP/1.1\r\n" + fields + b"\r\n\r\n"
    assert families.http_requests.is_ambiguous(head) == ambiguous


def test_pieces_are_what_was_cut() -> None:
    for size in (0, 1, 2, 100):
        data = bytes(range(size))
        for cut in pieces.ways(data):
            assert b"".join(cut) == data
            assert b"" not in cut


def test_session_writes_lines_a_plot_and_findings(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(http_headers, "parse_decimal", float)
    names = ["endpoint-notices", "request-headers"]
    assert session.play(names, 1.0, 200, SEED, tmp_path) == 1
    lines = capsys.readouterr().out.splitlines()
    assert (tmp_path / "runs.jsonl").read_text().splitlines() == lines
    assert [json.loads(line)["target"] for line in lines] == names
    assert json.loads(lines[0])["findings"]
    assert (tmp_path / "runs.png").stat().st_size
    found = list(corpus.read(tmp_path / "findings"))
    assert found
    for name, _, data in found:
        assert targets.judge(targets.registered.get(name)(), data)
