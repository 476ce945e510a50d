"""Endpoints of trials that record what reaches them and what they run."""

import asyncio
import contextvars
import itertools
import random
import time

from martenjunction_lab import replica
from martenjunction_lab.promises import endpoint_views
from martenjunction_lab.promises import events

Behaviour = replica.Behaviour

# Events of a stream, and seconds between two of them.
STREAM_EVENTS = 8
EVENT_PAUSE_S = 0.1

# The software version of all endpoints.
VERSION = "v1"

# Header by which an answer names the start of the endpoint that wrote it.
NAME_HEADER = "Lab-Endpoint"

_STREAMED = ("/chat/", "/digest/")
_TURNS_AWAY = frozenset({Behaviour.REFUSE, Behaviour.MISDIRECTED})
# Behaviours that only answers of one piece can have.
_OF_ONE_PIECE = frozenset({Behaviour.TWICE, Behaviour.FOREIGN_FIRST})
_STATUSES = {Behaviour.FAIL: 500, Behaviour.BARE_503: 503}

_request: contextvars.ContextVar[replica.Received] = contextvars.ContextVar(
    "request"
)
_breaks: contextvars.ContextVar[bool] = contextvars.ContextVar("breaks")


class RecordingReplica(replica.Replica):
    """A replica that records arrivals and runs.

    Attributes:
        shares: The part of the requests that meets each behaviour; the first
            that is drawn counts.
    """

    def __init__(
        self,
        endpoint_id: str,
        service: str,
        history: events.History,
        attempts: "itertools.count[int]",
        draw: random.Random,
    ) -> None:
        """Makes it; `start` brings it up.

        Args:
            endpoint_id: The id under which it is listed.
            service: Its service.
            history: Where it records what it sees.
            attempts: Numbers of the arrivals in the trial.
            draw: Decides which requests meet a behaviour.
        """
        super().__init__(endpoint_id, STREAM_EVENTS)
        self.event_pause_s = EVENT_PAUSE_S
        self.shares: dict[Behaviour, float] = {}
        self._service = service
        self._history = history
        self._attempts = attempts
        self._draw = draw
        self._starts = 0
        self._listens = False
        self._open: dict[asyncio.StreamWriter, None] = {}

    @property
    def name(self) -> str:
        """Its id and the number of its present start."""
        return f"{self.id}/{self._starts}"

    async def start(self) -> None:
        """Begins to listen on a free loopback port."""
        await super().start()
        self._starts += 1
        self._listens = True

    async def start_again(self) -> None:
        """Listens again on the address that it had."""
        await super().start_again()
        self._starts += 1
        self._listens = True

    async def stop(self) -> None:
        """Closes the port and every connection."""
        self._listens = False
        # A set has no order that a seed decides.
        for writer in list(self._open):
            writer.transport.abort()
        await super().stop()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open[writer] = None
        try:
            await super()._serve(reader, writer)
        finally:
            del self._open[writer]

    async def _answer(
        self,
        request: replica.Received,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.method != "POST":
            return await super()._answer(request, behaviour, reader, writer)
        if behaviour is Behaviour.SERVE:
            behaviour = self._drawn()
        attempt = self._record_arrival(request)
        if behaviour in _TURNS_AWAY:
            self._history.add(events.TurnedAway(time.monotonic(), attempt))
            return await super()._answer(request, behaviour, reader, writer)
        self._history.add(events.RunBegan(time.monotonic(), attempt))
        how = events.RunEnd.BROKEN_OFF
        try:
            goes_on = await self._run(request, behaviour, reader, writer)
            if goes_on is None:
                how = events.RunEnd.CANCELLED
            elif goes_on:
                how = events.RunEnd.ANSWERED
        finally:
            is_answered = how is events.RunEnd.ANSWERED
            status = _STATUSES.get(behaviour, 200) if is_answered else 0
            self._history.add(
                events.RunEnded(time.monotonic(), attempt, how, status)
            )
        return bool(goes_on)

    async def _run(
        self,
        request: replica.Received,
        behaviour: Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool | None:
        """Runs a request.

        Returns:
            Whether its answer was written whole; None if its caller left.
        """
        _request.set(request)
        _breaks.set(False)
        if request.target.startswith(_STREAMED):
            _breaks.set(behaviour is Behaviour.HALF)
            if behaviour in _OF_ONE_PIECE or behaviour is Behaviour.HALF:
                behaviour = Behaviour.SERVE
        name = self.name
        cancelled = self.cancelled.count(request.id)
        goes_on = await super()._answer(request, behaviour, reader, writer)
        if not self._listens or self.name != name:
            return False
        if self.cancelled.count(request.id) > cancelled:
            return None
        return goes_on

    def _drawn(self) -> Behaviour:
        for behaviour, share in self.shares.items():
            if self._draw.random() < share:
                return behaviour
        return Behaviour.SERVE

    def _record_arrival(self, request: replica.Received) -> int:
        """Records a request; returns the number of its arrival."""
        attempt = next(self._attempts)
        self._history.add(
            endpoint_views.arrival(
                request.id,
                attempt,
                self.name,
                self._service,
                request.headers,
                endpoint_views.digest(
                    request.method, request.target, request.body
                ),
            )
        )
        return attempt

    def _notices(
        self, request: replica.Received, status: int
    ) -> dict[str, str]:
        return {NAME_HEADER: self.name}

    def _event_text(self, number: int) -> str:
        body = _request.get().body.decode("latin-1")
        return f"{VERSION} {body} t{number}"

    def _breaks_after(
        self, request: replica.Received, first: int
    ) -> int | None:
        if not _breaks.get():
            return self.break_after
        return self._draw.randint(first, STREAM_EVENTS)
