"""Maintains connections to other daemons and dispatches messages."""

import asyncio
from collections.abc import Callable
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
from martenjunction.decisions import rendezvous
from martenjunction.peers import codec
from martenjunction.peers import links
from martenjunction.peers import membership
from martenjunction.peers import messages

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

# Number of connections to each other availability zone in a fleet that is too
# large for a full mesh.
LINKS_PER_REMOTE_ZONE = 2

MessageHandler = Callable[[str, Any], None]


class PeerHub:
    """The connections of a daemon to its peers."""

    def __init__(
        self,
        members: membership.Membership,
        key: str,
        clock: timers.Timers,
        emitter: events.Events,
        heartbeat: Callable[[], messages.Heartbeat],
        listen: str,
        seeds: tuple[str, ...] = (),
        rng: random.Random | None = None,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
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
        """
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
        self._closed_counts = links.LinkCounts()
        self._requested: set[str] = set()
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
            compression=None,
            ping_interval=None,
            max_size=codec.MAX_MESSAGE,
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
        """Starts connecting to target peers that are not connected."""
        targets = self._targets()
        if not targets and not self._links:
            targets = [_placeholder(address) for address in self._seeds]
        for member in targets:
            if member.box in self._dialing or self.is_connected(member.box):
                continue
            task = asyncio.get_running_loop().create_task(
                self._connect_with_retries(member)
            )
            self._dialing[member.box] = task

    def _targets(self) -> list[membership.Member]:
        own = self._members.own
        others = [m for m in self._members.live_members() if m.box != own.box]
        monitored = self._members.monitored_peers()
        requested = [m for m in others if m.box in self._requested]
        remote = self._links_to_other_zones(others, own.zone)
        return list({m.box: m for m in monitored + requested + remote}.values())

    def _links_to_other_zones(
        self, others: list[membership.Member], zone: str
    ) -> list[membership.Member]:
        by_zone: dict[str, list[membership.Member]] = {}
        for member in others:
            if member.zone != zone:
                by_zone.setdefault(member.zone, []).append(member)
        chosen: list[membership.Member] = []
        for members in by_zone.values():
            # The ranking differs from box to box. If sorted by name, the first
            # two boxes of a zone would get the connections of all other zones.
            ranking = rendezvous.ranked(
                [m.box for m in members], self._members.own.box
            )
            selected = set(ranking[:LINKS_PER_REMOTE_ZONE])
            chosen.extend(m for m in members if m.box in selected)
        return chosen

    async def _connect_with_retries(self, member: membership.Member) -> None:
        backoff = INITIAL_BACKOFF_S
        try:
            while self._is_needed(member):
                if await self._connect(member):
                    backoff = INITIAL_BACKOFF_S
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(backoff * 2.0, MAX_BACKOFF_S)
        finally:
            self._dialing.pop(member.box, None)

    def _is_needed(self, member: membership.Member) -> bool:
        if self.is_connected(member.box):
            return False
        if member.box in self._seeds:
            return not self._links
        return any(member.box == target.box for target in self._targets())

    async def _connect(self, member: membership.Member) -> bool:
        try:
            connection = await ws_client.connect(
                f"ws://{member.peers}/",
                compression=None,
                ping_interval=None,
                max_size=codec.MAX_MESSAGE,
                write_limit=links.WRITE_LIMIT,
                open_timeout=links.HANDSHAKE_TIMEOUT,
                proxy=None,
            )
        except (
            OSError,
            TimeoutError,
            ws_exceptions.WebSocketException,
        ):
            return False
        await self._handle(connection, links.perform_client_handshake)
        return True

    async def _accept(self, connection: ws_server.ServerConnection) -> None:
        await self._handle(connection, links.perform_server_handshake)

    async def _handle(
        self, connection: ws.Connection, handshake: Callable[..., Any]
    ) -> None:
        box = "an unknown peer"
        try:
            member = await handshake(connection, self._members.own, self._key)
            box = member.box
            await self._run_link(links.Link(connection, member, self._timers))
        except errors.PeerError as error:
            self._refused += 1
            logger.warning("closing the connection to %s: %s", box, error)
        except ws_exceptions.ConnectionClosed:
            logger.info("the connection to %s was closed", box)
        finally:
            if connection.transport is not None:
                connection.transport.abort()

    async def _run_link(self, link: links.Link) -> None:
        self._links.setdefault(link.box, []).append(link)
        self._members.record_connected(link.member)
        self._events.emit(events.PEER_CONNECTED, link.box)
        link.send(self._heartbeat())
        try:
            await link.run(lambda message: self._receive(link, message))
        finally:
            self._remove_link(link)

    def _receive(self, link: links.Link, message: Any) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.PeerError(
                f"unexpected message {type(message).__name__}"
            )
        handler(link.box, message)

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
        for link in self._all_links():
            if now - link.last_received_at > self._silence_limit:
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
            self.broadcast(heartbeat)


def _placeholder(address: str) -> membership.Member:
    """Returns a placeholder for a daemon whose box is not known yet."""
    return membership.Member(address, "", "", "", address)
