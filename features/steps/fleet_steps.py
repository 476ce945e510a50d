"""Steps that build fleets and hurt them."""

import asyncio
import signal

from behave import given
from behave import then
from behave import when

from features import builders
from martenjunction.objects import model
from martenjunction_lab import cluster
from martenjunction_lab import engine
from martenjunction_lab import plain
from martenjunction_lab import platform


@given("{count:d} daemons before {engines:d} engines of {slots:d} slots")
def start_fleet(context, count, engines, slots):
    spec = builders.cluster_spec(count, engines, slots)
    context.cluster = cluster.Cluster(spec)
    context.loop.run(context.cluster.start())


@given("{count:d} daemons behind proxies before {engines:d} engines")
def start_proxied(context, count, engines):
    spec = builders.cluster_spec(count, engines, 6, proxied=True)
    context.cluster = cluster.Cluster(spec)
    context.loop.run(context.cluster.start())


def _engine(context, number):
    names = sorted(context.cluster.outside.engines)
    return context.cluster.outside.engines[names[number - 1]]


@given("engine {number:d} is told to {fault}")
@when("engine {number:d} is told to {fault}")
def break_engine(context, number, fault):
    _engine(context, number).faults = ENGINE_FAULTS[fault]


ENGINE_FAULTS = {
    "cut streams in the middle of an event": engine.EngineFaults(cut_after=5),
    "answer for another request": engine.EngineFaults(wrong_id=True),
    "refuse requests": engine.EngineFaults(refuse=True),
    "hang": engine.EngineFaults(hang=True),
    "run 20 times slower and report no load": engine.EngineFaults(
        slow=20.0, false_idle=True
    ),
    "report its load 5 seconds late": engine.EngineFaults(report_lag_s=5.0),
    "behave": engine.EngineFaults(),
}


@when("engine {number:d} crashes for {seconds:g} seconds")
def crash_engine(context, number, seconds):
    context.loop.start(_engine(context, number).crash(seconds))


@given("plain services {fault}")
@when("plain services {fault}")
def break_plain(context, fault):
    for service in context.cluster.outside.plains.values():
        service.faults = PLAIN_FAULTS[fault]


PLAIN_FAULTS = {
    "run calls and die without an answer": plain.PlainFaults(
        die_after_run=True
    ),
    "refuse calls": plain.PlainFaults(refuse=True),
    "take 3 seconds a call": plain.PlainFaults(delay_s=3.0),
    "behave": plain.PlainFaults(),
}


@given("the platform is {fault}")
@when("the platform is {fault}")
def break_platform(context, fault):
    context.cluster.outside.platform.faults = PLATFORM_FAULTS[fault]


PLATFORM_FAULTS = {
    "down": platform.PlatformFaults(down=True),
    "silent": platform.PlatformFaults(silent=True),
    "slow": platform.PlatformFaults(delay_s=0.8),
    "losing every reply": platform.PlatformFaults(lose_replies=1.0),
    "well": platform.PlatformFaults(),
}


@when("all engines are stopped")
def stop_engines(context):
    async def stop():
        for stand_in in context.cluster.outside.engines.values():
            await stand_in.stop()

    context.loop.run(stop())


@when("all plain services are stopped")
def stop_plains(context):
    async def stop():
        for stand_in in context.cluster.outside.plains.values():
            await stand_in.stop()

    context.loop.run(stop())


@when("daemon {number:d} is killed")
def kill_daemon(context, number):
    _daemon(context, number).send(signal.SIGKILL)
    context.loop.run(_daemon(context, number).wait(5.0))


@when("daemon {number:d} is started again")
def restart_daemon(context, number):
    _daemon(context, number).start()
    context.loop.run(context.cluster.wait_ready())


@when("daemon {number:d} is told to stop")
def drain_daemon(context, number):
    _daemon(context, number).send(signal.SIGTERM)


@when("all daemons are restarted one after another")
def rolling_restart(context):
    async def restart():
        for daemon in context.cluster.daemons.values():
            daemon.send(signal.SIGTERM)
            assert await daemon.wait(40.0) == 0
            daemon.start()
            await context.cluster.wait_ready()

    context.loop.run(restart(), 200.0)


@when("the owner of {cell} is paused for {seconds:g} seconds")
def pause_owner(context, cell, seconds):
    async def pause():
        box = await context.cluster.owner_of(cell)
        daemon = context.cluster.daemons[box]
        daemon.send(signal.SIGSTOP)
        context.notes["paused"] = daemon
        await asyncio.sleep(seconds)
        daemon.send(signal.SIGCONT)

    context.loop.run(pause())


