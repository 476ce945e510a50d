"""Requests that arrive throughout the planned stop of a box."""

import asyncio
import dataclasses

from martenjunction import errors
from martenjunction import gateway
from martenjunction_lab import boxes
from martenjunction_lab import replica
from tests import gateway_requests
from tests import routing_builders as builders

# Seconds between two requests, and until each has ended.
INTERVAL_S = 0.1
END_S = 12.0

DEADLINE_MS = 9000

# Requests by which a box learns how long its endpoints take.
LEARNED_FROM = 12


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request and what became of it.

    Attributes:
        id: Its id.
        since_s: Seconds since the stop began when it was sent.
        status: The status of its response; None if none came.
    """

    id: str
    since_s: float
    status: int | None


class Site:
    """A box, and endpoints that take their time."""

    def __init__(self, work_s: float, stop_s: float, **fields: object) -> None:
        """Makes a site; `start` brings it up.

        Args:
            work_s: Seconds that each request takes.
            stop_s: Seconds from the start of a stop to the kill.
            fields: Fields of all routes, in place of the usual ones.
        """
        self.fleet = boxes.Boxes()
        self._work_s = work_s
        self._stop_s = stop_s
        self._document = builders.config_document()
        for route in self._document["routes"]:
            route.update(timeout_ms=20_000, **fields)

    @property
    def box(self) -> gateway.Gateway:
        """The box."""
        return self.fleet.gateways[0]

    @property
    def endpoints(self) -> list[replica.Replica]:
        """The endpoints."""
        return self.fleet.replicas

    async def start(self) -> None:
        """Starts everything; the box knows how long its endpoints take."""
        await self.fleet.start(self._document, stop_s=self._stop_s)
        for made in await gateway_requests.two_plain(self.fleet):
            made.queue_s = self._work_s
        for number in range(LEARNED_FROM):
            await self.send(f"before-{number}", "/unsafe/x")

    async def send(self, request_id: str, path: str) -> Sent:
        """Sends a request on a connection of its own."""
        since_s = gateway_requests.leaving_for_s(self.box)
        try:
            head, _ = await boxes.call(
                self.fleet.addresses[0],
                "POST",
                path,
                gateway_requests.request_headers(
                    request_id,
                    **{"Martenjunction-Deadline-Ms": str(DEADLINE_MS)},
                ),
                b"hello",
            )
        except errors.TransportError:
            return Sent(request_id, since_s, None)
        return Sent(request_id, since_s, head.status)

    async def send_throughout(self, path: str) -> list[Sent]:
        """Stops the box, and sends requests until it has ended."""
        leaving = asyncio.ensure_future(self.box.leave())
        sending = []
        while not leaving.done():
            name = f"late-{len(sending)}"
            sending.append(asyncio.ensure_future(self.send(name, path)))
            await asyncio.sleep(INTERVAL_S)
        await leaving
        async with asyncio.timeout(END_S):
            return await asyncio.gather(*sending)

    def arrived(self, request_id: str) -> int:
        """Returns how often a request arrived at endpoints."""
        return sum(
            one.id == request_id
            for endpoint in self.endpoints
            for one in endpoint.received
        )
