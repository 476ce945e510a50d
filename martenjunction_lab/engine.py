"""A stand-in of a model engine: batches, caches prefixes, streams, fails."""

import asyncio
import collections
from collections.abc import Iterator
import dataclasses
import time
from typing import Any

from tornado import iostream
from tornado import web

from martenjunction import http_headers
from martenjunction.endpoints import engine_protocol
from martenjunction_lab import answers
from martenjunction_lab import engine_batch
from martenjunction_lab import engine_cache
from martenjunction_lab import engine_reports
from martenjunction_lab import engine_run
from martenjunction_lab import servers

# Seconds for which a run whose stream broke waits to be resumed.
ORPHAN_LIFETIME = 1.0

# Ended runs that are remembered.
MAX_ENDED = 2000


@dataclasses.dataclass
class EngineSpeed:
    """How fast an engine is.

    Attributes:
        slots: Requests in its batch.
        step_s: Seconds a decode step takes with an empty batch.
        batch_cost: How much a full batch slows a step down, as a part.
        prefill_s: Seconds to process one prompt token.
        cache_blocks: Prompt blocks that its cache holds.
    """

    slots: int = 8
    step_s: float = 0.02
    batch_cost: float = 0.5
    prefill_s: float = 0.00005
    cache_blocks: int = 2000


@dataclasses.dataclass
class EngineFaults:
    """How an engine misbehaves.

    Attributes:
        slow: Every time is multiplied by this.
        refuse: Answers 503 to new requests.
        rest_s: Seconds of rest that it asks for then; 0 for none.
        limit: Requests a second that it says it takes; empty for no limit.
        hang: Takes requests and never answers.
        cut_after: Closes streams in the middle of the event after so many.
        wrong_id: Gives another request's answer, under its id.
        report_lag_s: Load reports are this old.
        false_idle: Load reports always say that it is idle.
    """

    slow: float = 1.0
    refuse: bool = False
    rest_s: float = 0.0
    limit: str = ""
    hang: bool = False
    cut_after: int = 0
    wrong_id: bool = False
    report_lag_s: float = 0.0
    false_idle: bool = False


@dataclasses.dataclass
class EngineCounts:
    """What an engine did.

    Attributes:
        started: How often each request was started.
        marks: The same by the mark of the prompt.
        tokens_made: Tokens made, for whatever end.
        refused: Requests that were refused.
    """

    started: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    marks: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    tokens_made: int = 0
    refused: int = 0


class Engine(servers.StandIn):
    """An engine with continuous batching."""

    def __init__(
        self,
        name: str,
        address: str = "127.0.0.1:0",
        speed: EngineSpeed | None = None,
    ) -> None:
        """Makes an engine; `start` brings it up.

        Args:
            name: Its name.
            address: IP number and port.
            speed: How fast it is.
        """
        super().__init__(address)
        self.name = name
        self.speed = speed or EngineSpeed()
        self.faults = EngineFaults()
        self.counts = EngineCounts()
        self._runs: dict[str, engine_run.Run] = {}
        self._batch = engine_batch.Batch()
        self._cache = engine_cache.PrefixCache()
        self._reports = engine_reports.LoadReports()
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def handlers(self) -> list[Any]:
        """Returns paths and handlers."""
        arguments = {"engine": self}
        return [
            (engine_protocol.CHAT_PATH, _ChatHandler, arguments),
            (f"{engine_protocol.RUNS_PATH}(.*)", _RunHandler, arguments),
            (engine_protocol.LOAD_PATH, _LoadHandler, arguments),
            ("/lab/faults", _FaultsHandler, arguments),
            ("/lab/counts", _CountsHandler, arguments),
        ]

    def start(self) -> None:
        """Brings the engine up with an empty batch."""
        super().start()
        self._task = asyncio.get_running_loop().create_task(self._work())

    async def stop(self) -> None:
        """Ends the engine and loses what it had in hand."""
        if self._task is not None:
            self._task.cancel()
        for run in list(self._runs.values()):
            self._lose(run)
        self._runs.clear()
        self._batch.clear()
        self._cache.clear()
        await super().stop()

    async def crash(self, down_s: float) -> None:
        """Ends at once, and comes back after some seconds."""
        await self.stop()
        await asyncio.sleep(down_s)
        self.start()

    @property
    def load(self) -> tuple[int, int]:
        """Requests in the batch and in the queue."""
        return self._batch.load

    def report(self) -> dict[str, float]:
        """Returns the load as it is reported, lag and lies included."""
        faults = self.faults
        return self._reports.report(
            self.load, faults.report_lag_s, faults.false_idle
        )

    def submit(
        self, request_id: str, priority: int, body: dict[str, Any]
    ) -> engine_run.Run:
        """Takes a request in."""
        self.counts.started[request_id] += 1
        uncached = self._cache.take(body, self.speed.cache_blocks)
        prefill = uncached * self.speed.prefill_s
        run = engine_run.Run(request_id, priority, body, prefill)
        self.counts.marks[run.mark] += 1
        if self.faults.wrong_id:
            run.mark = answers.mark_of(["another"])
        self._runs[request_id] = run
        self._batch.add(run)
        self._wake.set()
        return run

    def find(self, request_id: str) -> engine_run.Run | None:
        """Returns a run that can be resumed, or None."""
        return self._runs.get(request_id)

    def cancel(self, request_id: str) -> bool:
        """Ends a run; returns whether there was one."""
        run = self._runs.pop(request_id, None)
        if run is None:
            return False
        self._lose(run)
        return True

    def _lose(self, run: engine_run.Run) -> None:
        run.cancelled = True
        run.changed.set()

    async def _work(self) -> None:
        while True:
            running = self._batch.fill(self.speed.slots)
            if not running:
                self._wake.clear()
                await self._wake.wait()
                continue
            step = self._step_time(running)
            await asyncio.sleep(step)
            made = self._batch.advance(step / self.faults.slow)
            self.counts.tokens_made += made
            self._expire()

    def _step_time(self, running: int) -> float:
        full = running / self.speed.slots
        step = self.speed.step_s * (1.0 + self.speed.batch_cost * full)
        return step * self.faults.slow

    def _expire(self) -> None:
        now = time.monotonic()
        for run in list(self._runs.values()):
            waited = now - run.orphaned_at
            if run.readers == 0 and waited > ORPHAN_LIFETIME:
                self.cancel(run.request_id)
        while len(self._runs) > MAX_ENDED:
            self._runs.pop(next(iter(self._runs)))


