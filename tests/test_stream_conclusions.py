"""Where a stream of which nothing is recorded can have begun."""

import types
from typing import Any

import msgspec
import pytest

from martenjunction import model
from martenjunction.decisions.boxes import served_routes
from martenjunction.decisions.boxes import served_versions
from martenjunction.decisions.boxes import settled_services
from martenjunction.decisions.boxes import stream_conclusions
from martenjunction.decisions.boxes import stream_table
from martenjunction.platform import documents
from tests import routing_builders as builders

Basis = stream_table.Basis


def engine(number: int, version: str) -> Any:
    return types.SimpleNamespace(id=f"e{number}", service="s", version=version)


def watched(
    *versions: str, for_s: int, first_start: bool = False
) -> served_versions.ServedVersions:
    """Returns what a box knows that saw some versions for some seconds."""
    watching = served_versions.ServedVersions(
        5.0, first_start_at=0.0 if first_start else None
    )
    listed = [engine(n, version) for n, version in enumerate(versions)]
    for second in range(for_s + 1):
        watching.look(listed, float(second), float(second))
    return watching


def test_single_version_is_concluded_only_after_the_life_of_a_stream() -> None:
    assert watched("v1", for_s=4).settled(4.0) == {}
    assert watched("v1", for_s=5).settled(5.0) == {"s": "v1"}
    assert watched("v1", "v2", for_s=9).settled(9.0) == {}


def test_first_start_of_a_fleet_has_no_earlier_streams() -> None:
    assert watched("v1", for_s=1, first_start=True).settled(1.0) == {"s": "v1"}
    both = watched("v1", "v2", for_s=1, first_start=True)
    assert both.settled(1.0) == {}


def test_version_that_left_counts_for_the_life_of_a_stream() -> None:
    watching = watched("v1", "v2", for_s=9)
    for second in range(10, 16):
        watching.look([engine(1, "v2")], float(second), float(second))
        is_old_possible = second - 9 <= 5
        expected = {} if is_old_possible else {"s": "v2"}
        assert watching.settled(float(second)) == expected


def test_version_that_left_long_after_a_request_may_last_still_counts() -> None:
    watching = served_versions.ServedVersions(first_start_at=0.0)
    for second in range(1200):
        version = "v1" if second < 20 else "v2"
        watching.look([engine(1, version)], float(second), float(second))
    assert watching.versions("s", 1199.0) == {"v1", "v2"}


@pytest.mark.parametrize("first_start", [False, True])
def test_box_that_was_suspended_concludes_nothing(first_start: bool) -> None:
    watching = watched("v1", for_s=9, first_start=first_start)
    watching.restore({"s": "v1"}, 9.0)
    watching.look([engine(1, "v1")], 60.0, 60.0)
    assert watching.settled(60.0) == {}


def config(version: int, *routes: tuple[str, str]) -> model.RoutingConfig:
    """Returns a configuration with streams of some prefixes and services."""
    document = builders.config_document(version)
    digest = next(r for r in document["routes"] if r["name"] == "digest")
    document["routes"] = [
        {**digest, "name": prefix, "path_prefix": prefix, "service": service}
        for prefix, service in routes
    ]
    return documents.decode_config(msgspec.json.encode(document))


def conclude(
    conclusions: stream_conclusions.StreamConclusions, path: str, now: float
) -> stream_table.Finding:
    return conclusions.conclude(builders.HOST, path, now)


E1, P1 = (builders.ENGINE, "v1"), (builders.PLAIN, "v1")


