"""Keeps in the platform's store which services have a single version."""

import asyncio
from typing import Any

from martenjunction import errors
from martenjunction import timers
from martenjunction.decisions.boxes import settled_services
from martenjunction.platform import store
from martenjunction.platform import stream_documents
from martenjunction.routing.log import decision_log

KIND = stream_documents.STREAM_KIND
NAME = stream_documents.SETTLED_NAME


class SettledRecord:
    """Writes the record if this box is the first of the fleet."""

    def __init__(
        self,
        client: store.StoreClient,
        clock: timers.Timers,
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the record.

        Args:
            client: The store's client.
            clock: Provides the time.
            log: Gets a line for each write.
        """
        self._client = client
        self._timers = clock
        self._log = log
        self._services = settled_services.SettledServices()
        self._task: asyncio.Task[None] | None = None
        self._calls = 0

    @property
    def task(self) -> asyncio.Task[None] | None:
        """The call in flight, if any."""
        return self._task

    @property
    def calls(self) -> int:
        """Number of calls of the store."""
        return self._calls

    def dump(self) -> dict[str, Any]:
        """Returns what the store holds, as far as this box knows."""
        stored = self._services.stored
        if stored is None:
            return {}
        return {
            "config_version": stored.config_version,
            "versions": dict(stored.versions),
        }

    def forget(self) -> None:
        """Records that the store may have gone back in time."""
        self._services.reset()

    def tick(self, is_first: bool, wanted: settled_services.Settled) -> None:
        """Begins the call that is due, if any.

        Args:
            is_first: Whether this box is the one that writes.
            wanted: What holds now.
        """
        if self._task is not None and not self._task.done():
            return
        self._task = None
        if not is_first:
            self._services.reset()
            return
        call = self._services.poll(wanted, self._timers.now())
        if call is not None:
            self._calls += 1
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._run(call))

    def decode(self, found: store.StoredObject) -> settled_services.Settled:
        """Returns the content of an object; nothing if it is malformed."""
        return self._decode(found)[0]

    def _decode(
        self, found: store.StoredObject
    ) -> tuple[settled_services.Settled, int]:
        try:
            settled, number, era = stream_documents.decode_settled(found.spec)
        except errors.PlatformError as error:
            self._log.write(
                "entry-unreadable", entry=found.name, why=str(error)
            )
            return settled_services.NOTHING, 0
        if era != found.revision.era:
            # The store was restored from a copy that may lack later changes.
            return settled_services.NOTHING, number
        return settled, number

    async def _run(
        self, call: settled_services.Read | settled_services.Write
    ) -> None:
        try:
            if isinstance(call, settled_services.Read):
                await self._read()
            else:
                await self._write(call)
        except (errors.VersionConflictError, errors.ObjectMissingError):
            self._services.conflicted()
        except errors.PlatformError:
            self._services.failed(self._timers.now())

    async def _read(self) -> None:
        found = await self._client.get(KIND, NAME)
        if found is None:
            self._services.read(settled_services.NOTHING, 0, None)
        else:
            self._services.read(*self._decode(found), found.revision)

    async def _write(self, call: settled_services.Write) -> None:
        spec = stream_documents.encode_settled(
            call.settled, call.number, self._client.era
        )
        if call.revision is None:
            made = await self._client.create(KIND, NAME, spec)
        else:
            made = await self._client.replace(KIND, NAME, spec, call.revision)
        self._services.written(made.revision)
        self._log.write(
            "settled-services",
            config=call.settled.config_version,
            services=len(call.settled.versions),
        )
