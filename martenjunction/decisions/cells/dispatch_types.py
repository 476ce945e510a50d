"""Data types exchanged with a cell's dispatcher."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True)
class SlotRequest:
    """A request for a concurrency slot at an endpoint, without its body.

    All times are seconds on the clock of the dispatcher that holds it.

    Attributes:
        request_id: Unique in the fleet.
        entry: The box that terminates the caller's connection.
        tier: The priority tier; 1 is the highest.
        class_name: The service class.
        workspace: The workspace, for fair sharing within a tier.
        arrived: When the caller's request arrived.
        target: Seconds from arrival within which the first token is due.
        patience: Maximum predicted wait in seconds; it is shed beyond that.
        prompt_tokens: Estimated length of the prompt.
        expected_tokens: Estimated length of the answer.
        prefix: Hashes of the prompt's leading blocks, longest last.
        preemptible: Whether its run may be cancelled and continued.
        avoid: Endpoints that already failed to serve it.
        preemptions: How often it was preempted.
        zones: Availability zones preferred by the operator's policies.
        exempt_from_shedding: Whether it is exempt from shedding, since it was
            admitted before and then moved, preempted or retried.
    """

    request_id: str
    entry: str
    tier: int
    class_name: str
    workspace: str
    arrived: float
    target: float
    patience: float
    prompt_tokens: int = 1
    expected_tokens: float = 64.0
    prefix: tuple[int, ...] = ()
    preemptible: bool = False
    avoid: frozenset[str] = frozenset()
    preemptions: int = 0
    zones: tuple[str, ...] = ()
    exempt_from_shedding: bool = False

    @property
    def deadline(self) -> float:
        """When the first token is due."""
        return self.arrived + self.target

    @property
    def cost(self) -> float:
        """Cost in tokens, for fair sharing between workspaces."""
        return self.prompt_tokens * PREFILL_WEIGHT + self.expected_tokens


# Cost of a prompt token relative to a decoded one. Prompt tokens are processed
# in parallel and so cost far less.
PREFILL_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Run:
    """A granted request that occupies a slot at an endpoint.

    Attributes:
        ask: The granted request.
        endpoint: The endpoint that runs it.
        granted: When the slot was granted.
        predicted_first_token: Predicted seconds from grant to first token; 0
            if another dispatcher granted it.
        uncached: Predicted number of prompt tokens not in the cache.
        batch: Requests in flight at the endpoint when it was granted.
        first_token: When the first token was received, or None.
        cancelling: Whether it is being preempted.
        guaranteed: Whether it was granted through its tier's guaranteed
            share. It is then not preempted, which would defeat the share.
        stalled_s: Seconds since the grant in which this process was stalled.
    """

    ask: SlotRequest
    endpoint: str
    granted: float
    predicted_first_token: float = 0.0
    uncached: float = 1.0
    batch: int = 0
    first_token: float | None = None
    cancelling: bool = False
    guaranteed: bool = False
    stalled_s: float = 0.0

    def observed_s(self, now: float) -> float:
        """Returns the seconds since the grant, without stalls."""
        return now - self.granted - self.stalled_s


class ShedReason(enum.StrEnum):
    """Reasons for shedding a request."""

    DELAY = "predicted-delay"
    QUEUE_FULL = "queue-full"
    NO_ENDPOINT = "no-endpoint"


class Ending(enum.StrEnum):
    """Ways in which a run can end."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    REFUSED = "refused"
    NOT_REACHED = "not-reached"
    BROKEN = "broken"


# Endings that count as endpoint faults.
FAULTS = frozenset({Ending.NOT_REACHED, Ending.BROKEN})


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Grants a request a slot at an endpoint."""

    request_id: str
    entry: str
    endpoint: str
    predicted_first_token: float


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """Sheds a waiting request, which was not run.

    Attributes:
        retry_after: Seconds after which the caller may retry.
    """

    request_id: str
    entry: str
    reason: ShedReason
    retry_after: float


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """Preempts a running request in favor of a higher tier."""

    request_id: str
    entry: str
    endpoint: str
    for_tier: int


Decision = Grant | Shed | Preempt


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnd:
    """The end of a run, as observed by the entry daemon.

    Attributes:
        request_id: The request.
        ending: How it ended.
        first_token_s: Seconds from grant to the first token, or None.
        tokens: Tokens received.
        token_interval_s: Mean interval between tokens in seconds, or None.
        backoff_s: Back-off in seconds that the endpoint requested on refusal.
        answered: Whether the head of a response was received.
        limit_per_s: Rate limit announced by the endpoint in that response, in
            requests per second; None for no limit.
    """

    request_id: str
    ending: Ending
    first_token_s: float | None = None
    tokens: int = 0
    token_interval_s: float | None = None
    backoff_s: float = 0.0
    answered: bool = False
    limit_per_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """A delayed report by an endpoint on its own load.

    Attributes:
        endpoint: The endpoint.
        measured: Time of measurement on the dispatcher's clock.
        running: Requests in its batch.
        waiting: Requests in its own queue.
    """

    endpoint: str
    measured: float
    running: int
    waiting: int
