"""One request in a stand-in of a model engine, and its events."""

import asyncio
import json
import time
from typing import Any

from martenjunction.endpoints import engine_protocol
from martenjunction_lab import answers


class Run:
    """One request in an engine."""

    def __init__(
        self,
        request_id: str,
        priority: int,
        body: dict[str, Any],
        prefill_left: float,
    ) -> None:
        self.request_id = request_id
        self.priority = priority
        self.model = str(body.get("model", ""))
        self.mark = answers.mark_of(body.get("messages", []))
        self.length = answers.length_of(body)
        going_on = body.get("continue_from") or {}
        self.first = int(going_on.get("tokens", 0))
        self.made = self.first
        self.prefill_left = prefill_left
        self.cancelled = False
        self.changed = asyncio.Event()
        self.readers = 0
        self.orphaned_at = time.monotonic()

    @property
    def done(self) -> bool:
        """Whether all tokens were made."""
        return self.made >= self.length

    def event(self, index: int) -> bytes:
        """Returns the event of one token."""
        data = self._chunk({"content": answers.token(self.mark, index)}, None)
        return f"id: {index}\ndata: {data}\n\n".encode()

    def closing(self) -> bytes:
        """Returns the last events of a whole answer."""
        data = self._chunk({}, "stop", {"completion_tokens": self.length})
        return f"data: {data}\n\n".encode() + engine_protocol.DONE

    def _chunk(
        self,
        delta: dict[str, str],
        reason: str | None,
        usage: dict[str, int] | None = None,
    ) -> str:
        chunk: dict[str, Any] = {
            "id": f"chatcmpl-{self.request_id}",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": reason}],
        }
        if usage is not None:
            chunk["usage"] = usage
        return json.dumps(chunk, separators=(",", ":"))
