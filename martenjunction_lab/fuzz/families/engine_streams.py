"""Streamed answers of engines, as the product's own daemon reads them."""

import json
import random
from typing import Any

from martenjunction import errors
from martenjunction.endpoints import engine_protocol
from martenjunction_lab.fuzz import odd_values
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets


def _chunk(content: str, reason: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": {"content": content}}
    return {
        "id": "r1",
        "created": 1,
        "model": "m",
        "choices": [{**choice, "finish_reason": reason}],
        "usage": {"completion_tokens": 2},
    }


def _sound() -> spans.Document:
    """Returns a stream whose events have chunks as their data."""
    data = b""
    values: list[spans.Span] = []
    members: list[spans.Span] = []
    names: list[spans.Span] = []
    for number, reason in ((1, None), (2, "stop")):
        chunk = spans.json_document(_chunk("a", reason), (), ())
        data += b"id: %d\ndata: " % number
        for found, added in (
            (values, chunk.values),
            (members, chunk.members),
            (names, chunk.names),
        ):
            found += [(a + len(data), b + len(data)) for a, b in added]
        data += chunk.data + b"\n\n"
    return spans.Document(
        data + b"data: [DONE]\n\n",
        tuple(values),
        tuple(members),
        tuple(names),
        odd_values.JSON,
        odd_values.LARGE_JSON,
    )


@targets.registered.register("engine-streams")
class EngineStreams(targets.Target):
    """Events with chunks of a completion."""

    declared = (errors.EndpointBrokenError, errors.EndpointMismatchError)
    _document = _sound()

    def generate(self, rng: random.Random) -> bytes:
        """Returns a stream."""
        return spans.mutate(rng, self._document)

    def check(self, data: bytes) -> None:
        """Assembles an answer; pieces change nothing."""
        whole = engine_protocol.Delivered()
        whole.feed(data)
        answer = json.dumps(engine_protocol.assemble(whole))
        cut = engine_protocol.Delivered()
        for piece in pieces.ways(data)[0]:
            cut.feed(piece)
        if json.dumps(engine_protocol.assemble(cut)) != answer:
            raise targets.OracleError("pieces change the answer")
