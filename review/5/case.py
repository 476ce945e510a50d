"""A stream continues at a second replica while the first one works on it."""

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

# Seconds after which the first replica may not be at work any more.
STILL_WORKING_S = 0.4
STREAMS = 40
STREAMS_PER_S = 4
EVENTS = 30
PAUSE_S = 0.1
# One of the three replicas, that which gets the first stream, loses the answers
# of every third stream that it runs, once this many events of it were sent.
LOST_PART = 3
LOST_AFTER_EVENTS = 12
LOSES_FOR_S = 6.0
LIMIT_S = 90.0


async def _play() -> int:
    notes = record.Record(FOLDER / "record.txt")
    kept = store.Store(notes)
    await kept.start()
    kept.put("config", "main", fleet.config_document())
    copies: replica.Copies = {}
    replicas = []
    for number in range(1, 4):
        made = replica.Replica(
            f"i-{number:04d}", "lm", kept, notes, copies, slots=64
        )
        made.events, made.pause_s = EVENTS, PAUSE_S
        replicas.append(made)
        await made.start()
    faulty: list[str] = []
    begun: dict[str, int] = {}
    first_at: list[float] = []

    def loses(run: replica.Run) -> bool:
        faulty[:] = faulty or [run.replica]
        if not TROUBLE or run.continues or run.replica != faulty[0]:
            return False
        number = begun.setdefault(run.id, len(begun))
        if number % LOST_PART or run.events != LOST_AFTER_EVENTS:
            return False
        first_at[:] = first_at or [notes.now()]
        return notes.now() - first_at[0] <= LOSES_FOR_S

    for one in replicas:
        one.cuts = loses
    boxes = fleet.Fleet(kept.address, notes)
    replies: list[fleet.Reply] = []
    try:
        await boxes.add("box-1")
        await boxes.add("box-2")
        await boxes.until_ready()
        # Boxes are in touch from `contact_ms` after their start on.
        await asyncio.sleep(5.0)
        await asyncio.gather(
            *(_stream(boxes, n, replies, notes) for n in range(STREAMS))
        )
        # Runs whose answer was lost go on.
        await asyncio.sleep(EVENTS * PAUSE_S)
    finally:
        boxes.stop()
        await boxes.ended()
        kept.stop()
        for one in replicas:
            one.end()
    return _judge(notes, replicas, replies)


async def _stream(
    boxes: fleet.Fleet,
    number: int,
    replies: list[fleet.Reply],
    notes: record.Record,
) -> None:
    await asyncio.sleep(number / STREAMS_PER_S)
    name = f"s{number:04d}"
    headers = {
        "Martenjunction-Attempt-Id": name,
        "Martenjunction-Deadline-Ms": "12000",
        "Martenjunction-Model": "m",
        "Martenjunction-Token-Counts": "700,180",
        "Martenjunction-Prefix-Hash": f"5c1e:100,{number + 1:x}a:600",
        "Authorization": f"Bearer {fleet.KEY}",
    }
    notes.note(f"client: sends {name}")
    address = boxes.boxes[number % len(boxes.boxes)].frontend
    reply = await boxes.call(
        address, "POST", "/chat/x", headers, b"prompt", name
    )
    replies.append(reply)
    notes.note(
        f"client: {name} gets {reply.status} whole={reply.whole}"
        f" events={reply.body.count(b'id: ')}"
    )


def _judge(
    notes: record.Record,
    replicas: list[replica.Replica],
    replies: list[fleet.Reply],
) -> int:
    runs: dict[str, list[replica.Run]] = {}
    for one in replicas:
        for run in one.runs:
            runs.setdefault(run.id, []).append(run)
    twice = 0
    lost = 0
    for name, its in sorted(runs.items()):
        its.sort(key=lambda run: run.began)
        lost += any(run.how == "its answer is lost" for run in its)
        for before, after in zip(its, its[1:], strict=False):
            worked_s = (before.ended or after.began) - after.began
            notes.note(
                f"result: {name} runs at {before.replica} from"
                f" {before.began:.3f} to {before.ended:.3f} and at"
                f" {after.replica} from {after.began:.3f}"
                f" (continues={after.continues}); the first worked on for"
                f" {worked_s:.2f} s"
            )
            twice += not after.continues or worked_s > STILL_WORKING_S
    whole = sum(reply.status == 200 and reply.whole for reply in replies)
    notes.note(
        f"result: {whole} of {len(replies)} streams came whole; the answers of"
        f" {lost} were lost; {twice} ran twice"
    )
    if whole < len(replies) / 2 or (TROUBLE and not lost):
        return 2
    return 1 if twice else 0


async def _main() -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            return await _play()
    except (TimeoutError, OSError) as error:
        sys.stderr.write(f"the case could not run: {error!r}\n")
        return 2


if __name__ == "__main__":
    sys.exit(asyncio.run(_main()))
