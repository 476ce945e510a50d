"""Removes the entries of boxes that are gone from the store."""

from collections.abc import Callable
from collections.abc import Mapping

from martenjunction import errors
from martenjunction import revisions
from martenjunction import timers
from martenjunction.decisions.boxes import entry_removal
from martenjunction.peers import membership
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log

# Interval in seconds at which this box looks which other boxes it hears.
OBSERVE_INTERVAL_S = 0.5


class DeadEntries:
    """Decides which entries to remove, and removes them."""

    def __init__(
        self,
        client: store.StoreClient,
        members: membership.Membership,
        is_heard: Callable[[str], bool],
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the part; `start` subscribes it to the clock.

        Args:
            client: The store's client.
            members: The boxes of the fleet.
            is_heard: Returns whether a box is connected and was heard lately.
            clock: Provides the time and periodic callbacks.
            log: Records removed entries.
        """
        self._client = client
        self._members = members
        self._is_heard = is_heard
        self._timers = clock
        self._log = log
        self._removal = entry_removal.EntryRemoval()

    def start(self) -> None:
        """Starts to observe which boxes are heard."""
        self._timers.subscribe("heard", OBSERVE_INTERVAL_S, self._observe)

    async def remove(self, listed: Mapping[str, revisions.Revision]) -> None:
        """Removes the entries of boxes that have been silent for too long.

        Args:
            listed: The entries in the store.

        Raises:
            PlatformError: If the store does not answer.
        """
        self._observe()
        limit_s = self._removal.silence_limit_s(self._timers.now())
        if limit_s is None:
            return
        for box in self._members.silent_boxes(limit_s):
            revision = listed.get(box)
            if revision is None:
                continue
            try:
                await self._client.delete(documents.BOX_KIND, box, revision)
            except errors.VersionConflictError:
                continue
            self._log.write("box-entry-removed", removed=box, after_s=limit_s)

    def _observe(self) -> None:
        is_full_mesh = self._members.is_full_mesh
        others = [
            member
            for member in self._members.members.values()
            if member is not self._members.own and member.leaving_since is None
        ]
        heard = {m.box for m in others if self._is_heard(m.box)}
        if not is_full_mesh and heard:
            # The boxes that are heard tell of those that are silent.
            heard |= {m.box for m in self._members.live_snapshot()}
            heard.discard(self._members.own.box)
        self._removal.observe(
            heard,
            {m.box for m in others if m.listed} - heard,
            not is_full_mesh,
            self._timers.now(),
        )
