"""What entry daemons and the owners of claim shards say to one another."""

import dataclasses
import enum

from martenjunction.peers import codec


class ClaimState(enum.StrEnum):
    """What is known of a key.

    Attributes:
        CLAIMED: The asking request may run.
        IN_PROGRESS: Another request has the key, and its end is not known.
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
    """An entry daemon claims a key for a request.

    Attributes:
        shard: The shard of the key.
        key: A digest of workspace and key.
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
    """An entry daemon tells how the request that had a key ended.

    Attributes:
        ran: False only where it is certain that it did not run.
    """

    shard: int
    key: str
    request_id: str
    ran: bool
