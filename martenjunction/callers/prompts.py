"""Prompt length and prefix hashes without the model's tokenizer."""

import json
from typing import Any

import xxhash

from martenjunction.decisions.cells import placement

CHARACTERS_PER_TOKEN = 4
MAX_BLOCKS = 16


def serialize_messages(messages: list[Any]) -> str:
    """Serializes the messages of a chat to canonical JSON."""
    return json.dumps(messages, separators=(",", ":"), sort_keys=True)


def estimate_tokens(text: str) -> int:
    """Estimates the length of a text in tokens."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefix_hashes(text: str) -> tuple[int, ...]:
    """Returns a hash of each prefix of a text that ends at a block.

    Two prompts share as many leading hashes as they share whole leading
    blocks. A partial block at the end has no hash, and at most `MAX_BLOCKS`
    blocks are hashed.
    """
    size = placement.BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    blocks = []
    digest = xxhash.xxh32()
    for start in range(0, min(len(text) - size + 1, size * MAX_BLOCKS), size):
        digest.update(text[start : start + size].encode())
        blocks.append(digest.intdigest())
    return tuple(blocks)
