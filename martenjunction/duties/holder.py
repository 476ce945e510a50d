"""Performs the duties of the fleet on the one box that holds them."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.duties import lease
from martenjunction.duties import duty
from martenjunction.duties import record
from martenjunction.platform import duty_calls
from martenjunction.platform import store
from martenjunction.routing.log import decision_log

# Interval in seconds at which this box looks whether something is due.
CHECK_S = 0.25

# Seconds for which the store may fail before the holder says nothing any more,
# so that another box takes over.
MAX_FAILING_S = 2.0

# Era of a store that was never restored; 0 if the store tells none.
FIRST_ERA = 1

# Bounds in seconds of the pause after a failed call of the store.
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0

# Time-out in seconds for giving the duties up at a planned stop.
RELEASE_TIMEOUT_S = 1.0


class DutyHolder:
    """Takes the duties over when nobody else performs them."""

    def __init__(
        self,
        box: str,
        duty_lease: lease.DutyLease,
        client: store.StoreClient,
        performed: list[duty.Duty],
        max_unchanged_s: float,
        rank: Callable[[], int],
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the holder; `start` starts its task.

        Args:
            box: This box.
            duty_lease: The view of who holds the duties.
            client: The store's client.
            performed: The duties.
            max_unchanged_s: Longest time in seconds for which a working holder
                leaves the record unchanged.
            rank: Returns the order in which this box takes the duties over.
            clock: The clock.
            log: Receives a line for each change of the holder.
        """
        self._box = box
        self._lease = duty_lease
        self._store = client
        self._duties = performed
        self._max_unchanged_s = max_unchanged_s
        self._rank = rank
        self._timers = clock
        self._log = log
        self._record = record.EMPTY
        self._revision: revisions.Revision | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing_since: float | None = None
        self._backoff_s = MIN_BACKOFF_S
        self._taken_at: float | None = None
        self._takeovers = 0
        self._on_change: Callable[[], None] = lambda: None

    @property
    def held(self) -> record.DutyRecord:
        """The record as last read or written."""
        return self._record

    @property
    def takeovers(self) -> int:
        """How often this box took the duties over."""
        return self._takeovers

    @property
    def works(self) -> bool:
        """Whether this box holds the duties and reaches the store."""
        if not self._lease.holds:
            return False
        since = self._failing_since
        return since is None or self._timers.now() - since < MAX_FAILING_S

    def on_change(self, callback: Callable[[], None]) -> None:
        """Sets the callback for changes of the own record."""
        self._on_change = callback

    def start(self) -> None:
        """Starts looking whether something is due."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stops at once; another box takes over after a lease."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def leave(self) -> None:
        """Gives the duties up, so that another box takes them at once."""
        await self.stop()
        held = self._lease.holds
        self._lease.release()
        if not held:
            return
        tenure = dataclasses.replace(self._record.tenure, released=True)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self._write(self._record.with_tenure(tenure))
        except (errors.PlatformError, TimeoutError) as error:
            self._log.write("duties-not-released", why=str(error))
            return
        self._log.write("duties-released", fence=self._record.fence)

    def dump(self) -> dict[str, Any]:
        """Returns who holds the duties, for diagnostics."""
        now = self._timers.now()
        seen = self._lease.seen
        return {
            "phase": self._lease.phase.value,
            "holder": "" if seen is None else seen.tenure.holder,
            "fence": self._lease.fence,
            "held_s": None
            if self._taken_at is None or not self._lease.holds
            else round(now - self._taken_at, 1),
            "takeovers": self._takeovers,
            "performed": [performed.dump(now) for performed in self._duties],
        }

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            try:
                await self._step()
            except errors.PlatformError as error:
                await self._back_off(error)

    async def _step(self) -> None:
        now = self._timers.now()
        if self._lease.holds:
            if self._lease.may_act(now):
                await self._perform()
            return
        rank = self._rank()
        if self._lease.wants_duties(rank, now):
            await self._take_over(rank)
        elif self._lease.wants_record(rank, now):
            await self._read()

    async def _take_over(self, rank: int) -> None:
        """Takes the duties over, unless the record shows a working holder."""
        await self._read()
        if not self._lease.wants_duties(rank, self._timers.now()):
            return
        former = self._record
        # The record may be gone, or of a store that was restored.
        is_first = self._lease.fence == 0 and self._store.era <= FIRST_ERA
        tenure = self._lease.next_tenure(self._store.era)
        await self._write(former.with_tenure(tenure))
        assert self._revision is not None
        now = self._timers.now()
        seen = lease.SeenRecord(tenure, self._revision)
        waits = not (former.released or is_first)
        self._lease.note_taken(seen, waits, now)
        self._begin()
        self._log.write(
            "duties-taken",
            fence=tenure.fence,
            former=former.holder,
            was_released=former.released,
            settled=former.settled,
        )

    def _begin(self) -> None:
        now = self._timers.now()
        self._taken_at = now
        self._takeovers += 1
        for performed in self._duties:
            performed.begin(self._record, now)

    async def _perform(self) -> None:
        now = self._timers.now()
        wanted = self._record
        for performed in self._duties:
            wanted = performed.prepare(wanted, now)
        if wanted != self._record:
            await self._write(wanted)
        calls = [
            call
            for performed in self._duties
            for call in performed.calls(self._record, now)
        ]
        if calls and not self._may_call():
            await self._read()
        for call in calls:
            if not self._may_call():
                # The rest waits for the next confirmation.
                return
            await self._make(call)

    def _may_call(self) -> bool:
        return self._lease.may_call(self._timers.now())

    async def _make(self, call: duty.Call) -> None:
        caller = duty_calls.Credentials(
            self._box,
            self._lease.fence,
            self._may_call,
            lease.CALL_TIMEOUT_S,
        )
        error: Exception | None = None
        try:
            await call.make(caller)
        except errors.PlatformError as raised:
            error = raised
        call.done(error, self._timers.now())

    async def _read(self) -> None:
        """Reads the record, which confirms it if it is this box's own."""
        asked_at = self._timers.now()
        found = await self._store.get(record.KIND, record.NAME)
        now = self._timers.now()
        held_before = self._lease.holds
        if found is None:
            self._record, self._revision = record.EMPTY, None
            self._lease.note_record(None, self._max_unchanged_s, asked_at, now)
        else:
            self._record = record.decode(found.spec)
            self._revision = found.revision
            seen = lease.SeenRecord(self._record.tenure, found.revision)
            self._lease.note_record(seen, self._max_unchanged_s, asked_at, now)
        self._note_success()
        if self._lease.holds and not held_before:
            self._begin()
        elif held_before and not self._lease.holds:
            self._log.write("duties-lost", holder=self._record.holder)

    async def _write(self, wanted: record.DutyRecord) -> None:
        """Replaces the record if nobody else has changed it.

        Raises:
            PlatformError: If it was not, or may not have been, replaced.
        """
        asked_at = self._timers.now()
        try:
            if self._revision is None:
                stored = await self._store.create(
                    record.KIND, record.NAME, wanted
                )
            else:
                stored = await self._store.replace(
                    record.KIND, record.NAME, wanted, self._revision
                )
        except errors.PlatformError:
            self._lease.note_conflict()
            await self._read()
            raise
        self._record, self._revision = wanted, stored.revision
        seen = lease.SeenRecord(wanted.tenure, stored.revision)
        self._lease.note_written(seen, asked_at, self._timers.now())
        self._note_success()
        self._on_change()

    def _note_success(self) -> None:
        self._failing_since = None
        self._backoff_s = MIN_BACKOFF_S

    async def _back_off(self, error: errors.PlatformError) -> None:
        if self._failing_since is None:
            self._failing_since = self._timers.now()
            self._log.write(
                "duties-call-failed",
                phase=self._lease.phase.value,
                why=str(error),
            )
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)
