"""What became of requests on kept connections, by all who saw them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import re

from martenjunction_lab import kept_clients
from martenjunction_lab import replica
from martenjunction_lab.promises import endpoint_views
from martenjunction_lab.promises import events

Fate = kept_clients.Fate

# Statuses by which an answer promises that the request never ran.
PROMISES = frozenset({408, 421, 429, 503})

# Statuses by which it leaves open whether the request ran.
UNSURE = frozenset({502, 504})

# End of the cause in a box's log if the box gave a run up.
_GIVEN_UP = ": aborted"

# Kind of the line in a box's log on a second attempt beside the first.
_SECOND_ATTEMPT = "second-attempt"

# Prefix of a seal, before the endpoint's id; an event of a stream.
_SEAL = "seal-"
_STREAM_EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


@dataclasses.dataclass(frozen=True)
class Tally:
    """What became of requests, by their clients and by the replicas.

    Attributes:
        answered: Ids with a whole success.
        refused: Ids with another whole answer.
        cut_off: Those of them whose answer leaves open whether they ran.
        untaken: Ids that no replica saw and whose connection was closed
            without an answer.
        lost: Ids that reached a replica and whose connection was closed
            without an answer.
        broken: Ids whose answer broke off.
        cancelled: Ids that a replica found given up.
        false_promises: Ids that ran and were told not to have run.
        doubled: Ids that ran more than once.
    """

    answered: list[str]
    refused: list[str]
    cut_off: list[str]
    untaken: list[str]
    lost: list[str]
    broken: list[str]
    cancelled: list[str]
    false_promises: list[str]
    doubled: list[str]

    def __str__(self) -> str:
        """Returns the numbers of each."""
        fields = dataclasses.asdict(self)
        return ", ".join(f"{name} {len(ids)}" for name, ids in fields.items())


def tally(
    records: Iterable[kept_clients.Record], replicas: Iterable[replica.Replica]
) -> Tally:
    """Compares what clients and replicas saw.

    Args:
        records: Requests that ended.
        replicas: All replicas that could have got them.
    """
    records = list(records)
    replicas = list(replicas)
    arrived = {got.id for made in replicas for got in made.received}
    cancelled = {its for made in replicas for its in made.cancelled}
    by_fate: dict[Fate, list[str]] = {fate: [] for fate in Fate}
    for record in records:
        by_fate[record.fate].append(record.ask.id)

    def runs(request_id: str) -> int:
        return sum(made.runs[request_id] for made in replicas)

    closed = by_fate[Fate.CLOSED]
    unsure = [rec.ask.id for rec in records if rec.status in UNSURE]
    ids = [record.ask.id for record in records]
    promised = [rec.ask.id for rec in records if rec.status in PROMISES]
    return Tally(
        answered=by_fate[Fate.ANSWERED],
        refused=by_fate[Fate.REFUSED],
        cut_off=unsure,
        untaken=[its for its in closed if its not in arrived],
        lost=[its for its in closed if its in arrived],
        broken=by_fate[Fate.BROKEN],
        cancelled=[its for its in ids if its in cancelled],
        false_promises=[its for its in promised if runs(its)],
        doubled=[its for its in ids if runs(its) > 1],
    )


def tells_repeated(line: Mapping[str, object]) -> bool:
    """Returns whether a line of a box's log tells of a further run.

    The box gave the first run up, or tried another endpoint beside it.
    """
    return line.get("message_type") == _SECOND_ATTEMPT or str(
        line.get("why")
    ).endswith(_GIVEN_UP)


@dataclasses.dataclass(frozen=True)
class Route:
    """What a request's route says of it.

    Attributes:
        name: Its name.
        kind: How its requests may run.
        tenant: The tenant that endpoints are told; empty for none.
        timeout_s: Its time limit in seconds.
        pieces: Events in each of its streams; 0 if it has none.
    """

    name: str
    kind: events.RouteKind
    tenant: str
    timeout_s: float
    pieces: int = 0


def history(
    records: Mapping[str, Iterable[kept_clients.Record]],
    replicas: Iterable[replica.Replica],
    route_of: Callable[[kept_clients.Ask], Route],
    terms: events.Terms | None = None,
) -> events.History:
    """Returns what clients and replicas saw as events of a trial.

    What was done to boxes and replicas is left to the caller to add.

    Args:
        records: Requests that ended, by the name of their box.
        replicas: All replicas that could have got them.
        route_of: Returns the route of a request.
        terms: The figures of the promises.
    """
    made = events.History(terms=terms)
    for box, its in records.items():
        for record in its:
            for event in _seen_by_client(box, record, route_of(record.ask)):
                made.add(event)
    for stand_in in replicas:
        for event in stand_in.view.seen:
            made.add(event)
    return made


def _seen_by_client(
    box: str, record: kept_clients.Record, route: Route
) -> Iterator[events.Event]:
    ask = record.ask
    left_s = int(ask.headers["Martenjunction-Deadline-Ms"]) / 1000
    yield events.Sent(
        record.sent_at,
        ask.id,
        box=box,
        connection=record.connection,
        kept=record.kept,
        route=route.name,
        kind=route.kind,
        service="",
        deadline_at=record.sent_at + left_s,
        timeout_at=record.sent_at + route.timeout_s,
        digest=endpoint_views.digest("POST", ask.target, ask.body),
        tenant=route.tenant,
        key=ask.headers.get("Authorization", ""),
    )
    if route.pieces:
        for place, number in enumerate(_STREAM_EVENT.findall(record.body)):
            yield events.Piece(
                record.ended_at,
                ask.id,
                int(number),
                route.pieces,
                place=place,
            )
    seal = record.headers.get("martenjunction-replica-seal")
    yield events.Ended(
        record.ended_at,
        ask.id,
        record.status or 0,
        whole=record.fate in (Fate.ANSWERED, Fate.REFUSED),
        source=events.Source.BOX if seal is None else events.Source.ENDPOINT,
        answers=record.headers.get("martenjunction-attempt-id", ""),
        endpoint="" if seal is None else seal.removeprefix(_SEAL),
    )
