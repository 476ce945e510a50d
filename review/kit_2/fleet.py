"""Starts the project's boxes as processes, and clients before them."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import tomllib
from typing import Any

from review.kit_2 import record
from review.kit_2 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "api.example"
KEY = "key-of-one"
READY_LIMIT_S = 30.0


@dataclasses.dataclass
class Box:
    """A box, and where it listens."""

    name: str
    frontend: str
    ready: str
    control: str
    directory: str
    settings: str
    process: asyncio.subprocess.Process | None = None


@dataclasses.dataclass
class Reply:
    """What a client saw of its request.

    Attributes:
        id: The id of the request.
        status: The status; 0 for none.
        whole: Whether the answer is complete.
        body: What came of its body.
        sent: When the request was sent, in seconds.
        ended: When the answer ended, in seconds.
    """

    id: str
    status: int
    whole: bool
    body: bytes
    sent: float
    ended: float


class Fleet:
    """The boxes of a small deployment."""

    def __init__(self, store_address: str, notes: record.Record) -> None:
        """Makes an empty fleet."""
        self.boxes: list[Box] = []
        self._store = store_address
        self._notes = notes
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._rng = random.Random()
        self._log = (self._folder / "log").open("wb")

    async def add(self, name: str) -> Box:
        """Starts a box with the command of the deploy file."""
        ip = f"127.{self._rng.randint(10, 250)}.{self._rng.randint(1, 250)}.9"
        ports = _free_ports(ip, 5)
        box = Box(
            name,
            f"{ip}:{ports[0]}",
            f"{ip}:{ports[1]}",
            f"{ip}:{ports[2]}",
            f"{ip}:{ports[3]}",
            str(self._folder / f"{name}.toml"),
        )
        pathlib.Path(box.settings).write_text(
            self._settings_text(box, ip, ports[4]), encoding="utf-8"
        )
        self.boxes.append(box)
        await self.start(box)
        return box

    async def start(self, box: Box) -> None:
        """Starts the process of a box."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MARTENJUNCTION_SETTINGS"] = box.settings
        box.process = await asyncio.create_subprocess_exec(
            *deploy["roles"]["box"]["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self._notes.note(f"{box.name}: started")

    async def until_ready(self) -> None:
        """Waits until all boxes say that they are ready.

        Raises:
            TimeoutError: If they do not in time.
        """
        async with asyncio.timeout(READY_LIMIT_S):
            for box in self.boxes:
                while not await self._is_ready(box):
                    await asyncio.sleep(0.1)
                self._notes.note(f"{box.name}: ready")

    async def _is_ready(self, box: Box) -> bool:
        try:
            reply = await self.call(box.ready, "GET", "/readyz", {}, b"", "")
        except OSError:
            return False
        return reply.status == 200

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        name: str,
    ) -> Reply:
        """Makes a request on a new connection.

        Raises:
            OSError: If the connection cannot be made.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(host, int(port))
        reply = Reply(name, 0, False, b"", self._notes.now(), 0.0)
        pairs = {"Host": HOST, **headers}
        if body:
            pairs["Content-Length"] = str(len(body))
        with contextlib.suppress(EOFError, OSError, ValueError):
            writer.write(wire.head(f"{method} {target} HTTP/1.1", pairs) + body)
            head = await wire.read_head(reader)
            reply.status = int(head.first[1])
            if "chunked" in head.headers.get("transfer-encoding", ""):
                while part := await wire.read_chunk(reader):
                    reply.body += part
            else:
                reply.body = await wire.read_body(reader, head)
            reply.whole = True
        reply.ended = self._notes.now()
        writer.transport.abort()
        return reply

    def stop(self) -> None:
        """Kills all boxes."""
        for box in self.boxes:
            if box.process is not None and box.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    box.process.send_signal(signal.SIGKILL)

    async def ended(self) -> None:
        """Waits until all processes have ended."""
        for box in self.boxes:
            if box.process is not None:
                await box.process.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Returns what the boxes logged."""
        lines = []
        for line in (self._folder / "log").read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def _settings_text(self, box: Box, ip: str, tunnel_port: int) -> str:
        seeds = json.dumps([other.control for other in self.boxes[:3]])
        return f"""
node = "{box.name}"
role = "box"
machine_class = "edge"
serves = ["edge","control","registry"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
port_range = [{tunnel_port},{tunnel_port}]
seeds = {seeds}
bootstrap = {"true" if not self.boxes else "false"}
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
[zones]
zone-a = "region-a"
[listen]
frontend = "{box.frontend}"
ready = "{box.ready}"
control_plane = "{box.control}"
directory = "{box.directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 150
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
regress_ms = 250
outer_ms = 5000
fail_closed = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 52
recover_s = 12
iter_ms = 120
retry_after_s = 5.6
ttl_max_s = 5
[platform]
address = "{self._store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def config_document(version: int = 7) -> dict[str, Any]:
    """Returns a configuration with a plain service and engines."""
    route = {"host": HOST, "priority": 1, "public": False, "max_attempts": 1}
    stream = {"route_kind": "streaming", "service": "lm", "sticky": True}
    return {
        "version": version,
        "routes": [
            {
                **route,
                "name": "check",
                "path_prefix": "/check/",
                "route_kind": "unsafe",
                "timeout_ms": 2000,
                "goal_ms": 200,
                "service": "app",
            },
            {
                **route,
                **stream,
                "name": "chat",
                "path_prefix": "/chat/",
                "timeout_ms": 12000,
                "goal_ms": 300,
                "gap_goal_ms": 250,
                "resumable": False,
            },
        ],
        "services": [
            {
                "name": "app",
                "health_path": "/healthz",
                "max_conns": 96,
                "protocol": "h1",
                "tls": False,
            },
            {
                "name": "lm",
                "health_path": "/healthz",
                "max_conns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 289584,
                    "kv_bytes": 18432,
                    "link_mbps": 550000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 6,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 5.0,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1}],
    }


def _free_ports(ip: str, count: int) -> list[int]:
    found = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        found.append(sock)
    ports = [sock.getsockname()[1] for sock in found]
    for sock in found:
        sock.close()
    return ports
