"""Reads the endpoints and the configuration once, for a decision that waits.

Load pattern: a box that ended had begun many streams, which clients take up at
the others within a second. All decisions that wait share one read.
"""

import asyncio
import math

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import listing_turns
from martenjunction.routing.store import missed_changes
from martenjunction.routing.store import store_cache

# Seconds for which a decision waits, and after which a read that gets no answer
# holds up no later one. The configuration alone may take 0.6 s over a link of
# 5 Mbit/s.
LIMIT_S = 1.0
HANG_S = 0.3

# Calls a second for reads by all boxes together: half of what the store takes.
CALLS_PER_S = 1000

# Calls of a read besides those of the list, which has a call for each page.
OTHER_CALLS = 2


def interval_s(boxes: int, calls: int) -> float:
    """Returns the minimum seconds between two reads of one box.

    Args:
        boxes: Number of live boxes, which may all read.
        calls: Calls that a read takes.
    """
    return boxes * calls / CALLS_PER_S


class FreshReading:
    """Reads from the store by this box itself, whatever its peers tell it."""

    def __init__(
        self,
        client: store.StoreClient,
        cache: store_cache.StoreCache,
        listed: endpoint_list.EndpointList,
        freshness: config_freshness.ConfigFreshness,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the reading; it makes no call by itself.

        Args:
            client: The store's client.
            cache: Receives the configuration.
            listed: The endpoints that this box knows.
            freshness: Tells whether the configuration was the newest.
            members: The boxes of the fleet.
            clock: Provides the time.
            log: Records reads that failed.
        """
        self._client = client
        self._cache = cache
        self._listed = listed
        self._freshness = freshness
        self._members = members
        self._timers = clock
        self._log = log
        self._began_at = -math.inf
        self._calls = OTHER_CALLS + 1
        self._last: asyncio.Task[fleet_evidence.FreshList | None] | None = None
        self._next: asyncio.Task[fleet_evidence.FreshList | None] | None = None
        self._tasks: set[asyncio.Task[fleet_evidence.FreshList | None]] = set()
        self._is_stopped = False

    async def read(self) -> fleet_evidence.FreshList | None:
        """Returns what the store holds now, by a read that begins after now.

        Returns:
            None if the store does not answer in time, or if its answer may lack
            a version that this box does not know.
        """
        if self._is_stopped:
            return None
        if self._next is None:
            self._next = asyncio.get_running_loop().create_task(self._begin())
            self._tasks.add(self._next)
            self._next.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await asyncio.shield(self._next)
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Ends all reads."""
        self._is_stopped = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _begin(self) -> fleet_evidence.FreshList | None:
        """Reads once the read before has ended and the interval has passed."""
        if self._last is not None:
            await asyncio.wait([self._last], timeout=HANG_S)
        boxes = len(self._members.live_snapshot())
        due_at = self._began_at + interval_s(boxes, self._calls)
        await asyncio.sleep(max(0.0, due_at - self._timers.now()))
        # From here on, decisions need the next read.
        self._last, self._next = self._next, None
        self._began_at = self._timers.now()
        try:
            return await self._read(self._began_at)
        except errors.PlatformError as error:
            self._log.write("fresh-read-failed", why=str(error))
            return None

    async def _read(self, asked_at: float) -> fleet_evidence.FreshList | None:
        known = self._listed.revision
        lists_before = self._client.calls.get("list", 0)
        # The changes show versions that were listed since then and are gone.
        listing, missed, config = await asyncio.gather(
            self._client.list(documents.ENDPOINT_KIND),
            missed_changes.read(self._client, known),
            self._client.get(documents.CONFIG_KIND, documents.CONFIG_NAME),
        )
        lists = self._client.calls.get("list", 0) - lists_before
        self._calls = OTHER_CALLS + lists
        if config is None or self._may_lack_entries(known, listing.revision):
            return None
        self._cache.apply_config(config.spec, asked_at, "store")
        confirmed_at = self._freshness.confirmed_at
        if confirmed_at is None or confirmed_at < asked_at:
            return None
        decoded = await listing_turns.decode(
            [(o.name, o.revision, o.spec) for o in listing.objects]
        )
        unreadable = [*decoded.unreadable, *missed.unreadable]
        if any(row[1] > known for row, _ in unreadable):
            # Another version may have written it than the one known before.
            return None
        entries = [*decoded.entries, *missed.entries]
        versions = frozenset((e.service, e.version) for e, _ in entries)
        return fleet_evidence.FreshList(versions, asked_at)

    def _may_lack_entries(
        self, known: revisions.Revision, listed: revisions.Revision
    ) -> bool:
        """Returns whether live endpoints may have no entry for the moment.

        Args:
            known: The revision that this box knew before the read.
            listed: The revision of the list.
        """
        return (
            listed < known
            or listed.era != known.era
            or self._listed.contact.is_lost
            or self._listed.in_grace(self._timers.now())
        )
