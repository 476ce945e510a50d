"""Revisions of the platform's store, which may be restored from a copy."""

import msgspec


class Revision(msgspec.Struct, frozen=True, order=True, gc=False):
    """A revision of the store, ordered by era and then by number.

    A store that is restored from an older copy reuses numbers, so numbers of
    different eras are not comparable. Ordering a revision against a plain
    number raises TypeError.

    Attributes:
        era: The store's era, which increases with each restore; 0 if unknown.
        number: The number within the era.
    """

    era: int
    number: int


# Sorts before every revision of the store.
NONE = Revision(0, 0)
