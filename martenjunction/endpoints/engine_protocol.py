"""Protocol of model engines: chat completions over server-sent events.

Requests, chunks and `[DONE]` follow the published chat/completions API; event
ids and resuming follow the server-sent events standard. Everything specific to
an engine is confined to this module.
"""

import dataclasses
import json
from typing import Any

from martenjunction import decoding
from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import client
from martenjunction.endpoints import event_stream
from martenjunction.endpoints import streams

CHAT_PATH = "/v1/chat/completions"
RUNS_PATH = "/v1/runs/"
LOAD_PATH = "/load"
DONE = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
ID_FIELD = b"id: "

# Maximum bytes of a response that are kept, so that another engine can continue
# it or it can be assembled.
MAX_KEPT_BYTES = 16 * 1024 * 1024

# Statuses with which an engine reports that it did not start the request.
REFUSED_STATUS = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class ChatRequest:
    """A chat request to an engine.

    Attributes:
        request_id: Request id, which the engine echoes.
        tier: Priority, honoured by engines; 1 is the highest.
        body: Parsed JSON body of the caller.
    """

    request_id: str
    tier: int
    body: dict[str, Any]


def start(
    address: str, request: ChatRequest, delivered: "Delivered", once: bool
) -> client.EndpointRequest:
    """Returns the request that starts a run or continues a broken one.

    Args:
        address: IP address and port of the engine.
        request: The request.
        delivered: Events already delivered to the caller.
        once: Whether the client must not retry the request.
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
    """Returns the request that resumes a run retained by the engine."""
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
    """Checks a response head.

    Raises:
        EndpointRefusedError: If the engine did not start the request.
        EndpointMismatchError: If the response is to another request.
        EndpointBrokenError: If the engine failed.
    """
    if head.status in REFUSED_STATUS:
        raise errors.EndpointRefusedError(
            f"status {head.status}", head.backoff_s
        )
    if head.status == 404:
        raise errors.EndpointBrokenError("the engine does not know the run")
    if head.status >= 500:
        raise errors.EndpointBrokenError(f"status {head.status}")
    if head.status >= 400:
        return
    answered = head.get(http_headers.REQUEST_ID)
    if answered != request_id:
        raise errors.EndpointMismatchError(f"response is to {answered!r}")


class Delivered:
    """Events of a streamed response that were delivered to the caller.

    Takes bytes as they arrive and returns complete events, each exactly once.
    An incomplete event is buffered until the rest arrives, and is discarded
    when the run is continued. Of a response that is too long to be kept, only
    the number of tokens is.
    """

    def __init__(self) -> None:
        self._tail = b""
        self._events: list[bytes] = []
        self._kept_bytes = 0
        self._is_kept = True
        self._tokens = 0
        self._done = False

    @property
    def tokens(self) -> int:
        """Id of the last complete event: number of tokens delivered."""
        return self._tokens

    @property
    def done(self) -> bool:
        """Whether the response is complete."""
        return self._done

    @property
    def is_kept(self) -> bool:
        """Whether all events are kept, rather than too long for that."""
        return self._is_kept

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the events that are now complete.

        Raises:
            EndpointBrokenError: If an event exceeds the maximum size.
            EndpointMismatchError: If an event id is out of sequence.
        """
        data = self._tail + data
        end = data.rfind(EVENT_END)
        end = 0 if end < 0 else end + len(EVENT_END)
        if len(data) - end > event_stream.MAX_EVENT_BYTES:
            raise errors.EndpointBrokenError("event too large")
        self._tail = data[end:]
        if not end:
            return b""
        whole = data[:end]
        self._check_sequence(whole)
        self._keep(whole)
        return whole

    def drop_tail(self) -> None:
        """Discards an incomplete event before a run continues."""
        self._tail = b""

    def text(self) -> str:
        """Returns the text of all complete events."""
        return "".join(_extract_content(chunk) for chunk in self.chunks())

    def chunks(self) -> list[dict[str, Any]]:
        """Returns the parsed chunks of all complete events.

        Raises:
            EndpointBrokenError: If an event is not a JSON object.
        """
        parsed = []
        for event in b"".join(self._events).split(EVENT_END):
            data = _extract_data(event)
            if not data or data == b"[DONE]":
                continue
            try:
                chunk = decoding.lenient_value_from_json(data)
            except errors.MalformedError as error:
                raise errors.EndpointBrokenError(
                    "event is not valid JSON"
                ) from error
            if not isinstance(chunk, dict):
                raise errors.EndpointBrokenError("event is not an object")
            parsed.append(chunk)
        return parsed

    def _keep(self, whole: bytes) -> None:
        self._kept_bytes += len(whole)
        self._is_kept = self._kept_bytes <= MAX_KEPT_BYTES
        if self._is_kept:
            self._events.append(whole)
        else:
            self._events.clear()

    def _check_sequence(self, whole: bytes) -> None:
        numbered = whole.count(b"\n" + ID_FIELD)
        numbered += whole.startswith(ID_FIELD)
        if numbered:
            last = _parse_last_id(whole)
            if last != self._tokens + numbered:
                raise errors.EndpointMismatchError(
                    f"event {last} follows event {self._tokens}"
                )
            self._tokens = last
        if whole.endswith(DONE):
            self._done = True


def _parse_last_id(whole: bytes) -> int:
    start = whole.rfind(ID_FIELD) + len(ID_FIELD)
    line = whole[start : whole.index(b"\n", start)]
    try:
        return int(line)
    except ValueError as error:
        raise errors.EndpointMismatchError(
            "event id is not a number"
        ) from error


def _extract_data(event: bytes) -> bytes:
    for line in event.split(b"\n"):
        if line.startswith(b"data:"):
            return line[len(b"data:") :].strip()
    return b""


def _first_choice(chunk: dict[str, Any]) -> dict[str, Any]:
    """Returns the first choice of a chunk; {} if it has none."""
    choices = chunk.get("choices")
    first = choices[0] if isinstance(choices, list) and choices else {}
    return first if isinstance(first, dict) else {}


def _extract_content(chunk: dict[str, Any]) -> str:
    delta = _first_choice(chunk).get("delta")
    content = delta.get("content") if isinstance(delta, dict) else None
    return content if isinstance(content, str) else ""


def assemble(delivered: Delivered) -> dict[str, Any]:
    """Assembles a complete response from a finished stream.

    Raises:
        EndpointBrokenError: If the stream contains no chunk.
    """
    chunks = delivered.chunks()
    if not chunks:
        raise errors.EndpointBrokenError("response without a chunk")
    last = chunks[-1]
    reason = _first_choice(last).get("finish_reason")
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
