"""A client that tells a whole answer from one that was broken off."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import socket

import h11

from martenjunction_lab import boxes
from tests import gateway_requests

Act = Callable[[], Awaitable[None]]


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a client received.

    Attributes:
        status: The status, or 0 for none.
        body: The body, as far as it came.
        whole: Whether the answer was complete.
    """

    status: int
    body: bytes
    whole: bool


class Client:
    """A client on a kept connection, which sees each byte and each end."""

    def __init__(self, address: str) -> None:
        """Makes a client of a box; `open` connects it."""
        self._address = address
        self._parser = h11.Connection(h11.CLIENT)
        self.socket = socket.socket()

    async def open(self) -> None:
        """Connects; the receive buffer is as small as the kernel permits."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, (host, int(port)))

    def close(self) -> None:
        """Closes the connection."""
        self.socket.close()

    async def send(
        self,
        request_id: str,
        path: str,
        body: bytes,
        within: Act | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a request.

        Args:
            request_id: Its id.
            path: Its path.
            body: Its body.
            within: Called after the head and the first half of the body.
            headers: Headers besides the usual ones.
        """
        pairs = boxes.header_pairs(
            gateway_requests.request_headers(request_id, **(headers or {})),
            body,
        )
        head = h11.Request(method="POST", target=path, headers=pairs)
        half = len(body) // 2
        await self._write(self._parser.send(head) + body[:half])
        if within is not None:
            await within()
        self._parser.send(h11.Data(data=body))
        self._parser.send(h11.EndOfMessage())
        await self._write(body[half:])

    async def receive(self, on_data: Act | None = None) -> Answer:
        """Waits for an answer, or for the end of the connection.

        Args:
            on_data: Called after the first part of the body.
        """
        status, body = 0, bytearray()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                return Answer(status, bytes(body), False)
            if event is h11.NEED_DATA:
                self._parser.receive_data(await self._read())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if on_data is not None:
                    await on_data()
                    on_data = None
            elif isinstance(event, h11.EndOfMessage):
                if self._parser.their_state is h11.DONE:
                    self._parser.start_next_cycle()
                return Answer(status, bytes(body), True)
            else:
                return Answer(status, bytes(body), False)

    async def _write(self, data: bytes | None) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_sendall(self.socket, data or b"")
        except OSError:
            return  # The answer may be there all the same.

    async def _read(self) -> bytes:
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(self.socket, 256 * 1024)
        except OSError:
            return b""
