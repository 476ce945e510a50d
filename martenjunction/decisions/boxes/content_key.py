"""Identifies a request, or what it asks for, in evidence against it."""

import dataclasses

# Sizes of the two digests, in bytes.
CALLER_BYTES = 8
CONTENT_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ContentKey:
    """Identifies a request by caller and content.

    Values that differ between retries are left out. The two digests are kept
    separate, so that a forged hash collision affects only its own caller.

    Attributes:
        caller: The digest of the caller's key.
        content: The digest of method, host, path, query and body.
    """

    caller: bytes
    content: bytes

    def __str__(self) -> str:
        return f"{self.caller.hex()}-{self.content.hex()}"
