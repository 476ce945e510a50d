"""A fleet of real daemon processes, with stand-ins in this process."""

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

from martenjunction.cmd import remote
from martenjunction.config import settings as daemon_settings
from martenjunction.endpoints import client
from martenjunction_lab import bench
from martenjunction_lab import proxies
from martenjunction_lab import standins

READY_LIMIT = 60.0
MAX_TRANSFERS = 256


@dataclasses.dataclass
class ClusterSpec:
    """What a cluster is made of.

    Attributes:
        outside: Engines and services.
        daemons: Availability zones of the daemons, one each.
        entry_ttl: How long callers may keep an entry answer, in seconds.
        proxied: Whether proxies stand before the peers' ports and the
            platform.
        loop: The event loop of the daemons.
    """

    outside: standins.Outside
    daemons: list[str]
    entry_ttl: float = 1.0
    proxied: bool = False
    loop: str = "uvloop"


class DaemonProcess:
    """One daemon process."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        folder: pathlib.Path,
    ) -> None:
        """Makes the daemon; `start` runs it.

        Args:
            settings: Its settings.
            folder: Where its settings file and its log go.
        """
        self.settings = settings
        self._file = folder / f"{settings.box}.ini"
        self._log = folder / f"{settings.box}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """The process, while it runs."""
        if self._process is None:
            raise RuntimeError("the daemon was not started")
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """How it ended, or None while it runs."""
        return self._process.poll() if self._process is not None else None

    @property
    def log_file(self) -> pathlib.Path:
        """Where its log lines are."""
        return self._log

    def start(self) -> None:
        """Runs the daemon."""
        write_settings(self.settings, self._file, self._log)
        with self._log.open("ab") as errors:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "martenjunction",
                    "daemon",
                    "--config",
                    str(self._file),
                ],
                stderr=errors,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends the process a signal, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            os.kill(self._process.pid, number)

    async def wait(self, limit: float) -> int | None:
        """Waits for the process to end; returns its exit code, or None."""
        deadline = time.monotonic() + limit
        while self.exit_code is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        return self.exit_code


def write_settings(
    settings: daemon_settings.DaemonSettings,
    file: pathlib.Path,
    log: pathlib.Path,
) -> None:
    """Writes a daemon's settings as an INI file."""
    lines = ["[daemon]"]
    for key, value in dataclasses.asdict(settings).items():
        if key == "log":
            value = str(log)
        if key in ("entry_ttl", "drain_limit"):
            value = f"{value}s"
        if key in ("body_limit", "header_limit"):
            value = f"{value}B"
        if isinstance(value, list | tuple):
            value = ", ".join(value)
        if value not in (None, ""):
            lines.append(f"{key} = {value}")
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")