class _EngineHandler(servers.JsonHandler):
    def initialize(self, engine: Engine) -> None:
        self._engine = engine

    async def stream(self, run: engine_run.Run, after: int) -> None:
        """Streams a run's events after one of them until its end."""
        engine = self._engine
        answered = "another" if engine.faults.wrong_id else run.request_id
        self.set_header(http_headers.REQUEST_ID, answered)
        self.set_header("Content-Type", "text/event-stream")
        run.readers += 1
        try:
            await self._send(run, after)
        except iostream.StreamClosedError:
            return
        finally:
            run.readers -= 1
            run.orphaned_at = time.monotonic()

    async def _send(self, run: engine_run.Run, after: int) -> None:
        sent = after
        while True:
            if run.cancelled:
                servers.drop_connection(self)
                return
            fresh = b"".join(run.event(i) for i in _range(sent, run.made))
            sent = max(sent, run.made)
            if self._cuts(run, sent):
                self.write(fresh[:-5])
                await self.flush()
                servers.drop_connection(self)
                return
            if run.done:
                self.write(fresh + run.closing())
                await self.finish()
                return
            if fresh:
                self.write(fresh)
                await self.flush()
            run.changed.clear()
            await run.changed.wait()

    def _cuts(self, run: engine_run.Run, sent: int) -> bool:
        cut = self._engine.faults.cut_after
        return 0 < cut <= sent - run.first and not run.done


def _range(after: int, made: int) -> Iterator[int]:
    return iter(range(after + 1, made + 1))


class _ChatHandler(_EngineHandler):
    async def post(self) -> None:
        engine = self._engine
        if engine.faults.limit:
            self.set_header(http_headers.LIMIT, engine.faults.limit)
        if engine.faults.refuse:
            engine.counts.refused += 1
            self.set_status(503)
            if engine.faults.rest_s:
                rest = f"{engine.faults.rest_s:g}"
                self.set_header(http_headers.RETRY_AFTER, rest)
            return
        if engine.faults.hang:
            await asyncio.sleep(3600)
        body = self.body()
        request_id = self.request.headers.get(http_headers.REQUEST_ID, "")
        priority = self.request.headers.get(http_headers.PRIORITY, "u=4")
        run = engine.submit(request_id, int(priority[2:]), body)
        await self.stream(run, run.first)


class _RunHandler(_EngineHandler):
    async def get(self, request_id: str) -> None:
        run = self._engine.find(request_id)
        if run is None:
            raise web.HTTPError(404)
        after = int(self.request.headers.get(http_headers.LAST_EVENT_ID, "0"))
        await self.stream(run, max(after, run.first))

    def delete(self, request_id: str) -> None:
        if not self._engine.cancel(request_id):
            raise web.HTTPError(404)


class _LoadHandler(_EngineHandler):
    def get(self) -> None:
        self.write(self._engine.report())


class _FaultsHandler(_EngineHandler):
    def post(self) -> None:
        body = self.body()
        down_s = body.pop("crash_s", None)
        self._engine.faults = EngineFaults(**body)
        if down_s is not None:
            asyncio.ensure_future(self._engine.crash(float(down_s)))


class _CountsHandler(_EngineHandler):
    def get(self) -> None:
        counts = self._engine.counts
        self.write(
            {
                "started": dict(counts.started),
                "tokens_made": counts.tokens_made,
            }
        )
