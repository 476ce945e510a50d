"""Stand-ins for the cases: a store, replicas, clients, and box processes.

They use the standard library only and listen on free loopback ports. What they
do follows the users' pages; what a case has them do beside that is set in the
case itself.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "api.example"
HEALTH_PATH = "/healthz"

# What a small site sets under [bounds].
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "regress_ms": 250,
    "fail_closed": True,
    "revoke_ms": 5000,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 52,
    "recover_s": 12,
    "ttl_max_s": 5,
}


def free_port(ip: str = "127.0.0.1") -> int:
    """Returns a port that is free at the moment."""
    with socket.socket() as found:
        found.bind((ip, 0))
        return int(found.getsockname()[1])


class Record:
    """What was sent, answered and run, in the order in which it happened."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._lines: list[str] = []
        self._file = folder / "record.txt"

    def add(self, what: str, **fields: Any) -> None:
        """Adds a line."""
        at = time.monotonic() - self._began
        rest = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{at:8.3f} {what} {rest}".rstrip())

    def write(self) -> None:
        """Writes `record.txt`."""
        self._file.write_text("\n".join(self._lines) + "\n")


@dataclasses.dataclass
class Request:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get("martenjunction-attempt-id", "")

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The fields of the query."""
        return dict(parse.parse_qsl(self.target.partition("?")[2]))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads a request with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    length = int(headers.get("content-length", "0"))
    return Request(method, target, headers, await reader.readexactly(length))


def answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server on a free loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", 0, backlog=256, limit=8 * 1024 * 1024
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Closes the port and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, as PROTOCOL.md describes it.

    Attributes:
        page: Most entries of a page of a list.
        answer_s: Seconds that an answer takes.
        down: Whether it is down: "silent" takes calls and never answers them,
            "reset" resets connections, and an empty text is for no outage.
        between_pages: Called after a page that is not the last one.
    """

    def __init__(self, page: int = 500) -> None:
        super().__init__()
        self.page = page
        self.answer_s = 0.004
        self.down = ""
        self.between_pages: Callable[[str], None] = lambda kind: None
        self.lists = 0
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._oldest = 0
        self._cuts = 0
        self._revision = 0
        self._changed = asyncio.Event()

    @property
    def revision(self) -> int:
        """The revision of the newest change."""
        return self._revision

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Writes an object, or removes it if `spec` is None."""
        held = self._objects.get((kind, name))
        if held is not None and held["spec"] == spec:
            return held
        if held is None and spec is None:
            return {}
        self._revision += 1
        made = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created": 0,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        if spec is None:
            del self._objects[(kind, name)]
        else:
            self._objects[(kind, name)] = made
        self._changes.append((self._revision, kind, spec is None, made))
        self._wake()
        return made

    def listed(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind."""
        return sorted(name for its, name in self._objects if its == kind)

    def go_down(self, how: str) -> None:
        """Begins an outage: calls that wait get no answer."""
        self.down = how
        self.cut_watches()

    def cut_watches(self) -> None:
        """Cuts every watch that is waiting."""
        self._cuts += 1
        self._wake()

    def forget_history(self) -> None:
        """Drops all changes: watches from before are answered with 410."""
        self._oldest = self._revision
        self._changes.clear()
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection."""
        while True:
            request = await read_request(reader)
            await asyncio.sleep(self.answer_s)
            status, document = await self._call(request)
            if self.down == "reset":
                raise ConnectionResetError
            if self.down:
                # An answer is lost: the connection says nothing more.
                await reader.read()
                return
            writer.write(
                answer(
                    status,
                    {"Content-Type": "application/json"},
                    json.dumps(document).encode(),
                )
            )
            await writer.drain()

    async def _call(self, request: Request) -> tuple[int, Any]:
        if self.down:
            return 503, {}
        parts = [parse.unquote(p) for p in request.path.split("/")[2:]]
        if request.method == "GET" and len(parts) == 1:
            if "watch" in request.query:
                return await self._watch(parts[0], request.query)
            return self._list(parts[0], request.query)
        if request.method == "GET":
            held = self._objects.get((parts[0], parts[1]))
            return (404, {}) if held is None else (200, held)
        if request.method == "DELETE":
            return self._delete(parts[0], parts[1], request.query)
        document = json.loads(request.body)
        name = document["metadata"]["name"]
        held = self._objects.get((parts[0], name))
        if request.method == "POST":
            if held is not None:
                return 409, held
        elif held is None:
            return 404, {}
        expected = document["metadata"].get("revision")
        if held is not None and expected not in (
            None,
            held["metadata"]["revision"],
        ):
            return 409, held
        return 200, self.write(parts[0], name, document["spec"])

    def _delete(
        self, kind: str, name: str, query: dict[str, str]
    ) -> tuple[int, Any]:
        held = self._objects.get((kind, name))
        if held is None:
            return 404, {}
        revision = str(held["metadata"]["revision"])
        if query.get("revision") not in (None, revision):
            return 409, held
        self.write(kind, name, None)
        return 200, held

    def _list(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        self.lists += 1
        after = query.get("since_rev", "")
        found = [
            held
            for (its, name), held in sorted(self._objects.items())
            if its == kind and name > after
        ]
        has_more = len(found) > self.page
        page = {
            "entries": found[: self.page],
            "has_more": has_more,
            "current_rev": self._revision,
        }
        if has_more:
            asyncio.get_running_loop().call_soon(self.between_pages, kind)
        return 200, page

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query["watch"])
        cuts = self._cuts
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self._oldest:
                return 410, {}
            events = [
                {"object": made, "deleted": deleted}
                for revision, its, deleted, made in self._changes
                if its == kind and revision > after
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()
            if self._cuts > cuts:
                raise ConnectionResetError


class Replica(Server):
    """A replica: it works on `slots` requests and queues a few beyond that."""

    def __init__(
        self, name: str, record: Record, slots: int = 6, queue: int = 4
    ) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_s = 0.02
        self.runs: dict[str, int] = {}
        self._working = 0
        self._held = 0
        self._free = asyncio.Condition()

    def entry(self, service: str, state: str = "ready") -> dict[str, Any]:
        """Returns the entry under which it records itself."""
        return {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection, one request at a time."""
        while True:
            request = await read_request(reader)
            await self.before(request, writer)
            made = await self.handle(request)
            writer.write(made)
            await writer.drain()
            await self.after(request, made, writer)

    async def before(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Called before a request is worked on."""

    async def after(
        self, request: Request, made: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Called after a request was answered."""

    async def handle(self, request: Request) -> bytes:
        """Returns the answer to a request."""
        expected = request.headers.get("martenjunction-expect-replica")
        if expected not in (None, self.name):
            return answer(421, {"Martenjunction-Replica-Id": self.name}, b"")
        if self._held >= self.slots + self.queue:
            return self.shed(request)
        self._held += 1
        try:
            async with self._free:
                while self._working >= self.slots:
                    await self._free.wait()
                self._working += 1
            try:
                return await self.work(request)
            finally:
                async with self._free:
                    self._working -= 1
                    self._free.notify()
        finally:
            self._held -= 1

    def shed(self, request: Request) -> bytes:
        """Returns the answer to a request for which there is no room."""
        return answer(503, {"Martenjunction-Not-Executed": "1"}, b"")

    async def work(self, request: Request) -> bytes:
        """Runs a request; returns its answer."""
        if request.path == HEALTH_PATH:
            return answer(200, {"Martenjunction-Replica-Id": self.name}, b"")
        self.runs[request.id] = self.runs.get(request.id, 0) + 1
        self.record.add("run", id=request.id, replica=self.name)
        await asyncio.sleep(self.work_s)
        return answer(
            200,
            {
                "Martenjunction-Attempt-Id": request.id,
                "Martenjunction-Replica-Seal": f"seal-{self.name}",
            },
            b"answer to " + request.id.encode(),
        )


def route(name: str, prefix: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 4000,
        "goal_ms": 1000,
        "priority": 1,
        "service": "app",
        "max_attempts": 1,
        "public": False,
        **changes,
    }


def config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a configuration with one service and one tenant."""
    return {
        "version": version,
        "routes": [route("orders", "/orders/", "unsafe")],
        "services": [
            {"name": "app", "health_path": HEALTH_PATH, "max_conns": 96}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": ["key-of-one"]}],
        **changes,
    }


class Box:
    """A process of the system, as the deploy file starts it."""

    def __init__(
        self, name: str, store: str, folder: pathlib.Path, **limits: Any
    ) -> None:
        # The port for metrics is fixed, so each box has an address of its own.
        self.ip = ".".join(
            str(random.randint(2, 250)) if n else "127" for n in range(4)
        )
        self.name = name
        ports = [free_port(self.ip) for _ in range(5)]
        self.frontend, self.ready, self.peers, self.entry = (
            f"{self.ip}:{port}" for port in ports[:4]
        )
        self.log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._first_port = ports[4]
        self._store = store
        self._limits = {"memory_mb": 150, "max_fds": 4100, "link_mbps": 1000.0}
        self._limits.update(limits)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, seeds: list[str], bootstrap: bool = True) -> None:
        """Starts the process."""
        bounds = "\n".join(f"{k} = {json.dumps(v)}" for k, v in BOUNDS.items())
        limits = "\n".join(f"{k} = {v}" for k, v in self._limits.items())
        self._settings.write_text(
            f'node = "{self.name}"\nrole = "box"\nmachine_class = "edge"\n'
            'serves = ["edge", "registry", "control"]\n'
            f'ip = "{self.ip}"\nzone = "zone-a"\nregion = "region-a"\n'
            f"port_range = [{self._first_port}, {self._first_port + 15}]\n"
            f"seeds = {json.dumps(seeds)}\n"
            f"bootstrap = {json.dumps(bootstrap)}\n"
            'discovery = "platform"\nentry = "registry"\nheartbeat_ms = 1200\n'
            'contracts = ["base", "drain", "config", "retry", "tenants"]\n'
            '[zones]\nzone-a = "region-a"\n'
            f'[listen]\nfrontend = "{self.frontend}"\nready = "{self.ready}"\n'
            f'control_plane = "{self.peers}"\ndirectory = "{self.entry}"\n'
            f"[limits]\ncpu_share = 0.537\ncores = 2\n{limits}\n"
            f"[bounds]\n{bounds}\n"
            f'[platform]\naddress = "{self._store}"\nform = "objects"\n'
            "writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
            "value_bytes = 1048576\n"
        )
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/tmp"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "MARTENJUNCTION_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def until_ready(self, limit_s: float = 30.0) -> None:
        """Waits until the box says that it is ready."""
        async with asyncio.timeout(limit_s):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    async with Client(self.ready) as client:
                        status, _, _ = await client.call("GET", "/readyz")
                        if status == 200:
                            return
                await asyncio.sleep(0.05)

    async def end(self) -> None:
        """Kills the process, if it has not ended."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


def command() -> list[str]:
    """Returns the command of the deploy file."""
    import tomllib

    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *rest = deploy["roles"]["box"]["run"].split()
    return [sys.executable if program == "python3" else program, *rest]


class Client:
    """A client with one kept connection."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def __aenter__(self) -> "Client":
        self._reader, self._writer = await asyncio.open_connection(
            self._host, self._port
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._writer is not None:
            self._writer.transport.abort()

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> tuple[int, dict[str, str], bytes]:
        """Makes a request; returns status, headers and body.

        Raises:
            EOFError: If the connection closes without a whole answer.
        """
        assert self._reader is not None and self._writer is not None
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.strip().split("\r\n")
            pairs = (line.partition(":") for line in rest)
            got = {n.strip().lower(): v.strip() for n, _, v in pairs}
            length = int(got.get("content-length", "0"))
            content = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise EOFError("closed without a whole answer") from error
        return int(first.split(" ")[1]), got, content


def order_headers(attempt: str, deadline_ms: int = 4000) -> dict[str, str]:
    """Returns the headers of a client's attempt."""
    return {
        "Martenjunction-Attempt-Id": attempt,
        "Martenjunction-Deadline-Ms": str(deadline_ms),
        "Authorization": "Bearer key-of-one",
    }


def run_case(folder: str, case: Callable[..., Awaitable[bool]]) -> None:
    """Runs a case and exits with its result.

    Args:
        folder: The folder of the case.
        case: Called with the record, a temporary folder and whether the
            disruption is to happen; returns whether the rule was broken.
    """
    record = Record(pathlib.Path(folder))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        with tempfile.TemporaryDirectory() as temporary:

            async def limited() -> bool:
                async with asyncio.timeout(110):
                    return await case(record, pathlib.Path(temporary), trouble)

            code = 1 if asyncio.run(limited()) else 0
    except Exception as error:
        record.add("could-not-run", error=repr(error))
    finally:
        record.write()
    sys.exit(code)
