"""Boxes of the users' platform in one process, before stand-ins."""

import asyncio
from collections.abc import Callable
import json
from typing import Any

from martenjunction import gateway
from martenjunction.http1 import client
from martenjunction.http1 import messages
from martenjunction.platform import box_settings
from martenjunction.platform import documents
from martenjunction_lab import bench
from martenjunction_lab import platform
from martenjunction_lab import replica

READY_LIMIT_S = 20.0
LOOK_INTERVAL_S = 0.02


def settings(box: str, store: str, **changes: Any) -> box_settings.BoxSettings:
    """Returns the settings of a box on free loopback addresses."""
    values: dict[str, Any] = {
        "box": box,
        "zone": "zone-a",
        "region": "region-a",
        "ip": "127.0.0.1",
        "metrics_port": bench.free_port(),
        "zones": {"zone-a": "region-a"},
        "callers": bench.free_address(),
        "ready": bench.free_address(),
        "entry": bench.free_address(),
        "peers": bench.free_address(),
        "tunnels": bench.free_address(),
        "seeds": (),
        "store": store,
        "memory_bytes": 150 * 1024 * 1024,
        "max_descriptors": 4100,
        "link_bytes_s": 125_000_000.0,
        "drain_s": 2.0,
        "stop_s": 8.0,
        "key_lifetime_s": 5.0,
        "change_s": 2.0,
        "keys_fail_closed": True,
        "retry_ratio": 0.2,
        "retry_window_s": 10.0,
        "retry_allowance": 52.0,
        "max_entry_ttl_s": 5.0,
    }
    values.update(changes)
    return box_settings.BoxSettings(**values)


class Boxes:
    """Some boxes, a store and replicas."""

    def __init__(self) -> None:
        """Makes an empty fleet with a store that is not up yet."""
        self.store = platform.Platform()
        self.gateways: list[gateway.Gateway] = []
        self.replicas: list[replica.Replica] = []

    @property
    def addresses(self) -> list[str]:
        """Addresses for clients' requests."""
        return [made.members.own.callers for made in self.gateways]

    async def start(
        self, config: dict[str, Any], boxes: int = 1, **changes: Any
    ) -> None:
        """Starts the store with a configuration, and boxes before it.

        Args:
            config: The configuration.
            boxes: How many boxes there are.
            changes: Settings of the boxes in place of the usual ones.
        """
        self.store.start()
        self.configure(config)
        for number in range(1, boxes + 1):
            await self.add_box(f"box-{number}", **changes)

    async def stop(self) -> None:
        """Stops everything at once."""
        for made in self.gateways:
            await made.stop()
        for stand_in in self.replicas:
            await stand_in.stop()
        await self.store.stop()

    def configure(self, config: dict[str, Any]) -> None:
        """Writes a configuration as the operator does."""
        self.store.write(documents.CONFIG_KIND, documents.CONFIG_NAME, config)

    async def add_box(self, box: str, **changes: Any) -> gateway.Gateway:
        """Starts a box."""
        # Boxes of one process have no resident memory of their own.
        made = gateway.Gateway(
            settings(box, self.store.address, **changes),
            resident_bytes=lambda: 0,
        )
        await made.start()
        self.gateways.append(made)
        return made

    async def add_replica(
        self, service: str, slots: int = 6, events: int = 5
    ) -> replica.Replica:
        """Starts a replica that records itself in the store."""
        made = replica.Replica(f"i-{len(self.replicas) + 1}", events)
        await made.start()
        self.replicas.append(made)
        self.record(made, service, slots=slots)
        return made

    def record(
        self,
        made: replica.Replica,
        service: str,
        state: str = "ready",
        slots: int = 6,
        **changes: Any,
    ) -> None:
        """Writes a replica's entry.

        Args:
            made: The replica.
            service: The service that it serves.
            state: What it says of itself.
            slots: Requests that it works on at once.
            changes: Further fields, and others in place of its own.
        """
        self.store.write(
            documents.ENDPOINT_KIND,
            made.id,
            {
                "service": service,
                "address": made.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": slots,
                "state": state,
                "cold_left_ms": 0,
                "seq": 1,
                **changes,
            },
        )

    def forget(self, made: replica.Replica) -> None:
        """Removes a replica's entry."""
        self.store.write(documents.ENDPOINT_KIND, made.id, None)

    async def until_listed(self) -> None:
        """Waits until all boxes know all replicas and are ready."""
        ids = {made.id for made in self.replicas}
        await until(
            lambda: all(
                made.dump()["ready"] and set(made.endpoint_list.entries) >= ids
                for made in self.gateways
            )
        )


async def until(condition: Callable[[], bool]) -> None:
    """Waits until something holds, within a generous bound.

    Raises:
        TimeoutError: If it does not hold in time.
    """
    async with asyncio.timeout(READY_LIMIT_S):
        while not condition():
            await asyncio.sleep(LOOK_INTERVAL_S)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> tuple[messages.ResponseHead, bytes]:
    """Makes a request on a connection of its own.

    Raises:
        TransportError: If no whole answer comes.
    """
    connection = client.ClientConnection(address)
    await connection.open(READY_LIMIT_S)
    try:
        async with asyncio.timeout(READY_LIMIT_S):
            return await call_on(connection, method, target, headers, body)
    finally:
        connection.abort()


async def call_on(
    connection: client.ClientConnection,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> tuple[messages.ResponseHead, bytes]:
    """Makes a request on a connection, which may carry others afterwards.

    Raises:
        TransportError: If no whole answer comes.
    """
    pairs = header_pairs(headers or {}, body)
    connection.send(method.encode(), target.encode(), pairs, body)
    head = await connection.read_head()
    parts = []
    while part := await connection.read_body():
        parts.append(part)
    connection.finish()
    return head, b"".join(parts)


def header_pairs(headers: dict[str, str], body: bytes) -> messages.Headers:
    """Returns all headers of a request with a body."""
    pairs = [(b"Host", b"api.example")]
    pairs += [(n.encode(), v.encode()) for n, v in headers.items()]
    if body:
        pairs.append((b"Content-Length", str(len(body)).encode()))
    return pairs


async def call_json(address: str, target: str) -> Any:
    """Returns the parsed answer to a GET."""
    _, body = await call(address, "GET", target)
    return json.loads(body)
