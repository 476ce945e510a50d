"""How model engines are spoken to: chat completions over server-sent events.

The form of requests, chunks and `[DONE]` is the published one of the
chat/completions API; ids and resuming follow the server-sent events standard.
Whatever is particular to one engine stays in this module.
"""

import dataclasses
import json
from typing import Any

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import client
from martenjunction.endpoints import streams

CHAT_PATH = "/v1/chat/completions"
RUNS_PATH = "/v1/runs/"
LOAD_PATH = "/load"
DONE = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
ID_FIELD = b"id: "

# Answers by which an engine says that it did not start the request.
REFUSED_STATUS = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class ChatRequest:
    """A chat request on its way to an engine.

    Attributes:
        request_id: Its id; the engine repeats it.
        tier: 1 is the highest; engines honour it.
        body: The caller's body as parsed JSON.
    """

    request_id: str
    tier: int
    body: dict[str, Any]


def start(
    address: str, request: ChatRequest, delivered: "Delivered", once: bool
) -> client.EndpointRequest:
    """Returns the request that starts a run, or goes on with a broken one.

    Args:
        address: IP number and port of the engine.
        request: The request.
        delivered: What the caller already has.
        once: Whether it must never be sent twice.
    """
    body = dict(request.body, stream=True)
    if delivered.tokens:
        body["continue_from"] = {
            "tokens": delivered.tokens,
            "text": delivered.text(),
        }
    headers = [
        ("Content-Type", "application/json"),
        ("Accept", "text/event-stream"),
        (http_headers.REQUEST_ID, request.request_id),
        (http_headers.PRIORITY, f"u={request.tier}"),
    ]
    return client.EndpointRequest(
        "POST",
        f"http://{address}{CHAT_PATH}",
        headers,
        json.dumps(body).encode(),
        once,
    )


def resume(
    address: str, request: ChatRequest, delivered: "Delivered"
) -> client.EndpointRequest:
    """Returns the request that goes on with a run the engine still has."""
    headers = [
        ("Accept", "text/event-stream"),
        (http_headers.REQUEST_ID, request.request_id),
        (http_headers.LAST_EVENT_ID, str(delivered.tokens)),
    ]
    return client.EndpointRequest(
        "GET", f"http://{address}{RUNS_PATH}{request.request_id}", headers
    )


def cancel(address: str, request_id: str) -> client.EndpointRequest:
    """Returns the request that cancels a run."""
    return client.EndpointRequest(
        "DELETE", f"http://{address}{RUNS_PATH}{request_id}", []
    )


def check_head(head: streams.ResponseHead, request_id: str) -> None:
    """Accepts the head of an answer that belongs to a request.

    Raises:
        EndpointRefusedError: If the engine says that it did not start it.
        EndpointMismatchError: If the answer is to another request.
        EndpointBrokenError: If the engine failed.
    """
    if head.status in REFUSED_STATUS:
        raise errors.EndpointRefusedError(f"status {head.status}", head.rest_s)
    if head.status == 404:
        raise errors.EndpointBrokenError("the engine does not have the run")
    if head.status >= 500:
        raise errors.EndpointBrokenError(f"status {head.status}")
    if head.status >= 400:
        return
    answered = head.get(http_headers.REQUEST_ID)
    if answered != request_id:
        raise errors.EndpointMismatchError(f"the answer is to {answered!r}")


class Delivered:
    """What a caller has of a streamed answer, in whole events.

    Bytes go in as they come; whole events come out, each exactly once. Half
    an event is kept until its rest arrives, and is thrown away when the run
    is continued.
    """

    def __init__(self) -> None:
        self._tail = b""
        self._events: list[bytes] = []
        self._tokens = 0
        self._done = False

    @property
    def tokens(self) -> int:
        """The id of the last whole event: tokens that the caller has."""
        return self._tokens

    @property
    def done(self) -> bool:
        """Whether the end of the answer was seen."""
        return self._done

    def feed(self, data: bytes) -> bytes:
        """Takes bytes in; returns the whole events that they complete.

        Raises:
            EndpointMismatchError: If an event's number does not follow.
        """
        data = self._tail + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._tail = data
            return b""
        end += len(EVENT_END)
        whole = data[:end]
        self._tail = data[end:]
        self._count(whole)
        self._events.append(whole)
        return whole

    def drop_tail(self) -> None:
        """Forgets half an event, before the run is continued."""
        self._tail = b""

    def text(self) -> str:
        """Returns the text of all whole events."""
        return "".join(_content(chunk) for chunk in self.chunks())

    def chunks(self) -> list[dict[str, Any]]:
        """Returns the parsed chunks of all whole events.

        Raises:
            EndpointBrokenError: If one of them is not JSON.
        """
        parsed = []
        for event in b"".join(self._events).split(EVENT_END):
            data = _data_of(event)
            if not data or data == b"[DONE]":
                continue
            try:
                parsed.append(json.loads(data))
            except ValueError as error:
                raise errors.EndpointBrokenError(
                    "an event is not JSON"
                ) from error
        return parsed

    def _count(self, whole: bytes) -> None:
        numbered = whole.count(b"\n" + ID_FIELD)
        numbered += whole.startswith(ID_FIELD)
        if numbered:
            last = _last_id(whole)
            if last != self._tokens + numbered:
                raise errors.EndpointMismatchError(
                    f"event {last} follows event {self._tokens}"
                )
            self._tokens = last
        if whole.endswith(DONE):
            self._done = True


def _last_id(whole: bytes) -> int:
    start = whole.rfind(ID_FIELD) + len(ID_FIELD)
    line = whole[start : whole.index(b"\n", start)]
    try:
        return int(line)
    except ValueError as error:
        raise errors.EndpointMismatchError(
            "an event id is no number"
        ) from error


def _data_of(event: bytes) -> bytes:
    for line in event.split(b"\n"):
        if line.startswith(b"data:"):
            return line[len(b"data:") :].strip()
    return b""


def _content(chunk: dict[str, Any]) -> str:
    choices = chunk.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return str(delta.get("content") or "")


def assemble(delivered: Delivered) -> dict[str, Any]:
    """Makes one whole answer of a finished stream.

    Raises:
        EndpointBrokenError: If the stream holds no chunk.
    """
    chunks = delivered.chunks()
    if not chunks:
        raise errors.EndpointBrokenError("an answer without a chunk")
    last = chunks[-1]
    reason = (last.get("choices") or [{}])[0].get("finish_reason")
    return {
        "id": last.get("id"),
        "object": "chat.completion",
        "created": last.get("created"),
        "model": last.get("model"),
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": delivered.text(),
                },
                "finish_reason": reason,
            }
        ],
        "usage": last.get("usage"),
    }
