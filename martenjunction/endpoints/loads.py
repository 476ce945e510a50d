"""Polls endpoints for their load, which they report with a delay."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
from typing import Annotated

import pydantic
from tornado import ioloop

from martenjunction import errors
from martenjunction import timers
from martenjunction.config import fleet
from martenjunction.endpoints import client
from martenjunction.endpoints import engine_protocol

logger = logging.getLogger(__name__)

# Minimum seconds between two polls of an endpoint, and maximum polls per second
# of all endpoints together: with many endpoints each is polled less often, to
# limit control traffic.
POLL_INTERVAL_S = 2.0
MAX_POLLS_PER_S = 5.0
MAX_REPORT_BYTES = 4096

# Seconds for a poll.
POLL_TIMEOUT_S = 5.0

# Bounds of the numbers in a report; others would outweigh all endpoints.
MAX_REQUESTS = 1_000_000
MAX_AGE_MS = 3_600_000.0

_Count = Annotated[int, pydantic.Field(ge=0, le=MAX_REQUESTS)]


@dataclasses.dataclass(frozen=True)
class Load:
    """Load report of an endpoint.

    Attributes:
        running: Number of running requests.
        waiting: Number of requests in the endpoint's queue.
        age_ms: Age of the report in milliseconds.
    """

    running: _Count
    waiting: _Count = 0
    age_ms: Annotated[
        float, pydantic.Field(ge=0.0, le=MAX_AGE_MS, allow_inf_nan=False)
    ] = 0.0


_ADAPTER = pydantic.TypeAdapter(Load)

OnLoad = Callable[[str, Load], None]
OnUnreachable = Callable[[str], None]


class LoadPoller:
    """Polls the load of the endpoints of the cells on this box."""

    def __init__(
        self,
        http: client.EndpointClient,
        clock: timers.Timers,
        endpoints: Callable[[], list[fleet.Endpoint]],
        on_load: OnLoad,
        on_unreachable: OnUnreachable,
    ) -> None:
        """Initializes the poller; `start` starts it.

        Args:
            http: HTTP client for the polls.
            clock: Timers that trigger the polls.
            endpoints: Returns the endpoints to poll.
            on_load: Called with each load report.
            on_unreachable: Called with the name of each unreachable endpoint.
        """
        self._http = http
        self._timers = clock
        self._endpoints = endpoints
        self._on_load = on_load
        self._on_unreachable = on_unreachable
        self._in_flight: set[str] = set()
        self._next_poll_at: dict[str, float] = {}

    def start(self) -> None:
        """Starts to poll."""
        self._timers.subscribe("loads", POLL_INTERVAL_S / 20, self._tick)

    def _tick(self) -> None:
        """Polls the endpoints that are due, so that polls are spread out."""
        now = self._timers.now()
        endpoints = self._endpoints()
        interval = max(POLL_INTERVAL_S, len(endpoints) / MAX_POLLS_PER_S)
        for endpoint in endpoints:
            due = self._next_poll_at.get(endpoint.name, 0.0)
            if due <= now and endpoint.name not in self._in_flight:
                self._next_poll_at[endpoint.name] = now + interval
                self._in_flight.add(endpoint.name)
                self._start(endpoint)

    def _start(self, endpoint: fleet.Endpoint) -> None:
        ioloop.IOLoop.current().spawn_callback(self._poll, endpoint)

    async def _poll(self, endpoint: fleet.Endpoint) -> None:
        request = client.EndpointRequest(
            "GET", f"http://{endpoint.address}{engine_protocol.LOAD_PATH}", []
        )
        stream = self._http.open(request)
        try:
            async with asyncio.timeout(POLL_TIMEOUT_S):
                head = await stream.head()
                body = await stream.read()
            if head.status == 200 and len(body) <= MAX_REPORT_BYTES:
                self._on_load(endpoint.name, _ADAPTER.validate_json(body))
        except errors.EndpointNotReachedError:
            self._on_unreachable(endpoint.name)
        except (
            errors.EndpointError,
            pydantic.ValidationError,
            TimeoutError,
        ) as error:
            logger.info("no load report from %s: %r", endpoint.name, error)
        finally:
            if not stream.ended:
                self._http.cancel(stream)
            self._in_flight.discard(endpoint.name)
