"""Frames in which a tunnel carries an endpoint's bytes.

Each frame is its length in four bytes and its bytes. A frame of length 0 says
that the endpoint closed its connection in an orderly way. A tunnel that ends
without it is broken: a box that is killed closes its connections like an
endpoint at the end of a response without a length.
"""

import struct

from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import streams

_LENGTH = struct.Struct(">I")

END = _LENGTH.pack(0)


def encode(data: bytes) -> bytes:
    """Returns a frame."""
    return _LENGTH.pack(len(data)) + data


class FrameDecoder:
    """Returns the bytes within frames as they arrive."""

    def __init__(self) -> None:
        """Initializes a decoder at the beginning of a frame."""
        self._header = b""
        self._left = 0
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the last frame arrived."""
        return self._ended

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes of frames within some data.

        Raises:
            HttpSyntaxError: If the data is no sequence of frames.
        """
        parts = []
        while data:
            if self._ended:
                raise errors.HttpSyntaxError("data after the end of a tunnel")
            if self._left:
                parts.append(data[: self._left])
                data = data[self._left :]
                self._left -= len(parts[-1])
                continue
            missing = _LENGTH.size - len(self._header)
            self._header += data[:missing]
            data = data[missing:]
            if len(self._header) == _LENGTH.size:
                [self._left] = _LENGTH.unpack(self._header)
                self._header = b""
                self._ended = not self._left
                if self._left > streams.CHUNK_BYTES:
                    raise errors.HttpSyntaxError("a frame is too long")
        return b"".join(parts)


class FramedSource(streams.ByteSource):
    """The receiving side of a tunnel."""

    def __init__(self, stream: iostream.IOStream) -> None:
        """Initializes the source.

        Args:
            stream: A tunnel whose request was answered.
        """
        super().__init__(stream)
        self._decoder = FrameDecoder()

    async def read(self) -> bytes:
        """Waits for data; see `ByteSource.read`.

        Raises:
            ConnectionLostError: If the tunnel or the endpoint's connection
                broke.
            HttpSyntaxError: If what arrives are no frames.
        """
        while not self._decoder.ended:
            data = await super().read()
            if not data:
                raise errors.ConnectionLostError("the tunnel broke")
            payload = self._decoder.feed(data)
            if payload:
                return payload
        return b""
