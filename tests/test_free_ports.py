"""Ports that processes of tests draw beside each other."""

import json
import subprocess
import sys

from martenjunction_lab import bench

PROCESSES = 12
PORTS_EACH = 400
DRAW = (
    "import json, sys; from martenjunction_lab import bench;"
    f"print(json.dumps([bench.free_port() for _ in range({PORTS_EACH})]),"
    " flush=True); sys.stdin.read()"
)


def test_processes_beside_each_other_draw_different_ports() -> None:
    drawing = [
        subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    try:
        drawn = [bench.free_port() for _ in range(PORTS_EACH)]
        drawn += [
            port
            for process in drawing
            if process.stdout is not None
            for port in json.loads(process.stdout.readline())
        ]
    finally:
        for process in drawing:
            process.communicate()
    assert len(drawn) == (PROCESSES + 1) * PORTS_EACH
    assert len(set(drawn)) == len(drawn)
