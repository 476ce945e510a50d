"""Reads the platform: watches the configuration and polls the boxes.

Only a few daemons of each availability zone read the platform continuously and
forward changes to the others, so that the number of calls to the platform grows
with the number of zones rather than with the size of the fleet.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

from martenjunction import errors
from martenjunction import timers
from martenjunction.config import fleet
from martenjunction.config import store
from martenjunction.objects import client as object_client
from martenjunction.objects import configuration
from martenjunction.objects import model

logger = logging.getLogger(__name__)

WATCH_WAIT_S = 20.0

# Seconds for which the platform may wait for a change that is looked for beside
# an open watch: changes that there were are told at once.
CHECK_WAIT_S = 0.001

BOXES_INTERVAL_S = 1.0
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

OnObjects = Callable[[list[store.ConfigObject]], None]
OnBoxes = Callable[[list[model.ListedBox]], None]


class PlatformFeed:
    """A daemon's subscription to the platform."""

    def __init__(
        self,
        platform: object_client.ObjectClient,
        clock: timers.Timers,
        is_watcher: Callable[[], bool],
        on_objects: OnObjects,
        on_boxes: OnBoxes,
        rng: random.Random | None = None,
    ) -> None:
        """Initializes the feed without starting it.

        Args:
            platform: Client of the platform's store.
            clock: Provides the time.
            is_watcher: Returns whether this daemon currently reads the
                platform continuously.
            on_objects: Called with changed configuration objects.
            on_boxes: Called with changed entries of the list of boxes.
            rng: Source of jitter.
        """
        self._platform = platform
        self._timers = clock
        self._is_watcher = is_watcher
        self._on_objects = on_objects
        self._on_boxes = on_boxes
        self._rng = rng or random.Random()
        self._known_version = 0
        self._known_boxes_version = 0
        self._last_response_at: float | None = None
        self._failures = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def last_response_age(self) -> float | None:
        """Seconds since the last response of the platform, or None."""
        if self._last_response_at is None:
            return None
        return self._timers.now() - self._last_response_at

    @property
    def failures(self) -> int:
        """Number of failed calls."""
        return self._failures

    async def read_once(self) -> bool:
        """Reads everything once and returns whether the platform answered."""
        try:
            await self._list()
            await self._poll_boxes()
        except errors.PlatformError as error:
            self._failures += 1
            logger.warning("call to the platform failed: %s", error)
            return False
        return True

    def start(self) -> None:
        """Starts reading the platform continuously."""
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._run_repeatedly(self._watch, 0.0)),
            loop.create_task(
                self._run_repeatedly(self._poll_boxes, BOXES_INTERVAL_S)
            ),
        ]

    async def stop(self) -> None:
        """Stops reading the platform."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_repeatedly(
        self, step: Callable[[], Awaitable[None]], interval: float
    ) -> None:
        backoff = INITIAL_BACKOFF_S
        while True:
            if not self._is_watcher():
                await asyncio.sleep(BOXES_INTERVAL_S)
                continue
            try:
                await step()
                backoff = INITIAL_BACKOFF_S
                await asyncio.sleep(interval * (0.75 + self._rng.random() / 2))
            except errors.PlatformError as error:
                self._failures += 1
                logger.info("call to the platform failed: %s", error)
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2.0, MAX_BACKOFF_S)

    async def _list(self) -> None:
        listed = await self._platform.list_objects(fleet.KEY_PREFIX)
        self._apply(listed)

    async def _watch(self) -> None:
        if self._known_version == 0:
            await self._list()
        changed = await self._platform.watch(
            fleet.KEY_PREFIX, self._known_version, WATCH_WAIT_S
        )
        await self._apply_changes(changed)

    async def _check_watch(self, platform_version: int) -> None:
        """Looks for changes that an open watch did not tell.

        Its answer may be lost, or its connection silent, while the platform
        answers all other calls.

        Args:
            platform_version: The version of the last change of any object.
        """
        if not 0 < self._known_version < platform_version:
            return
        changed = await self._platform.watch(
            fleet.KEY_PREFIX, self._known_version, CHECK_WAIT_S
        )
        if changed is None or changed.version > self._known_version:
            await self._apply_changes(changed)

    async def _apply_changes(self, changed: model.ObjectList | None) -> None:
        """Applies the answer to a watch; lists all objects if it has none."""
        if changed is None:
            await self._list()
            return
        if changed.version < self._known_version:
            # The platform may have been restored from a backup. The
            # configuration in force is kept; only later changes apply.
            logger.warning(
                "the platform's version decreased from %d to %d",
                self._known_version,
                changed.version,
            )
        self._apply(changed)

    async def _poll_boxes(self) -> None:
        listed = await self._platform.boxes(self._known_boxes_version)
        self._last_response_at = self._timers.now()
        if listed.version < self._known_boxes_version:
            self._known_boxes_version = 0
            return
        self._known_boxes_version = listed.version
        if listed.boxes:
            self._on_boxes(listed.boxes)
        await self._check_watch(listed.platform_version)

    def _apply(self, listed: model.ObjectList) -> None:
        self._last_response_at = self._timers.now()
        self._known_version = listed.version
        objects = []
        for item in listed.objects:
            if not configuration.is_readable(item):
                # The last readable version stays active, and no other daemon
                # is told what it could not decode.
                logger.warning("%s does not hold text by key", item.key)
                continue
            values = configuration.values_of(item)
            objects.append(store.ConfigObject(item.key, item.version, values))
        if objects:
            self._on_objects(objects)
