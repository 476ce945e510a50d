"""Steps about the configuration in force."""

import asyncio
import dataclasses
import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given
from behave import then
from behave import when

from features import builders
from martenjunction_lab import bench
from martenjunction_lab import fleets

CLASS_KEY = "config/class/day-digest"


def _file_with_patience(seconds):
    text = pathlib.Path(fleets.CELLARLINE_FILE).read_text(encoding="utf-8")
    text = text.replace("patience = 120s", f"patience = {seconds}s")
    with tempfile.NamedTemporaryFile("w", suffix=".ini", delete=False) as file:
        file.write(text)
    return file.name


def _command(context, *words):
    return [
        sys.executable,
        "-m",
        "martenjunction",
        *words,
        "--platform",
        f"http://{context.cluster.platform_address}",
    ]


def _apply(context, seconds, *more):
    command = _command(context, "apply", _file_with_patience(seconds), *more)
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    context.command = done
    return done


@given("an operator sets the patience of digests to {seconds:d} seconds")
@when("an operator sets the patience of digests to {seconds:d} seconds")
def apply(context, seconds):
    _apply(context, seconds)


@when("an operator sets it to {seconds:d} seconds and waits")
def apply_and_wait(context, seconds):
    _apply(
        context, seconds, "--wait", "10", "--operator-key", bench.OPERATOR_KEY
    )


@when("two operators set it to {first:d} and to {second:d} seconds at once")
def race(context, first, second):
    commands = [
        _command(context, "apply", _file_with_patience(seconds))
        for seconds in (first, second)
    ]
    running = [
        subprocess.Popen(c, stderr=subprocess.PIPE, text=True) for c in commands
    ]
    errors = [process.communicate()[1] for process in running]
    context.race = [
        (process.returncode, error)
        for process, error in zip(running, errors, strict=True)
    ]


@then("the operator's command succeeds")
def succeeded(context):
    done = context.command
    assert done.returncode == 0, (done.stdout, done.stderr)


@then("the operator's command fails with exit code {code:d}")
def failed(context, code):
    done = context.command
    assert done.returncode == code, (done.returncode, done.stderr)
    assert done.stderr.count("\n") == 1, done.stderr


@then("one of them succeeds, and the other is shown the conflict or agrees")
def raced(context):
    codes = sorted(code for code, _ in context.race)
    assert codes in ([0, 0], [0, 3]), context.race
    for code, error in context.race:
        if code == 3:
            assert "patience" in error, error


def _patience_on(context, box):
    question = json.dumps(
        {"workspace": "winery", "model": "vintage-lm", "kind": "digest"}
    )

    async def ask():
        return await context.cluster.explain(box, question)

    return context.loop.run(ask())["class"]["patience"]


@then("every daemon soon has a patience of {seconds:d} seconds in force")
def soon_in_force(context, seconds):
    async def check():
        question = json.dumps(
            {"workspace": "winery", "model": "vintage-lm", "kind": "digest"}
        )
        async with asyncio.timeout(5.0):
            for box, daemon in context.cluster.daemons.items():
                while daemon.exit_code is None:
                    found = await context.cluster.explain(box, question)
                    if found.get("class", {}).get("patience") == seconds:
                        break
                    await asyncio.sleep(0.05)

    context.loop.run(check())


@then("every daemon has the same patience in force as the platform keeps")
def same_as_platform(context):
    held = context.cluster.outside.platform.get(CLASS_KEY)
    seconds = int(held.value["values"]["patience"].removesuffix("s"))
    soon_in_force(context, seconds)


@when("daemon {number:d} is added in {zone} and knows only its peers")
def add_daemon(context, number, zone):
    async def add():
        await context.cluster.add_daemon(
            f"box-{number}", zone, listed=False, seeds=True
        )

    context.loop.run(add())


@when("the platform goes back to what it kept before the last change")
def restore(context):
    def go_back():
        platform = context.cluster.outside.platform
        held = platform.get(CLASS_KEY)
        before = held.value["history"][0]
        value = {**held.value, "values": before["values"]}
        platform.restore(
            dataclasses.replace(held, version=before["version"], value=value)
        )

    context.loop.call(go_back)


@then("daemon {number:d} has a patience of {seconds:d} seconds in force")
def has_in_force(context, number, seconds):
    assert _patience_on(context, f"box-{number}") == seconds


@then("daemon {number:d} soon answers questions")
def soon_answers(context, number):
    async def check():
        async with asyncio.timeout(10.0):
            while True:
                try:
                    answer = await context.cluster.get(
                        f"box-{number}", "/v1/models", builders.FIELD_KEY
                    )
                except Exception:
                    answer = {}
                if answer.get("data"):
                    return
                await asyncio.sleep(0.1)

    context.loop.run(check())
