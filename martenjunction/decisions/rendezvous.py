"""Who owns what, by highest random weight, without any agreement."""

from collections.abc import Iterable

import xxhash


def weight(member: str, key: str) -> int:
    """Returns the 64-bit weight of a member for a key."""
    return xxhash.xxh3_64_intdigest(f"{member}\x00{key}".encode())


def ranked(members: Iterable[str], key: str) -> list[str]:
    """Returns the members, the owner of the key first.

    Members that disagree on who is alive still agree on the order of those
    they share, and a member that goes moves only the keys it owned.
    """
    return sorted(
        members, key=lambda member: (weight(member, key), member), reverse=True
    )


def owner(members: Iterable[str], key: str) -> str | None:
    """Returns the owner of a key, or None without members."""
    return max(
        members,
        key=lambda member: (weight(member, key), member),
        default=None,
    )
