"""HTTP/1.1 by hand, as little as the stand-ins and clients need."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Attributes:
        first: The words of its first line.
        headers: Names in lower case, and values.
        body: Its body.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads the head of a message.

    Raises:
        EOFError: If the connection ends before or within it.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads the body that the head of a message announces.

    Raises:
        EOFError: If the connection ends within it.
    """
    if "chunked" in message.headers.get("transfer-encoding", ""):
        body = b""
        while part := await read_chunk(reader):
            body += part
        return body
    return await reader.readexactly(
        int(message.headers.get("content-length", "0"))
    )


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunk of a body; empty at its end.

    Raises:
        EOFError: If the connection ends within it.
    """
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


def head(first: str, headers: dict[str, str]) -> bytes:
    """Returns the bytes of a head."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns the bytes of a whole answer."""
    length = {"Content-Length": str(len(body))}
    return head(f"HTTP/1.1 {status} X", {**headers, **length}) + body


def chunk(data: bytes) -> bytes:
    """Returns the bytes of a chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
