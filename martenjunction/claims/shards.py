"""The task that writes one shard of claims in batches."""

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

# Seconds for which a batch is collected, minimum seconds between writes of a
# shard, and maximum attempts to write a batch. The interval makes batches
# larger, instead of writes more frequent, under a high rate of claims.
BATCH_WINDOW_S = 0.02
WRITE_INTERVAL = 0.25
MAX_WRITE_ATTEMPTS = 4

Change = messages.Claim | messages.Settle
ReplyCallback = Callable[[messages.ClaimAnswer], None]


class ClaimShard:
    """Writes a shard's claims to the platform, in batches.

    Writes are conditional on the version they are based on, so that an owner
    that resumes after a pause, or a second owner, cannot overwrite changes that
    it has not read.
    """

    def __init__(
        self,
        number: int,
        platform: object_client.ObjectClient,
        wall_clock: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initializes the task, which `start` runs.

        Args:
            number: The shard.
            platform: Stores the claims.
            wall_clock: Returns the Unix time in seconds, for expiry.
            clock: Returns monotonic seconds, for the write interval.
        """
        self._key = f"{KEY_PREFIX}{number}"
        self._platform = platform
        self._wall_clock = wall_clock
        self._clock = clock
        self._last_write_at = -WRITE_INTERVAL
        self._mailbox: mailbox.Mailbox[tuple[Change, ReplyCallback | None]] = (
            mailbox.Mailbox(20_000)
        )
        self._table: table.ClaimTable | None = None
        self._version = 0
        self._writes = 0
        self._conflicts = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def writes(self) -> int:
        """Number of confirmed writes."""
        return self._writes

    @property
    def conflicts(self) -> int:
        """Number of writes rejected because of a version conflict."""
        return self._conflicts

    def put(self, change: Change, answer: ReplyCallback | None = None) -> None:
        """Enqueues a claim or settlement.

        Raises:
            MailboxFullError: If the backlog is full.
        """
        self._mailbox.put((change, answer))

    def start(self) -> None:
        """Starts the task in the event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Flushes the backlog, then stops the task."""
        if self._task is None:
            return
        while len(self._mailbox):
            await asyncio.sleep(BATCH_WINDOW_S)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            batch = await self._mailbox.get_all()
            since = self._clock() - self._last_write_at
            await asyncio.sleep(max(BATCH_WINDOW_S, WRITE_INTERVAL - since))
            self._last_write_at = self._clock()
            if len(self._mailbox):
                batch += await self._mailbox.get_all()
            states = await self._apply([change for change, _ in batch])
            for change, answer in batch:
                if answer is not None:
                    state = states[change.request_id]
                    answer(messages.ClaimAnswer(change.request_id, state))

    async def _apply(
        self, changes: list[Change]
    ) -> dict[str, messages.ClaimState]:
        """Writes the changes; returns the confirmed state of each claim."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                states = await self._write(changes)
            except errors.VersionConflictError:
                self._conflicts += 1
                self._table = None
            except errors.PlatformUnavailableError:
                # The write may have taken effect, so the table is reloaded. A
                # claim stored with the same request ID counts as
                # successful.
                self._table = None
            except errors.PlatformError as error:
                logger.warning("failed to write %s: %s", self._key, error)
                break
            else:
                return states
        return {
            change.request_id: messages.ClaimState.UNAVAILABLE
            for change in changes
        }

    async def _write(
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
        stored = await self._platform.get(self._key)
        self._version = stored.version if stored is not None else 0
        value = stored.value if stored is not None else None
        try:
            return table.ClaimTable.from_value(value)
        except pydantic.ValidationError as error:
            raise errors.PlatformRefusedError(
                f"stored value of {self._key} is invalid"
            ) from error
