"""API keys and the workspaces that they belong to."""

import hashlib
import hmac

from martenjunction.config import fleet

BEARER = "Bearer "


def hash_key(key: str) -> str:
    """Returns the hash that the configuration stores for a key."""
    return hashlib.sha256(key.encode()).hexdigest()


class KeyTable:
    """Finds workspaces by the hashes of their keys."""

    def __init__(self, config: fleet.FleetConfig) -> None:
        """Initializes the table from a configuration."""
        self._by_hash = {
            digest.lower(): workspace
            for workspace in config.workspace.values()
            for digest in workspace.key_hashes
        }

    def find(self, authorization: str) -> fleet.Workspace | None:
        """Returns the workspace of an `Authorization` header, or None.

        The table is indexed by a digest of the key, so the timing of the
        look-up reveals nothing about the key; the digest that was found is
        compared in constant time.
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
