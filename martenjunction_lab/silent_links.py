"""Links on which single connections fall silent for good, without a reset.

The kernel at either end still acknowledges what a silent connection carries, so
that neither probes nor retransmissions find it.
"""

import asyncio
from collections.abc import Callable
import re
import time

from martenjunction import addresses

CHUNK_BYTES = 64 * 1024

# The id of a request, in its head.
_ID = re.compile(rb"(?i)martenjunction-attempt-id: (\S+)")


class Passage:
    """One connection through a link.

    Attributes:
        passed: Ids of requests that were passed on.
        swallowed: Ids of requests that were not, each with the time at which
            it came.
        silent_since: Time at which the connection fell silent, or None.
        ended_at: Time at which the side that connected ended it, or None.
        answer_swallowed: Whether something for that side was not passed on.
    """

    def __init__(self) -> None:
        """Initializes a connection that passes everything on."""
        self.passed: list[str] = []
        self.swallowed: list[tuple[float, str]] = []
        self.silent_since: float | None = None
        self.ended_at: float | None = None
        self.answer_swallowed = False

    @property
    def usable(self) -> bool:
        """Whether it has carried a request and is neither silent nor ended."""
        return (
            bool(self.passed)
            and self.silent_since is None
            and self.ended_at is None
        )

    @property
    def caught(self) -> list[str]:
        """Ids of requests that, or whose answers, were not passed on."""
        answered = self.passed[-1:] if self.answer_swallowed else []
        return answered + [request_id for _, request_id in self.swallowed]

    def silence(self) -> None:
        """Passes nothing on from now on, not even the end."""
        if self.silent_since is None:
            self.silent_since = time.monotonic()

    def note(self, data: bytes) -> None:
        """Records the requests whose heads begin in a chunk."""
        for found in _ID.findall(data):
            request_id = found.decode("latin-1")
            if self.silent_since is None:
                self.passed.append(request_id)
            else:
                self.swallowed.append((time.monotonic(), request_id))

    def note_answer(self, data: bytes) -> None:
        """Records that something came for the side that connected."""
        if self.silent_since is not None:
            self.answer_swallowed = True

    def note_end(self) -> None:
        """Records that the side that connected ended the connection."""
        if self.ended_at is None:
            self.ended_at = time.monotonic()


class SilentLink:
    """A relay before one address whose connections can fall silent."""

    def __init__(self, listen: str, target: str) -> None:
        """Initializes the link; `start` brings it up.

        Args:
            listen: IP address and port on which it listens.
            target: IP address and port to which it connects.
        """
        self.passages: list[Passage] = []
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts to listen."""
        host, port = addresses.split_address(self._listen)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        host, port = addresses.split_address(self._target)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.close()
            self._serving.discard(task)
            return
        passage = Passage()
        self.passages.append(passage)
        try:
            await asyncio.gather(
                self._relay(
                    reader, far_writer, passage, passage.note, passage.note_end
                ),
                self._relay(
                    far_reader,
                    writer,
                    passage,
                    passage.note_answer,
                    _ignore_end,
                ),
            )
        finally:
            self._serving.discard(task)
            writer.close()
            far_writer.close()

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        passage: Passage,
        note: Callable[[bytes], None],
        note_end: Callable[[], None],
    ) -> None:
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            if not data:
                note_end()
                if passage.silent_since is None:
                    writer.close()
                else:
                    # The other side never hears of it.
                    await asyncio.Event().wait()
                return
            note(data)
            if passage.silent_since is None:
                writer.write(data)


def _ignore_end() -> None:
    """Ignores an end on the side that was connected to."""
