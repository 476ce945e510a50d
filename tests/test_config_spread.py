"""Tests that a configuration change reaches all boxes within its bound."""

from martenjunction_lab.spread import fleet

# Seconds after the store's acknowledgment within which a change must be in
# force in a fleet of this size.
BOUND_S = 3.0


def slowest_s(site: fleet.Site) -> float:
    """Returns the seconds until a change was in force on the last box."""
    return max(fleet.Fleet(site).run().values())


def test_overloaded_boxes_get_a_change_without_the_store() -> None:
    # Guards against boxes that still accept revoked keys after 4 s, as did two
    # of 87 while boxes were short of processor time and the store rejected a
    # third of them. A late box queried every peer every 0.3 s and after each
    # status with a newer version. Every answer had the whole document, and
    # answers to all but the last 64 queries were discarded. In a simulation
    # where six of 30 boxes get a quarter of the processor time they need, the
    # median was 0.49 s, two of the six took 3.5 and 4.9 s, and one, rejected by
    # the store, never got the change.
    site = fleet.Site(
        boxes=30,
        zones=1,
        versions=2,
        slow_part=0.2,
        slow_speed=0.005,
        turned_away_part=0.35,
        settle_s=2.0,
        tail_s=6.0,
    )
    assert slowest_s(site) <= BOUND_S


def test_large_configuration_reaches_boxes_without_the_store() -> None:
    # Guards against one reader that sends 368 kB to each of 29 boxes over its
    # 5 Mbit/s link, and again to each box that is still waiting: 18 MB in 9 s.
    # Boxes rejected by the store then lacked the change after 6 s.
    site = fleet.Site(
        boxes=30,
        zones=1,
        routes=1460,
        versions=2,
        turned_away_part=0.35,
        settle_s=2.0,
        tail_s=6.0,
    )
    assert slowest_s(site) <= BOUND_S


def test_adding_thousands_of_routes_reaches_all_boxes() -> None:
    # Guards against links that are saturated when a change adds 1,400 routes to
    # 49 and the document grows from 15 kB to some 370 kB. Each status of a peer
    # made a box request the document again over its 5 Mbit/s link. Of 50 boxes
    # that reported a version after 22 s, 29 had the previous one, although no
    # event loop was blocked for more than 0.13 s. In 14 s, 1,627 links timed
    # out and 981 handshakes did not complete.
    site = fleet.Site(
        boxes=30,
        zones=1,
        first_routes=49,
        routes=1452,
        versions=3,
        gap_s=1.0,
        turned_away_part=0.35,
        settle_s=2.0,
        tail_s=6.0,
    )
    assert slowest_s(site) <= BOUND_S
