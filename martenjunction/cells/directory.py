"""Layout of endpoints into cells, and ownership of cells."""

from collections.abc import Iterable
import dataclasses
import functools

from martenjunction.config import fleet
from martenjunction.decisions import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class CellInfo:
    """A cell, which groups nearby endpoints of one service.

    Attributes:
        name: `service/place/index`.
        service: The service.
        place: The region or availability zone that it spans.
        endpoints: Names of its endpoints.
    """

    name: str
    service: str
    place: str
    endpoints: tuple[str, ...]


Cells = dict[str, CellInfo]


def cells_of(config: fleet.FleetConfig) -> Cells:
    """Assigns all endpoints to cells.

    An endpoint's cell depends only on its own name and zone and its service's
    settings, so it does not change when other endpoints are added or removed.
    """
    return Layout().update(config)


class Layout:
    """The cells of a configuration, updated incrementally."""

    def __init__(self) -> None:
        self._services: dict[str, fleet.Service] = {}
        self._endpoints: dict[str, fleet.Endpoint] = {}
        self._cell_of: dict[str, str] = {}
        self._members: dict[str, set[str]] = {}
        self._infos: Cells = {}

    def _forget(self) -> None:
        self._endpoints = {}
        self._cell_of = {}
        self._members = {}
        self._infos = {}

    def update(self, config: fleet.FleetConfig) -> Cells:
        """Applies a configuration; returns its cells by name.

        Only cells with added, removed or replaced endpoints are rebuilt.
        Endpoints are compared by identity.
        """
        if config.service is not self._services:
            self._forget()
            self._services = config.service
        old = self._endpoints
        self._endpoints = config.endpoint
        changed = {
            name: endpoint
            for name, endpoint in config.endpoint.items()
            if old.get(name) is not endpoint
        }
        gone = [name for name in old if name not in config.endpoint]
        touched = {self._remove_endpoint(name) for name in (*gone, *changed)}
        for name, endpoint in changed.items():
            touched.add(self._add_endpoint(name, endpoint))
        self._infos = dict(self._infos)
        for cell in touched - {""}:
            self._rebuild(cell)
        return self._infos

    def _remove_endpoint(self, name: str) -> str:
        cell = self._cell_of.pop(name, "")
        if cell:
            self._members[cell].discard(name)
        return cell

    def _add_endpoint(self, name: str, endpoint: fleet.Endpoint) -> str:
        service = self._services.get(endpoint.service)
        if service is None:
            return ""
        place = endpoint.zone
        if service.span is fleet.CellSpan.REGION:
            place = region_of(endpoint.zone)
        cell = f"{service.name}/{place}/{_index(name, service.cells)}"
        self._cell_of[name] = cell
        self._members.setdefault(cell, set()).add(name)
        return cell

    def _rebuild(self, cell: str) -> None:
        names = self._members[cell]
        if not names:
            del self._members[cell]
            self._infos.pop(cell, None)
            return
        service, _, rest = cell.partition("/")
        place = rest.rpartition("/")[0]
        self._infos[cell] = CellInfo(cell, service, place, tuple(sorted(names)))


@functools.lru_cache(maxsize=65_536)
def _index(endpoint: str, cells: int) -> int:
    if cells == 1:
        return 0
    indexes = [str(index) for index in range(cells)]
    return int(rendezvous.owner(indexes, endpoint) or 0)


@dataclasses.dataclass(frozen=True, slots=True)
class BoxLocation:
    """A candidate owner of cells and its availability zone."""

    box: str
    zone: str


def owner_ranking(cell: CellInfo, boxes: Iterable[BoxLocation]) -> list[str]:
    """Returns the candidate owners of a cell, best first.

    Boxes in the region or zone that the cell spans precede all others.
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

    Zones without a region belong to the region `home`.
    """
    region, slash, _ = zone.partition("/")
    return region if slash else HOME_REGION


HOME_REGION = "home"


def is_within(zone: str, place: str) -> bool:
    """Returns whether a zone equals a place or lies in it."""
    return place in (zone, region_of(zone))


# Cost in seconds of crossing zones and regions, used when choosing cells.
OTHER_ZONE = 0.005
OTHER_REGION = 0.1


def distance(zone: str, place: str) -> float:
    """Returns the cost in seconds of using a place from a zone.

    Args:
        zone: The availability zone of the sender.
        place: An availability zone or a region.
    """
    if is_within(zone, place):
        return 0.0
    if region_of(zone) == region_of(place):
        return OTHER_ZONE
    return OTHER_REGION
