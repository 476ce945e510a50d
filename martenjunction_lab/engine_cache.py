"""The prefix cache of a stand-in of a model engine."""

import collections
from typing import Any

from martenjunction.callers import prompts
from martenjunction.decisions.cells import placement


class PrefixCache:
    """Prompt blocks, the least recently used of them dropped first."""

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def clear(self) -> None:
        """Forgets all blocks."""
        self._blocks.clear()

    def take(self, body: dict[str, Any], most: int) -> int:
        """Takes a request's prompt in.

        Args:
            body: The request.
            most: Blocks that the cache may hold.

        Returns:
            Tokens of the prompt that it did not hold.
        """
        text = prompts.serialize_messages(body.get("messages", []))
        tokens = prompts.estimate_tokens(text)
        going_on = body.get("continue_from") or {}
        tokens += int(going_on.get("tokens", 0))
        for block in prompts.prefix_hashes(text):
            if block in self._blocks:
                tokens -= placement.BLOCK_TOKENS
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > most:
            self._blocks.popitem(last=False)
        return max(1, tokens)
