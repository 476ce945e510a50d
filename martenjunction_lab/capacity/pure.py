"""Slopes of pure code: decisions, classing and configuration."""

import gc
import random
import time
import tracemalloc

from martenjunction.cells import directory
from martenjunction.config import store
from martenjunction.decisions import policies
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction_lab.capacity import fits

ROUNDS = 2_000
SLOTS = 8


def _cell(endpoints: int) -> dispatcher.Dispatcher:
    settings = dispatcher.DispatchSettings(
        max_waiting=1_000_000, shed_by_delay=False
    )
    cell = dispatcher.Dispatcher(settings, random.Random(1))
    for number in range(endpoints):
        name = f"e{number}"
        cell.set_endpoint(name, SLOTS, 0.0)
        cell.report(dispatch_types.LoadReport(name, 0.0, 0, 0), 0.0)
    return cell


def _ask(
    number: int, now: float, rng: random.Random
) -> dispatch_types.SlotRequest:
    return dispatch_types.SlotRequest(
        request_id=f"r{number}",
        entry="box-1",
        tier=rng.randint(1, 4),
        class_name="class",
        workspace=f"w{rng.randint(0, 35)}",
        arrived=now,
        target=0.65 + 5 * rng.random(),
        patience=1000.0,
        prompt_tokens=rng.randint(10, 2000),
        expected_tokens=400.0,
        preemptible=True,
    )


def decision_us(endpoints: int, waiting: int) -> float:
    """Returns microseconds of processor time a request in a busy cell.

    A request is submitted, granted, begins and ends, while so many others
    wait and all places are taken.
    """
    rng = random.Random(2)
    cell = _cell(endpoints)
    now = 0.0
    number = 0
    for number in range(waiting + endpoints * SLOTS):
        cell.submit(_ask(number, now, rng), now)
    running = [d.request_id for d in cell.step(now)]
    started = time.process_time()
    for turn in range(ROUNDS):
        now += 0.002
        cell.submit(_ask(number + turn + 1, now, rng), now)
        ended = running.pop(0)
        cell.first_token(ended, 0.05, now)
        end = dispatch_types.RunEnd(
            ended, dispatch_types.Ending.COMPLETE, 0.05, 400, 0.03
        )
        cell.ended(end, now)
        running += [
            d.request_id
            for d in cell.step(now)
            if isinstance(d, dispatch_types.Grant)
        ]
    return (time.process_time() - started) / ROUNDS * 1e6


def by_waiting() -> fits.Slope:
    """Returns the cost of a decision over the number that wait."""
    points = [(float(n), decision_us(24, n)) for n in (100, 1_000, 10_000)]
    return fits.fit("decision, by waiting requests", "us", points)


def by_endpoints() -> fits.Slope:
    """Returns the cost of a decision over the endpoints of the cell."""
    points = [(float(n), decision_us(n, 1_000)) for n in (6, 12, 24)]
    return fits.fit("decision, by endpoints of a cell", "us", points)


POLICY = """
def classify(request):
    if request["labels"].get("place") == "field":
        return "field-question"
    if request["prompt_tokens"] > 4000:
        return "contract-read"
    return None
"""


def classify_us() -> float:
    """Returns microseconds of one policy call."""
    program = policies.Program("policy", POLICY)
    facts = policies.RequestFacts("w", "chat", "m", 100, 0, "quote")
    started = time.process_time()
    for _ in range(ROUNDS):
        program.classify(facts)
    return (time.process_time() - started) / ROUNDS * 1e6


def endpoint_objects(count: int) -> list[store.ConfigObject]:
    """Returns the configuration of some endpoints of six services."""
    objects = [
        store.ConfigObject(
            f"config/service/model-{n}",
            n + 1,
            {"models": f"model-{n}", "span": "zone", "cells": "4"},
        )
        for n in range(6)
    ]
    objects += [
        store.ConfigObject(
            f"config/endpoint/endpoint-{n}",
            n + 10,
            {
                "service": f"model-{n % 6}",
                "zone": f"region-{n % 9}/zone-{n % 25}",
                "address": f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:80",
                "slots": "8",
            },
        )
        for n in range(count)
    ]
    return objects


def memory_by_objects() -> fits.Slope:
    """Returns the memory of the configuration over its objects."""
    store.ConfigStore().apply(endpoint_objects(10))
    points = []
    for count in (500, 2_000, 4_000):
        gc.collect()
        tracemalloc.start()
        objects = endpoint_objects(count)
        held = store.ConfigStore()
        held.apply(objects)
        cells = directory.cells_of(held.config)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append((float(count), size / 1024))
        del held, cells, objects
    return fits.fit("memory, by configuration objects", "KiB", points)


def change_by_objects() -> fits.Slope:
    """Returns the processor time of one change over the objects held."""
    points = []
    for count in (500, 2_000, 4_000):
        held = store.ConfigStore()
        held.apply(endpoint_objects(count))
        layout = directory.Layout()
        layout.update(held.config)
        values = {
            "service": "model-1",
            "zone": "region-1/zone-1",
            "address": "10.0.0.1:80",
        }
        started = time.process_time()
        for turn in range(20):
            key = f"config/endpoint/endpoint-{turn}"
            held.apply([store.ConfigObject(key, 100_000 + turn, values)])
            layout.update(held.config)
        spent = (time.process_time() - started) / 20
        points.append((float(count), spent * 1e3))
    return fits.fit("one change, by configuration objects", "ms", points)
