"""The task that owns one shard of claims: many claims, one write."""

import asyncio
from collections.abc import Callable
import logging
import time

import pydantic

from martenjunction import errors
from martenjunction import mailbox
from martenjunction.claims import messages
from martenjunction.claims import table
from martenjunction.objects import client as object_client

logger = logging.getLogger(__name__)

KEY_PREFIX = "claims/"

# Seconds that a batch gathers; seconds between two writes of a shard, so that
# a flood of claims makes batches larger rather than writes more; and tries to
# write one batch.
GATHER = 0.02
WRITE_INTERVAL = 0.25
MAX_TRIES = 4

Change = messages.Claim | messages.Settle
Answer = Callable[[messages.ClaimAnswer], None]


class ClaimShard:
    """Writes a shard's claims to the platform, in batches.

    Every write names the version it was made from, so that a paused owner
    that wakes up, or a second owner, cannot overwrite what it has not seen.
    """

    def __init__(
        self,
        number: int,
        platform: object_client.ObjectClient,
        wall_clock: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Makes the task; `start` runs it.

        Args:
            number: The shard.
            platform: Keeps the claims.
            wall_clock: Returns seconds since 1970; only used to expire.
            clock: Returns seconds that never go back; paces the writes.
        """
        self._key = f"{KEY_PREFIX}{number}"
        self._platform = platform
        self._wall_clock = wall_clock
        self._clock = clock
        self._began = -WRITE_INTERVAL
        self._mailbox: mailbox.Mailbox[tuple[Change, Answer | None]] = (
            mailbox.Mailbox(20_000)
        )
        self._table: table.ClaimTable | None = None
        self._version = 0
        self._writes = 0
        self._conflicts = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def writes(self) -> int:
        """Writes that the platform confirmed."""
        return self._writes

    @property
    def conflicts(self) -> int:
        """Writes that met a version we had not seen."""
        return self._conflicts

    def put(self, change: Change, answer: Answer | None = None) -> None:
        """Hands the task a claim or an ending.

        Raises:
            MailboxFullError: If the task does not keep up.
        """
        self._mailbox.put((change, answer))

    def start(self) -> None:
        """Runs the task in the event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Writes what waits, then ends the task."""
        if self._task is None:
            return
        while len(self._mailbox):
            await asyncio.sleep(GATHER)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            batch = await self._mailbox.get_all()
            since = self._clock() - self._began
            await asyncio.sleep(max(GATHER, WRITE_INTERVAL - since))
            self._began = self._clock()
            if len(self._mailbox):
                batch += await self._mailbox.get_all()
            states = await self._carry_out([change for change, _ in batch])
            for change, answer in batch:
                if answer is not None:
                    state = states[change.request_id]
                    answer(messages.ClaimAnswer(change.request_id, state))

    async def _carry_out(
        self, changes: list[Change]
    ) -> dict[str, messages.ClaimState]:
        """Returns the state of each claim, confirmed by the platform."""
        for _ in range(MAX_TRIES):
            try:
                states = await self._try(changes)
            except errors.VersionConflictError:
                self._conflicts += 1
                self._table = None
            except errors.PlatformUnavailableError:
                # The write may have taken effect: read what stands there, and
                # go on from that. A claim that is found with our request's id
                # is ours.
                self._table = None
            except errors.PlatformError as error:
                logger.warning("%s cannot be written: %s", self._key, error)
                break
            else:
                return states
        return {
            change.request_id: messages.ClaimState.UNAVAILABLE
            for change in changes
        }

    async def _try(
        self, changes: list[Change]
    ) -> dict[str, messages.ClaimState]:
        current = self._table or await self._load()
        changed = current.copy()
        now = self._wall_clock()
        changed.expire(now)
        states = {}
        for change in changes:
            if isinstance(change, messages.Settle):
                changed.settle(change, now)
            else:
                states[change.request_id] = changed.claim(change, now)
        before = current.as_value()
        after = changed.as_value()
        if before != after:
            self._version = await self._platform.put(
                self._key, after, self._version
            )
            self._writes += 1
        self._table = changed
        return states

    async def _load(self) -> table.ClaimTable:
        held = await self._platform.get(self._key)
        self._version = held.version if held is not None else 0
        value = held.value if held is not None else None
        try:
            return table.ClaimTable.from_value(value)
        except pydantic.ValidationError as error:
            raise errors.PlatformRefusedError(
                f"{self._key} cannot be read"
            ) from error
