"""Results of requests, for the caller, the log and the metrics."""

import dataclasses
import enum

from martenjunction.decisions import outcomes


class FailureCode(enum.StrEnum):
    """Stable error codes for callers."""

    SHED = "shed"
    NO_ENDPOINT = "no-endpoint"
    TIME_LIMIT = "time-limit"
    ENDPOINT_FAILED = "endpoint-failed"
    CALLER_LEFT = "caller-left"
    LEAVING = "box-leaving"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    ALREADY_CLAIMED = "already-claimed"
    ALREADY_RAN = "already-ran"
    INTERNAL = "internal-error"


# HTTP status of each failure, if no part of a response was sent yet.
STATUS = {
    FailureCode.SHED: 503,
    FailureCode.NO_ENDPOINT: 503,
    FailureCode.TIME_LIMIT: 504,
    FailureCode.ENDPOINT_FAILED: 502,
    FailureCode.CALLER_LEFT: 499,
    FailureCode.LEAVING: 503,
    FailureCode.CLAIM_UNAVAILABLE: 503,
    FailureCode.ALREADY_CLAIMED: 409,
    FailureCode.ALREADY_RAN: 409,
    FailureCode.INTERNAL: 500,
}


@dataclasses.dataclass(slots=True)
class Result:
    """Result of a request.

    Attributes:
        outcome: How far the request was executed.
        code: Error code, or None.
        message: Human-readable error message.
        retry_after: Seconds after which the caller may retry, or None.
        endpoint: The last endpoint.
        attempts: Number of times it was sent.
        preemptions: Number of times it was preempted.
        tokens: Number of tokens delivered to the caller.
        first_token_s: Seconds from arrival to the first token, or None.
        duration_s: Seconds from arrival to the end.
    """

    outcome: outcomes.Outcome
    code: FailureCode | None = None
    message: str = ""
    retry_after: float | None = None
    endpoint: str = ""
    attempts: int = 0
    preemptions: int = 0
    tokens: int = 0
    first_token_s: float | None = None
    duration_s: float = 0.0

    @property
    def token_interval_s(self) -> float | None:
        """Mean seconds between tokens, or None for fewer than two."""
        if self.first_token_s is None or self.tokens < 2:
            return None
        return (self.duration_s - self.first_token_s) / (self.tokens - 1)

    def meets_targets(self, first_token: float, between_tokens: float) -> bool:
        """Returns whether the targets of a service class were met.

        Args:
            first_token: Target for the first token, in seconds.
            between_tokens: Target between tokens, in seconds.
        """
        if self.outcome is not outcomes.Outcome.DONE:
            return False
        if self.first_token_s is None or self.first_token_s > first_token:
            return False
        interval = self.token_interval_s
        return interval is None or interval <= between_tokens
