"""Reads configuration, endpoints and boxes from the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import math
import random
import time

from martenjunction import errors
from martenjunction import fair_turns
from martenjunction import revisions
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import box_entries
from martenjunction.routing.store import checked_watch
from martenjunction.routing.store import dead_entries
from martenjunction.routing.store import listing_turns
from martenjunction.routing.store import missed_changes
from martenjunction.routing.store import own_entry
from martenjunction.routing.store import store_cache

# Intervals in seconds at which the boxes' entries are listed: by a box that
# reads for others, and by one that already has all its connections.
BOXES_INTERVAL_S = 8.0
BOXES_INTERVAL_IDLE_S = 30.0

# The same for a box of a large fleet that is connected: the others tell it of
# boxes that join.
BOXES_INTERVAL_TOLD_S = 300.0

# Interval in seconds between the first two lists after a start.
INITIAL_BOXES_INTERVAL_S = 3.0

# Seconds before the first list if the whole fleet starts for the first time.
# All boxes start at about the same time, so an earlier list would lack most.
FIRST_START_S = 1.5

# Upper bound in seconds of the random delay before a box checks its own entry
# after the store was restored; spreads the calls of a large fleet.
OWN_ENTRY_JITTER_S = 1.0

# Back-off in seconds after a failed call: the initial value, the maximum for
# the first box of a group, and the maximum for a box that reads in its place.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.3
MAX_BACKOFF_STANDBY_S = 1.5


class StoreFollower:
    """Reads from the store and maintains the box's own entry there."""

    def __init__(
        self,
        client: store.StoreClient,
        cache: store_cache.StoreCache,
        members: membership.Membership,
        own: documents.BoxEntry,
        log: decision_log.DecisionLog,
        rng: random.Random,
        listed: endpoint_list.EndpointList,
        link_bytes_s: float,
        check_interval_s: float,
        dead: dead_entries.DeadEntries,
        first_start: bool = False,
    ) -> None:
        """Initializes the follower; `start` starts its tasks.

        Args:
            client: The store's client.
            cache: Receives the configuration and the endpoints.
            members: Receives the listed boxes.
            own: This box's entry.
            log: Records failed calls and changes of the reader role.
            rng: Random source for jitter.
            listed: The endpoints; receives their age.
            link_bytes_s: Bandwidth of this box's link in bytes per second.
            check_interval_s: Seconds without proof after which an open watch
                is checked.
            dead: Removes the entries of boxes that are gone.
            first_start: Whether the whole fleet starts for the first time.
        """
        self._dead_entries = dead
        self._first_start = first_start
        self._first_list_delay_s = 1.2 * FIRST_START_S if first_start else 0.0
        self._link_bytes_s = link_bytes_s
        self._check_interval_s = check_interval_s
        self._document_bytes = 0
        self._config_read_at = -math.inf
        self._client = client
        self._cache = cache
        self._members = members
        self._decoder = box_entries.BoxEntryDecoder(log)
        self._own_entry = own_entry.OwnEntry(
            client, own, self._decoder.decode, log
        )
        self._log = log
        self._rng = rng
        self._listed_endpoints = listed
        self._list_age = listed.age
        self._follow_task: asyncio.Task[None] | None = None
        self._read_task: asyncio.Task[None] | None = None
        self._watch_tasks: list[asyncio.Task[None]] = []
        self._synced = False
        self._first = True
        self._listed: dict[str, revisions.Revision] = {}
        self._lists = 0
        self._era_changed = asyncio.Event()
        client.on_era_change(self._on_era_change)

    @property
    def is_synced(self) -> bool:
        """Whether this box reads and the store answered its last call."""
        return self._synced

    @property
    def has_listed(self) -> bool:
        """Whether the boxes' entries were listed since the start."""
        return self._lists > 0

    @property
    def knows_boxes(self) -> bool:
        """Whether the entries of boxes that started with this one were read."""
        return self._lists > 1

    @property
    def config_read_at(self) -> float:
        """Time of the last query for the configuration that was answered."""
        return self._config_read_at

    @property
    def first_list_delay_s(self) -> float:
        """Seconds after the start at which the entries are listed at last."""
        return self._first_list_delay_s

    def update_era(self, era: int) -> None:
        """Records the store's era, as reported by another box."""
        self._client.update_era(era)

    def start(self) -> None:
        """Starts following the boxes' entries; `read` starts reading."""
        self._dead_entries.start()
        loop = asyncio.get_running_loop()
        self._follow_task = loop.create_task(self._repeat(self._follow_boxes))

    def read(self, wanted: bool, first: bool) -> None:
        """Starts or stops reading the configuration and the endpoints.

        Args:
            wanted: Whether this box is to read.
            first: Whether it is the first of its group, which has the shortest
                back-off after a failure.
        """
        self._first = first
        if wanted is (self._read_task is not None):
            return
        self._log.write("store-reading", reads=wanted, first=first)
        if wanted:
            loop = asyncio.get_running_loop()
            self._read_task = loop.create_task(self._read())
        elif self._read_task is not None:
            self._read_task.cancel()
            self._read_task = None

    async def stop(self) -> None:
        """Stops the tasks and closes the client."""
        tasks = [
            t for t in (self._follow_task, self._read_task) if t is not None
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *self._watch_tasks, return_exceptions=True)
        self._client.close()

    def check_own_entry(self) -> None:
        """Checks this box's entry soon: others may have removed it."""
        self._own_entry.check_again()
        self._era_changed.set()

    async def remove_own_entry(self) -> None:
        """Removes this box's entry; a failure is logged but not retried."""
        await self._own_entry.remove()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeats a step indefinitely, with back-off after failures."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await step()
                backoff_s = INITIAL_BACKOFF_S
            except errors.PlatformError as error:
                self._log.write("store-call-failed", why=str(error))
                backoff_s = await self._back_off(backoff_s)

    async def _back_off(self, backoff_s: float) -> float:
        """Backs off after a failed call; returns the next back-off."""
        await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
        max_backoff_s = MAX_BACKOFF_S if self._first else MAX_BACKOFF_STANDBY_S
        return min(backoff_s * 2.0, max_backoff_s)

    async def _read(self) -> None:
        """Confirms the configuration periodically and watches for changes.

        The first failed confirmation ends the watches. They restart with a
        full read when the store answers again, so that changes missed by a
        dead connection are found at once.
        """
        backoff_s = INITIAL_BACKOFF_S
        try:
            while True:
                try:
                    known = await self._confirm_config()
                except errors.PlatformError as error:
                    self._stop_watches()
                    self._synced = False
                    self._cache.store_failed(str(error))
                    backoff_s = await self._back_off(backoff_s)
                    continue
                self._synced = True
                self._start_watches()
                if self._cache.begin_report_check():
                    self._log.write("store-read-again")
                    self._restart_watches()
                if known:
                    backoff_s = INITIAL_BACKOFF_S
                    await asyncio.sleep(self._confirm_interval_s())
                else:
                    # The watch will report the first configuration.
                    backoff_s = await self._back_off(backoff_s)
        finally:
            self._synced = False
            self._stop_watches()

    def _start_watches(self) -> None:
        if self._watch_tasks:
            return
        loop = asyncio.get_running_loop()
        for step in (self._watch_config, self._watch_endpoints):
            self._watch_tasks.append(loop.create_task(self._repeat(step)))

    def _stop_watches(self) -> None:
        self._list_age.end_watch()
        for task in self._watch_tasks:
            task.cancel()
        self._watch_tasks = []

    def _on_era_change(self, era: int) -> None:
        """Restarts the watches, as the store was restored from a copy."""
        self._log.write("store-era-changed", era=era)
        self._era_changed.set()
        self._list_age.end_watch()
        # A pending watch may get no event for the restore. The restart is
        # deferred because the caller may be one of the watches to cancel.
        asyncio.get_running_loop().call_soon(self._restart_watches)

    def _restart_watches(self) -> None:
        if self._watch_tasks:
            self._stop_watches()
            self._start_watches()

    def _confirm_interval_s(self) -> float:
        """Returns the seconds until the next confirmation.

        Only a confirmation proves that no key was revoked, as a watch may fail
        to deliver changes for a while.
        """
        return store_readers.confirm_interval_s(
            self._document_bytes, self._link_bytes_s, self._cache.in_grace
        )

    async def _confirm_config(self) -> bool:
        """Reads the configuration; returns whether there is one.

        It is read as a list, which tells the store's revision as well.
        """
        asked_at = time.monotonic()
        listing = await self._client.list(documents.CONFIG_KIND)
        found = _config_in(listing)
        self._config_read_at = asked_at
        self._cache.store_answered(asked_at)
        self._list_age.note_revision(
            listing.revision, self._listed_endpoints.revision, asked_at
        )
        if found is not None:
            self._document_bytes = len(found.spec)
            self._cache.apply_config(found.spec, asked_at, "store")
        return found is not None

    async def _watch_config(self) -> None:
        listing = await self._client.list(documents.CONFIG_KIND)
        for found in listing.objects:
            self._apply_watched(found)
        watched = checked_watch.Watched(
            documents.CONFIG_KIND,
            self._apply_config_change,
            lambda now: now - self._config_read_at,
            # Only a confirmation proves that no key was revoked.
            lambda revision, asked_at: None,
        )
        await self._watch(watched, listing.revision)

    def _apply_config_change(self, change: store.Change) -> None:
        if not change.deleted:
            self._apply_watched(change.object)

    def _apply_watched(self, found: store.StoredObject) -> None:
        """Applies a configuration unless a newer one is in force."""
        if found.name == documents.CONFIG_NAME:
            self._cache.apply_newer_config(found.spec, "watch")

    async def _watch_endpoints(self) -> None:
        asked_at = time.monotonic()
        known = self._listed_endpoints.revision
        listing = await self._client.list(documents.ENDPOINT_KIND)
        await self._cache.apply_listing(
            [(o.name, o.revision, o.spec) for o in listing.objects],
            listing.revision,
            "store",
            listing.unnamed,
        )
        await missed_changes.note(
            self._client, self._listed_endpoints, known, self._log
        )
        self._list_age.confirm(asked_at)
        self._list_age.begin_watch(time.monotonic())
        watched = checked_watch.Watched(
            documents.ENDPOINT_KIND,
            self._cache.apply_endpoint_change,
            self._list_age.age_s,
            self._list_age.note_unchanged,
        )
        try:
            await self._watch(watched, listing.revision)
        finally:
            self._list_age.end_watch()

    async def _watch(
        self, watched: checked_watch.Watched, after: revisions.Revision
    ) -> None:
        """Watches a kind until the store has lost its history.

        Raises:
            PlatformError: If a watch fails, or reports a change that cannot be
                read.
        """
        watch = checked_watch.CheckedWatch(
            self._client, watched, self._check_interval_s, self._log
        )
        await watch.follow(after)

    async def _follow_boxes(self) -> None:
        # The own entry comes first, so that of two boxes that start together
        # at least one lists the other.
        await self._own_entry.ensure(self._first_start)
        first_start, self._first_start = self._first_start, False
        if first_start:
            await asyncio.sleep(
                FIRST_START_S * (0.8 + 0.4 * self._rng.random())
            )
        # Stale data is acceptable but at the first start of the fleet, when it
        # would lack all boxes: peers report newer members, and entries are
        # removed conditionally on their revision.
        listing = await self._client.list(
            documents.BOX_KIND, allow_stale=not first_start
        )
        self._decoder.note_list(listing)
        present: dict[str, revisions.Revision] = {}
        async for found in fair_turns.in_turns(
            listing.objects, listing_turns.ENTRIES_PER_TURN
        ):
            entry = self._decoder.decode(found)
            if entry is None:
                continue
            present[entry.box] = found.revision
            self._members.update_listed(
                box_entries.to_member(entry), True, entry.leaving
            )
        for gone in set(self._listed) - set(present):
            member = self._members.members.get(gone)
            if member is not None:
                self._members.update_listed(member, False, False)
        self._listed = present
        self._own_entry.note_list(present)
        wait = BOXES_INTERVAL_IDLE_S
        self._lists += 1
        if self._lists == 1:
            # If all boxes start at once, the others are not listed yet.
            wait = INITIAL_BOXES_INTERVAL_S
        elif self._read_task is not None:
            await self._dead_entries.remove(self._listed)
            wait = BOXES_INTERVAL_S
        elif self._is_told():
            wait = BOXES_INTERVAL_TOLD_S
        await self._wait_for_next_list(wait * (0.8 + 0.4 * self._rng.random()))

    def _is_told(self) -> bool:
        """Returns whether the other boxes tell this one of those that join."""
        return not self._members.is_full_mesh

    async def _wait_for_next_list(self, wait_s: float) -> None:
        """Waits until the next list is due or the store's era changes."""
        self._era_changed.clear()
        if self._client.era == self._own_entry.era:
            try:
                async with asyncio.timeout(wait_s):
                    await self._era_changed.wait()
            except TimeoutError:
                return
        await asyncio.sleep(OWN_ENTRY_JITTER_S * self._rng.random())


def _config_in(listing: store.Listing) -> store.StoredObject | None:
    """Returns the configuration among the objects of its kind."""
    for found in listing.objects:
        if found.name == documents.CONFIG_NAME:
            return found
    return None
