"""A minimal client over keep-alive connections for tests."""

import asyncio
import socket

# Timeout in seconds for expected responses and closes.
TIMEOUT_S = 20.0


class KeptConnection:
    """A client connection that sends without the event loop."""

    def __init__(self) -> None:
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._buffer = b""

    async def connect(self, address: str) -> None:
        host, _, port = address.partition(":")
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, (host, int(port)))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def send(self, data: bytes) -> None:
        """Sends bytes synchronously, without the event loop."""
        self._socket.send(data)

    async def answer(self) -> bytes:
        """Returns the next response, or the bytes received before the close."""
        async with asyncio.timeout(TIMEOUT_S):
            while (whole := self._response_length()) is None:
                data = await self._receive()
                if not data:
                    return self._buffer
                self._buffer += data
        answer, self._buffer = self._buffer[:whole], self._buffer[whole:]
        return answer

    async def ended(self) -> bool:
        """Waits for the close; returns whether no data came before it."""
        async with asyncio.timeout(TIMEOUT_S):
            return await self._receive() == b""

    def close(self) -> None:
        self._socket.close()

    async def _receive(self) -> bytes:
        try:
            loop = asyncio.get_running_loop()
            return await loop.sock_recv(self._socket, 65536)
        except ConnectionError:
            return b""

    def _response_length(self) -> int | None:
        head, parted, body = self._buffer.partition(b"\r\n\r\n")
        if not parted:
            return None
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        return len(head) + 4 + length if len(body) >= length else None


async def open_used_connections(
    address: str, count: int, request: bytes
) -> list[KeptConnection]:
    """Returns connections that have each carried one request."""
    connections = [KeptConnection() for _ in range(count)]
    for connection in connections:
        await connection.connect(address)
        connection.send(request)
    for connection in connections:
        assert b" 200 " in await connection.answer()
    return connections


async def count_ok_responses(connections: list[KeptConnection]) -> int:
    """Reads one response per connection and closes all; counts the 200s."""
    responses = [await connection.answer() for connection in connections]
    for connection in connections:
        connection.close()
    return sum(b" 200 " in response for response in responses)
