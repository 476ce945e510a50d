"""Helpers for commands that call the platform or daemons."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Annotated
from typing import Any
from typing import TypeVar

import cappa

from martenjunction import errors
from martenjunction.endpoints import client
from martenjunction.objects import client as object_client

T = TypeVar("T")

MAX_TRANSFERS = 32
RESPONSE_TIMEOUT = 5.0

PlatformUrl = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("MARTENJUNCTION_PLATFORM"),
        help="URL of the platform's object API.",
    ),
]
OperatorKey = Annotated[
    str,
    cappa.Arg(
        long=True,
        default=cappa.Env("MARTENJUNCTION_OPERATOR_KEY"),
        help="The operators' key.",
    ),
]


class NoAnswerError(errors.MartenjunctionError):
    """A daemon did not respond to an operator."""


@dataclasses.dataclass(frozen=True)
class DaemonResponse:
    """A daemon's response to an operator.

    Attributes:
        status: The HTTP status.
        body: The response body.
    """

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the parsed body."""
        return json.loads(self.body)


def run_with_http(work: Callable[[client.EndpointClient], Awaitable[T]]) -> T:
    """Runs a coroutine function with an HTTP client in a new event loop."""

    async def run() -> T:
        http = client.EndpointClient(MAX_TRANSFERS)
        try:
            return await work(http)
        finally:
            http.close()

    return asyncio.run(run())


def with_platform(
    url: str, work: Callable[[object_client.ObjectClient], Awaitable[T]]
) -> T:
    """Runs a coroutine function with a platform client in a new event loop."""

    async def run() -> T:
        platform = object_client.ObjectClient(url)
        try:
            return await work(platform)
        finally:
            platform.close()

    return asyncio.run(run())


async def call_daemon(
    http: client.EndpointClient,
    address: str,
    key: str,
    method: str,
    path: str,
    body: bytes = b"",
) -> DaemonResponse:
    """Sends a request to a daemon's operator address.

    Raises:
        NoAnswerError: If the daemon does not respond or refuses the key.
    """
    request = client.EndpointRequest(
        method,
        f"http://{address}{path}",
        [("Authorization", f"Bearer {key}")],
        body if method == "POST" else None,
    )
    stream = http.open(request)
    parts = []
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            head = await stream.head()
            while part := await stream.read():
                parts.append(part)
    except (errors.EndpointError, TimeoutError) as error:
        http.cancel(stream)
        raise NoAnswerError(f"{address} did not respond: {error}") from error
    if head.status == 401:
        raise NoAnswerError(f"{address} rejected the operator key")
    return DaemonResponse(head.status, b"".join(parts))
