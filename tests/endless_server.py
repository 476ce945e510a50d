"""A server whose answers have no end."""

import asyncio

MB = 1024 * 1024


class EndlessServer:
    """Answers every request with a body that never ends."""

    def __init__(self) -> None:
        self.address = ""
        self.sent = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            part = b"%x\r\n%s\r\n" % (MB, bytes(MB))
            while True:
                writer.write(part)
                await writer.drain()
                self.sent += MB
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
