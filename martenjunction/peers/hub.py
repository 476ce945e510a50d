"""Maintains connections to other daemons and dispatches messages."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import logging
import math
import random
from typing import Any

from websockets import exceptions as ws_exceptions
from websockets.asyncio import client as ws_client
from websockets.asyncio import connection as ws
from websockets.asyncio import server as ws_server

from martenjunction import addresses
from martenjunction import errors
from martenjunction import events
from martenjunction import timers
from martenjunction.peers import codec
from martenjunction.peers import fair_connections
from martenjunction.peers import handshake as handshakes
from martenjunction.peers import links
from martenjunction.peers import membership
from martenjunction.peers import odd_messages
from martenjunction.peers import refusals
from martenjunction.peers import topology

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL = 0.5

# A heartbeat is due once this fraction of the interval has passed since the
# last broadcast of a message of the same type, which replaces a heartbeat. A
# timer checks this every `HEARTBEAT_CHECK_S` seconds, so that at most 0.7 s
# pass between two of them; a box counts as silent after 1.2 s.
HEARTBEAT_DUE_FRACTION = 0.9
HEARTBEAT_CHECK_S = HEARTBEAT_INTERVAL / 2

# Seconds without a frame from the peer after which a connection is closed.
SILENCE_TIMEOUT_S = 1.5

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

# Seconds for which a connection is kept that is not needed any more, or that
# was opened for a single message.
SPARE_LIFETIME_S = 8.0

# Maximum seconds between two links that count as opened at the same moment,
# because each box called the other.
SIMULTANEOUS_S = 1.0

# Minimum seconds between log lines about connections closed for an error.
REFUSAL_LOG_INTERVAL_S = 60.0

# Maximum number of messages that wait for a connection to one box.
MAX_WAITING = 64

# Failed attempts to connect in a row, after which a box counts as unreachable.
# A refused attempt may meet a box that is just starting.
UNREACHABLE_ATTEMPTS = 2

# In a sparse topology: seconds without a frame from the peer after which a
# connection is closed, and time-out in seconds of an attempt to connect. A box
# has few connections there, and others depend on it.
SPARSE_SILENCE_TIMEOUT_S = 2.0
SPARSE_CONNECT_TIMEOUT_S = 1.0

MessageHandler = Callable[[str, Any], None]


class PeerHub:
    """The connections of a daemon to its peers."""

    def __init__(
        self,
        members: membership.Membership,
        key: str,
        clock: timers.Timers,
        emitter: events.Events,
        heartbeat: Callable[[], Any],
        listen: str,
        seeds: tuple[str, ...] = (),
        rng: random.Random | None = None,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
        arrangement: topology.Topology | None = None,
        stamps: links.Stamps | None = None,
        seeds_after_s: float = 0.0,
        key_source: str = "the same key",
        on_odd: Callable[[str], None] = lambda kind: None,
    ) -> None:
        """Initializes the hub without opening connections.

        Args:
            members: The view of the fleet.
            key: The shared secret of all daemons.
            clock: Provides the time and periodic callbacks.
            emitter: Receives an event when a peer connects or is lost.
            heartbeat: Returns the current heartbeat or status message.
            listen: Address to listen on.
            seeds: Addresses to connect to while no other daemon is known.
            rng: Source of the jitter of the back-off.
            silence_timeout_s: Seconds without a frame from the peer after which
                a connection is closed.
            arrangement: Selects the peers to connect to.
            stamps: Makes and takes the stamps of frames.
            seeds_after_s: Seconds from now at which the seeds are used at the
                earliest.
            key_source: See `refusals.Refusals`.
            on_odd: See `odd_messages.OddMessages`.
        """
        self._odd = odd_messages.OddMessages(clock.now, on_odd)
        self._refusals = refusals.Refusals(key_source)
        self._seeds_at = clock.now() + seeds_after_s
        self._topology = arrangement or topology.ZoneMesh(members)
        self._stamps = stamps or links.NoStamps()
        self._on_unreachable: Callable[[str], None] = lambda box: None
        self._silence_limit = silence_timeout_s
        self._members = members
        self._key = key
        self._timers = clock
        self._events = emitter
        self._heartbeat = heartbeat
        self._listen = listen
        self._seeds = seeds
        self._rng = rng or random.Random()
        self._links: dict[str, list[links.Link]] = {}
        self._dialing: dict[str, asyncio.Task[None]] = {}
        self._handlers: dict[type[Any], MessageHandler] = {}
        self._server: ws_server.Server | None = None
        self._refused = 0
        self._refusal_logged_at = -math.inf
        self._closed_counts = links.LinkCounts()
        self._requested: set[str] = set()
        self._needed_until: dict[str, float] = {}
        self._waiting: dict[str, list[Any]] = {}
        self._heartbeat_type: type[Any] | None = None
        self._last_heartbeat_at = -math.inf

    @property
    def refused(self) -> int:
        """Number of connections closed for a protocol or key error."""
        return self._refused

    def subscribe(self, kind: type[Any], handler: MessageHandler) -> None:
        """Sets the handler of a message type, called with box and message."""
        self._handlers[kind] = handler

    def is_connected(self, box: str) -> bool:
        """Returns whether there is a connection to a box."""
        return bool(self._links.get(box))

    def boxes(self) -> list[str]:
        """Returns the connected boxes."""
        return [box for box, open_links in self._links.items() if open_links]

    def send(self, box: str, message: Any) -> bool:
        """Sends a message and returns whether the box was connected."""
        open_links = self._links.get(box)
        return open_links[0].send(message) if open_links else False

    def send_to(self, boxes: Iterable[str], message: Any) -> None:
        """Sends a message to some boxes, as far as they are connected."""
        encoded = codec.Encoded(message)
        for box in boxes:
            self.send(box, encoded)

    def send_soon(self, box: str, message: Any) -> bool:
        """Sends a message, over a new connection if there is none.

        Returns:
            Whether the message was sent or waits for a connection.
        """
        if not self._topology.is_sparse:
            return self.send(box, message)
        has_address = self.probe(box)
        if self.send(box, message):
            return True
        if not has_address:
            return False
        waiting = self._waiting.setdefault(box, [])
        if len(waiting) >= MAX_WAITING:
            return False
        waiting.append(message)
        return True

    def probe(self, box: str) -> bool:
        """Connects to a box, if it is not connected, and keeps it for a while.

        Returns:
            Whether its address is known.
        """
        self._needed_until[box] = self._timers.now() + SPARE_LIFETIME_S
        member = self._members.members.get(box)
        if member is None or not member.peers:
            return False
        self._begin_dialing(member)
        return True

    def on_unreachable(self, callback: Callable[[str], None]) -> None:
        """Sets the callback for boxes to which no connection can be made."""
        self._on_unreachable = callback

    def broadcast(self, message: Any, zone: str | None = None) -> None:
        """Sends a message to all connected peers, or to the peers of a zone."""
        encoded = codec.Encoded(message)
        for open_links in list(self._links.values()):
            if open_links and zone in (None, open_links[0].member.zone):
                open_links[0].send(encoded)
        if zone is None and type(message) is self._heartbeat_type:
            self._last_heartbeat_at = self._timers.stall_adjusted_now()

    def request_connection(self, box: str) -> None:
        """Requests an additional connection to a box."""
        self._requested.add(box)

    def traffic(self) -> links.LinkCounts:
        """Returns the total traffic of all open and closed connections."""
        total = links.LinkCounts()
        total.add(self._closed_counts)
        for link in self._all_links():
            total.add(link.counts)
        return total

    async def start(self) -> None:
        """Starts listening for peers and connecting to them."""
        host, port = addresses.split_address(self._listen)
        self._server = await ws_server.serve(
            self._accept,
            host,
            port,
            create_connection=fair_connections.FairServerConnection,
            compression=None,
            ping_interval=None,
            max_size=handshakes.MAX_HANDSHAKE_BYTES,
            write_limit=links.WRITE_LIMIT,
        )
        self._timers.subscribe(
            "heartbeat", HEARTBEAT_CHECK_S, self._send_heartbeat
        )
        self._timers.subscribe("peers", HEARTBEAT_INTERVAL, self.dial)

    async def stop(self) -> None:
        """Closes all connections and stops listening."""
        for task in self._dialing.values():
            task.cancel()
        for link in self._all_links():
            link.close()
        if self._server is not None:
            self._server.close()

    def dial(self) -> None:
        """Starts connecting to target peers that are not connected.

        In a sparse topology, connections that this daemon opened and does not
        need any more are closed after a while.
        """
        targets = self._targets()
        seeds_due = self._timers.now() >= self._seeds_at
        if not targets and not self._links and seeds_due:
            targets = [_placeholder(address) for address in self._seeds]
        for member in targets:
            self._begin_dialing(member)
        if self._topology.is_sparse:
            self._close_spare({member.box for member in targets})

    def _begin_dialing(self, member: membership.Member) -> None:
        if member.box in self._dialing or self.is_connected(member.box):
            return
        task = asyncio.get_running_loop().create_task(
            self._connect_with_retries(member)
        )
        self._dialing[member.box] = task

    def _close_spare(self, needed: set[str]) -> None:
        now = self._timers.now()
        for link in self._all_links():
            if link.box in needed or not link.dialed:
                self._needed_until.pop(link.box, None)
                continue
            until = self._needed_until.setdefault(
                link.box, now + SPARE_LIFETIME_S
            )
            if now > until:
                link.close()
        for box, until in list(self._needed_until.items()):
            if now > until + SPARE_LIFETIME_S:
                del self._needed_until[box]
                self._waiting.pop(box, None)

    def _targets(self) -> list[membership.Member]:
        chosen = {m.box: m for m in self._topology.targets()}
        if self._requested:
            own = self._members.own.box
            for member in self._members.live_members():
                if member.box in self._requested and member.box != own:
                    chosen[member.box] = member
        return list(chosen.values())

    async def _connect_with_retries(self, member: membership.Member) -> None:
        backoff = INITIAL_BACKOFF_S
        failures = 0
        try:
            while self._is_needed(member):
                failed = await self._connect(member)
                if not failed:
                    backoff = INITIAL_BACKOFF_S
                    failures = 0
                elif failures < UNREACHABLE_ATTEMPTS <= failures + failed:
                    self._waiting.pop(member.box, None)
                    self._needed_until.pop(member.box, None)
                    self._on_unreachable(member.box)
                failures += failed
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2.0, MAX_BACKOFF_S)
        finally:
            self._dialing.pop(member.box, None)

    def _is_needed(self, member: membership.Member) -> bool:
        if self.is_connected(member.box):
            return False
        if member.box in self._seeds:
            return not self._links
        if self._needed_until.get(member.box, -math.inf) > self._timers.now():
            return True
        return any(member.box == target.box for target in self._targets())

    async def _connect(self, member: membership.Member) -> int:
        """Connects to a box and serves the connection until it ends.

        Returns:
            0 if the connection was made; else the number of failed attempts
            that it counts for.
        """
        sparse = self._topology.is_sparse
        timeout_s = (
            SPARSE_CONNECT_TIMEOUT_S if sparse else handshakes.HANDSHAKE_TIMEOUT
        )
        began_at = self._timers.stall_adjusted_now()
        try:
            connection = await ws_client.connect(
                f"ws://{member.peers}/",
                create_connection=fair_connections.FairClientConnection,
                compression=None,
                ping_interval=None,
                max_size=codec.MAX_MESSAGE,
                write_limit=links.WRITE_LIMIT,
                open_timeout=timeout_s,
                proxy=None,
            )
        except TimeoutError:
            waited_s = self._timers.stall_adjusted_now() - began_at
            # A stall of this daemon says nothing about the peer.
            return UNREACHABLE_ATTEMPTS if waited_s >= timeout_s else 1
        except (OSError, ws_exceptions.WebSocketException):
            return 1
        await self._handle(
            connection,
            handshakes.perform_client_handshake(
                connection, self._members.own, self._key, member.box
            ),
            dialed=True,
        )
        return 0

    async def _accept(self, connection: ws_server.ServerConnection) -> None:
        await self._handle(
            connection,
            handshakes.perform_server_handshake(
                connection, self._members.own, self._key
            ),
            dialed=False,
        )

    async def _handle(
        self,
        connection: ws.Connection,
        handshake: Awaitable[membership.Member],
        dialed: bool,
    ) -> None:
        box = "an unknown peer"
        try:
            member = await handshake
            box = member.box
            await self._run_link(
                links.Link(
                    connection, member, self._timers, self._stamps, dialed
                )
            )
        except errors.PeerMismatchError as error:
            self._refused += 1
            self._refusals.note(error)
        except errors.PeerError as error:
            self._refused += 1
            self._log_refused(box, error)
        except ws_exceptions.ConnectionClosed:
            logger.info("the connection to %s was closed", box)
        finally:
            if connection.transport is not None:
                connection.transport.abort()

    def _log_refused(self, box: str, error: errors.PeerError) -> None:
        """Logs a connection that was closed for an error, at a bounded rate."""
        now = self._timers.now()
        if now - self._refusal_logged_at >= REFUSAL_LOG_INTERVAL_S:
            self._refusal_logged_at = now
            logger.warning(
                "closing the connection to %s: %s; refused so far: %d",
                box,
                error,
                self._refused,
            )

    async def _run_link(self, link: links.Link) -> None:
        open_links = self._links.setdefault(link.box, [])
        is_preferred = not open_links or self._replaces(link, open_links[0])
        open_links.insert(0 if is_preferred else len(open_links), link)
        self._members.record_connected(link.member)
        self._refusals.forget(link.box)
        self._events.emit(events.PEER_CONNECTED, link.box)
        link.send(self._heartbeat())
        for message in self._waiting.pop(link.box, ()):
            link.send(message)
        try:
            await link.run(
                lambda message: self._receive(link, message),
                lambda kind, why: self._odd.note(link.box, kind, why),
            )
        finally:
            self._remove_link(link)

    def _replaces(self, link: links.Link, current: links.Link) -> bool:
        """Returns whether a new link is used in place of the current one.

        Of two that were opened at the same moment, both ends use the one that
        the first box by name opened. A later one is opened only by a box that
        lost the current one.
        """
        if link.member.incarnation != current.member.incarnation:
            return link.member.incarnation > current.member.incarnation
        if self._topology.is_sparse:
            # The other link may be one that its opener closes as a spare one.
            return False
        if link.opened_at - current.opened_at > SIMULTANEOUS_S:
            return True
        own_is_first = self._members.own.box < link.box
        return link.dialed == own_is_first

    def _close_surplus(self, now: float) -> None:
        """Closes the links that this box opened and does not use.

        What was sent on them is received by then.
        """
        if self._topology.is_sparse:
            return
        for open_links in list(self._links.values()):
            for surplus in open_links[1:]:
                if surplus.dialed and now - surplus.opened_at > SIMULTANEOUS_S:
                    surplus.close()

    def note_odd_rows(self, box: str, message: Any, count: int) -> None:
        """Records rows of a message that its handler leaves out, if any.

        Raises:
            TooManyOddMessagesError: If the peer sends too many odd messages.
        """
        if count:
            self._odd.note(
                box, codec.tag_of(message), f"{count} rows cannot be"
            )

    def _receive(self, link: links.Link, message: Any) -> None:
        """Handles a message; one that no sound peer sends is left out."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._odd.note(link.box, codec.tag_of(message), "not expected")
            return
        try:
            handler(link.box, message)
        except errors.TooManyOddMessagesError:
            raise
        except (
            errors.PeerError,
            ArithmeticError,
            LookupError,
            ValueError,
        ) as error:
            # Its values are of the right types, and no sound peer sends them.
            why = f"cannot be handled: {error!r}"[: codec.MAX_SHOWN]
            self._odd.note(link.box, codec.tag_of(message), why)

    def _remove_link(self, link: links.Link) -> None:
        self._closed_counts.add(link.counts)
        open_links = self._links.get(link.box, [])
        if link in open_links:
            open_links.remove(link)
        if not open_links:
            self._links.pop(link.box, None)
            self._events.emit(events.PEER_LOST, link.box)

    def _all_links(self) -> list[links.Link]:
        return [
            link for open_links in self._links.values() for link in open_links
        ]

    def _send_heartbeat(self) -> None:
        now = self._timers.stall_adjusted_now()
        limit_s = self._silence_limit
        if self._topology.is_sparse:
            limit_s = min(limit_s, SPARSE_SILENCE_TIMEOUT_S)
        self._close_surplus(now)
        for link in self._all_links():
            if now - link.last_received_at > limit_s:
                logger.warning(
                    "closing the connection to %s: no frame within the timeout",
                    link.box,
                )
                link.close()
            else:
                link.flush_ack()
        heartbeat = self._heartbeat()
        self._heartbeat_type = type(heartbeat)
        if (
            now - self._last_heartbeat_at
            >= HEARTBEAT_INTERVAL * HEARTBEAT_DUE_FRACTION
        ):
            self._send_to_idle_links(heartbeat)

    def _send_to_idle_links(self, heartbeat: Any) -> None:
        """Sends a heartbeat to all peers, or to those without other frames.

        In a sparse topology the stamps of other frames replace heartbeats.
        """
        if not self._topology.is_sparse:
            self.broadcast(heartbeat)
            return
        encoded = codec.Encoded(heartbeat)
        due = self._timers.now() - HEARTBEAT_INTERVAL * HEARTBEAT_DUE_FRACTION
        for link in self._all_links():
            if link.last_sent_at <= due:
                link.send(encoded)


def _placeholder(address: str) -> membership.Member:
    """Returns a placeholder for a daemon whose box is not known yet."""
    return membership.Member(address, "", "", "", address)
