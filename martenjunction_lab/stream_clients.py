"""Clients of streams whose events name their software version."""

import asyncio
import dataclasses
import time

from martenjunction import errors
from martenjunction.endpoints import event_stream
from martenjunction.http1 import client
from martenjunction_lab import boxes

# Seconds that a new connection is given to come up.
CONNECT_LIMIT_S = 1.0

# Seconds before its deadline from which on a client does not try again, and to
# the next attempt after a refusal without a time.
MIN_LEFT_S = 0.2
REFUSED_PAUSE_S = 0.05

# The part of the time left for which clients wait at most as they are told.
MAX_WAIT_SHARE = 1 / 3


class ClientStream:
    """What a client has of one stream.

    Attributes:
        first_id: Id of the request that brought the first event; empty before.
        first_event_at: Steady time of the first event; None before.
        last_event: Number of the last event that came; 0 before the first.
        versions: Software versions that wrote its events.
        torn: Whether an event was missing or came twice.
        complete: Whether the last event and the end came.
    """

    def __init__(self, total: int) -> None:
        """Makes a stream of which nothing came yet.

        Args:
            total: How many events it has.
        """
        self.first_id = ""
        self.first_event_at: float | None = None
        self.last_event = 0
        self.versions: set[str] = set()
        self.torn = False
        self.complete = False
        self._total = total

    @property
    def joined(self) -> bool:
        """Whether it holds events of several versions."""
        return len(self.versions) > 1

    def take(self, request_id: str, event: event_stream.StreamEvent) -> None:
        """Takes in an event."""
        number = int(event.id or 0)
        self.torn |= number != self.last_event + 1
        self.last_event = number
        if self.first_event_at is None:
            self.first_event_at = time.monotonic()
            self.first_id = request_id
        self.versions.add(event.data.split(b"data: ")[1].split()[0].decode())

    def end(self) -> None:
        """Takes in the end of an answer that came whole."""
        self.complete = self.last_event >= self._total


@dataclasses.dataclass(frozen=True)
class Answer:
    """What an attempt was answered.

    Attributes:
        status: The status; None if no head came.
        refusal: The body of an answer that is not a stream.
        retry_after_s: Seconds after which the client is told to come back.
    """

    status: int | None = None
    refusal: str = ""
    retry_after_s: float | None = None

    @property
    def is_refusal(self) -> bool:
        """Whether an answer came that is not a stream."""
        return self.status is not None and self.status != 200


def refused_pause_s(answer: Answer, left_s: float) -> float:
    """Returns seconds to the next attempt after a refusal.

    Args:
        answer: The refusal.
        left_s: Seconds that the client gives the stream.
    """
    told_s = answer.retry_after_s or REFUSED_PAUSE_S
    return min(told_s, left_s * MAX_WAIT_SHARE)


def headers(
    request_id: str,
    held: ClientStream,
    left_s: float,
    prompt: str,
    hidden: bool = False,
) -> dict[str, str]:
    """Returns the headers of an attempt at a stream.

    Args:
        request_id: The id of the attempt.
        held: What the client has of the stream, which it takes up.
        left_s: Seconds that the client gives it.
        prompt: Parts of its prompt, 500 tokens in all.
        hidden: Whether the client does not say which request brought the first
            event.
    """
    fields = {
        "Martenjunction-Attempt-Id": request_id,
        "Martenjunction-Deadline-Ms": str(int(left_s * 1000)),
        "Authorization": "Bearer key-of-one",
        "Martenjunction-Token-Counts": "500,80",
        "Martenjunction-Prefix-Hash": prompt,
    }
    if held.last_event:
        fields["Last-Event-Id"] = str(held.last_event)
        if not hidden:
            fields["Resumes"] = held.first_id
    return fields


async def attempt(
    address: str,
    path: str,
    fields: dict[str, str],
    held: ClientStream,
    left_s: float,
) -> Answer:
    """Makes an attempt at a stream; `held` takes in what comes.

    Args:
        address: The box.
        path: Decides the route.
        fields: The headers.
        held: What the client has of the stream.
        left_s: Seconds that the client gives it.
    """
    connection = client.ClientConnection(address)
    answer = Answer()
    body = b"{}"
    try:
        async with asyncio.timeout(left_s):
            await connection.open(CONNECT_LIMIT_S)
            connection.send(
                b"POST", path.encode(), boxes.header_pairs(fields, body), body
            )
            head = await connection.read_head()
            if head.status != 200:
                code = (await connection.read_body()).decode("latin-1")
                after = head.get(b"retry-after")
                return Answer(
                    head.status, code, float(after) if after else None
                )
            answer = Answer(head.status)
            splitter = event_stream.EventSplitter()
            request_id = fields["Martenjunction-Attempt-Id"]
            while part := await connection.read_body():
                for event in splitter.feed(part):
                    held.take(request_id, event)
            held.end()
    except (errors.TransportError, TimeoutError):
        return answer
    finally:
        connection.abort()
    return answer
