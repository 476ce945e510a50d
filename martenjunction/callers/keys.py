"""Which workspace a key belongs to."""

import hashlib
import hmac

from martenjunction.config import fleet

BEARER = "Bearer "


def hash_key(key: str) -> str:
    """Returns the hash under which a key is configured."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyTable:
    """Finds workspaces by the hashes of their keys."""

    def __init__(self, config: fleet.FleetConfig) -> None:
        """Builds the table for a configuration."""
        self._by_hash = {
            digest.lower(): workspace
            for workspace in config.workspace.values()
            for digest in workspace.key_hashes
        }

    def find(self, authorization: str) -> fleet.Workspace | None:
        """Returns the workspace of an `Authorization` header, or None.

        The look-up is by a digest of the key, so its time tells nothing of
        the key itself; the digest found is compared in constant time.
        """
        if not authorization.startswith(BEARER):
            return None
        digest = hash_key(authorization[len(BEARER) :].strip())
        workspace = self._by_hash.get(digest)
        if workspace is None:
            return None
        matches = [
            hmac.compare_digest(digest, known.lower())
            for known in workspace.key_hashes
        ]
        return workspace if any(matches) else None
