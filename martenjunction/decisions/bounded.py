"""Dictionaries of bounded size, for memory that others could make grow."""

from typing import TypeVar

K = TypeVar("K")
V = TypeVar("V")


def put(memory: dict[K, V], key: K, value: V, limit: int) -> None:
    """Adds or renews an item; the oldest ones are dropped beyond the limit.

    Args:
        memory: The items, the oldest first.
        key: The item's key.
        value: The item's value.
        limit: Maximum number of items.
    """
    memory.pop(key, None)
    while len(memory) >= limit:
        del memory[next(iter(memory))]
    memory[key] = value
