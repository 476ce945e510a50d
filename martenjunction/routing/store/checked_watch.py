"""Watches one kind of objects, and notices a watch that is no longer fed."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction import revisions
from martenjunction.decisions.boxes import watch_checks
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import listing_turns

# Seconds for which the store may wait for a change.
WATCH_WAIT_S = 8.0

# The same for a check: changes that there were are told at once.
CHECK_WAIT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """What a watch is for.

    Attributes:
        kind: The kind of the objects.
        apply: Applies a change.
        age_s: Returns the age in seconds of what is known by other proof than
            the watch, or None; takes the current time.
        on_unchanged: Called with the store's revision and the time of a check
            that found no change.
    """

    kind: str
    apply: Callable[[store.Change], None]
    age_s: Callable[[float], float | None]
    on_unchanged: Callable[[revisions.Revision, float], None]


class CheckedWatch:
    """Watches a kind from a list of its objects on."""

    def __init__(
        self,
        client: store.StoreClient,
        watched: Watched,
        check_interval_s: float,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the watch; `follow` makes its calls.

        Args:
            client: The store's client.
            watched: What is watched.
            check_interval_s: Seconds without proof after which the watch is
                checked.
            log: Records watches that missed changes.
        """
        self._client = client
        self._watched = watched
        self._log = log
        self._checks = watch_checks.WatchChecks(
            check_interval_s, time.monotonic()
        )

    async def follow(self, after: revisions.Revision) -> None:
        """Applies changes until the store has lost its history.

        An answer without changes does not advance the revision, as changes
        that a failing watch did not deliver would otherwise be skipped.

        Args:
            after: The revision of the list.

        Raises:
            PlatformError: If a watch fails, or reports a change that cannot be
                read.
        """
        while True:
            try:
                answer = await self._next(after)
            except errors.UnreadableChangeError:
                # The list that follows gets past the change. It is a failed
                # call, so that further such changes do not make a loop.
                raise
            except errors.HistoryLostError:
                return
            async for change in fair_turns.in_turns(
                answer.changes, listing_turns.ENTRIES_PER_TURN
            ):
                after = max(after, change.object.revision)
                self._watched.apply(change)

    async def _next(self, after: revisions.Revision) -> store.Changes:
        """Returns the next answer of the watch, or the changes it missed."""
        watch = asyncio.get_running_loop().create_task(
            self._client.watch(self._watched.kind, after, WATCH_WAIT_S)
        )
        try:
            while True:
                now = time.monotonic()
                due_in_s = self._checks.due_in_s(self._watched.age_s(now), now)
                await asyncio.wait({watch}, timeout=due_in_s)
                if watch.done():
                    return watch.result()
                now = time.monotonic()
                if self._checks.due_in_s(self._watched.age_s(now), now) > 0.0:
                    continue
                missed = await self._check(after)
                if missed is not None and not watch.done():
                    return missed
        finally:
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)

    async def _check(self, after: revisions.Revision) -> store.Changes | None:
        """Returns the changes that the open watch has not delivered, if any.

        Raises:
            HistoryLostError: If the store cannot tell.
        """
        kind = self._watched.kind
        asked_at = time.monotonic()
        try:
            found = await self._client.watch(kind, after, CHECK_WAIT_S)
        except errors.HistoryLostError:
            raise
        except errors.PlatformError as error:
            self._checks.note_failed(time.monotonic())
            self._log.write("store-call-failed", why=str(error))
            return None
        self._checks.note_checked(asked_at)
        if not found.changes:
            self._watched.on_unchanged(found.revision, asked_at)
            return None
        self._log.write(
            "watch-missed-changes",
            objects=kind,
            after=str(after),
            count=len(found.changes),
        )
        return found
