"""The messages between a cell's dispatcher and those who wait on it."""

import dataclasses
import enum


@dataclasses.dataclass(slots=True)
class Ask:
    """A request's wish for a place at an endpoint; never holds its body.

    All times are seconds on the clock of the dispatcher that holds it.

    Attributes:
        request_id: Unique in the fleet.
        entry: The box that holds the caller's connection.
        tier: 1 is the highest.
        class_name: The service class.
        workspace: The workspace, for fairness inside a tier.
        arrived: When the caller's request came in.
        target: Seconds from arrival within which the first token is due.
        patience: Longest predicted wait, in seconds, before it is shed.
        prompt_tokens: Estimated length of the prompt.
        expected_tokens: Estimated length of the answer.
        prefix: Hashes of the prompt's leading blocks, longest last.
        preemptible: Whether its run may be cancelled and continued.
        avoid: Endpoints that already failed it.
        preemptions: How often it was preempted.
        zones: Availability zones that the operator's policy prefers.
        firm: Whether it was accepted before (moved, preempted or retried),
            so that it is not shed again.
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
    firm: bool = False

    @property
    def deadline(self) -> float:
        """When the first token is due."""
        return self.arrived + self.target

    @property
    def cost(self) -> float:
        """Work in tokens, for fairness between workspaces."""
        return self.prompt_tokens * PREFILL_WEIGHT + self.expected_tokens


# A prompt token is processed in parallel and costs far less than one decoded.
PREFILL_WEIGHT = 0.1


@dataclasses.dataclass(slots=True)
class Run:
    """A granted request that holds a place at an endpoint.

    Attributes:
        ask: The ask that was granted.
        endpoint: Where it runs.
        granted: When the place was granted.
        predicted_first_token: Seconds predicted when it was granted; 0 where
            another dispatcher granted it.
        uncached: Prompt tokens that were not in the cache, as predicted.
        batch: Requests that ran there when it was granted.
        first_token: When the first token was seen, or None.
        cancelling: Whether it was told to give its place up.
        guaranteed: Whether it got its place by the share of its tier, so that
            it is not preempted: the share would be worth nothing otherwise.
    """

    ask: Ask
    endpoint: str
    granted: float
    predicted_first_token: float = 0.0
    uncached: float = 1.0
    batch: int = 0
    first_token: float | None = None
    cancelling: bool = False
    guaranteed: bool = False


class ShedReason(enum.StrEnum):
    """Why a request was shed."""

    DELAY = "predicted-delay"
    QUEUE_FULL = "queue-full"
    NO_ENDPOINT = "no-endpoint"


class Ending(enum.StrEnum):
    """How a run ended."""

    COMPLETE = "complete"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"
    REFUSED = "refused"
    NOT_REACHED = "not-reached"
    BROKEN = "broken"


# Endings that speak against the endpoint.
FAULTS = frozenset({Ending.NOT_REACHED, Ending.BROKEN})


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """A place at an endpoint is given to a request."""

    request_id: str
    entry: str
    endpoint: str
    predicted_first_token: float


@dataclasses.dataclass(slots=True, frozen=True)
class Shed:
    """A waiting request is given up; it was not run.

    Attributes:
        retry_after: Seconds after which the caller may come back.
    """

    request_id: str
    entry: str
    reason: ShedReason
    retry_after: float


@dataclasses.dataclass(slots=True, frozen=True)
class Preempt:
    """A running request has to give up its place for a higher tier."""

    request_id: str
    entry: str
    endpoint: str
    for_tier: int


Decision = Grant | Shed | Preempt


@dataclasses.dataclass(slots=True, frozen=True)
class RunEnd:
    """What the entry daemon saw of a run that ended.

    Attributes:
        request_id: The request.
        ending: How it ended.
        first_token_s: Seconds from grant to the first token, or None.
        tokens: Tokens received.
        token_interval_s: Mean seconds between tokens, or None.
        rest_s: Seconds of rest that its endpoint asked for as it refused.
        answered: Whether the head of an answer came.
        limit_per_s: Requests a second that its endpoint then said it takes;
            None for no limit.
    """

    request_id: str
    ending: Ending
    first_token_s: float | None = None
    tokens: int = 0
    token_interval_s: float | None = None
    rest_s: float = 0.0
    answered: bool = False
    limit_per_s: float | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class LoadReport:
    """An endpoint's own word on its load, which lags.

    Attributes:
        endpoint: The endpoint.
        measured: When it was true, on the dispatcher's clock.
        running: Requests in its batch.
        waiting: Requests in its own queue.
    """

    endpoint: str
    measured: float
    running: int
    waiting: int
