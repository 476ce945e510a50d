"""A lost answer to a watch has boxes send work to a replica that has left."""

import asyncio
import os
import pathlib
import sys

from review.kit_2 import fleet
from review.kit_2 import record
from review.kit_2 import replica
from review.kit_2 import store

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# FORM=silent: all open connections to the store fall silent, in place of one
# answer that is lost. The store then closes connections that are idle.
SILENT = os.environ.get("FORM") == "silent"
IDLE_S = 0.5

DRAIN_S = 2.0
CONTACT_S = 3.0
# Boxes are in touch once the store has been stable for `contact_ms`, and it is
# stable `contact_ms` after the disruption.
IN_TOUCH_S = 2 * CONTACT_S
# The replica serves on for `drain_ms`, and longer, after the store has taken
# that it is draining.
SERVES_ON_S = DRAIN_S + 2.5
REQUESTS_PER_S = 40
WORK_S = 0.2
LIMIT_S = 90.0


async def _play() -> int:
    notes = record.Record(FOLDER / "record.txt")
    kept = store.Store(notes)
    kept.idle_s = IDLE_S if SILENT else None
    await kept.start()
    kept.put("config", "main", fleet.config_document())
    copies: replica.Copies = {}
    replicas = []

    async def add() -> replica.Replica:
        name = f"i-{len(replicas) + 1:04d}"
        made = replica.Replica(name, "app", kept, notes, copies, slots=6)
        replicas.append(made)
        made.work_s = WORK_S
        await made.start()
        notes.note(f"store: takes the entry of {name}")
        return made

    for _ in range(3):
        await add()
    boxes = fleet.Fleet(kept.address, notes)
    replies: list[fleet.Reply] = []
    try:
        await boxes.add("box-1")
        await boxes.add("box-2")
        await boxes.until_ready()
        clients = asyncio.create_task(_send(boxes, replies, notes))
        await asyncio.sleep(6.0)
        # The service grows by two replicas; each is a change of `servers`.
        await add()
        await asyncio.sleep(0.5)
        lost = 0

        def loses(call: str, path: str) -> bool:
            nonlocal lost
            if TROUBLE and call == "watch" and path.endswith("/servers"):
                lost += 1
                return True
            return False

        began = notes.now()
        if SILENT and TROUBLE:
            notes.note(f"{kept.fall_silent()} connections fall silent")
        elif not SILENT:
            kept.loses = loses
        await add()
        await asyncio.sleep(0.1)
        kept.loses = lambda call, path: False
        notes.note(f"the store loses no more answers; {lost} were lost")
        ended = notes.now()
        await asyncio.sleep(CONTACT_S + 0.2)
        # One of the first replicas leaves as planned.
        leaving = replicas[0]
        leaving.write_entry("draining")
        acked = notes.now()
        notes.note(f"store: takes that {leaving.id} is draining")
        await asyncio.sleep(SERVES_ON_S)
        leaving.end()
        notes.note(f"{leaving.id}: ends")
        await asyncio.sleep(3.0)
        clients.cancel()
        await asyncio.wait([clients])
    finally:
        boxes.stop()
        await boxes.ended()
        kept.stop()
        for one in replicas:
            one.end()
    notes.note(f"result: the disruption lasted from {began:.2f} to {ended:.2f}")
    in_touch_from = max(acked + DRAIN_S, ended + IN_TOUCH_S)
    return _judge(notes, leaving, acked, in_touch_from, replies)


async def _send(
    boxes: fleet.Fleet, replies: list[fleet.Reply], notes: record.Record
) -> None:
    tasks: set[asyncio.Task[None]] = set()
    number = 0

    async def one(name: str, address: str) -> None:
        headers = {
            "Martenjunction-Attempt-Id": name,
            "Martenjunction-Deadline-Ms": "1000",
            "Authorization": f"Bearer {fleet.KEY}",
        }
        notes.note(f"client: sends {name}")
        try:
            reply = await boxes.call(
                address, "POST", "/check/x", headers, b"body", name
            )
        except OSError as error:
            notes.note(f"client: {name} is not sent: {error}")
            return
        replies.append(reply)
        notes.note(f"client: {name} gets {reply.status} whole={reply.whole}")

    try:
        while True:
            number += 1
            address = boxes.boxes[number % len(boxes.boxes)].frontend
            task = asyncio.create_task(one(f"r{number:05d}", address))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
    finally:
        for task in list(tasks):
            task.cancel()


def _judge(
    notes: record.Record,
    leaving: replica.Replica,
    acked: float,
    judged_from: float,
    replies: list[fleet.Reply],
) -> int:
    late = [at - acked for at, _ in leaving.arrivals if at > judged_from]
    cut = [run.id for run in leaving.runs if run.how == "cut off"]
    served = sum(reply.status == 200 for reply in replies)
    by_id = {reply.id: reply.status for reply in replies}
    notes.note(
        f"result: {served} of {len(replies)} requests were served;"
        f" {len(late)} reached {leaving.id} from boxes in touch later than"
        f" {DRAIN_S} s after the store had taken at {acked:.2f} that it was"
        f" draining (the last {max(late, default=0.0):.2f} s after)"
    )
    notes.note(
        f"result: runs that {leaving.id} cut off as it ended:"
        f" {[(name, by_id.get(name)) for name in cut]}"
    )
    if served < len(replies) / 2 or not leaving.arrivals:
        return 2
    return 1 if late else 0


async def _main() -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            return await _play()
    except (TimeoutError, OSError) as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
