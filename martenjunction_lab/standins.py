"""The outside of a fleet: platform, engines and plain services."""

import dataclasses
import pathlib
from typing import Any

from martenjunction.config import fleet
from martenjunction.config import settings as daemon_settings
from martenjunction.objects import configuration
from martenjunction.objects import model
from martenjunction_lab import answers
from martenjunction_lab import engine
from martenjunction_lab import plain
from martenjunction_lab import platform

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


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
class Outside:
    """What a fleet's outside is made of.

    Attributes:
        files: Configuration files, without endpoints.
        engines: Engines.
        plains: Servers of plain services.
        class_values: Values that every class gets besides its own.
    """

    files: list[str]
    engines: list[EngineGroup]
    plains: list[PlainGroup]
    class_values: dict[str, str] = dataclasses.field(default_factory=dict)


class StandIns:
    """The outside of a fleet, in this process."""

    def __init__(self, outside: Outside) -> None:
        """Makes the stand-ins; `start` brings them up."""
        self._outside = outside
        self.platform = platform.Platform()
        self.engines: dict[str, engine.Engine] = {}
        self.plains: dict[str, plain.PlainService] = {}
        self.documents: list[fleet.Document] = []
        self.config = fleet.FleetConfig()

    def start(self) -> None:
        """Brings everything up and puts the configuration in place."""
        self.platform.start()
        self.documents, _ = fleet.read(self._outside.files)
        for document in self.documents:
            if document.kind == "class":
                document.values.update(self._outside.class_values)
        for group in self._outside.engines:
            for _ in range(group.count):
                self._start_engine(group)
        for plain_group in self._outside.plains:
            for _ in range(plain_group.count):
                self._start_plain(plain_group)
        values = [fleet.parse_document(d) for d in self.documents]
        self.config = fleet.build(values)
        put_documents(self.platform, self.documents)

    async def stop(self) -> None:
        """Stops everything at once."""
        for stand_in in [*self.engines.values(), *self.plains.values()]:
            await stand_in.stop()
        await self.platform.stop()

    def list_daemon(
        self,
        settings: daemon_settings.DaemonSettings,
        state: model.BoxState = model.BoxState.LIVE,
    ) -> None:
        """Changes what the platform's list says of a daemon."""
        self.platform.set_box(
            model.ListedBox(
                settings.box,
                model.BoxRole.DAEMON,
                state,
                settings.zone,
                settings.callers,
                settings.operators,
                settings.peers,
            )
        )

    def list_endpoint(self, name: str, state: model.BoxState) -> None:
        """Changes what the platform's list says of an endpoint."""
        self.platform.set_box(
            model.ListedBox(name, model.BoxRole.ENDPOINT, state)
        )

    def doubled_bookings(self) -> int:
        """Returns how many plain calls were run more than once."""
        return sum(
            runs > 1
            for service in self.plains.values()
            for runs in service.runs.values()
        )

    def runs_of(self, booking: str) -> int:
        """Returns how often a plain call was run, over all servers."""
        return sum(s.runs[booking] for s in self.plains.values())

    def starts_of(self, body: dict[str, Any]) -> int:
        """Returns how often a chat request was started, over all engines."""
        mark = answers.mark_of(body["messages"])
        return sum(e.counts.marks[mark] for e in self.engines.values())

    def tokens_made(self) -> int:
        """Returns the tokens that engines made, for whatever end."""
        return sum(e.counts.tokens_made for e in self.engines.values())

    def _start_engine(self, group: EngineGroup) -> None:
        name = f"{group.service}-{len(self.engines) + 1}"
        speed = dataclasses.replace(group.speed)
        stand_in = engine.Engine(name, speed=speed)
        stand_in.start()
        self.engines[name] = stand_in
        self._add(name, group, stand_in.address, speed.slots)

    def _start_plain(self, group: PlainGroup) -> None:
        name = f"{group.service}-{len(self.plains) + 1}"
        stand_in = plain.PlainService(name)
        stand_in.start()
        self.plains[name] = stand_in
        self._add(name, group, stand_in.address, group.slots)

    def _add(
        self,
        name: str,
        group: EngineGroup | PlainGroup,
        address: str,
        slots: int,
    ) -> None:
        values = {
            "service": group.service,
            "zone": group.zone,
            "address": address,
            "slots": str(slots),
        }
        self.documents.append(fleet.Document("endpoint", name, values))


def put_documents(
    target: platform.Platform, documents: list[fleet.Document]
) -> None:
    """Puts documents into a platform stand-in as an operator would."""
    for document in documents:
        held = target.get(document.key)
        value = configuration.envelope(document.values, "lab", held)
        target.put(document.key, value, held.version if held else 0)
