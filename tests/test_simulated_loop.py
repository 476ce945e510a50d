"""The event loop in simulated time."""

import asyncio
import os
import random
import threading
import time

import pytest

from martenjunction import timers
from martenjunction_lab import replica
from martenjunction_lab.simulated import loop as simulated_loop

LONG_S = 3600.0

# Real seconds within which an hour of simulated time passes.
MAX_REAL_S = 5.0


def test_sleeping_takes_no_real_time() -> None:
    began_at = time.monotonic()

    async def main() -> float:
        before = time.monotonic()
        await asyncio.sleep(LONG_S)
        return time.monotonic() - before

    assert simulated_loop.run(main()) == pytest.approx(LONG_S, abs=0.01)
    assert time.monotonic() - began_at < MAX_REAL_S


def test_clocks_follow_the_loop_only_while_it_runs() -> None:
    real = time.monotonic, time.time

    async def main() -> None:
        loop = asyncio.get_running_loop()
        unix_before = time.time()
        await asyncio.sleep(LONG_S)
        assert time.monotonic() == loop.time()
        assert time.time() - unix_before == pytest.approx(LONG_S, abs=0.01)
        assert timers.Timers().now() == loop.time()

    simulated_loop.run(main())
    assert (time.monotonic, time.time) == real


def test_processor_time_takes_no_simulated_time() -> None:
    async def main() -> float:
        before = time.monotonic()
        until = time.process_time() + 0.2
        while time.process_time() < until:
            await asyncio.sleep(0)
        return time.monotonic() - before

    assert simulated_loop.run(main()) == 0.0


def test_timers_run_in_order_and_at_most_one_step_late() -> None:
    async def main() -> list[tuple[float, float]]:
        loop = asyncio.get_running_loop()
        fired: list[tuple[float, float]] = []
        for delay_s in (0.5, 0.0123, 0.2, 0.0125):
            due = loop.time() + delay_s
            loop.call_at(due, lambda at=due: fired.append((at, loop.time())))
        await asyncio.sleep(1.0)
        return fired

    fired = simulated_loop.run(main())
    assert [due for due, _ in fired] == sorted(due for due, _ in fired)
    for due, at in fired:
        assert -1e-6 <= at - due <= simulated_loop.RESOLUTION_S


def test_answers_over_sockets_take_no_simulated_time() -> None:
    async def echo(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65536):
            writer.write(data)
        writer.close()

    async def main() -> float:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        streams = [await asyncio.open_connection(*address) for _ in range(20)]
        before = time.monotonic()
        # Timers everywhere, to which the loop would jump too early.
        loop = asyncio.get_running_loop()
        for step in range(5000):
            loop.call_later(0.001 * step, int)
        for _ in range(50):
            for _, writer in streams:
                writer.write(b"x" * 3000)
            for reader, _ in streams:
                await reader.readexactly(3000)
        passed_s = time.monotonic() - before
        for _, writer in streams:
            writer.close()
        server.close()
        return passed_s

    assert simulated_loop.run(main()) == 0.0


def test_descriptors_that_are_no_sockets_are_watched() -> None:
    # libcurl has the loop watch a pipe or an event counter of its own.
    async def main() -> None:
        loop = asyncio.get_running_loop()
        readable, writable = os.pipe()
        is_readable = asyncio.Event()
        loop.add_reader(readable, is_readable.set)
        os.write(writable, b"x")
        await is_readable.wait()
        loop.remove_reader(readable)
        os.close(readable)
        os.close(writable)

    simulated_loop.run(main())


def test_time_stands_still_while_a_thread_works() -> None:
    async def main() -> float:
        loop = asyncio.get_running_loop()
        before = time.monotonic()
        timer = loop.call_later(0.001, int)
        await loop.run_in_executor(None, threading.Event().wait, 0.1)
        passed_s = time.monotonic() - before
        timer.cancel()
        return passed_s

    assert simulated_loop.run(main()) == 0.0


def test_names_are_resolved_without_passing_time() -> None:
    async def main() -> float:
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, int)
        await loop.getaddrinfo("localhost", 80)
        return loop.time()

    assert simulated_loop.run(main()) == simulated_loop.START_S


