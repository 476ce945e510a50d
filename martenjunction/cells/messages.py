"""Messages between entry daemons and the owners of cells.

Times are sent as ages in seconds, since boxes have no common clock.
"""

import dataclasses

from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import dispatcher
from martenjunction.peers import codec


@codec.message("ask")
@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
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
    firm: bool


@codec.message("running")
@dataclasses.dataclass(frozen=True, slots=True)
class AnnounceRun:
    """An entry daemon announces a run to a new owner of its cell.

    Attributes:
        ask: The granted request.
        endpoint: The endpoint that runs it.
        running: Seconds since it was granted.
    """

    ask: AskPlace
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
    rest_s: float
    answered: bool
    limit_per_s: float | None


@codec.message("grant")
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceGranted:
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


FromEntry = AskPlace | AnnounceRun | Withdraw | FirstToken | RunEnded
FromOwner = PlaceGranted | RequestShed | RunPreempted | Summary


def cell_of(message: FromEntry) -> str:
    """Returns the cell that a message is addressed to."""
    if isinstance(message, AnnounceRun):
        return message.ask.cell
    return message.cell


def to_ask(message: AskPlace, entry: str, now: float) -> asks.Ask:
    """Converts a message to a dispatcher request.

    Args:
        message: The message.
        entry: The sending box.
        now: The current time on the owner's clock.
    """
    return asks.Ask(
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
        firm=message.firm,
    )


def from_ask(ask: asks.Ask, cell: str, now: float) -> AskPlace:
    """Converts a dispatcher request to a message."""
    return AskPlace(
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
        firm=ask.firm,
    )


def to_run_end(message: RunEnded) -> asks.RunEnd:
    """Converts a message to a dispatcher run end."""
    return asks.RunEnd(
        request_id=message.request_id,
        ending=asks.Ending(message.ending),
        first_token_s=message.first_token_s,
        tokens=message.tokens,
        token_interval_s=message.token_interval_s,
        rest_s=message.rest_s,
        answered=message.answered,
        limit_per_s=message.limit_per_s,
    )


def from_decision(cell: str, decision: asks.Decision) -> FromOwner:
    """Converts a dispatcher's decision to a message to an entry daemon."""
    if isinstance(decision, asks.Grant):
        return PlaceGranted(cell, decision.request_id, decision.endpoint)
    if isinstance(decision, asks.Shed):
        return RequestShed(
            cell, decision.request_id, decision.reason, decision.retry_after
        )
    return RunPreempted(cell, decision.request_id, decision.for_tier)


def from_summary(cell: str, summary: dispatcher.CellSummary) -> Summary:
    """Converts a dispatcher's summary to a message."""
    delay_ms = tuple(round(seconds * 1000) for seconds in summary.delay)
    return Summary(cell, summary.free, delay_ms)
