"""Tests what the holders of a key grant together in a fleet that is cut.

Guards against a fleet that is cut along its availability zones, each part of
which grants the whole of a limit: a part without the zone of a key took the
boxes of another zone for those of the key's.
"""

import pytest

from martenjunction import timers
from martenjunction.peers import membership
from martenjunction.routing.fleet import holders

KEYS = [f"e{number}" for number in range(20)]


def selector_of(
    own: str, zone_of: dict[str, str], heard: set[str], is_sparse: bool
) -> holders.HolderSelector:
    """Returns the selector of a box that hears one part of a fleet."""
    clock = timers.Timers(lambda: 0.0)
    members = membership.Membership(
        membership.Member(own, zone_of[own], "", "", "", 1),
        clock,
        lambda: None,
    )
    for name in sorted(zone_of):
        if name != own:
            member = membership.Member(name, zone_of[name], "", "", "", 1)
            members.update_listed(member, True, False)
            if is_sparse:
                members.update_told(member, silent=name not in heard)

    def responsive() -> list[membership.Member]:
        return [
            member
            for member in members.live_members()
            if member.box in heard and member.box != own
        ]

    return holders.HolderSelector(members, responsive)


@pytest.mark.parametrize(
    ("boxes", "zones", "alone"),
    [(120, 3, 1), (120, 3, 2), (195, 5, 1), (87, 3, 1), (12, 3, 1)],
)
def test_holders_beyond_a_cut_between_zones_grant_the_limit_once(
    boxes: int, zones: int, alone: int
) -> None:
    zone_of = {f"box-{n:03}": f"zone-{n % zones}" for n in range(boxes)}
    beyond = {f"zone-{z}" for z in range(alone)}
    parts = [
        {box for box, zone in zone_of.items() if (zone in beyond) is is_beyond}
        for is_beyond in (True, False)
    ]
    is_sparse = boxes > membership.MAX_FULL_MESH_SIZE
    selectors = [
        selector_of(min(part), zone_of, part, is_sparse) for part in parts
    ]
    granted = [made.reachable_fraction() for made in selectors]
    assert sum(granted) == pytest.approx(1.0)
    for part, made in zip(parts, selectors, strict=True):
        assert {made.holder(key) for key in KEYS} <= part


@pytest.mark.parametrize("boxes", [12, 120])
def test_holder_of_a_whole_fleet_grants_the_whole_limit(boxes: int) -> None:
    zone_of = {f"box-{n:03}": f"zone-{n % 3}" for n in range(boxes)}
    is_sparse = boxes > membership.MAX_FULL_MESH_SIZE
    made = selector_of("box-000", zone_of, set(zone_of), is_sparse)
    assert made.reachable_fraction() == 1.0
