"""Answers that can be checked: every token says whose it is and which."""

import dataclasses
import hashlib
import json
from typing import Any

MARK_LENGTH = 8
SHORTEST = 4


def mark_of(messages: list[Any]) -> str:
    """Returns the mark that every token of an answer bears."""
    text = json.dumps(messages, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:MARK_LENGTH]


def token(mark: str, index: int) -> str:
    """Returns one token; the first has index 1."""
    return f"{mark}-{index} "


def length_of(body: dict[str, Any]) -> int:
    """Returns how many tokens an engine answers with.

    The length is drawn from the prompt, so that nobody knows it in advance
    and every engine comes to the same; `answer_tokens` sets it.
    """
    if "answer_tokens" in body:
        return max(1, int(body["answer_tokens"]))
    mark = mark_of(body.get("messages", []))
    limit = int(body.get("max_tokens") or 64)
    return SHORTEST + int(mark, 16) % max(1, limit - SHORTEST + 1)


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What a caller's check of an answer found.

    Attributes:
        whole: Whether every token is there, once and in order.
        tokens: Tokens that were there.
        reason: What is wrong, or an empty string.
    """

    whole: bool
    tokens: int
    reason: str = ""


def check(text: str, body: dict[str, Any]) -> Verdict:
    """Checks the text of an answer against the request."""
    mark = mark_of(body.get("messages", []))
    parts = text.split()
    for number, part in enumerate(parts, start=1):
        if part != token(mark, number).strip():
            return Verdict(False, number - 1, f"token {number} is {part!r}")
    wanted = length_of(body)
    if len(parts) != wanted:
        return Verdict(False, len(parts), f"{len(parts)} of {wanted} tokens")
    return Verdict(True, len(parts))
