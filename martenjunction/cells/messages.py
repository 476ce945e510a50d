"""Messages between entry daemons and the owners of cells.

Times are sent as ages in seconds, since boxes have no common clock.
"""

import dataclasses

from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.peers import codec


@codec.message("ask")
@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequested:
    """An entry daemon requests a slot from a cell.

    Attributes:
        cell: The cell.
        age: Seconds since the caller's request arrived.
    """

    cell: str
    request_id: str
    tier: int
    class_name: str
    workspace: str
    age: float
    target: float
    patience: float
    prompt_tokens: int
    expected_tokens: float
    prefix: tuple[int, ...]
    preemptible: bool
    avoid: tuple[str, ...]
    preemptions: int
    zones: tuple[str, ...]
    exempt_from_shedding: bool


@codec.message("running")
@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRun:
    """An entry daemon announces a run to a new owner of its cell.

    Attributes:
        ask: The granted request.
        endpoint: The endpoint that runs it.
        running: Seconds since it was granted.
    """

    ask: SlotRequested
    endpoint: str
    running: float


@codec.message("withdraw")
@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """An entry daemon withdraws a request or returns an unused slot."""

    cell: str
    request_id: str


@codec.message("first-token")
@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """A run's first token was received.

    Attributes:
        seconds: Time from grant to first token.
    """

    cell: str
    request_id: str
    seconds: float


@codec.message("run-end")
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run ended and released its slot."""

    cell: str
    request_id: str
    ending: str
    first_token_s: float | None
    tokens: int
    token_interval_s: float | None
    backoff_s: float
    answered: bool
    limit_per_s: float | None


@codec.message("grant")
@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted:
    """The owner grants a request a slot."""

    cell: str
    request_id: str
    endpoint: str


@codec.message("shed")
@dataclasses.dataclass(frozen=True, slots=True)
class RequestShed:
    """The owner sheds a waiting request."""

    cell: str
    request_id: str
    reason: str
    retry_after: float


@codec.message("preempt")
@dataclasses.dataclass(frozen=True, slots=True)
class RunPreempted:
    """The owner preempts a run in favor of a higher tier."""

    cell: str
    request_id: str
    for_tier: int


@codec.message("summary")
@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """A summary of a cell's state, used to choose between cells.

    Attributes:
        cell: The cell.
        free: Number of free slots.
        delay_ms: Predicted queueing delay in milliseconds by tier, highest
            first.
    """

    cell: str
    free: int
    delay_ms: tuple[int, ...]


FromEntry = SlotRequested | AnnounceRun | Withdraw | FirstToken | RunEnded
FromOwner = SlotGranted | RequestShed | RunPreempted | Summary


def cell_of(message: FromEntry) -> str:
    """Returns the cell that a message is addressed to."""
    if isinstance(message, AnnounceRun):
        return message.ask.cell
    return message.cell


def to_ask(
    message: SlotRequested, entry: str, now: float
) -> dispatch_types.SlotRequest:
    """Converts a message to a dispatcher request.

    Args:
        message: The message.
        entry: The sending box.
        now: The current time on the owner's clock.
    """
    return dispatch_types.SlotRequest(
        request_id=message.request_id,
        entry=entry,
        tier=message.tier,
        class_name=message.class_name,
        workspace=message.workspace,
        arrived=now - message.age,
        target=message.target,
        patience=message.patience,
        prompt_tokens=message.prompt_tokens,
        expected_tokens=message.expected_tokens,
        prefix=tuple(message.prefix),
        preemptible=message.preemptible,
        avoid=frozenset(message.avoid),
        preemptions=message.preemptions,
        zones=message.zones,
        exempt_from_shedding=message.exempt_from_shedding,
    )


def from_ask(
    ask: dispatch_types.SlotRequest, cell: str, now: float
) -> SlotRequested:
    """Converts a dispatcher request to a message."""
    return SlotRequested(
        cell=cell,
        request_id=ask.request_id,
        tier=ask.tier,
        class_name=ask.class_name,
        workspace=ask.workspace,
        age=round(now - ask.arrived, 4),
        target=ask.target,
        patience=ask.patience,
        prompt_tokens=ask.prompt_tokens,
        expected_tokens=round(ask.expected_tokens, 1),
        prefix=ask.prefix,
        preemptible=ask.preemptible,
        avoid=tuple(sorted(ask.avoid)),
        preemptions=ask.preemptions,
        zones=ask.zones,
        exempt_from_shedding=ask.exempt_from_shedding,
    )


def to_run_end(message: RunEnded) -> dispatch_types.RunEnd:
    """Converts a message to a dispatcher run end."""
    return dispatch_types.RunEnd(
        request_id=message.request_id,
        ending=dispatch_types.Ending(message.ending),
        first_token_s=message.first_token_s,
        tokens=message.tokens,
        token_interval_s=message.token_interval_s,
        backoff_s=message.backoff_s,
        answered=message.answered,
        limit_per_s=message.limit_per_s,
    )


def from_decision(cell: str, decision: dispatch_types.Decision) -> FromOwner:
    """Converts a dispatcher's decision to a message to an entry daemon."""
    if isinstance(decision, dispatch_types.Grant):
        return SlotGranted(cell, decision.request_id, decision.endpoint)
    if isinstance(decision, dispatch_types.Shed):
        return RequestShed(
            cell, decision.request_id, decision.reason, decision.retry_after
        )
    return RunPreempted(cell, decision.request_id, decision.for_tier)


def from_summary(cell: str, summary: dispatcher.CellSummary) -> Summary:
    """Converts a dispatcher's summary to a message."""
    delay_ms = tuple(round(seconds * 1000) for seconds in summary.delay)
    return Summary(cell, summary.free, delay_ms)
