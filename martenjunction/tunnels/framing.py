"""Frames in which a tunnel carries an endpoint's bytes.

Each frame is its length in four bytes and its bytes. A frame of length 0 says
that the endpoint closed its connection in an orderly way. A tunnel that ends
without it is broken: a box that is killed closes its connections like an
endpoint at the end of a response without a length.
"""

import struct
import sys

from tornado import iostream

from martenjunction import errors
from martenjunction.http1 import streams

_LENGTH = struct.Struct(">I")

END = _LENGTH.pack(0)

# Maximum number of frames that are decoded at once.
MAX_FRAMES_AT_ONCE = 128

# What it costs to decode a frame, as a number of bytes that are read.
FRAME_COST = 2 * 1024


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
        self._rest = b""

    @property
    def ended(self) -> bool:
        """Whether the last frame arrived."""
        return self._ended

    @property
    def has_rest(self) -> bool:
        """Whether data was received that is not decoded yet."""
        return bool(self._rest)

    def feed(self, data: bytes, max_frames: int = sys.maxsize) -> bytes:
        """Returns the bytes of frames within some data.

        Args:
            data: The data; may be empty.
            max_frames: Maximum number of frames to begin. What is left is
                decoded by the next calls.

        Raises:
            HttpSyntaxError: If the data is no sequence of frames.
        """
        if self._rest:
            data = self._rest + data
        parts = []
        position = 0
        while position < len(data):
            if self._ended:
                raise errors.HttpSyntaxError("data after the end of a tunnel")
            if self._left:
                parts.append(data[position : position + self._left])
                position += len(parts[-1])
                self._left -= len(parts[-1])
                continue
            if not max_frames:
                break
            missing = _LENGTH.size - len(self._header)
            self._header += data[position : position + missing]
            position += missing
            if len(self._header) == _LENGTH.size:
                [self._left] = _LENGTH.unpack(self._header)
                self._header = b""
                self._ended = not self._left
                max_frames -= 1
                if self._left > streams.CHUNK_BYTES:
                    raise errors.HttpSyntaxError("a frame is too long")
        self._rest = data[position:]
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

    @property
    def has_pending_result(self) -> bool:
        """Whether something was received that was not consumed yet."""
        return self._decoder.has_rest or super().has_pending_result

    @property
    def bytes_waiting(self) -> bool:
        """Whether unread bytes are in the buffers or in the socket."""
        return self._decoder.has_rest or super().bytes_waiting

    async def read(self) -> bytes:
        """Waits for data; see `ByteSource.read`.

        Raises:
            ConnectionLostError: If the tunnel or the endpoint's connection
                broke.
            HttpSyntaxError: If what arrives are no frames.
        """
        while self._decoder.has_rest or not self._decoder.ended:
            await self.turns.pause_if_spent()
            data = b""
            if not self._decoder.has_rest:
                data = await super().read()
                if not data:
                    raise errors.ConnectionLostError("the tunnel broke")
            payload = self._decoder.feed(data, MAX_FRAMES_AT_ONCE)
            if self._decoder.has_rest:
                self.turns.spend(MAX_FRAMES_AT_ONCE * FRAME_COST)
            if payload:
                return payload
        return b""
