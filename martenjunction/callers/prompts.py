"""What can be told of a prompt without the model's own tokenizer."""

import json
from typing import Any

import xxhash

from martenjunction.decisions.cells import placement

CHARACTERS_PER_TOKEN = 4
MAX_BLOCKS = 16


def text_of(messages: list[Any]) -> str:
    """Returns the text of a chat's messages, in one stable form."""
    return json.dumps(messages, separators=(",", ":"), sort_keys=True)


def count_tokens(text: str) -> int:
    """Returns an estimate of a text's length in tokens."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def prefix_blocks(text: str) -> tuple[int, ...]:
    """Returns a hash of each leading part of a text, in whole blocks.

    Two prompts share as many leading hashes as they share whole blocks.
    """
    size = placement.BLOCK_TOKENS * CHARACTERS_PER_TOKEN
    blocks = []
    digest = xxhash.xxh32()
    for start in range(0, min(len(text) - size + 1, size * MAX_BLOCKS), size):
        digest.update(text[start : start + size].encode())
        blocks.append(digest.intdigest())
    return tuple(blocks)
