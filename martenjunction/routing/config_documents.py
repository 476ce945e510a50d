"""The documents of the last configurations, and how they differ."""

import collections

import xxhash

from martenjunction import errors
from martenjunction.peers import document_delta
from martenjunction.routing import peer_messages

# Documents that are kept to tell differences from: a box that lacks more
# changes gets the whole one. One takes 15 kB with 48 routes.
KEPT = 4

# The base of a whole document.
NO_BASE = 0


class ConfigDocuments:
    """What one box has had in force, for boxes that have it still."""

    def __init__(self) -> None:
        self._specs: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self._news: dict[int, peer_messages.ConfigNews] = {}

    def keep(self, version: int, spec: bytes) -> None:
        """Keeps a document that is in force now."""
        self._specs[version] = spec
        self._news.clear()
        while len(self._specs) > KEPT:
            self._specs.popitem(last=False)

    def news_for(self, version: int) -> peer_messages.ConfigNews | None:
        """Returns what a box with a version has to be told.

        Args:
            version: The version that it has in force; 0 for none.

        Returns:
            The newest document, as what differs from that version where it is
            known; None if that version is as new.
        """
        newest = next(reversed(self._specs), NO_BASE)
        if newest <= version:
            return None
        base = version if version in self._specs else NO_BASE
        if base not in self._news:
            spec = self._specs[newest]
            self._news[base] = peer_messages.ConfigNews(
                newest,
                base,
                _digest(spec),
                document_delta.encode(self._specs.get(base, b""), spec),
            )
        return self._news[base]

    def news_of_last(self) -> peer_messages.ConfigNews | None:
        """Returns what a box has to be told that lacks the last change only."""
        versions = list(self._specs)
        return self.news_for(versions[-2] if len(versions) > 1 else NO_BASE)

    def document_in(self, news: peer_messages.ConfigNews) -> bytes | None:
        """Returns the document that news lead to; None if the base is unknown.

        Raises:
            PeerError: If they cannot be read or lead elsewhere.
        """
        if news.base != NO_BASE and news.base not in self._specs:
            return None
        base = self._specs.get(news.base, b"")
        spec = document_delta.apply(base, news.difference)
        if _digest(spec) != news.digest:
            raise errors.PeerError("a configuration with another digest")
        return spec


def _digest(spec: bytes) -> int:
    return xxhash.xxh3_64_intdigest(spec)
