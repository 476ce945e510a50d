"""Keeps recent configuration documents and encodes deltas between them."""

import collections

import xxhash

from martenjunction import errors
from martenjunction.peers import document_delta
from martenjunction.routing.messages import peer_messages

# Number of documents kept as bases of deltas. A box that lacks more changes
# gets the full document. A document with 48 routes takes 15 kB.
MAX_DOCUMENTS = 4

# Base version that marks a full document.
NO_BASE = 0


class ConfigDocuments:
    """The latest configuration documents that were in force at this box.

    They are the bases of deltas for boxes with an earlier configuration.
    """

    def __init__(self) -> None:
        self._specs: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._updates: dict[int, peer_messages.ConfigUpdate] = {}

    def add(self, version: int, spec: bytes) -> None:
        """Adds the document that is now in force."""
        self._specs[version] = spec
        self._updates.clear()
        while len(self._specs) > MAX_DOCUMENTS:
            self._specs.popitem(last=False)

    def update_for(self, version: int) -> peer_messages.ConfigUpdate | None:
        """Returns the update for a box that has a given version.

        Args:
            version: The version in force there; 0 for none.

        Returns:
            The newest document, as a delta if that version's document is
            known; None if that version is up to date.
        """
        newest = next(reversed(self._specs), NO_BASE)
        if newest <= version:
            return None
        base = version if version in self._specs else NO_BASE
        if base not in self._updates:
            spec = self._specs[newest]
            self._updates[base] = peer_messages.ConfigUpdate(
                newest,
                base,
                _digest(spec),
                document_delta.encode(self._specs.get(base, b""), spec),
            )
        return self._updates[base]

    def latest_update(self) -> peer_messages.ConfigUpdate | None:
        """Returns the update for a box that lacks only the last change."""
        versions = list(self._specs)
        return self.update_for(versions[-2] if len(versions) > 1 else NO_BASE)

    def apply(self, update: peer_messages.ConfigUpdate) -> bytes | None:
        """Applies an update to its base document.

        Returns:
            The resulting document; None if the base is unknown.

        Raises:
            PeerError: If the update cannot be decoded or the digest of the
                result does not match.
        """
        if update.base != NO_BASE and update.base not in self._specs:
            return None
        base = self._specs.get(update.base, b"")
        spec = document_delta.apply(base, update.delta)
        if _digest(spec) != update.digest:
            raise errors.PeerError(
                "digest mismatch after applying a configuration delta"
            )
        return spec


def _digest(spec: bytes) -> int:
    return xxhash.xxh3_64_intdigest(spec)
