"""The objects of the platform's stand-in: revisions, changes, rate limits."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

# Changes that a watch can look back on.
MAX_CHANGES = 10_000


class Bucket:
    """A rate limit over calls of one kind."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at = time.monotonic()

    def take(self, rate: float) -> bool:
        """Takes one call; returns whether it was within the rate."""
        if rate <= 0:
            return True
        now = time.monotonic()
        self._tokens = min(rate, self._tokens + (now - self._at) * rate)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True)
class Kept:
    """An object of the store at one revision; `spec` is None when deleted."""

    kind: str
    name: str
    revision: int
    spec: Any

    def as_json(self) -> dict[str, Any]:
        """Returns it as the store tells it."""
        return {
            "metadata": {
                "name": self.name,
                "revision": self.revision,
                "created": 0,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": self.spec,
            "status": None,
        }


@dataclasses.dataclass(frozen=True)
class Copy:
    """All objects at one revision.

    Attributes:
        objects: By kind and name.
        version: The revision.
    """

    objects: dict[tuple[str, str], Kept]
    version: int


class ConflictError(Exception):
    """An object is not at the revision that a write named."""

    def __init__(self, held: Kept) -> None:
        super().__init__(f"{held.name} is at {held.revision}")
        self.held = held


class Objects:
    """Objects by kind and name, under one counter of revisions."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], Kept] = {}
        self._changes: collections.deque[Kept] = collections.deque()
        self._version = 0
        self._oldest = 0
        self._era = 1
        self._changed = asyncio.Event()

    @property
    def version(self) -> int:
        """The revision of the newest change."""
        return self._version

    @property
    def era(self) -> int:
        """How often all objects went back to a copy, from 1 on."""
        return self._era

    @property
    def changed(self) -> asyncio.Event:
        """Set at the next change; a new one takes its place then."""
        return self._changed

    def find(self, kind: str, name: str) -> Kept | None:
        """Returns an object that was not deleted."""
        held = self._objects.get((kind, name))
        return held if held is not None and held.spec is not None else None

    def write(
        self, kind: str, name: str, spec: Any, revision: int | None = None
    ) -> Kept:
        """Writes an object, or deletes it where `spec` is None.

        Args:
            kind: Its kind.
            name: Its name.
            spec: Its content.
            revision: The revision it must have, 0 if it must not be there;
                None for any.

        Raises:
            ConflictError: If it has another revision.
        """
        held = self.find(kind, name)
        current = held.revision if held is not None else 0
        if revision is not None and revision != current:
            raise ConflictError(held or Kept(kind, name, 0, None))
        if held is not None and held.spec == spec:
            return held
        self._version += 1
        kept = Kept(kind, name, self._version, spec)
        self._objects[(kind, name)] = kept
        self._changes.append(kept)
        if len(self._changes) > MAX_CHANGES:
            self._oldest = self._changes.popleft().revision
        self._wake()
        return kept

    def entries(self, kind: str, after: str) -> list[Kept]:
        """Returns the objects of a kind with names after one, in order."""
        return [
            kept
            for (its, name), kept in sorted(self._objects.items())
            if its == kind and name > after and kept.spec is not None
        ]

    def changes(self, kind: str, after: int) -> list[Kept] | None:
        """Returns the changes of a kind; None if the history is gone."""
        if after > self._version or after < self._oldest:
            return None
        return [
            kept
            for kept in self._changes
            if kept.kind == kind and kept.revision > after
        ]

    def forget_history(self) -> None:
        """Drops all changes."""
        self._changes.clear()
        self._oldest = self._version
        self._wake()

    def restore(self, kept: Kept) -> None:
        """Goes back to an older revision of one object, as from a backup."""
        self._objects[(kept.kind, kept.name)] = kept
        self._version = kept.revision
        self._changes.clear()
        self._oldest = 0
        self._wake()

    def copy(self) -> Copy:
        """Returns a copy of all objects."""
        return Copy(dict(self._objects), self._version)

    def go_back(self, copy: Copy) -> None:
        """Goes back to a copy: what was written since is gone.

        Its revisions are given out again; the history begins anew.
        """
        self._objects = dict(copy.objects)
        self._version = copy.version
        self._era += 1
        self._changes.clear()
        self._oldest = copy.version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
