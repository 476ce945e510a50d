"""Tests the adapter to the platform: settings, documents, headers, store."""

from collections.abc import AsyncIterator
import dataclasses
import gc
import json
import pathlib

import msgspec
import pytest

from martenjunction import errors
from martenjunction import model
from martenjunction.http1 import messages
from martenjunction.platform import box_settings
from martenjunction.platform import documents
from martenjunction.platform import headers
from martenjunction.platform import store
from martenjunction.routing.access import admission
from martenjunction_lab import boxes
from martenjunction_lab import platform
from tests import routing_builders as builders


def test_settings_are_read_with_internal_names(
    tmp_path: pathlib.Path,
) -> None:
    settings = boxes.settings("edge-a-1", "10.200.0.1:8223", metrics_port=9464)
    file = tmp_path / "local.toml"
    file.write_text(builders.settings_text(settings))
    read = box_settings.read(str(file))
    # The settings file of this test does not list the availability zones.
    assert read == dataclasses.replace(settings, zones={})


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('node = "edge-a-1"', 'node = "\xff"'),
        ('node = "edge-a-1"', "node = 1"),
        ('ip = "', 'ip = ["'),
        ("seeds = [", "seeds = [1, "),
        ("unknown", "x = " + "[" * 3000 + "\nunknown"),
        ("unknown", "x = " + "9" * 5000 + "\nunknown"),
        ("memory_mb = ", "memory_mb = inf #"),
        ("link_mbps = ", "link_mbps = nan #"),
        ("retry_ratio = ", 'retry_ratio = "x" #'),
        ("[platform]", '[cloud]\nduties = ["metering"]\n[platform]'),
        ("bootstrap = false", 'cloud = "x"'),
        ("bootstrap = false", "zones = [[1, 2]]"),
        ("bootstrap = false", "listen = 1"),
    ],
)
def test_settings_of_other_types_are_rejected(
    tmp_path: pathlib.Path, old: str, new: str
) -> None:
    settings = boxes.settings("edge-a-1", "10.200.0.1:8223", metrics_port=9464)
    text = builders.settings_text(settings)
    assert old in text
    file = tmp_path / "local.toml"
    file.write_bytes(text.replace(old, new, 1).encode("latin-1"))
    with pytest.raises(errors.SettingsError):
        box_settings.read(str(file))


@pytest.mark.parametrize("broken", ["", "node = ", "node = 'x'"])
def test_incomplete_settings_are_rejected(
    tmp_path: pathlib.Path, broken: str
) -> None:
    file = tmp_path / "local.toml"
    file.write_text(broken)
    with pytest.raises(errors.SettingsError):
        box_settings.read(str(file))


def test_configuration_is_decoded() -> None:
    config = builders.config()
    digest = config.find_route("API.example:80", "/digest/x")
    assert digest is not None
    assert (digest.kind, digest.resumable) == (model.RouteKind.STREAM, True)
    assert digest.repeatable
    assert digest.gap_target_s == 0.25
    assert config.shortest_pause_s(builders.ENGINE) == 0.25
    assert config.workspaces[builders.KEY].name == "one"
    assert config.needs_keys


def test_longest_prefix_of_the_host_wins() -> None:
    routes = [builders.route("short", "/a/"), builders.route("long", "/a/b/")]
    config = builders.config(routes=routes)
    found = config.find_route(builders.HOST, "/a/b/c")
    assert found is not None and found.name == "long"
    assert config.find_route(builders.HOST, "/a") is None
    assert config.find_route("other.example", "/a/b/c") is None


def test_split_route_in_a_configuration_without_keys() -> None:
    document = builders.config_document(
        routes=[
            builders.route(
                "s",
                "/s/",
                service=None,
                split=[
                    {"service": "a", "weight": 90},
                    {"service": "b", "weight": 10},
                ],
            )
        ]
    )
    del document["tenants"]
    config = documents.decode_config(json.dumps(document).encode())
    assert [t.service for t in config.routes[0].targets] == ["a", "b"]
    assert not config.needs_keys


def test_malformed_documents_raise_a_platform_error() -> None:
    with pytest.raises(errors.PlatformError):
        documents.decode_config(b"{}")
    with pytest.raises(errors.PlatformError):
        documents.decode_endpoint("i", b"[]")


def test_prompt_parts_and_counts_are_decoded() -> None:
    facts = headers.decode_request(
        [
            (b"Martenjunction-Attempt-Id", b"r"),
            (b"Martenjunction-Prefix-Hash", b"aa:10, bb:20,broken,cc:x"),
            (b"Martenjunction-Token-Counts", b"500,80"),
            (b"Martenjunction-Deadline-Ms", b"1500"),
            (b"Authorization", b"bearer  k "),
        ]
    )
    assert [(p.id, p.tokens) for p in facts.parts] == [("aa", 10), ("bb", 20)]
    assert (facts.prompt_tokens, facts.max_tokens) == (500, 80)
    assert (facts.deadline_s, facts.key) == (1.5, "k")


