"""What remains of a box that ended by itself.

Guards against an incident without a trace: the process of a box that is killed
for its memory, or by a signal, writes nothing.
"""

import asyncio
import pathlib
import signal
import subprocess
import sys
from typing import Any

import pytest

from martenjunction import metrics
from martenjunction import process_memory
from martenjunction import timers
from martenjunction.http1 import close_reports
from martenjunction.peers import membership
from martenjunction.routing.limits import body_admission
from martenjunction.routing.log import closing_log
from martenjunction.routing.log import decision_log
from martenjunction_lab import boxes
from tests import box_processes
from tests import routing_builders as builders

MB = 1024 * 1024

# Runs a daemon whose process gets a fatal signal.
FATAL = """
import os
import signal
from martenjunction.cmd import box_daemon

async def serve(path):
    os.kill(os.getpid(), signal.SIGABRT)

box_daemon.serve = serve
box_daemon.run()
"""


class Lines(decision_log.DecisionLog):
    """Keeps the lines."""

    def __init__(self) -> None:
        super().__init__(lambda: 0.0)
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def write(self, kind: str, **fields: Any) -> None:
        self.lines.append((kind, fields))

    def of(self, kind: str) -> list[dict[str, Any]]:
        return [fields for written, fields in self.lines if written == kind]


def of_kind(
    lines: list[dict[str, object]], kind: str
) -> list[dict[str, object]]:
    return [line for line in lines if line.get("message_type") == kind]


@pytest.mark.parametrize(
    ("number", "is_told"), [(signal.SIGKILL, True), (signal.SIGTERM, False)]
)
async def test_peer_tells_of_a_box_that_ended_by_itself(
    number: signal.Signals, is_told: bool, tmp_path: pathlib.Path
) -> None:
    fleet = boxes.Boxes()
    await fleet.start(builders.config_document(), boxes=0)
    settings = [
        box_processes.settings_of(fleet, f"box-{n}", stop_s=2.0) for n in (1, 2)
    ]
    watching, ending = [
        await box_processes.start(tmp_path, made) for made in settings
    ]
    running = [watching, ending]
    try:
        for box in running:
            await box.until_ready()
        # Some heartbeats.
        await asyncio.sleep(1.0)
        ending.signal(number)
        await ending.until_ended()
        running.append(await box_processes.start(tmp_path, settings[1]))
        await running[-1].until_ready()
        await asyncio.sleep(1.0)
        watching.signal(signal.SIGTERM)
        await watching.until_ended()
        lines = await watching.log()
    finally:
        for box in running:
            await box.discard()
        await fleet.stop()
    ended = of_kind(lines, "box-ended")
    lost = of_kind(lines, "box-link-lost")
    assert len(ended) == len(lost) == int(is_told)
    for line in (*ended, *lost):
        assert line["other"] == "box-2"
        assert line["ready"] is True
        assert line["version"] == 7
    for line in ended:
        assert int(str(line["started_as"])) > int(str(line["incarnation"]))


def member(box: str, incarnation: int) -> membership.Member:
    return membership.Member(box, "zone", "", "", "", incarnation)


def test_only_a_restart_without_leave_is_reported() -> None:
    found: list[tuple[str, int, int]] = []
    members = membership.Membership(
        member("own", 1), timers.Timers(), lambda: None
    )
    members.on_ended(
        lambda ended, incarnation: found.append(
            (ended.box, ended.incarnation, incarnation)
        )
    )
    members.update_listed(member("listed", 0), live=True, leaving=False)
    for incarnation in (1, 1, 3):
        members.record_connected(member("heard", incarnation))
        members.update_told(member("told", incarnation), silent=False)
        members.record_connected(member("leaves", incarnation))
        members.mark_leaving("leaves", incarnation)
        members.record_connected(member("listed", 1))
    assert found == [("heard", 1, 3), ("told", 1, 3)]


def test_fatal_signal_prints_a_trace() -> None:
    done = subprocess.run(
        [sys.executable, "-c", FATAL],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )
    assert done.returncode == -signal.SIGABRT
    assert "Fatal Python error: Aborted" in done.stderr
    assert "box_daemon.py" in done.stderr


def test_memory_near_its_limit_is_logged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    log = Lines()
    bodies = body_admission.BodyAdmission(
        100 * MB,
        None,  # type: ignore[arg-type]
        timers.Timers(),
        metrics.Metrics(),
        log,
    )
    for resident in (50, 69, 71, 69, 72, 85, 81, 84, 60, 71, 96):
        monkeypatch.setattr(
            process_memory, "resident_bytes", lambda size=resident: size * MB
        )
        bodies._sample()
    lines = log.of("memory-high")
    assert [line["resident"] // MB for line in lines] == [71, 85, 71, 96]
    assert {line["limit"] for line in lines} == {100 * MB}


def test_connection_closed_for_its_framing_is_counted() -> None:
    log = Lines()
    counters = metrics.Metrics()
    write = closing_log.ClosingLog(log, counters)
    for reason in (
        close_reports.CloseReason.FRAMING,
        close_reports.CloseReason.IDLE,
    ):
        write(
            close_reports.ClosedConnection(
                "callers", reason, "127.0.0.1:9", 0.0, 0, False, False, 70_000
            )
        )
    [framing, _] = log.of("connection-closed")
    assert (framing["why"], framing["received"]) == ("excess-framing", 70_000)
    assert list(counters.counters()) == [
        ("excess_framing", (("side", "client"),), 1)
    ]


async def test_box_tells_who_outweighed_its_data(fleet: boxes.Boxes) -> None:
    box = fleet.gateways[0]
    log = Lines()
    box._callers._on_closed = closing_log.ClosingLog(log, box.metrics)
    host, _, port = fleet.addresses[0].partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /safe/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 8_000
    )
    async with asyncio.timeout(10.0):
        answer = await reader.readuntil(b"\r\n\r\n")
        await reader.read()
    writer.close()
    assert answer.startswith(b"HTTP/1.1 400 ")
    await boxes.until(lambda: bool(log.of("connection-closed")))
    [line] = log.of("connection-closed")
    assert line["why"] == "excess-framing"
    assert line["received"] > 16 * 1024
    text = box._metrics_text().decode()
    assert 'martenjunction_excess_framing_total{side="client"} 1.0' in text
    assert "martenjunction_turn_waits " in text
    assert "martenjunction_turn_longest_wait_s " in text
