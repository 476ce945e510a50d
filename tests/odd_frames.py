"""A hub that is sent frames of a peer, and what it takes of them."""

from collections.abc import AsyncIterator
import struct
from typing import Any

from martenjunction import errors
from martenjunction.peers import codec
from martenjunction.peers import links
from martenjunction_lab.fuzz.families import peers as fuzzed_peers
from tests import linked_hubs

SOUND = [
    codec.Encoded(fuzzed_peers.sample(codec.message_types.get(tag))).data
    for tag in codec.message_types
]


def batch(messages: list[bytes]) -> bytes:
    """Returns a batch of fewer than 256 encoded messages."""
    return bytes([0x98, len(messages)]) + b"".join(messages)


def frame(data: bytes) -> bytes:
    """Returns a frame that acknowledges nothing."""
    return struct.pack(">I", 0) + data


class Connection:
    """A connection whose frames are known before."""

    transport = None

    def __init__(self, frames: list[bytes]) -> None:
        self._frames = frames

    async def __aiter__(self) -> AsyncIterator[bytes]:
        for item in self._frames:
            yield item

    async def send(self, data: bytes) -> None:
        """Discards a frame."""


class Receiver:
    """A hub, and what its handlers got.

    Attributes:
        taken: The encoding of each message that was handled.
        odd: The kind of each message that was left out.
        ended: Why the connection was closed, or "".
        acknowledged: The frames that were acknowledged to the peer.
    """

    def __init__(self) -> None:
        self.taken: list[bytes] = []
        self.odd: list[str] = []
        self.ended = ""
        self.acknowledged = 0
        self.hub = linked_hubs.new_hub("127.0.0.1:0", on_odd=self.odd.append)
        for tag in codec.message_types:
            self.hub.subscribe(codec.message_types.get(tag), self._take)

    async def receive(self, *batches: bytes) -> None:
        """Takes frames with these batches over one connection."""
        peers = self.hub
        connection: Any = Connection([frame(data) for data in batches])
        link = links.Link(
            connection,
            linked_hubs.member("box-2"),
            peers._timers,
            links.NoStamps(),
            dialed=False,
        )
        try:
            await peers._run_link(link)
        except errors.PeerError as error:
            self.ended = str(error)
        self.acknowledged += link._flow._processed

    def _take(self, box: str, message: Any) -> None:
        self.taken.append(codec.Encoded(message).data)

    def fail_at(self, kind: type[Any], error: Exception) -> None:
        """Lets the handler of a kind of message raise an error."""

        def fail(box: str, message: Any) -> None:
            raise error

        self.hub.subscribe(kind, fail)
