"""The claim table of one shard, without I/O."""

import dataclasses
from typing import Any

import pydantic

from martenjunction.claims import messages

# Seconds after its last change at which a claim expires.
CLAIM_TTL_S = 24 * 3600.0

# Maximum claims per shard. The platform accepts values of up to 1 MB, and a
# claim takes about 100 bytes.
MAX_CLAIMS = 8_000


@dataclasses.dataclass(slots=True)
class Entry:
    """A claimed key.

    Attributes:
        request_id: The request that claimed it.
        ran: Whether that request is known to have run.
        expires: Unix time of expiry in seconds.
    """

    request_id: str
    ran: bool
    expires: float


_ENTRIES = pydantic.TypeAdapter(dict[str, Entry])


class ClaimTable:
    """The claims of one shard by key."""

    def __init__(self, entries: dict[str, Entry] | None = None) -> None:
        self._entries = entries or {}

    def __len__(self) -> int:
        return len(self._entries)

    def copy(self) -> "ClaimTable":
        """Returns an independent copy."""
        return ClaimTable(
            {key: dataclasses.replace(e) for key, e in self._entries.items()}
        )

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimState:
        """Claims a key unless another request has claimed it.

        Args:
            claim: The claim.
            now: Unix time in seconds.
        """
        entry = self._entries.get(claim.key)
        if entry is None and len(self._entries) >= MAX_CLAIMS:
            return messages.ClaimState.UNAVAILABLE
        if entry is None or entry.expires <= now:
            self._entries[claim.key] = Entry(
                claim.request_id, False, now + CLAIM_TTL_S
            )
            return messages.ClaimState.CLAIMED
        if entry.request_id == claim.request_id:
            return messages.ClaimState.CLAIMED
        if entry.ran:
            return messages.ClaimState.RAN
        return messages.ClaimState.IN_PROGRESS

    def settle(self, settle: messages.Settle, now: float) -> bool:
        """Settles a claim; returns whether the table changed."""
        entry = self._entries.get(settle.key)
        if entry is None or entry.request_id != settle.request_id:
            return False
        if not settle.ran:
            del self._entries[settle.key]
            return True
        changed = not entry.ran
        entry.ran = True
        entry.expires = now + CLAIM_TTL_S
        return changed

    def expire(self, now: float) -> None:
        """Removes expired claims."""
        for key in [k for k, e in self._entries.items() if e.expires <= now]:
            del self._entries[key]

    def as_value(self) -> dict[str, Any]:
        """Returns the table as a value to store on the platform."""
        return {k: dataclasses.asdict(e) for k, e in self._entries.items()}

    @staticmethod
    def from_value(value: Any) -> "ClaimTable":
        """Returns the table of a value stored on the platform.

        Raises:
            pydantic.ValidationError: If the value is invalid.
        """
        return ClaimTable(_ENTRIES.validate_python(value or {}))
