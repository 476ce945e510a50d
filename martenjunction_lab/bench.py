"""Daemons and stand-ins in one process, for the demonstration and trials."""

import asyncio
import dataclasses
import pathlib
import socket
import tempfile

from martenjunction import application
from martenjunction.config import fleet
from martenjunction.config import settings as daemon_settings
from martenjunction.platform import configuration
from martenjunction.platform import protocol
from martenjunction_lab import engine
from martenjunction_lab import plain
from martenjunction_lab import platform

OPERATOR_KEY = "operator-key"
PEER_KEY = "peer-key"
EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def free_port() -> int:
    """Returns a port that is free on the loopback address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def free_address() -> str:
    """Returns a loopback address with a free port."""
    return f"127.0.0.1:{free_port()}"


@dataclasses.dataclass(frozen=True)
class EngineGroup:
    """Some engines alike.

    Attributes:
        service: Their service.
        zone: Their availability zone.
        count: How many.
        speed: How fast they are.
    """

    service: str
    zone: str
    count: int
    speed: engine.EngineSpeed


@dataclasses.dataclass(frozen=True)
class PlainGroup:
    """Some servers of a plain service."""

    service: str
    zone: str
    count: int
    slots: int = 16


@dataclasses.dataclass
class BenchSpec:
    """What a bench is made of.

    Attributes:
        files: Configuration files, without endpoints.
        engines: Engines.
        plains: Servers of plain services.
        daemons: Availability zones of the daemons, one each.
        use_platform: Whether configuration and lists come from a platform.
        make_dispatcher: Makes the dispatchers of cells, or None.
        entry_ttl: How long callers may keep an entry answer, in seconds.
    """

    files: list[str]
    engines: list[EngineGroup]
    plains: list[PlainGroup]
    daemons: list[str]
    use_platform: bool = True
    make_dispatcher: application.MakeDispatcher | None = None
    entry_ttl: float = 1.0


class Bench:
    """A small fleet in this process."""

    def __init__(self, spec: BenchSpec) -> None:
        """Makes a bench; `start` brings it up."""
        self._spec = spec
        self.platform = platform.Platform()
        self.engines: dict[str, engine.Engine] = {}
        self.plains: dict[str, plain.PlainService] = {}
        self.daemons: list[application.Application] = []
        self.documents: list[fleet.Document] = []
        self.config = fleet.FleetConfig()

    @property
    def addresses(self) -> list[str]:
        """The callers' addresses of the daemons."""
        return [daemon.settings.callers for daemon in self.daemons]

    async def start(self) -> None:
        """Starts stand-ins and daemons; all is in force when it returns."""
        self.platform.start()
        self.documents, _ = fleet.read(self._spec.files)
        self._start_endpoints()
        self.config = fleet.build(
            [fleet.parse_document(document) for document in self.documents]
        )
        if self._spec.use_platform:
            put_documents(self.platform, self.documents)
        for number, zone in enumerate(self._spec.daemons):
            self._add_daemon(f"box-{number + 1}", zone)
        self._list_boxes()
        for daemon in self.daemons:
            await daemon.start()
        await self._wait_ready()

    async def stop(self) -> None:
        """Stops everything at once."""
        for daemon in self.daemons:
            await daemon.stop()
        for stand_in in [*self.engines.values(), *self.plains.values()]:
            await stand_in.stop()
        await self.platform.stop()

    def set_endpoint_state(self, name: str, state: protocol.BoxState) -> None:
        """Changes what the platform's list says of an endpoint."""
        self.platform.set_box(
            protocol.ListedBox(name, protocol.BoxRole.ENDPOINT, state)
        )

    def _start_endpoints(self) -> None:
        for group in self._spec.engines:
            for _ in range(group.count):
                name = f"{group.service}-{len(self.engines) + 1}"
                stand_in = engine.Engine(
                    name, speed=dataclasses.replace(group.speed)
                )
                stand_in.start()
                self.engines[name] = stand_in
                self._add_endpoint(
                    name,
                    group.service,
                    group.zone,
                    stand_in.address,
                    group.speed.slots,
                )
        for plain_group in self._spec.plains:
            for _ in range(plain_group.count):
                name = f"{plain_group.service}-{len(self.plains) + 1}"
                service = plain.PlainService(name)
                service.start()
                self.plains[name] = service
                self._add_endpoint(
                    name,
                    plain_group.service,
                    plain_group.zone,
                    service.address,
                    plain_group.slots,
                )

    def _add_endpoint(
        self, name: str, service: str, zone: str, address: str, slots: int
    ) -> None:
        values = {
            "service": service,
            "zone": zone,
            "address": address,
            "slots": str(slots),
        }
        self.documents.append(fleet.Document("endpoint", name, values))

    def _add_daemon(self, box: str, zone: str) -> None:
        settings = daemon_settings.DaemonSettings(
            box=box,
            zone=zone,
            callers=free_address(),
            operators=free_address(),
            peers=free_address(),
            operator_key=OPERATOR_KEY,
            peer_key=PEER_KEY,
            platform=f"http://{self.platform.address}",
            entry_ttl=self._spec.entry_ttl,
            fleet="" if self._spec.use_platform else self._write_file(),
        )
        self.daemons.append(
            application.Application(settings, self._spec.make_dispatcher)
        )

    def _write_file(self) -> str:
        with tempfile.NamedTemporaryFile(
            "w", suffix=".ini", delete=False
        ) as file:
            file.write(fleet.to_ini(self.documents))
        return file.name

    def _list_boxes(self) -> None:
        for daemon in self.daemons:
            self.platform.set_box(listed(daemon.settings))

    async def _wait_ready(self) -> None:
        """Waits until every endpoint has been heard of by its cell."""
        wanted = len(self.engines) + len(self.plains)
        async with asyncio.timeout(20.0):
            while self._heard() < wanted or not self._connected():
                await asyncio.sleep(0.05)

    def _heard(self) -> int:
        heard: set[str] = set()
        for daemon in self.daemons:
            for task in daemon.cells.tasks.values():
                heard.update(
                    name
                    for name, endpoint in task.decider.endpoints.items()
                    if endpoint.health.state != "pending"
                )
        return len(heard)

    def _connected(self) -> bool:
        others = len(self.daemons) - 1
        return all(len(d.peers.boxes()) >= others for d in self.daemons)


def put_documents(
    target: platform.Platform, documents: list[fleet.Document]
) -> None:
    """Puts documents into a platform stand-in as an operator would."""
    for document in documents:
        held = target.get(document.key)
        value = configuration.envelope(document.values, "lab", held)
        target.put(document.key, value, held.version if held else 0)


def listed(settings: daemon_settings.DaemonSettings) -> protocol.ListedBox:
    """Returns the list's row of a daemon that is live."""
    return protocol.ListedBox(
        settings.box,
        protocol.BoxRole.DAEMON,
        protocol.BoxState.LIVE,
        settings.zone,
        settings.callers,
        settings.operators,
        settings.peers,
    )
