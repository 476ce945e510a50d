"""Rendezvous hashing (highest random weight)."""

from collections.abc import Iterable

import xxhash


def weight(member: str, key: str) -> int:
    """Returns the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())


def ranked(members: Iterable[str], key: str) -> list[str]:
    """Returns the members in descending order of weight, the owner first.

    Boxes that disagree on the live members still rank the members they have in
    common alike, and removing a member moves only the keys it owned.
    """
    return sorted(
        members, key=lambda member: (weight(member, key), member), reverse=True
    )


def owner(members: Iterable[str], key: str) -> str | None:
    """Returns the owner of a key, or None if there are no members."""
    return max(
        members,
        key=lambda member: (weight(member, key), member),
        default=None,
    )