def test_peer_that_hangs_meets_the_time_limit() -> None:
    async def main() -> float:
        made = replica.Replica("i-1")
        made.always(replica.Behaviour.HANG)
        await made.start()
        host, _, port = made.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /safe/x HTTP/1.1\r\n\r\n")
        before = time.monotonic()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(30.0):
                await reader.read()
        writer.close()
        await made.stop()
        return time.monotonic() - before

    assert simulated_loop.run(main()) == pytest.approx(30.0, abs=0.01)


def test_timer_a_rounding_error_away_is_reached() -> None:
    loop = simulated_loop.SimulatedLoop(1)
    began_at = loop.time()
    # The loop runs timers that are due within the resolution of its clock.
    resolution_s = time.get_clock_info("monotonic").resolution
    reached: list[float] = []

    def reach() -> None:
        reached.append(loop.time())
        loop.stop()

    loop.call_at(began_at + 1.5 * resolution_s, reach)
    stuck = threading.Timer(MAX_REAL_S, loop.call_soon_threadsafe, [loop.stop])
    stuck.start()
    loop.run_forever()
    stuck.cancel()
    loop.close()
    assert reached
    late_s = reached[0] - began_at
    assert late_s == pytest.approx(simulated_loop.RESOLUTION_S, abs=1e-6)


def test_hold_up_makes_timers_late() -> None:
    async def main() -> float:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, simulated_loop.SimulatedLoop)
        made = timers.Timers()
        made.start()
        await asyncio.sleep(0.5)
        loop.hold_up(2.0)
        await asyncio.sleep(2.0)
        await made.stop()
        return made.worst_delay

    assert 1.0 < simulated_loop.run(main()) <= 2.01


def test_cycle_that_never_lets_time_pass_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(simulated_loop, "MAX_ITERATIONS", 1000)

    async def main() -> None:
        while True:
            await asyncio.sleep(0)

    loop = simulated_loop.SimulatedLoop()
    task = loop.create_task(main())
    with pytest.raises(simulated_loop.StuckError):
        loop.run_until_complete(task)
    task.cancel()
    monkeypatch.undo()
    with pytest.raises(asyncio.CancelledError):
        loop.run_until_complete(task)
    loop.close()


def test_wait_that_nothing_ends_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(simulated_loop, "MAX_REAL_WAIT_S", 0.05)
    loop = simulated_loop.SimulatedLoop()
    future = loop.create_future()
    with pytest.raises(simulated_loop.StuckError):
        loop.run_until_complete(future)
    loop.close()


def test_trial_without_an_end_is_reported() -> None:
    # Timers that are set again and again kept a loop going for ever.
    async def tick() -> None:
        while True:
            await asyncio.sleep(0.1)

    loop = simulated_loop.SimulatedLoop(limit_s=LONG_S)
    task = loop.create_task(tick())
    with pytest.raises(simulated_loop.StuckError):
        loop.run_until_complete(task)
    assert loop.time() == pytest.approx(
        simulated_loop.START_S + LONG_S, abs=0.2
    )
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        loop.run_until_complete(task)
    loop.close()


@pytest.mark.simulated_time
async def test_marked_tests_run_in_simulated_time() -> None:
    assert isinstance(asyncio.get_running_loop(), simulated_loop.SimulatedLoop)


async def test_other_tests_run_in_real_time() -> None:
    assert not isinstance(
        asyncio.get_running_loop(), simulated_loop.SimulatedLoop
    )


def test_seed_decides_what_code_leaves_to_chance() -> None:
    async def main() -> list[float]:
        return [random.Random().random(), random.Random().random()]

    drawn = [simulated_loop.run(main(), seed) for seed in (1, 1, 2, None)]
    assert drawn[0] == drawn[1]
    assert len({one for each in drawn for one in each}) == 6


def test_own_seed_of_a_generator_holds() -> None:
    async def main() -> float:
        return random.Random(5).random()

    assert simulated_loop.run(main(), 1) == random.Random(5).random()
