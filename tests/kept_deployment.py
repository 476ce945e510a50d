"""Box processes before replicas, and clients that keep their connections."""

import asyncio
from collections.abc import Callable
import logging
import pathlib
import random

from martenjunction.platform import box_settings
from martenjunction_lab import boxes
from martenjunction_lab import kept_clients
from martenjunction_lab import kept_tallies
from tests import box_processes
from tests import gateway_requests as requests

logger = logging.getLogger(__name__)

# Seconds after which all data sent by a box has been read.
SETTLE_S = 0.3

SHORT_PATHS = ("/safe/x", "/unsafe/x", "/open/x")

# Paths whose requests may run more than once.
REPEATABLE = ("/safe/", "/open/")


class Deployment:
    """Box processes and the clients of each."""

    def __init__(self, fleet: boxes.Boxes, folder: pathlib.Path) -> None:
        self.fleet = fleet
        self.boxes: list[box_processes.Box] = []
        self.clients: list[kept_clients.KeptClients] = []
        self._folder = folder

    async def start(self, count: int, stop_s: float = 8.0) -> None:
        for number in range(1, count + 1):
            settings = box_processes.settings_of(
                self.fleet, f"box-{number}", stop_s=stop_s
            )
            await self.restart(settings)
        for box in self.boxes:
            await box.until_ready()

    async def restart(
        self, settings: box_settings.BoxSettings
    ) -> box_processes.Box:
        box = await box_processes.start(self._folder, settings)
        self.boxes.append(box)
        return box

    def add_clients(
        self,
        box: box_processes.Box,
        seed: int,
        paths: tuple[str, ...] = SHORT_PATHS,
        obey_close: bool = True,
    ) -> kept_clients.KeptClients:
        made = kept_clients.KeptClients(
            box.settings.callers,
            seed,
            make_request_source(seed, paths),
            obey_close,
        )
        self.clients.append(made)
        return made

    async def assert_none_lost(self) -> None:
        """Fails unless each accepted request got a complete response."""
        await asyncio.sleep(SETTLE_S)
        records = [rec for made in self.clients for rec in made.records]
        found = kept_tallies.tally(records, self.fleet.replicas)
        logger.info("tally: %s", found)
        assert found.answered, str(found)
        faults = {
            *found.lost,
            *found.cut_off,
            *found.broken,
            *found.false_promises,
            *(set(found.doubled) - await self._repeated(records)),
        }
        assert not faults, f"{found}: {await self._log_lines(faults)}"
        for box in self.boxes:
            assert box.running or not await box.unanswered()

    async def _repeated(self, records: list[kept_clients.Record]) -> set[str]:
        """Returns the repeatable ids that a stopped box had run again."""
        asks = [record.ask for record in records]
        ids = {ask.id for ask in asks if ask.target.startswith(REPEATABLE)}
        lines = await self._log_lines(ids)
        return {
            str(line["id"])
            for line in lines
            if kept_tallies.tells_repeated(line)
        }

    async def _log_lines(self, ids: set[str]) -> list[dict[str, object]]:
        """Returns the log lines of stopped boxes about given requests."""
        logs = [await box.log() for box in self.boxes if not box.running]
        return [line for log in logs for line in log if line.get("id") in ids]

    async def stop(self) -> None:
        for made in self.clients:
            made.close()
        for box in self.boxes:
            await box.discard()


def make_request_source(
    seed: int, paths: tuple[str, ...]
) -> Callable[[str], kept_clients.Ask]:
    rng = random.Random(seed)

    def make(request_id: str) -> kept_clients.Ask:
        headers = requests.request_headers(
            request_id, **{"Martenjunction-Deadline-Ms": "60000"}
        )
        return kept_clients.Ask(request_id, rng.choice(paths), headers)

    return make