@pytest.mark.parametrize(
    ("status", "pairs", "not_run"),
    [
        (503, [(b"Martenjunction-Not-Executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (429, [], False),
        (500, [(b"Martenjunction-Replica-Seal", b"s")], False),
    ],
)
def test_responses_report_whether_the_request_was_run(
    status: int, pairs: messages.Headers, not_run: bool
) -> None:
    head = messages.ResponseHead(status, pairs)
    assert headers.was_not_executed(head) is not_run


@pytest.mark.parametrize(
    ("seconds", "value"), [(0.003, b"0.01"), (0.25, b"0.25"), (0.251, b"0.26")]
)
def test_retry_after_is_never_shorter_than_the_wait(
    seconds: float, value: bytes
) -> None:
    assert headers.retry_after(seconds) == (b"Retry-After", value)


@pytest.mark.parametrize(
    ("echoed", "status", "ours"),
    [
        (b"r", 200, True),
        (b"x", 200, False),
        (None, 503, True),
        (None, 200, False),
    ],
)
def test_responses_are_matched_by_request_id(
    echoed: bytes | None, status: int, ours: bool
) -> None:
    pairs = [] if echoed is None else [(b"martenjunction-attempt-id", echoed)]
    head = messages.ResponseHead(status, pairs)
    assert headers.answers_request(head, "r") is ours


@pytest.mark.parametrize(
    ("workspace", "tier", "urgency"),
    [(None, 0, 0), (None, 2, 4), (0, 2, 4), (1, 0, 1), (3, 2, 5), (0, 9, 9)],
)
def test_urgency_depends_on_route_then_workspace(
    workspace: int | None, tier: int, urgency: int
) -> None:
    route = builders.config(
        routes=[builders.route("r", "/r/", priority=tier)]
    ).routes[0]
    owner = model.Workspace("w", workspace)
    assert admission._urgency(owner, route) == urgency


# The store client.


@pytest.fixture
async def fake_platform() -> AsyncIterator[platform.Platform]:
    server = platform.Platform(seed=3)
    server.start()
    yield server
    await server.stop()


@pytest.fixture
async def api(
    fake_platform: platform.Platform,
) -> AsyncIterator[store.StoreClient]:
    client = store.StoreClient(fake_platform.address)
    yield client
    client.close()


async def test_objects_are_created_read_replaced_and_deleted(
    api: store.StoreClient,
) -> None:
    created = await api.create("k", "a/b", {"x": 1})
    stored = await api.get("k", "a/b")
    assert stored is not None and json.loads(stored.spec) == {"x": 1}
    changed = await api.replace("k", "a/b", {"x": 2}, created.revision)
    assert changed.revision > created.revision
    await api.delete("k", "a/b", changed.revision)
    assert await api.get("k", "a/b") is None
    await api.delete("k", "a/b", None)


async def test_conditional_writes_raise_conflicts(
    api: store.StoreClient,
) -> None:
    created = await api.create("k", "a", 1)
    with pytest.raises(errors.VersionConflictError) as caught:
        await api.create("k", "a", 2)
    assert caught.value.current == created.revision.number
    later = msgspec.structs.replace(
        created.revision, number=created.revision.number + 7
    )
    with pytest.raises(errors.VersionConflictError):
        await api.replace("k", "a", 2, later)
    with pytest.raises(errors.VersionConflictError):
        await api.delete("k", "a", later)


async def test_long_lists_are_read_in_pages(
    fake_platform: platform.Platform, api: store.StoreClient
) -> None:
    for number in range(1201):
        fake_platform.write("k", f"n{number:05d}", number)
    listing = await api.list("k")
    assert len(listing.objects) == 1201
    assert listing.revision == builders.rev(fake_platform.version)
    assert fake_platform.calls["read"] == 3


async def test_watch_returns_changes_and_deletions(
    fake_platform: platform.Platform, api: store.StoreClient
) -> None:
    listing = await api.list("k")
    fake_platform.write("k", "a", 1)
    fake_platform.write("other", "b", 1)
    fake_platform.write("k", "a", None)
    changes = await api.watch("k", listing.revision, 5.0)
    assert [(c.object.name, c.deleted) for c in changes.changes] == [
        ("a", False),
        ("a", True),
    ]


async def test_watch_reports_lost_history(
    fake_platform: platform.Platform, api: store.StoreClient
) -> None:
    fake_platform.write("k", "a", 1)
    fake_platform.forget_history()
    with pytest.raises(errors.HistoryLostError):
        await api.watch("k", builders.rev(0), 1.0)


@pytest.mark.parametrize(
    ("faults", "error"),
    [
        (platform.PlatformFaults(down=True), errors.PlatformRefusedError),
        (platform.PlatformFaults(silent=True), errors.PlatformUnavailableError),
        (
            platform.PlatformFaults(lose_replies=1.0),
            errors.PlatformUnavailableError,
        ),
    ],
)
async def test_rejected_and_unanswered_calls_raise_different_errors(
    fake_platform: platform.Platform,
    api: store.StoreClient,
    faults: platform.PlatformFaults,
    error: type[errors.PlatformError],
) -> None:
    fake_platform.faults = faults
    with pytest.raises(error):
        await api.create("k", "a", 1)
    fake_platform.faults = platform.PlatformFaults()
    # A connection without a response is not reused.
    assert (await api.get("k", "a") is None) == (not faults.lose_replies)


# A full collection of garbage looked at three objects for each route, and each
# took longer to make.
def test_routes_make_collections_of_garbage_no_longer() -> None:
    document = builders.config_document()
    document["routes"] *= 100
    spec = json.dumps(document).encode()
    gc.collect()
    before = len(gc.get_objects())
    config = documents.decode_config(spec)
    gc.collect()
    assert len(gc.get_objects()) - before < len(config.routes) // 2
