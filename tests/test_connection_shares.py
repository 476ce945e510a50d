"""Tests the shares of an endpoint's connections in a fleet that is cut.

Guards against boxes that call each other silent, and each take the shares of
the others although these go on to use them.
"""

import types

import pytest

from martenjunction import timers
from martenjunction.peers import membership
from martenjunction.routing.limits import connection_shares
from tests import routing_builders as builders

MAX_CONNECTIONS = 300


def share_beyond_cut(boxes: int, reached: int) -> int:
    """Returns the share of a box that reaches some boxes of a fleet."""
    now = 0.0
    clock = timers.Timers(lambda: now)
    names = [f"box-{number}" for number in range(boxes)]
    members = membership.Membership(
        membership.Member(names[0], "zone-a", "", "", "", 1),
        clock,
        lambda: None,
    )
    for name in names[1:]:
        other = membership.Member(name, "zone-a", "", "", "", 1)
        members.update_listed(other, True, False)
        members.update_told(other, silent=False)
    service = types.SimpleNamespace(max_connections=MAX_CONNECTIONS)
    admitter = types.SimpleNamespace(
        config=types.SimpleNamespace(services={builders.PLAIN: service})
    )
    shares = connection_shares.ConnectionShares(admitter, members)  # type: ignore[arg-type]
    assert boxes * shares.share(builders.PLAIN) <= MAX_CONNECTIONS
    for name in names[reached:]:
        other = membership.Member(name, "zone-a", "", "", "", 1)
        members.update_told(other, silent=True)
    now = 5.0
    assert len(members.live_members()) == reached
    return shares.share(builders.PLAIN)


@pytest.mark.parametrize(
    ("boxes", "parts"), [(36, 2), (36, 3), (87, 2), (87, 87)]
)
def test_parts_of_a_cut_fleet_keep_to_the_limit_together(
    boxes: int, parts: int
) -> None:
    sizes = [boxes // parts] * parts
    sizes[0] += boxes - sum(sizes)
    total = sum(size * share_beyond_cut(boxes, size) for size in sizes)
    assert total <= MAX_CONNECTIONS
