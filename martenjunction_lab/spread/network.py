"""Processors and links of simulated boxes, in simulated time.

Each box has one processor that takes its work in order, and one link whose two
directions carry one message after the other. A connection holds a bounded
number of bytes that its reader has not taken; what exceeds them waits at the
sender.
"""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

from martenjunction.peers import codec
from martenjunction.peers import flow
from martenjunction.peers import links
from martenjunction.peers import membership
from martenjunction.peers import outbox

# Seconds of one way between two boxes.
DELAY_S = 0.001

# Bytes of a connection that its reader has not taken: two socket buffers as
# they are at their start on a small machine.
WINDOW_BYTES = 32 * 1024

# Processor seconds to read one frame and one message, measured on one core
# with messages of 18 to 613 bytes (19 to 39 us a message; the rest is the
# system calls and the frame).
FRAME_S = 100e-6
MESSAGE_S = 40e-6

# Processor seconds to hand one frame over to one connection.
SEND_S = 30e-6


class Simulation:
    """The clock, and what is due."""

    def __init__(self) -> None:
        """Makes one that stands at 0."""
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def __call__(self) -> float:
        """Returns the time, as a steady clock does."""
        return self.now

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Has a call made at a moment."""
        heapq.heappush(
            self._due, (max(when, self.now), next(self._order), call)
        )

    def run(self, until: float) -> None:
        """Makes all calls that are due up to a moment."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call = heapq.heappop(self._due)
            call()
        self.now = until


class Machine:
    """One box's processor and its link."""

    def __init__(
        self, simulation: Simulation, link_bytes_s: float, speed: float
    ) -> None:
        """Makes a machine that has nothing to do.

        Args:
            simulation: Tells the time.
            link_bytes_s: Bytes a second of its link, each way.
            speed: Processor seconds that it gets in a second.
        """
        self._simulation = simulation
        self._link_bytes_s = link_bytes_s
        self.speed = speed
        self.bytes_out = 0
        self.used_s = 0.0
        self._free_at = 0.0
        self._out_free_at = 0.0
        self._in_free_at = 0.0

    def work(self, cost_s: float, then: Callable[[], None]) -> None:
        """Has a call made once the processor has done some more work."""
        begin = max(self._free_at, self._simulation.now)
        self._free_at = begin + cost_s / self.speed
        self.used_s += cost_s
        self._simulation.at(self._free_at, then)

    def spend(self, cost_s: float) -> None:
        """Takes the processor without waiting for it."""
        self.work(cost_s, lambda: None)

    @property
    def busy(self) -> bool:
        """Whether work waits for the processor."""
        return self._free_at > self._simulation.now

    def send(
        self, size: int, other: "Machine", then: Callable[[], None]
    ) -> None:
        """Has a call made once some bytes are at another machine."""
        self.bytes_out += size
        self._out_free_at = (
            max(self._out_free_at, self._simulation.now)
            + size / self._link_bytes_s
        )

        self._simulation.at(
            self._out_free_at + DELAY_S, lambda: other.arrive(size, then)
        )

    def arrive(self, size: int, then: Callable[[], None]) -> None:
        """Has a call made once some bytes have come in over the link."""
        self._in_free_at = (
            max(self._in_free_at, self._simulation.now)
            + size / self._link_bytes_s
        )
        self._simulation.at(self._in_free_at, then)


class Connection:
    """One box's end of a connection, in the place of `links.Link`."""

    def __init__(
        self,
        simulation: Simulation,
        machine: Machine,
        member: membership.Member,
        receive: Callable[["Connection", Any], None],
        lost: Callable[["Connection"], None],
        stamps: links.Stamps,
        dialed: bool,
    ) -> None:
        """Makes an end; `join` connects it to the other one.

        Args:
            simulation: Tells the time.
            machine: The machine of this end.
            member: The box at the other end.
            receive: Called with each message of the other end.
            lost: Called once when the connection ends.
            stamps: Makes and takes the stamps of frames.
            dialed: Whether this end opened the connection.
        """
        self.dialed = dialed
        self._stamps = stamps
        self.member = member
        self.box = member.box
        self.opened_at = self.last_received_at = simulation.now
        self.counts = links.LinkCounts()
        self._simulation = simulation
        self._machine = machine
        self._receive = receive
        self._lost = lost
        self._flow = flow.FlowControl(simulation)
        self._unsent = outbox.Outbox(self._flow)
        self._under_way = 0
        self._other: Connection | None = None
        self._closed = False

    @property
    def last_sent_at(self) -> float:
        """Time of the last frame to the other end."""
        return self._flow.last_sent_at

    def join(self, other: "Connection") -> None:
        """Connects two ends."""
        self._other, other._other = other, self

    def send(self, message: Any) -> bool:
        """Queues a message, as `links.Link.send` does."""
        if self._closed:
            return False
        if not isinstance(message, codec.Encoded):
            message = codec.Encoded(message)
        self.counts.messages_out += 1
        self.counts.by_kind[message.tag] += 1
        self._unsent.put(message)
        self._pump()
        return True

    def flush_ack(self) -> None:
        """Sends what may be sent now, as `links.Link.flush_ack` does."""
        self._pump()

    def close(self) -> None:
        """Ends the connection at both ends."""
        for end in (self, self._other):
            if end is not None and not end._closed:
                end._closed = True
                end._unsent.take_all()
                end._lost(end)

    def _pump(self) -> None:
        other = self._other
        if self._closed or other is None or self._under_way >= WINDOW_BYTES:
            return
        batch = self._unsent.take_all()
        if not batch and not self._flow.needs_ack:
            return
        self._machine.spend(SEND_S)
        head = self._flow.begin_frame(bool(batch))
        frame = head + self._stamps.make() + codec.join(batch)
        self.counts.bytes_out += len(frame)
        self._under_way += len(frame)
        cost = FRAME_S + MESSAGE_S * len(batch)
        self._machine.send(
            len(frame),
            other._machine,
            lambda: other._machine.work(
                cost, lambda: self._taken(other, frame)
            ),
        )

    def _taken(self, other: "Connection", frame: bytes) -> None:
        self._under_way -= len(frame)
        if not other._closed:
            other._read(frame)
        self._pump()

    def _read(self, frame: bytes) -> None:
        self.last_received_at = self._simulation.now
        payload = self._flow.receive_frame(frame)
        size = self._stamps.size
        batch = codec.decode_batch(payload[size:])
        self.counts.messages_in += len(batch)
        asked_at = self._flow.acked_sent_at
        stamp = self._stamps.decode(payload[:size])
        self._stamps.take_early(asked_at, stamp)
        for message in batch:
            self._receive(self, message)
        self._stamps.take(self.box, asked_at, stamp)
        if batch:
            self._flow.record_processed()
        self._pump()
