"""The claims of one shard, and what each change makes of them; pure."""

import dataclasses
from typing import Any

import pydantic

from martenjunction.claims import messages

# Seconds for which a claim stands after it was last written.
LIFETIME = 24 * 3600.0

# Claims that one shard holds: the platform takes values up to a megabyte, and
# a claim takes about a hundred bytes.
MAX_CLAIMS = 8_000


@dataclasses.dataclass(slots=True)
class Entry:
    """One claimed key.

    Attributes:
        request_id: The request that has it.
        ran: Whether that request is known to have run.
        expires: Wall-clock time, in seconds since 1970.
    """

    request_id: str
    ran: bool
    expires: float


_ENTRIES = pydantic.TypeAdapter(dict[str, Entry])


class ClaimTable:
    """All claims of one shard."""

    def __init__(self, entries: dict[str, Entry] | None = None) -> None:
        self._entries = entries or {}

    def __len__(self) -> int:
        return len(self._entries)

    def copy(self) -> "ClaimTable":
        """Returns a table that can be changed without changing this one."""
        return ClaimTable(
            {key: dataclasses.replace(e) for key, e in self._entries.items()}
        )

    def claim(self, claim: messages.Claim, now: float) -> messages.ClaimState:
        """Claims a key, unless another request has it.

        Args:
            claim: The claim.
            now: Wall-clock time, in seconds since 1970.
        """
        entry = self._entries.get(claim.key)
        if entry is None and len(self._entries) >= MAX_CLAIMS:
            return messages.ClaimState.UNAVAILABLE
        if entry is None or entry.expires <= now:
            self._entries[claim.key] = Entry(
                claim.request_id, False, now + LIFETIME
            )
            return messages.ClaimState.CLAIMED
        if entry.request_id == claim.request_id:
            return messages.ClaimState.CLAIMED
        if entry.ran:
            return messages.ClaimState.RAN
        return messages.ClaimState.IN_PROGRESS

    def settle(self, settle: messages.Settle, now: float) -> bool:
        """Notes how a request ended; returns whether that changed anything."""
        entry = self._entries.get(settle.key)
        if entry is None or entry.request_id != settle.request_id:
            return False
        if not settle.ran:
            del self._entries[settle.key]
            return True
        changed = not entry.ran
        entry.ran = True
        entry.expires = now + LIFETIME
        return changed

    def expire(self, now: float) -> None:
        """Forgets claims whose time has passed."""
        for key in [k for k, e in self._entries.items() if e.expires <= now]:
            del self._entries[key]

    def as_value(self) -> dict[str, Any]:
        """Returns the table in the form that the platform keeps."""
        return {k: dataclasses.asdict(e) for k, e in self._entries.items()}

    @staticmethod
    def from_value(value: Any) -> "ClaimTable":
        """Reads a table that the platform kept.

        Raises:
            pydantic.ValidationError: If it is not one.
        """
        return ClaimTable(_ENTRIES.validate_python(value or {}))