@pytest.mark.parametrize(
    ("changes", "path", "basis"),
    [
        ([[("/a/", builders.ENGINE)]], "/a/b/", Basis.SINGLE),
        (
            [[("/a/", builders.ENGINE)], [("/a/", builders.PLAIN)]],
            "/a/b/",
            Basis.SEVERAL,
        ),
        (
            [
                [("/a/", builders.ENGINE)],
                [("/a/", builders.ENGINE), ("/a/b/", builders.PLAIN)],
            ],
            "/a/b/",
            Basis.SEVERAL,
        ),
        (
            [
                [("/a/", builders.ENGINE)],
                [("/a/", builders.ENGINE), ("/a/b/", builders.PLAIN)],
            ],
            "/a/c/",
            Basis.SINGLE,
        ),
        (
            [
                [("/a/", builders.ENGINE), ("/a/b/", builders.PLAIN)],
                [("/a/", builders.ENGINE)],
            ],
            "/a/b/",
            Basis.SEVERAL,
        ),
        (
            [[("/", builders.PLAIN), ("/a/", builders.ENGINE)]],
            "/a/b/",
            Basis.SINGLE,
        ),
        ([[("/a/", builders.ENGINE)]], "/b/", Basis.NOTHING),
    ],
)
def test_stream_is_not_concluded_where_its_route_led_elsewhere(
    changes: list[list[tuple[str, str]]], path: str, basis: Basis
) -> None:
    conclusions = stream_conclusions.StreamConclusions(first_start_at=0.0)
    listed = [
        types.SimpleNamespace(service=service, version=version)
        for service, version in (E1, P1)
    ]
    for number, routes in enumerate(changes):
        conclusions.apply_config(config(number + 1, *routes), float(number))
        conclusions.look(listed, float(number), float(number))  # type: ignore[arg-type]
    now = float(len(changes) - 1)
    assert conclude(conclusions, path, now).basis is basis


def test_route_that_was_moved_counts_for_the_life_of_a_stream() -> None:
    routes = served_routes.ServedRoutes(5.0, first_start_at=0.0)
    routes.apply(config(1, ("/a/", builders.ENGINE)), 0.0)
    routes.apply(config(2, ("/a/", builders.PLAIN)), 1.0)
    both = frozenset({builders.ENGINE, builders.PLAIN})
    assert routes.services(builders.HOST, "/a/", 6.0) == (both, True)
    assert routes.unsettled(6.0) == both
    only = frozenset({builders.PLAIN})
    assert routes.services(builders.HOST, "/a/", 6.1) == (only, True)
    routes.apply(config(3, ("/a/", builders.PLAIN)), 6.1)
    assert routes.unsettled(6.1) == set()


AT_A = ("/a/", builders.ENGINE)
BELOW_A = ("/a/b/", builders.PLAIN)
BESIDE_A = ("/b/", builders.PLAIN)
MOVED = ("/a/", builders.PLAIN)
BOTH = {builders.ENGINE, builders.PLAIN}


@pytest.mark.parametrize(
    ("before", "after", "unsettled"),
    [
        ([AT_A], [AT_A], set()),
        ([AT_A], [AT_A, BESIDE_A], set()),
        ([AT_A], [AT_A, BELOW_A], BOTH),
        ([AT_A, BELOW_A], [AT_A], BOTH),
        ([AT_A, BELOW_A], [AT_A, BELOW_A], set()),
        ([AT_A], [MOVED], BOTH),
    ],
)
def test_services_of_paths_that_were_rerouted_are_not_settled(
    before: list[tuple[str, str]],
    after: list[tuple[str, str]],
    unsettled: set[str],
) -> None:
    routes = served_routes.ServedRoutes(5.0, first_start_at=0.0)
    for version, pairs in enumerate((before, after), 1):
        routes.apply(config(version, *pairs), float(version))
    assert routes.unsettled(3.0) == unsettled


def started(version: str, config_version: int) -> Any:
    """Returns what a box knows that started after the loss of all boxes."""
    conclusions = stream_conclusions.StreamConclusions()
    routes = config(config_version, ("/a/", builders.ENGINE))
    conclusions.apply_config(routes, 0.0)
    listed: Any = types.SimpleNamespace(
        service=builders.ENGINE, version=version
    )
    conclusions.look([listed], 0.0, 0.0)
    return conclusions


@pytest.mark.parametrize(
    ("version", "config_version", "basis"),
    [
        ("v1", 7, Basis.SINGLE),
        ("v2", 7, Basis.SEEN),
        ("v1", 8, Basis.SEEN),
    ],
)
def test_settled_services_are_restored_only_where_nothing_changed(
    version: str, config_version: int, basis: Basis
) -> None:
    conclusions = started(version, config_version)
    assert conclude(conclusions, "/a/", 0.0).basis is Basis.SEEN
    settled = settled_services.Settled(7, {builders.ENGINE: "v1"})
    assert conclusions.restore(settled, 0.0) is (basis is Basis.SINGLE)
    assert conclude(conclusions, "/a/", 0.0).basis is basis
    assert bool(conclusions.settled(0.0).versions) is (basis is Basis.SINGLE)
