"""A stand-in of a replica that has room for only some requests."""

import asyncio

from martenjunction_lab import replica


class CrowdedReplica(replica.Replica):
    """A replica that rejects requests for which it has no room."""

    def __init__(self, endpoint_id: str, slots: int) -> None:
        """Makes it; `start` brings it up.

        Args:
            endpoint_id: The id under which it is listed.
            slots: Requests that it works on at once.
        """
        super().__init__(endpoint_id)
        self._slots = slots
        self._present = 0
        self._working = asyncio.Semaphore(slots)

    async def _answer(
        self,
        request: replica.Received,
        behaviour: replica.Behaviour,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.method != "POST":
            return await super()._answer(request, behaviour, reader, writer)
        if self._present >= self._slots + self._places():
            self._note_rejection()
            return await super()._answer(
                request, replica.Behaviour.REFUSE, reader, writer
            )
        self._present += 1
        try:
            async with self._working:
                return await super()._answer(request, behaviour, reader, writer)
        finally:
            self._present -= 1

    def _places(self) -> int:
        """Returns how many requests may wait."""
        return 0

    def _note_rejection(self) -> None:
        """Called before a request is rejected."""
