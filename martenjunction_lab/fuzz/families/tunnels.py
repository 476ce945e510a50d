"""Requests for tunnels, their answers, and the frames within."""

import random

from martenjunction import errors
from martenjunction.tunnels import framing
from martenjunction.tunnels import handshake
from martenjunction_lab.fuzz import pieces
from martenjunction_lab.fuzz import spans
from martenjunction_lab.fuzz import targets

_KEY = "key"

# Maximum length of the bytes of a frame.
_MAX_FRAME_BYTES = 64 * 1024

_REQUEST = handshake.TunnelRequest("e-1/17", "10.0.0.1:80", "edge-a-1")
_FRAMES = (
    framing.END,
    framing.encode(b"a"),
    framing.encode(b"hello" * 20),
    framing.encode(b"\0\0\0\0"),
    b"\0\1\0\0",
    b"\0\1\0\1",
    b"\xff\xff\xff\xff",
    b"\0",
)


@targets.registered.register("tunnel-handshakes")
class TunnelHandshakes(targets.Target):
    """Requests for tunnels, which are also read as answers."""

    declared = (errors.PeerError,)
    _sound = handshake.encode_request(_REQUEST, _KEY)

    def generate(self, rng: random.Random) -> bytes:
        """Returns a request or an answer."""
        if rng.random() < 0.3:
            status = rng.choice(list(handshake.Status))
            return spans.damage(rng, handshake.encode_answer(status))
        if rng.random() < 0.1:
            return self._sound
        return spans.damage(rng, spans.damage(rng, self._sound))

    def check(self, data: bytes) -> None:
        """Reads both; only the request that was proved is taken."""
        data = data[: handshake.MAX_BYTES]
        if data.startswith(b"HTTP/"):
            handshake.decode_answer(data)
            return
        request = handshake.decode_request(data, _KEY)
        if request != _REQUEST:
            raise targets.OracleError("a request without a proof is taken")


@targets.registered.register("tunnel-frames")
class TunnelFrames(targets.Target):
    """Frames of a tunnel, in any pieces."""

    declared = (errors.HttpSyntaxError,)

    def generate(self, rng: random.Random) -> bytes:
        """Returns frames."""
        data = b"".join(rng.choices(_FRAMES, k=rng.randint(1, 6)))
        return spans.damage(rng, data) if rng.random() < 0.3 else data

    def check(self, data: bytes) -> None:
        """Decodes frames; pieces and turns change nothing."""
        whole = _decode([data])
        plain = _read_plainly(data)
        if plain is None:
            if not whole[2]:
                raise targets.OracleError("what are no frames is taken")
        elif whole != (*plain, False):
            raise targets.OracleError("frames are decoded otherwise")
        for cut in pieces.ways(data):
            if _decode(cut) != whole:
                raise targets.OracleError("pieces change what is decoded")


def _read_plainly(data: bytes) -> tuple[bytes, bool] | None:
    """Returns the bytes, and whether they ended; None if they are no frames."""
    found = bytearray()
    position, ended = 0, False
    while position < len(data):
        if ended:
            return None
        start = position + len(framing.END)
        if start > len(data):
            break
        size = int.from_bytes(data[position:start], "big")
        if size > _MAX_FRAME_BYTES:
            return None
        ended = size == 0
        position = start + size
        found += data[start:position]
    return bytes(found), ended


def _decode(cut: list[bytes]) -> tuple[bytes, bool, bool]:
    """Returns the bytes, whether they ended, and whether they are no frames."""
    decoder = framing.FrameDecoder()
    found = bytearray()
    try:
        for piece in cut:
            found += decoder.feed(piece, max_frames=1)
            while decoder.has_rest:
                found += decoder.feed(b"", max_frames=1)
    except errors.HttpSyntaxError:
        # What was decoded in the same call before is not passed on.
        return b"", decoder.ended, True
    return bytes(found), decoder.ended, False
