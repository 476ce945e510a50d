"""A stand-in of a replica, as the users' pages describe it."""

import asyncio
from collections.abc import Callable
import dataclasses
import json
from typing import Any

from review.kit_2 import record
from review.kit_2 import store
from review.kit_2 import wire

HEARTBEAT_S = 1.2
COPY_INTERVAL_S = 0.3

# Kept copies of runs: by the address of the replica that has the copy and the
# id of the run, the last event that is in it.
Copies = dict[tuple[str, str], int]


@dataclasses.dataclass
class Run:
    """A run of a request.

    Attributes:
        id: The id of the request.
        replica: The replica.
        began: When it began, in seconds.
        continues: Whether it continues from a copy.
        ended: When it ended, or None.
        how: How it ended.
        events: The last event that it made.
    """

    id: str
    replica: str
    began: float
    continues: bool = False
    ended: float | None = None
    how: str = ""
    events: int = 0


class Replica:
    """One replica of a service.

    Attributes:
        work_s: Seconds that a plain request takes.
        events: Events of a stream.
        pause_s: Seconds between them.
        cuts: Asked with a run before each event; True has its connection
            reset. The run itself goes on to its end.
    """

    def __init__(
        self,
        name: str,
        service: str,
        kept: store.Store,
        notes: record.Record,
        copies: Copies,
        **fields: Any,
    ) -> None:
        """Makes a replica; `start` brings it up and records it."""
        self.id = name
        self.address = ""
        self.work_s = 0.05
        self.events = 12
        self.pause_s = 0.1
        self.cuts: Callable[[Run], bool] = lambda run: False
        self.runs: list[Run] = []
        self.arrivals: list[tuple[float, str]] = []
        self._service = service
        self._store = kept
        self._notes = notes
        self._copies = copies
        self._fields = {"version": "v1", "slots": 64, **fields}
        self._state = "ready"
        self._present = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to listen on a free loopback port, and records itself."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=256
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.write_entry()

    def write_entry(self, state: str = "ready") -> None:
        """Writes its entry, whose `seq` alone makes no event."""
        self._state = state
        self._store.put(
            "servers",
            self.id,
            {
                "service": self._service,
                "address": self.address,
                "zone": "zone-a",
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                **self._fields,
            },
        )

    def end(self) -> None:
        """Ends: closes its port and every connection."""
        self._store.delete("servers", self.id)
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await wire.read_head(reader)
                message.body = await wire.read_body(reader, message)
                if not await self._take(message, reader, writer):
                    return
        except (EOFError, OSError, asyncio.LimitOverrunError):
            return
        except asyncio.CancelledError:
            # Only the end of the script cancels it.
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _take(
        self,
        message: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection goes on."""
        name = message.headers.get("martenjunction-attempt-id", "")
        if not name:
            writer.write(self._status_answer(message))
            return True
        closing = {}
        if self._state == "draining":
            closing = {"Connection": "close"}
        pairs = {"Martenjunction-Attempt-Id": name, **closing}
        expected = message.headers.get("martenjunction-expect-replica", self.id)
        if expected != self.id:
            pairs["Martenjunction-Replica-Id"] = self.id
            writer.write(wire.answer(421, pairs))
            return not closing
        self.arrivals.append((self._notes.now(), name))
        origin = message.headers.get("kv-from", "")
        if origin and (self.address, name) not in self._copies:
            pairs["Martenjunction-Not-Executed"] = "1"
            writer.write(wire.answer(503, pairs))
            return not closing
        run = Run(name, self.id, self._notes.now(), bool(origin))
        self.runs.append(run)
        self._notes.note(
            f"{self.id}: runs {name}{' from its copy' if origin else ''}"
        )
        pairs["Martenjunction-Replica-Seal"] = f"seal.{self.id}.{name}"
        self._present += 1
        if "martenjunction-token-counts" in message.headers:
            work = self._stream(run, message, pairs, writer)
        else:
            work = self._plain(run, pairs, writer)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        left = asyncio.get_running_loop().create_task(reader.read(1))
        try:
            await asyncio.wait(
                [task, left], return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                if not run.how:
                    # Its connection was closed: it drops the request.
                    task.cancel()
                await asyncio.wait([task])
                return False
            left.cancel()
            await asyncio.wait([left])
            return not closing
        finally:
            self._present -= 1
            if run.ended is None:
                run.ended = self._notes.now()
                run.how = run.how or "cut off"
                self._notes.note(f"{self.id}: run of {name} is cut off")

    async def _plain(
        self, run: Run, pairs: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self.work_s)
        writer.write(wire.answer(200, pairs, f"answer to {run.id}".encode()))
        run.ended, run.how = self._notes.now(), "answered"
        self._notes.note(f"{self.id}: answers {run.id}")

    async def _stream(
        self,
        run: Run,
        message: wire.Message,
        pairs: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        pairs["Content-Type"] = "text/event-stream"
        pairs["Transfer-Encoding"] = "chunked"
        writer.write(wire.head("HTTP/1.1 200 X", pairs))
        first = int(message.headers.get("last-event-id", "0")) + 1
        backup = message.headers.get("martenjunction-kv-backup", "")
        copied_at = run.began
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.pause_s)
            run.events = number
            if not run.how and self.cuts(run):
                run.how = "its answer is lost"
                self._notes.note(
                    f"{self.id}: answer to {run.id} is lost at event {number},"
                    " the run goes on"
                )
                writer.transport.abort()
            now = self._notes.now()
            if backup and now - copied_at >= COPY_INTERVAL_S and not run.how:
                copied_at = now
                self._copies[(backup, run.id)] = number
            if not run.how:
                text = f"id: {number}\ndata: event {number}\n\n"
                writer.write(wire.chunk(text.encode()))
        run.ended = self._notes.now()
        self._notes.note(f"{self.id}: run of {run.id} ends")
        if not run.how:
            run.how = "answered"
            writer.write(b"0\r\n\r\n")

    def _status_answer(self, message: wire.Message) -> bytes:
        """Answers a health check or a question for the state."""
        pairs = {
            "Martenjunction-Replica-Id": self.id,
            "Content-Type": "application/json",
        }
        target = message.first[1]
        if target == "/healthz":
            return wire.answer(200 if self._state == "ready" else 503, pairs)
        if target == "/report":
            current = [run for run in self.runs if run.ended is None]
            report = {
                "phase": "prefill_decode",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "utilization": False,
                "seq": 0,
                "queued": 0,
                "active": len(current),
                "kv_used": 1000 * len(current),
                "kv_total": 289584,
                "kv_handles": 0,
                "state": self._state,
                "runs": [[run.id, 1000, run.events, 1] for run in current],
            }
            return wire.answer(200, pairs, json.dumps(report).encode())
        return wire.answer(400, {**pairs, "Martenjunction-Not-Executed": "1"})
