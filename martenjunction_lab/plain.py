"""A stand-in of a plain service whose calls may not be repeated."""

import asyncio
import collections
import dataclasses
from typing import Any

from martenjunction import http_headers
from martenjunction.endpoints import engine_protocol
from martenjunction.endpoints import plain_protocol
from martenjunction_lab import servers

# The caller's own mark of a booking, by which executions are counted.
BOOKING_HEADER = "X-Booking"


@dataclasses.dataclass
class PlainFaults:
    """How a plain service misbehaves.

    Attributes:
        delay_s: Seconds that a call takes.
        die_after_run: Runs the call, then closes without an answer.
        refuse: Answers 503 and says that it did not run the call.
        false_ids: Answers with another request's id.
        break_off: Sends a part of an answer, then closes.
    """

    delay_s: float = 0.01
    die_after_run: bool = False
    refuse: bool = False
    false_ids: bool = False
    break_off: bool = False


class PlainService(servers.StandIn):
    """Counts how often each booking was run."""

    def __init__(self, name: str, address: str = "127.0.0.1:0") -> None:
        """Makes a service; `start` brings it up."""
        super().__init__(address)
        self.name = name
        self.faults = PlainFaults()
        self.runs: collections.Counter[str] = collections.Counter()
        self.running = 0

    def handlers(self) -> list[Any]:
        """Returns paths and handlers."""
        arguments = {"service": self}
        return [
            (engine_protocol.LOAD_PATH, _LoadHandler, arguments),
            ("/lab/faults", _FaultsHandler, arguments),
            ("/lab/counts", _CountsHandler, arguments),
            ("/.*", _CallHandler, arguments),
        ]


class _Handler(servers.JsonHandler):
    def initialize(self, service: PlainService) -> None:
        self._service = service


class _CallHandler(_Handler):
    async def get(self) -> None:
        await self._run()

    post = put = delete = patch = get

    async def _run(self) -> None:
        service = self._service
        request_id = self.request.headers.get(http_headers.REQUEST_ID, "")
        booking = self.request.headers.get(BOOKING_HEADER, request_id)
        if service.faults.refuse:
            self.set_status(503)
            self.set_header(plain_protocol.EXECUTED_HEADER, "no")
            return
        service.runs[booking] += 1
        service.running += 1
        try:
            await asyncio.sleep(service.faults.delay_s)
        finally:
            service.running -= 1
        if service.faults.die_after_run:
            servers.drop_connection(self)
            return
        answered = "another" if service.faults.false_ids else request_id
        self.set_header(http_headers.REQUEST_ID, answered)
        if service.faults.break_off:
            self.write(b"{")
            await self.flush()
            servers.drop_connection(self)
            return
        self.write(
            {
                "service": service.name,
                "method": self.request.method,
                "path": self.request.path,
                "booking": booking,
                "runs": service.runs[booking],
                "body": self.request.body.decode("utf-8", "replace"),
            }
        )


class _LoadHandler(_Handler):
    def get(self) -> None:
        self.write(
            {"running": self._service.running, "waiting": 0, "age_ms": 0}
        )


class _FaultsHandler(_Handler):
    def post(self) -> None:
        self._service.faults = PlainFaults(**self.body())


class _CountsHandler(_Handler):
    def get(self) -> None:
        self.write({"runs": dict(self._service.runs)})
