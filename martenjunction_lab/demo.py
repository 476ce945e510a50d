"""The demonstration: both users' fleets under a burst, in one process."""

import asyncio
import json
import sys
import time
from typing import Any

from martenjunction_lab import bench
from martenjunction_lab import fleets
from martenjunction_lab import load
from martenjunction_lab import results
from martenjunction_lab import traffic

PROGRESS_INTERVAL = 2.0
BURST = 4.0


def streams(seconds: float) -> list[traffic.Stream]:
    """Returns the traffic: a burst of one class each in the middle."""
    shape = traffic.burst(seconds / 3, seconds * 2 / 3, BURST)
    return fleets.cellarline_traffic(1.0, shape) + fleets.mill_traffic(
        1.0, shape
    )


def _spec() -> bench.BenchSpec:
    return bench.BenchSpec(fleets.both(), [fleets.CELLARLINE_ZONES[0]])


async def run(seconds: float, seed: int, as_json: bool) -> int:
    """Runs the demonstration.

    Args:
        seconds: How long requests are sent.
        seed: Decides what is sent, and when.
        as_json: Whether one JSON object is printed in place of a table.

    Returns:
        The exit code: 0 if nothing was lost or doubled.
    """
    fleet = bench.Bench(_spec())
    await fleet.start()
    arrivals = traffic.draw(streams(seconds), seconds, seed)
    callers = load.Load(fleet.addresses, seed)
    watcher = asyncio.ensure_future(_show_progress(callers, len(arrivals)))
    started = time.monotonic()
    seen = await callers.run(arrivals)
    elapsed = time.monotonic() - started
    watcher.cancel()
    summary = _summary(fleet, seen, elapsed)
    _print(summary, fleet, seen, as_json)
    callers.close()
    await fleet.stop()
    bad = summary["doubled_bookings"]
    bad += sum(row["lost"] + row["doubled"] for row in summary["classes"])
    return 0 if bad == 0 else 1


async def serve() -> None:
    """Keeps the fleet running until it is interrupted."""
    fleet = bench.Bench(_spec())
    await fleet.start()
    print("The fleet serves. Try this:\n")
    print(curl_line(fleet.addresses[0]))
    print(flush=True)
    await asyncio.Event().wait()


def curl_line(address: str) -> str:
    """Returns a shell command that asks a question."""
    body = {
        "model": "vintage-lm",
        "stream": True,
        "messages": [{"role": "user", "content": "Which block is ripe?"}],
    }
    return (
        f"curl -sN http://{address}/v1/chat/completions"
        f" -H 'Authorization: Bearer {fleets.FIELD_KEY}'"
        f" -d '{json.dumps(body)}'"
    )


async def _show_progress(callers: load.Load, total: int) -> None:
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL)
        waiting = sum(callers.in_flight.values())
        print(
            f"{callers.elapsed:5.1f} s: {len(callers.seen)} of {total}"
            f" answered, {waiting} in flight",
            file=sys.stderr,
        )


def _summary(
    fleet: bench.Bench, seen: list[load.Seen], elapsed: float
) -> dict[str, Any]:
    classes = results.by_class(seen, fleet.outside.config)
    good = sum(s.tokens for s in seen if s.whole)
    return {
        "classes": [results.as_json(row) for row in classes],
        "doubled_bookings": fleet.outside.doubled_bookings(),
        "goodput_tokens_s": round(good / elapsed, 1),
        "wasted_tokens": fleet.outside.tokens_made() - good,
        "seconds": round(elapsed, 1),
    }


def _print(
    summary: dict[str, Any],
    fleet: bench.Bench,
    seen: list[load.Seen],
    as_json: bool,
) -> None:
    if as_json:
        print(json.dumps(summary))
        return
    print(results.table(results.by_class(seen, fleet.outside.config)))
    print(
        f"\ngoodput {summary['goodput_tokens_s']} tokens/s,"
        f" wasted {summary['wasted_tokens']} tokens"
    )
