"""What the commands share that talk to the platform and to daemons."""

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
ANSWER_TIMEOUT = 5.0

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
    """A daemon did not answer an operator."""


@dataclasses.dataclass(frozen=True)
class DaemonAnswer:
    """A daemon's answer to an operator."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Returns the parsed body."""
        return json.loads(self.body)


def run_with_http(work: Callable[[client.EndpointClient], Awaitable[T]]) -> T:
    """Runs some work in an event loop, with an HTTP client of its own."""

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
    """Runs some work with a client of the platform."""

    async def run() -> T:
        platform = object_client.ObjectClient(url)
        try:
            return await work(platform)
        finally:
            platform.close()

    return asyncio.run(run())


async def ask_daemon(
    http: client.EndpointClient,
    address: str,
    key: str,
    method: str,
    path: str,
    body: bytes = b"",
) -> DaemonAnswer:
    """Asks a daemon on its operators' address.

    Raises:
        NoAnswerError: If it does not answer, or refuses the key.
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
        async with asyncio.timeout(ANSWER_TIMEOUT):
            head = await stream.head()
            while part := await stream.read():
                parts.append(part)
    except (errors.EndpointError, TimeoutError) as error:
        http.cancel(stream)
        raise NoAnswerError(f"{address} does not answer: {error}") from error
    if head.status == 401:
        raise NoAnswerError(f"{address} does not take this key")
    return DaemonAnswer(head.status, b"".join(parts))
