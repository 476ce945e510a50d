"""Configuration files, object versions and the layout of cells."""

import pathlib

from hypothesis import given
from hypothesis import strategies as st
import pytest

from martenjunction import errors
from martenjunction.cells import directory
from martenjunction.config import fleet
from martenjunction.config import settings
from martenjunction.config import store
from martenjunction.config import units
from martenjunction.decisions import rendezvous

DAEMON = """
[daemon]
box = box-1
zone = perth-a
callers = 127.0.0.1:8080
operators = 127.0.0.1:9080
peers = 127.0.0.1:7080
operator_key = o
peer_key = p
platform = http://127.0.0.1:6000
"""


def write(folder: pathlib.Path, text: str) -> str:
    path = folder / "file.ini"
    path.write_text(text, encoding="utf-8")
    return str(path)


def test_daemon_settings(tmp_path: pathlib.Path) -> None:
    found = settings.read_daemon(write(tmp_path, DAEMON + "entry_ttl = 2s\n"))
    assert found.box == "box-1"
    assert found.entry_ttl == 2.0


@pytest.mark.parametrize(
    ("change", "place"),
    [
        ("colour = red", "[daemon] colour: unknown key"),
        ("entry_ttl = 2 parsecs", "[daemon] entry_ttl: '2 parsecs' is not a"),
        ("seeds = x\n[other]\n", "[other]: unknown section"),
        ("max_held = many", "[daemon] max_held: "),
    ],
)
def test_errors_name_file_section_and_key(
    tmp_path: pathlib.Path, change: str, place: str
) -> None:
    path = write(tmp_path, DAEMON + change + "\n")
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_daemon(path)
    assert str(caught.value).startswith(f"{path} {place}")
    assert "\n" not in str(caught.value)


def test_missing_key_is_reported(tmp_path: pathlib.Path) -> None:
    path = write(tmp_path, DAEMON.replace("zone = perth-a\n", ""))
    with pytest.raises(errors.SettingsError, match="zone: this key is req"):
        settings.read_daemon(path)


def test_dangling_reference_is_reported(tmp_path: pathlib.Path) -> None:
    path = write(
        tmp_path, "[workspace a]\nkey_hashes = 0\ndefault_class = none\n"
    )
    with pytest.raises(errors.SettingsError, match="no class 'none'"):
        fleet.read([path])


def test_documents_round_trip_through_ini(tmp_path: pathlib.Path) -> None:
    source = "def classify(request):\n    # why\n    return None"
    document = fleet.Document("policy", "p", {"source": source})
    path = write(tmp_path, fleet.to_ini([document]))
    documents, config = fleet.read([path])
    assert config.policy["p"].source == source
    assert documents[0].name == "p"


def test_program_in_a_separate_file(tmp_path: pathlib.Path) -> None:
    program = "def classify(request):\n    return None\n"
    (tmp_path / "p.star").write_text(program, encoding="utf-8")
    path = write(tmp_path, "[policy p]\nfile = p.star\n")
    documents, _ = fleet.read([path])
    assert documents[0].values == {"source": program}


@pytest.mark.parametrize(
    ("text", "seconds"), [("650ms", 0.65), ("2s", 2), ("5 min", 300)]
)
def test_durations(text: str, seconds: float) -> None:
    assert units.parse_duration(text) == seconds


OBJECTS = st.lists(
    st.builds(
        store.ConfigObject,
        key=st.sampled_from(["config/class/a", "config/class/b"]),
        version=st.integers(1, 20),
        values=st.sampled_from(
            [
                None,
                {"tier": "1", "first_token": "1s"},
                {"tier": "2", "first_token": "2s"},
                {"tier": "nine"},
            ]
        ),
    ),
    max_size=20,
)


@given(OBJECTS, st.randoms(use_true_random=False))
def test_versions_never_decrease_in_any_order(
    objects: list[store.ConfigObject], rng: object
) -> None:
    config_store = store.ConfigStore()
    highest: dict[str, int] = {}
    for item in objects:
        config_store.apply([item])
        known = highest.get(item.key, 0)
        highest[item.key] = max(known, item.version)
        assert config_store.version_of(item.key) == highest[item.key]


@given(OBJECTS)
def test_digest_does_not_depend_on_the_order(
    objects: list[store.ConfigObject],
) -> None:
    # The platform never stores two values under one version of a key.
    unique = {(o.key, o.version): o for o in objects}
    first = store.ConfigStore()
    first.apply(list(unique.values()))
    second = store.ConfigStore()
    for item in reversed(list(unique.values())):
        second.apply([item])
    assert first.digest == second.digest
    assert first.revision == second.revision


def test_invalid_object_leaves_the_previous_one_active() -> None:
    config_store = store.ConfigStore()
    key = "config/class/a"
    valid = {"tier": "1", "first_token": "1s"}
    config_store.apply([store.ConfigObject(key, 1, valid)])
    config_store.apply([store.ConfigObject(key, 2, {"tier": "nine"})])
    assert config_store.config.classes["a"].tier == 1
    assert key in config_store.rejected


@given(
    st.sets(st.integers(0, 500), min_size=2, max_size=40),
    st.integers(0, 1000),
)
def test_removing_a_member_moves_only_its_keys(
    members: set[int], key: int
) -> None:
    boxes = {f"box-{number}" for number in members}
    before = rendezvous.owner(boxes, str(key))
    removed = sorted(boxes)[0]
    after = rendezvous.owner(boxes - {removed}, str(key))
    assert after == before or before == removed


def _endpoint(name: str, zone: str) -> fleet.Endpoint:
    return fleet.Endpoint(name, "s", zone, "127.0.0.1:80")


def test_cells_by_region_and_by_zone() -> None:
    endpoints = {
        e.name: e for e in (_endpoint("a", "r/1"), _endpoint("b", "r/2"))
    }
    for span, names in (
        (fleet.CellSpan.REGION, ["s/r/0"]),
        (fleet.CellSpan.ZONE, ["s/r/1/0", "s/r/2/0"]),
    ):
        service = fleet.Service("s", span=span)
        config = fleet.FleetConfig({"s": service}, endpoints)
        assert sorted(directory.cells_of(config)) == names


@given(
    st.lists(
        st.tuples(
            st.sampled_from("abcdefgh"), st.sampled_from(["r/1", "r/2", ""])
        ),
        max_size=30,
    )
)
def test_incremental_layout_equals_the_layout_from_scratch(
    changes: list[tuple[str, str]],
) -> None:
    services = {"s": fleet.Service("s", span=fleet.CellSpan.ZONE, cells=2)}
    layout = directory.Layout()
    endpoints: dict[str, fleet.Endpoint] = {}
    for name, zone in changes:
        endpoints = dict(endpoints)
        endpoints.pop(name, None)
        if zone:
            endpoints[name] = _endpoint(name, zone)
        config = fleet.FleetConfig(services, endpoints)
        assert layout.update(config) == directory.cells_of(config)


def test_owners_in_the_zone_of_the_cell_rank_first() -> None:
    cell = directory.CellInfo("s/r/1/0", "s", "r/1", ())
    boxes = [
        directory.BoxLocation(f"box-{number}", f"r/{number % 2}")
        for number in range(6)
    ]
    ranking = directory.owner_ranking(cell, boxes)
    assert set(ranking[:3]) == {"box-1", "box-3", "box-5"}