class Cluster:
    """Daemon processes and what they need."""

    def __init__(self, spec: ClusterSpec) -> None:
        """Makes a cluster; `start` brings it up."""
        self._spec = spec
        self._folder = tempfile.TemporaryDirectory()
        self._http: client.EndpointClient | None = None
        self.outside = standins.StandIns(spec.outside)
        self.daemons: dict[str, DaemonProcess] = {}
        self.peer_links: dict[str, proxies.Link] = {}
        self.platform_link: proxies.Link | None = None

    @property
    def addresses(self) -> list[str]:
        """The callers' addresses of the running daemons."""
        return [
            daemon.settings.callers
            for daemon in self.daemons.values()
            if daemon.exit_code is None
        ]

    @property
    def platform_address(self) -> str:
        """The platform's address, as the daemons use it."""
        return self._platform_address

    async def start(self) -> None:
        """Starts everything; every daemon is ready when it returns."""
        self._http = client.EndpointClient(MAX_TRANSFERS)
        self.outside.start()
        self._platform_address = self.outside.platform.address
        if self._spec.proxied:
            self._platform_address = bench.free_address()
            self.platform_link = proxies.Link(
                self._platform_address, self.outside.platform.address
            )
            await self.platform_link.start()
        for number, zone in enumerate(self._spec.daemons, start=1):
            await self.add_daemon(f"box-{number}", zone)
        await self.wait_ready()

    async def __aenter__(self) -> "Cluster":
        """Starts everything, and ends it again if that fails."""
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends everything."""
        await self.stop()

    async def add_daemon(
        self, box: str, zone: str, listed: bool = True, seeds: bool = False
    ) -> DaemonProcess:
        """Starts one more daemon.

        Args:
            box: Its box.
            zone: Its availability zone.
            listed: Whether the platform's list tells of it.
            seeds: Whether it is told some peers' addresses.
        """
        settings = bench.make_settings(
            box, zone, self._platform_address, self._spec.entry_ttl
        )
        settings = dataclasses.replace(settings, loop=self._spec.loop)
        if seeds:
            known = tuple(d.settings.peers for d in self.daemons.values())
            settings = dataclasses.replace(settings, seeds=known)
        if self._spec.proxied:
            real = bench.free_address()
            settings = dataclasses.replace(settings, listen_peers=real)
            link = proxies.Link(settings.peers, real)
            await link.start()
            self.peer_links[box] = link
        daemon = DaemonProcess(settings, pathlib.Path(self._folder.name))
        self.daemons[box] = daemon
        if listed:
            self.outside.list_daemon(settings)
        daemon.start()
        return daemon

    async def stop(self) -> None:
        """Ends everything at once."""
        for daemon in self.daemons.values():
            daemon.send(signal.SIGCONT)
            daemon.send(signal.SIGKILL)
        for daemon in self.daemons.values():
            await daemon.wait(5.0)
        links = list(self.peer_links.values())
        if self.platform_link is not None:
            links.append(self.platform_link)
        for link in links:
            await link.stop()
        await self.outside.stop()
        if self._http is not None:
            self._http.close()
        self._folder.cleanup()

    async def wait_ready(self) -> None:
        """Waits until daemons know one another and all endpoints."""
        async with asyncio.timeout(READY_LIMIT):
            while not await self._ready():
                await asyncio.sleep(0.1)

    async def dump(self, box: str) -> dict[str, Any]:
        """Returns a daemon's dump."""
        return await self.ask_json(box, "/operator/dump")

    async def ask_json(self, box: str, path: str) -> dict[str, Any]:
        """Asks a daemon on its operators' address for a JSON object."""
        return dict(json.loads(await self.ask(box, "GET", path)))

    async def explain(self, box: str, question: str) -> dict[str, Any]:
        """Asks a daemon what a described request would get."""
        path = "/operator/explain"
        body = await self.ask(box, "POST", path, question.encode())
        return dict(json.loads(body))

    async def ask(
        self, box: str, method: str, path: str, body: bytes = b""
    ) -> bytes:
        """Asks a daemon on its operators' address."""
        if self._http is None:
            raise RuntimeError("the cluster was not started")
        address = self.daemons[box].settings.operators
        answer = await remote.call_daemon(
            self._http, address, bench.OPERATOR_KEY, method, path, body
        )
        return answer.body

    async def get(self, box: str, path: str, key: str) -> dict[str, Any]:
        """Asks a daemon on its callers' address."""
        if self._http is None:
            raise RuntimeError("the cluster was not started")
        address = self.daemons[box].settings.callers
        answer = await remote.call_daemon(self._http, address, key, "GET", path)
        return dict(answer.json())

    async def owner_of(self, cell: str) -> str:
        """Returns the box that runs a cell."""
        for box, daemon in self.daemons.items():
            if daemon.exit_code is not None:
                continue
            dump = await self.dump(box)
            if cell in dump["cells"]:
                return box
        raise RuntimeError(f"nobody owns {cell}")

    async def _ready(self) -> bool:
        heard: set[str] = set()
        running = [b for b, d in self.daemons.items() if d.exit_code is None]
        for box in running:
            try:
                dump = await self.dump(box)
            except remote.NoAnswerError:
                return False
            if not self._connected(dump, len(running)):
                return False
            for cell in dump["cells"].values():
                heard.update(
                    name
                    for name, endpoint in cell["endpoints"].items()
                    if endpoint["state"] != "pending"
                )
        endpoints = len(self.outside.engines) + len(self.outside.plains)
        return len(heard) >= endpoints

    def _connected(self, dump: dict[str, Any], running: int) -> bool:
        wanted = min(running - 1, 8)
        known = len(self.outside.documents)
        return (
            len(dump["peers"]["connected"]) >= wanted
            and dump["config"]["objects"] >= known
        )
