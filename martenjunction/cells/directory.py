"""Which cells there are, what is in them, and who owns them."""

from collections.abc import Iterable
import dataclasses
import functools

from martenjunction.config import fleet
from martenjunction.decisions import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class CellInfo:
    """One cell: endpoints of one service, near to one another.

    Attributes:
        name: `service/place/index`.
        service: The service.
        place: The region or the availability zone that it spans.
        endpoints: Names of its endpoints.
    """

    name: str
    service: str
    place: str
    endpoints: tuple[str, ...]


def cells_of(config: fleet.FleetConfig) -> dict[str, CellInfo]:
    """Lays all endpoints out into cells.

    An endpoint's cell depends on its own name and its service's settings
    only, so that it stays where it is when others come and go.
    """
    members: dict[tuple[str, str, int], list[str]] = {}
    for endpoint in config.endpoint.values():
        service = config.service.get(endpoint.service)
        if service is None:
            continue
        place = endpoint.zone
        if service.span is fleet.CellSpan.REGION:
            place = region_of(endpoint.zone)
        index = _index(endpoint.name, service.cells)
        key = (service.name, place, index)
        members.setdefault(key, []).append(endpoint.name)
    cells = {}
    for (service_name, place, index), names in sorted(members.items()):
        name = f"{service_name}/{place}/{index}"
        cells[name] = CellInfo(name, service_name, place, tuple(sorted(names)))
    return cells


@functools.lru_cache(maxsize=65_536)
def _index(endpoint: str, cells: int) -> int:
    if cells == 1:
        return 0
    indexes = [str(index) for index in range(cells)]
    return int(rendezvous.owner(indexes, endpoint) or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class BoxPlace:
    """A box that may own cells, and where it stands."""

    box: str
    zone: str


def owner_ranking(cell: CellInfo, boxes: Iterable[BoxPlace]) -> list[str]:
    """Returns the boxes that may own a cell, the best first.

    Boxes in the place that the cell spans come before all others.
    """
    near: list[str] = []
    far: list[str] = []
    for place in boxes:
        (near if is_within(place.zone, cell.place) else far).append(place.box)
    return rendezvous.ranked(near, cell.name) + rendezvous.ranked(
        far, cell.name
    )


@functools.cache
def region_of(zone: str) -> str:
    """Returns the region of an availability zone written `region/zone`.

    Zones written without a region all belong to the same one.
    """
    region, slash, _ = zone.partition("/")
    return region if slash else HOME_REGION


HOME_REGION = "home"


def is_within(zone: str, place: str) -> bool:
    """Returns whether a zone is a place, or lies in it."""
    return place in (zone, region_of(zone))


# What it costs to cross zones and regions, in seconds, when cells are chosen.
OTHER_ZONE = 0.005
OTHER_REGION = 0.1


def distance(zone: str, place: str) -> float:
    """Returns the price, in seconds, of using another place.

    Args:
        zone: The availability zone where one is.
        place: An availability zone or a region.
    """
    if is_within(zone, place):
        return 0.0
    if region_of(zone) == region_of(place):
        return OTHER_ZONE
    return OTHER_REGION
