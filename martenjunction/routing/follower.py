"""Follows the store: configuration, endpoints and boxes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

from martenjunction import errors
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing import decision_log
from martenjunction.routing import picture

# Seconds between two questions for the newest configuration. Their answers
# alone prove that no key was taken away: a watch may be deaf for a while.
CONFIRM_INTERVAL_S = 1.5

# Seconds for which a watch waits. The store cuts watches that it let go deaf,
# and a lost connection is found by the calls beside it.
WATCH_WAIT_S = 8.0

# Seconds between two lists of the boxes' own entries.
BOXES_INTERVAL_S = 8.0

# Seconds for which a box must be silent before its entry is removed.
DEAD_AFTER_S = 12.0

# Seconds before a failed call is made again: the first and the longest pause.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5


class StoreFollower:
    """The tasks that read from the store, and the box's own entry there."""

    def __init__(
        self,
        client: store.StoreClient,
        known: picture.Picture,
        members: membership.Membership,
        own: documents.BoxEntry,
        log: decision_log.DecisionLog,
        rng: random.Random,
    ) -> None:
        """Makes a follower; `start` begins.

        Args:
            client: The store's client.
            known: Takes in what is read.
            members: Told of the boxes that are listed.
            own: What this box records of itself.
            log: Told of failed calls.
            rng: Jitter.
        """
        self._client = client
        self._known = known
        self._members = members
        self._own = own
        self._log = log
        self._rng = rng
        self._tasks: list[asyncio.Task[None]] = []
        self._listed: dict[str, int] = {}
        self._recorded = False

    def start(self) -> None:
        """Begins to follow the store."""
        loop = asyncio.get_running_loop()
        for work in (
            self._confirm_config,
            self._watch_config,
            self._watch_endpoints,
            self._follow_boxes,
        ):
            self._tasks.append(loop.create_task(self._repeat(work)))

    async def stop(self) -> None:
        """Ends the tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def remove_own_entry(self) -> None:
        """Removes this box's entry; a failure is logged and left."""
        try:
            await self._client.delete(
                documents.BOX_KIND, self._own.box, revision=None
            )
        except errors.PlatformError as error:
            self._log.write("own-entry-kept", why=str(error))

    async def _repeat(self, work: Callable[[], Awaitable[None]]) -> None:
        """Calls a step for ever, with pauses after failures."""
        pause = FIRST_PAUSE_S
        while True:
            try:
                await work()
                pause = FIRST_PAUSE_S
            except errors.PlatformError as error:
                self._known.store_answered(False, str(error))
                await asyncio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(pause * 2.0, LONGEST_PAUSE_S)

    async def _confirm_config(self) -> None:
        asked_at = time.monotonic()
        found = await self._client.get(
            documents.CONFIG_KIND, documents.CONFIG_NAME
        )
        self._known.store_answered(True)
        if found is not None:
            self._known.take_config(found.spec, asked_at, "store")
            await asyncio.sleep(CONFIRM_INTERVAL_S)
        else:
            await asyncio.sleep(FIRST_PAUSE_S)

    async def _watch_config(self) -> None:
        listing = await self._client.list(documents.CONFIG_KIND)
        for found in listing.objects:
            self._take_watched(found)
        await self._watch(
            documents.CONFIG_KIND, listing.revision, self._take_config_change
        )

    def _take_config_change(self, change: store.Change) -> None:
        if not change.deleted:
            self._take_watched(change.object)

    def _take_watched(self, found: store.StoredObject) -> None:
        """Takes in a configuration that may have been overtaken already."""
        if found.name == documents.CONFIG_NAME:
            self._known.take_newer_config(found.spec, "watch")

    async def _watch_endpoints(self) -> None:
        listing = await self._client.list(documents.ENDPOINT_KIND)
        self._known.store_answered(True)
        self._known.take_endpoints(
            [(o.name, o.revision, o.spec) for o in listing.objects],
            listing.revision,
            "store",
        )
        await self._watch(
            documents.ENDPOINT_KIND,
            listing.revision,
            self._known.take_endpoint_change,
        )

    async def _watch(
        self, kind: str, after: int, take: Callable[[store.Change], None]
    ) -> None:
        """Takes in the changes of a kind until the store forgets some.

        An answer without changes moves us no further: a watch that was deaf
        would otherwise hide what it missed.
        """
        while True:
            try:
                answer = await self._client.watch(kind, after, WATCH_WAIT_S)
            except errors.HistoryLostError:
                return
            self._known.store_answered(True)
            for change in answer.changes:
                after = max(after, change.object.revision)
                take(change)

    async def _follow_boxes(self) -> None:
        if not self._recorded:
            await self._record_own()
        listing = await self._client.list(documents.BOX_KIND)
        present: dict[str, int] = {}
        for found in listing.objects:
            entry = documents.decode_box(found.spec)
            present[entry.box] = found.revision
            self._members.listed(_member(entry), True, entry.leaving)
        for gone in set(self._listed) - set(present):
            member = self._members.members.get(gone)
            if member is not None:
                self._members.listed(member, False, False)
        self._listed = present
        if self._own.box not in present:
            self._recorded = False
        await self._remove_dead()
        await asyncio.sleep(BOXES_INTERVAL_S * (0.8 + 0.4 * self._rng.random()))

    async def _record_own(self) -> None:
        spec = documents.encode_box(self._own)
        try:
            await self._client.create(documents.BOX_KIND, self._own.box, spec)
        except errors.VersionConflictError:
            # The entry of an earlier life of this box.
            await self._client.replace(
                documents.BOX_KIND, self._own.box, spec, revision=None
            )
        self._recorded = True

    async def _remove_dead(self) -> None:
        """Removes entries of boxes that nobody has heard for long."""
        for box in self._members.silent_for(DEAD_AFTER_S):
            revision = self._listed.get(box)
            if revision is None:
                continue
            try:
                await self._client.delete(documents.BOX_KIND, box, revision)
            except errors.VersionConflictError:
                continue
            self._log.write("box-entry-removed", removed=box)


def _member(entry: documents.BoxEntry) -> membership.Member:
    return membership.Member(
        entry.box, entry.zone, entry.callers, "", entry.peers
    )
