"""What entry daemons and the owners of cells say to one another.

Times travel as ages, in seconds, since no two boxes share a clock.
"""

import dataclasses

from martenjunction.decisions.cells import asks
from martenjunction.decisions.cells import dispatcher
from martenjunction.peers import codec


@codec.message("ask")
@dataclasses.dataclass(frozen=True, slots=True)
class AskPlace:
    """An entry daemon asks a cell for a place.

    Attributes:
        cell: The cell.
        age: Seconds since the caller's request came in.
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
    """An entry daemon tells a new owner of a run that holds a place.

    Attributes:
        ask: What was granted.
        endpoint: Where it runs.
        running: Seconds since it was granted.
    """

    ask: AskPlace
    endpoint: str
    running: float


@codec.message("withdraw")
@dataclasses.dataclass(frozen=True, slots=True)
class Withdraw:
    """An entry daemon no longer wants a place."""

    cell: str
    request_id: str


@codec.message("first-token")
@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """A run's first token came, so many seconds after its grant."""

    cell: str
    request_id: str
    seconds: float


@codec.message("run-end")
@dataclasses.dataclass(frozen=True, slots=True)
class RunEnded:
    """A run gave its place back."""

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
    """The owner gives a request a place."""

    cell: str
    request_id: str
    endpoint: str


@codec.message("shed")
@dataclasses.dataclass(frozen=True, slots=True)
class RequestShed:
    """The owner gives a waiting request up."""

    cell: str
    request_id: str
    reason: str
    retry_after: float


@codec.message("preempt")
@dataclasses.dataclass(frozen=True, slots=True)
class RunPreempted:
    """The owner wants a place back for a higher tier."""

    cell: str
    request_id: str
    for_tier: int


@codec.message("summary")
@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The state of one cell, for those who choose between cells.

    Attributes:
        cell: The cell.
        free: Places free now.
        delay_ms: Predicted milliseconds of waiting by tier, the highest
            first.
    """

    cell: str
    free: int
    delay_ms: tuple[int, ...]


FromEntry = AskPlace | AnnounceRun | Withdraw | FirstToken | RunEnded
FromOwner = PlaceGranted | RequestShed | RunPreempted | Summary


def cell_of(message: FromEntry) -> str:
    """Returns the cell that a message is for."""
    if isinstance(message, AnnounceRun):
        return message.ask.cell
    return message.cell


def to_ask(message: AskPlace, entry: str, now: float) -> asks.Ask:
    """Turns a message into what the dispatcher takes.

    Args:
        message: The message.
        entry: The box that sent it.
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
    """Turns an entry daemon's ask into a message."""
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
    """Turns a message into what the dispatcher takes."""
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
    """Turns a dispatcher's decision into a message to an entry daemon."""
    if isinstance(decision, asks.Grant):
        return PlaceGranted(cell, decision.request_id, decision.endpoint)
    if isinstance(decision, asks.Shed):
        return RequestShed(
            cell, decision.request_id, decision.reason, decision.retry_after
        )
    return RunPreempted(cell, decision.request_id, decision.for_tier)


def from_summary(cell: str, summary: dispatcher.CellSummary) -> Summary:
    """Turns a dispatcher's summary into a message."""
    delay_ms = tuple(round(seconds * 1000) for seconds in summary.delay)
    return Summary(cell, summary.free, delay_ms)
