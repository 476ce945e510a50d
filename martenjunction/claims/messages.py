"""Messages between entry daemons and the owners of claim shards."""

import dataclasses
import enum

from martenjunction.peers import codec


class ClaimState(enum.StrEnum):
    """States of a claim.

    Attributes:
        CLAIMED: The claiming request may run.
        IN_PROGRESS: Another request claimed the key; its outcome is unknown.
        RAN: Another request with the key ran.
        UNAVAILABLE: The platform did not confirm the claim.
    """

    CLAIMED = "claimed"
    IN_PROGRESS = "in-progress"
    RAN = "ran"
    UNAVAILABLE = "unavailable"


@codec.message("claim")
@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """An entry daemon claims an idempotency key for a request.

    Attributes:
        shard: The shard of the key.
        key: A digest of the workspace and the idempotency key.
    """

    shard: int
    key: str
    request_id: str


@codec.message("claim-answer")
@dataclasses.dataclass(frozen=True, slots=True)
class ClaimAnswer:
    """The owner's answer to a claim."""

    request_id: str
    state: ClaimState


@codec.message("settle")
@dataclasses.dataclass(frozen=True, slots=True)
class Settle:
    """An entry daemon settles the claim of a request that ended.

    Attributes:
        ran: False only if the request certainly did not run.
    """

    shard: int
    key: str
    request_id: str
    ran: bool
