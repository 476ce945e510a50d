"""Which cells there are, what is in them, and who owns them."""

from collections.abc import Iterable
import dataclasses

from martenjunction.config import fleet
from martenjunction.decisions import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class CellInfo:
    """One cell: endpoints of one service in one availability zone.

    Attributes:
        name: `service/zone/index`.
        service: The service.
        zone: The availability zone.
        endpoints: Names of its endpoints.
    """

    name: str
    service: str
    zone: str
    endpoints: tuple[str, ...]


def cell_name(service: str, zone: str, index: int) -> str:
    """Returns the name of a cell."""
    return f"{service}/{zone}/{index}"


def cells_of(config: fleet.FleetConfig) -> dict[str, CellInfo]:
    """Lays all endpoints out into cells.

    An endpoint's cell depends on its own name and its service's number of
    cells only, so that it stays where it is when others come and go.
    """
    members: dict[tuple[str, str, int], list[str]] = {}
    for endpoint in config.endpoint.values():
        service = config.service.get(endpoint.service)
        if service is None:
            continue
        index = _index(endpoint.name, service.cells)
        key = (service.name, endpoint.zone, index)
        members.setdefault(key, []).append(endpoint.name)
    cells = {}
    for (service_name, zone, index), names in sorted(members.items()):
        name = cell_name(service_name, zone, index)
        cells[name] = CellInfo(name, service_name, zone, tuple(sorted(names)))
    return cells


def _index(endpoint: str, cells: int) -> int:
    indexes = [str(index) for index in range(cells)]
    return int(rendezvous.owner(indexes, endpoint) or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class BoxPlace:
    """A box that may own cells, and where it stands."""

    box: str
    zone: str


def owner_ranking(cell: CellInfo, boxes: Iterable[BoxPlace]) -> list[str]:
    """Returns the boxes that may own a cell, the best first.

    Boxes in the cell's own availability zone come before all others.
    """
    near: list[str] = []
    far: list[str] = []
    for place in boxes:
        (near if place.zone == cell.zone else far).append(place.box)
    return rendezvous.ranked(near, cell.name) + rendezvous.ranked(
        far, cell.name
    )


def region_of(zone: str) -> str:
    """Returns the region of an availability zone written `region/zone`.

    Zones without a region all belong to the same one.
    """
    region, slash, _ = zone.partition("/")
    return region if slash else ""


# What it costs to cross zones and regions, in seconds, when cells are chosen.
OTHER_ZONE = 0.005
OTHER_REGION = 0.1


def distance(zone: str, other: str) -> float:
    """Returns the price, in seconds, of using another availability zone."""
    if zone == other:
        return 0.0
    if region_of(zone) == region_of(other):
        return OTHER_ZONE
    return OTHER_REGION
