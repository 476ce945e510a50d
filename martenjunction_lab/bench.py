"""Daemons and stand-ins in one process, for the demonstration and trials."""

import asyncio
import dataclasses
import random
import socket

from martenjunction import application
from martenjunction.config import settings as daemon_settings
from martenjunction_lab import standins

OPERATOR_KEY = "operator-key"
PEER_KEY = "peer-key"
READY_LIMIT = 30.0


# Ports below those that the system gives to outgoing connections, which could
# take a port between its choice here and its use.
PORTS = range(10_000, 32_000)

# Ports of a range that a process claims, so that processes of tests that run
# beside each other do not take a port between its choice and its use.
RANGE_PORTS = 500

_given: set[int] = set()
_claimed: list[range] = []
_claims: list[socket.socket] = []


def _claim_range() -> range:
    """Claims a range of ports by listening on its first one until the end.

    Raises:
        OSError: If other processes have claimed all of them.
    """
    starts = list(PORTS[::RANGE_PORTS])
    random.shuffle(starts)
    for start in starts:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", start))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        return range(start + 1, start + RANGE_PORTS)
    raise OSError("no range of ports is left")


def free_port() -> int:
    """Returns a loopback port that is free now, and no port twice."""
    while True:
        if len(_given) >= RANGE_PORTS // 2 * len(_claimed):
            _claimed.append(_claim_range())
        port = random.choice(random.choice(_claimed))
        if port in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue  # Somebody listens there.
        _given.add(port)
        return port


def free_address() -> str:
    """Returns a loopback address with a port that is free now."""
    return f"127.0.0.1:{free_port()}"


def make_settings(
    box: str, zone: str, platform_address: str, entry_ttl: float
) -> daemon_settings.DaemonSettings:
    """Returns the settings of a daemon on free loopback addresses."""
    return daemon_settings.DaemonSettings(
        box=box,
        zone=zone,
        callers=free_address(),
        operators=free_address(),
        peers=free_address(),
        operator_key=OPERATOR_KEY,
        peer_key=PEER_KEY,
        platform=f"http://{platform_address}",
        entry_ttl=entry_ttl,
    )


@dataclasses.dataclass
class BenchSpec:
    """What a bench is made of.

    Attributes:
        outside: Engines and services.
        daemons: Availability zones of the daemons, one each.
        make_dispatcher: Makes the dispatchers of cells, or None.
        entry_ttl: How long callers may keep an entry answer, in seconds.
        drain_limit: Longest planned stop, in seconds.
    """

    outside: standins.Outside
    daemons: list[str]
    make_dispatcher: application.MakeDispatcher | None = None
    entry_ttl: float = 1.0
    drain_limit: float = 600.0


class Bench:
    """A small fleet in this process."""

    def __init__(self, spec: BenchSpec) -> None:
        """Makes a bench; `start` brings it up."""
        self._spec = spec
        self.outside = standins.StandIns(spec.outside)
        self.daemons: list[application.Application] = []

    @property
    def addresses(self) -> list[str]:
        """The callers' addresses of the daemons."""
        return [daemon.settings.callers for daemon in self.daemons]

    async def start(self) -> None:
        """Starts stand-ins and daemons; all is in force when it returns."""
        self.outside.start()
        for number, zone in enumerate(self._spec.daemons, start=1):
            settings = make_settings(
                f"box-{number}",
                zone,
                self.outside.platform.address,
                self._spec.entry_ttl,
            )
            settings = dataclasses.replace(
                settings, drain_limit=self._spec.drain_limit
            )
            self.outside.list_daemon(settings)
            self.daemons.append(
                application.Application(settings, self._spec.make_dispatcher)
            )
        for daemon in self.daemons:
            await daemon.start()
        async with asyncio.timeout(READY_LIMIT):
            while not self._ready():
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Stops everything at once."""
        for daemon in self.daemons:
            await daemon.stop()
        await self.outside.stop()

    def _ready(self) -> bool:
        outside = self.outside
        endpoints = len(outside.engines) + len(outside.plains)
        others = len(self.daemons) - 1
        connected = all(len(d.peers.boxes()) >= others for d in self.daemons)
        return connected and len(self._heard()) >= endpoints

    def _heard(self) -> set[str]:
        return {
            name
            for daemon in self.daemons
            for task in daemon.cells.tasks.values()
            for name, endpoint in task.dispatcher.endpoints.items()
            if endpoint.health.state != "pending"
        }
