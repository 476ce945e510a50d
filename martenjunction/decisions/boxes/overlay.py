"""Which boxes of a large fleet are connected to each other.

Answers the load pattern of a fleet whose control traffic would otherwise grow
with the number of its boxes: in a full mesh each box handles the messages of
all others. Here the boxes of an availability zone form a tree of bounded
fan-out, and the first boxes of the zones form another one above. A second set
of trees in reverse order gives each box another path, and boxes with many
children in one set have none in the other. All boxes derive the same trees from
the same members, without agreement; views that differ only cost some links.

Parents always precede their children in one total order, so that boxes with
different views cannot form a cycle.
"""

from collections.abc import Iterable
import dataclasses
import enum

from martenjunction.decisions import rendezvous

# Maximum number of children of a box in its own availability zone, and of the
# first box of a zone among the first boxes of other zones.
FANOUT = 6
ZONE_FANOUT = 4

# Rendezvous hashing keys that order the zones, and the boxes of a zone.
ZONE_KEY = "overlay zone"
BOX_KEY = "overlay box"


class Tree(enum.Enum):
    """The trees that connect the boxes.

    Attributes:
        PRIMARY: Carries sums; boxes with fast links come first.
        BACKUP: A second path for events; the order is reversed.
    """

    PRIMARY = "primary"
    BACKUP = "backup"


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A box to be placed in the trees.

    Attributes:
        box: Its name.
        zone: Its availability zone.
        link_kb: Bandwidth of its link in kilobytes per second.
    """

    box: str
    zone: str
    link_kb: int


class Overlay:
    """The trees of one set of boxes."""

    def __init__(self, nodes: Iterable[Node]) -> None:
        """Orders the boxes.

        Args:
            nodes: The boxes; each name appears once.
        """
        by_zone: dict[str, list[Node]] = {}
        for node in nodes:
            by_zone.setdefault(node.zone, []).append(node)
        zones = rendezvous.ranked(by_zone, ZONE_KEY)
        self._order: dict[Tree, list[list[str]]] = {
            Tree.PRIMARY: [_order(by_zone[zone]) for zone in zones]
        }
        self._order[Tree.BACKUP] = [
            order[::-1] for order in reversed(self._order[Tree.PRIMARY])
        ]
        self._position: dict[Tree, dict[str, tuple[int, int]]] = {
            tree: {
                box: (zone, index)
                for zone, order in enumerate(orders)
                for index, box in enumerate(order)
            }
            for tree, orders in self._order.items()
        }

    def parent(self, box: str, tree: Tree) -> str | None:
        """Returns a box's parent; None for the root and unknown boxes."""
        position = self._position[tree].get(box)
        if position is None or position == (0, 0):
            return None
        zone, index = position
        orders = self._order[tree]
        if index:
            return orders[zone][(index - 1) // FANOUT]
        return orders[(zone - 1) // ZONE_FANOUT][0]

    def children(self, box: str, tree: Tree) -> list[str]:
        """Returns a box's children, at most `FANOUT + ZONE_FANOUT`."""
        position = self._position[tree].get(box)
        if position is None:
            return []
        zone, index = position
        orders = self._order[tree]
        children = orders[zone][
            index * FANOUT + 1 : index * FANOUT + FANOUT + 1
        ]
        if index:
            return children
        below = orders[zone * ZONE_FANOUT + 1 : (zone + 1) * ZONE_FANOUT + 1]
        return children + [order[0] for order in below]

    def precedes(self, box: str, other: str, tree: Tree) -> bool:
        """Returns whether a box may be an ancestor of another one."""
        positions = self._position[tree]
        if box not in positions or other not in positions:
            return False
        return positions[box] < positions[other]

    def rank(self, box: str) -> int:
        """Returns the order in which boxes replace the root: 0 for the root.

        The first boxes of the other zones follow at once, then the others by
        their position in their zone.
        """
        position = self._position[Tree.PRIMARY].get(box)
        if position is None:
            return len(self._position[Tree.PRIMARY]) + 1
        zone, index = position
        return index + 1 if zone or index else 0


def _order(nodes: list[Node]) -> list[str]:
    """Returns the boxes of a zone, those with fast links first."""
    hashed = rendezvous.ranked([node.box for node in nodes], BOX_KEY)
    links = {node.box: node.link_kb for node in nodes}
    return sorted(hashed, key=lambda box: links[box], reverse=True)
