"""Reads the endpoints and the configuration once, for a decision that waits.

Load pattern: a box that ended had begun many streams, which clients take up at
the others within a second. All decisions that wait share one read.
"""

import asyncio
import math

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import fleet_evidence
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import listing_turns
from martenjunction.routing.store import store_cache

# Seconds for which a decision waits.
LIMIT_S = 0.5

# Reads a second by all boxes together, of two calls each. The store takes 2,000
# calls a second.
READS_PER_S = 100


class FreshReading:
    """Reads from the store by this box itself, whatever its peers tell it."""

    def __init__(
        self,
        client: store.StoreClient,
        cache: store_cache.StoreCache,
        listed: endpoint_list.EndpointList,
        members: membership.Membership,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the reading; it makes no call by itself.

        Args:
            client: The store's client.
            cache: Receives the configuration.
            listed: The endpoints that this box knows.
            members: The boxes of the fleet.
            clock: Provides the time.
            log: Records reads that failed.
        """
        self._client = client
        self._cache = cache
        self._listed = listed
        self._members = members
        self._timers = clock
        self._log = log
        self._began_at = -math.inf
        self._running: asyncio.Task[fleet_evidence.FreshList | None] | None = (
            None
        )
        self._next: asyncio.Task[fleet_evidence.FreshList | None] | None = None

    async def read(self) -> fleet_evidence.FreshList | None:
        """Returns what the store holds now, by a read that begins after now.

        Returns:
            None if the store does not answer in time, or if it may lack entries
            of live endpoints for the moment.
        """
        if self._next is None:
            self._next = asyncio.get_running_loop().create_task(self._begin())
        try:
            async with asyncio.timeout(LIMIT_S):
                return await asyncio.shield(self._next)
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """Ends all reads."""
        tasks = [t for t in (self._running, self._next) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _begin(self) -> fleet_evidence.FreshList | None:
        """Reads once the read before has ended and the interval has passed."""
        if self._running is not None:
            await asyncio.wait([self._running])
        interval_s = len(self._members.live_snapshot()) / READS_PER_S
        due_at = self._began_at + interval_s
        await asyncio.sleep(max(0.0, due_at - self._timers.now()))
        # From here on, decisions need the next read.
        self._running, self._next = self._next, None
        self._began_at = self._timers.now()
        try:
            return await self._read(self._began_at)
        except errors.PlatformError as error:
            self._log.write("fresh-read-failed", why=str(error))
            return None

    async def _read(self, asked_at: float) -> fleet_evidence.FreshList | None:
        listing, found = await asyncio.gather(
            self._client.list(documents.ENDPOINT_KIND),
            self._client.get(documents.CONFIG_KIND, documents.CONFIG_NAME),
        )
        if found is None:
            return None
        self._cache.apply_config(found.spec, asked_at, "store")
        decoded = await listing_turns.decode(
            [(o.name, o.revision, o.spec) for o in listing.objects]
        )
        if self._may_lack_entries(listing.revision):
            return None
        endpoints = tuple(endpoint for endpoint, _ in decoded.entries)
        return fleet_evidence.FreshList(endpoints, asked_at)

    def _may_lack_entries(self, revision: revisions.Revision) -> bool:
        """Returns whether live endpoints may still have to write theirs."""
        return self._listed.in_grace(
            self._timers.now()
        ) or self._listed.is_new_era(revision)