@when("the owner of {cell} is killed")
def kill_owner(context, cell):
    box = context.loop.run(context.cluster.owner_of(cell))
    daemon = context.cluster.daemons[box]
    daemon.send(signal.SIGKILL)
    context.notes["killed"] = daemon
    context.loop.run(daemon.wait(5.0))


@when("what peers send to daemon {number:d} is cut for {seconds:g} seconds")
def cut_one_way(context, number, seconds):
    link = context.cluster.peer_links[f"box-{number}"]

    async def cut():
        link.cut(from_target=False)
        await asyncio.sleep(seconds)
        link.heal()

    context.loop.run(cut())


@when("the network to the platform is cut for {seconds:g} seconds")
def cut_platform(context, seconds):
    async def cut():
        context.cluster.platform_link.cut()
        await asyncio.sleep(seconds)
        context.cluster.platform_link.heal()

    context.loop.run(cut())


@when("{seconds:g} seconds pass")
def wait(context, seconds):
    context.loop.run(asyncio.sleep(seconds))


@when("engine {number:d} is listed as {state}")
def list_engine(context, number, state):
    name = _engine(context, number).name
    context.loop.call(
        lambda: context.cluster.outside.list_endpoint(
            name, model.BoxState(state)
        )
    )


@when("the work of engine {number:d} is noted")
def note_work(context, number):
    counts = _engine(context, number).counts
    context.notes["started"] = counts.started.total()


@then("engine {number:d} has had no new work since")
def no_new_work(context, number):
    counts = _engine(context, number).counts
    assert counts.started.total() == context.notes["started"]


@then("engine {number:d} has had new work since")
def new_work(context, number):
    counts = _engine(context, number).counts
    assert counts.started.total() > context.notes["started"]


@then("daemon {number:d} ends by itself with exit code {code:d}")
def ended(context, number, code):
    found = context.loop.run(_daemon(context, number).wait(40.0))
    assert found == code, found


@then("no daemon names daemon {number:d} as an entry address")
def not_an_entry(context, number):
    stopped = context.cluster.daemons[f"box-{number}"]
    for box, daemon in context.cluster.daemons.items():
        if daemon.exit_code is not None:
            continue
        answer = context.loop.run(
            context.cluster.get(box, "/v1/entry", builders.FIELD_KEY)
        )
        named = [row["box"] for row in answer["addresses"]]
        assert stopped.settings.box not in named, (box, named)


@then("every other daemon soon knows that daemon {number:d} is leaving")
def known_leaving(context, number):
    stopped = f"box-{number}"

    async def check():
        async with asyncio.timeout(3.0):
            for box, daemon in context.cluster.daemons.items():
                while daemon.exit_code is None:
                    dump = await context.cluster.dump(box)
                    if dump["members"][stopped]["leaving"]:
                        break
                    await asyncio.sleep(0.05)

    context.loop.run(check())


def _daemon(context, number):
    return context.cluster.daemons[f"box-{number}"]


def _total(context, field):
    total = 0
    for box, daemon in context.cluster.daemons.items():
        if daemon.exit_code is None:
            dump = context.loop.run(context.cluster.dump(box))
            total += sum(c[field] for c in dump["cells"].values())
    return total


@then("at least {count:d} run was preempted")
def preempted(context, count):
    assert _total(context, "preempted") >= count


@then("no request of tier {tier:d} was shed by a cell")
def none_shed(context, tier):
    for box in context.cluster.daemons:
        dump = context.loop.run(context.cluster.dump(box))
        for name, cell in dump["cells"].items():
            assert not cell["shed_by_tier"].get(str(tier)), (name, cell)


@then("engine {number:d} is soon {state}")
def endpoint_state(context, number, state):
    name = _engine(context, number).name

    async def check():
        async with asyncio.timeout(15.0):
            while state not in await states():
                await asyncio.sleep(0.1)

    async def states():
        found = []
        for box, daemon in context.cluster.daemons.items():
            if daemon.exit_code is None:
                dump = await context.cluster.dump(box)
                for cell in dump["cells"].values():
                    if name in cell["endpoints"]:
                        found.append(cell["endpoints"][name]["state"])
        return found

    context.loop.run(check())
