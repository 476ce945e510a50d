"""Calls of the fleet's duties to the platform."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import msgspec

from martenjunction import errors
from martenjunction.http1 import messages
from martenjunction.platform import http_calls

_USAGE_PATH = "/usage"
_SCALE_PATH = "/scale"
_HOLDER_HEADER = b"Martenjunction-Duty-Holder"
_FENCE_HEADER = b"Martenjunction-Fencing-Token"

# Statuses by which the platform says that it did nothing and may do so later.
_NOT_DONE = frozenset({429, 503})

# Status of an order for engines that are not available at present.
_NOT_AVAILABLE = 409


@dataclasses.dataclass(frozen=True, slots=True)
class Credentials:
    """Who makes a call.

    Attributes:
        box: The box that holds the duties.
        fence: Its fencing token.
        may_send: Returns whether the call may still be sent.
        timeout_s: Seconds to wait for a response.
    """

    box: str
    fence: int
    may_send: Callable[[], bool]
    timeout_s: float


class DutyCalls:
    """Makes the calls of duties and counts them."""

    def __init__(self, address: str) -> None:
        """Initializes the client, which connects on first use.

        Args:
            address: IP address and port of the service.
        """
        # A call of a former holder must not arrive after one of the next.
        self._http = http_calls.HttpCalls(address, discards=True)
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> dict[str, int]:
        """Number of calls by operation."""
        return dict(self._counts)

    async def report_usage(
        self, caller: Credentials, window: int, counts: dict[str, int]
    ) -> None:
        """Reports the requests of each workspace in a window.

        Raises:
            PlatformRefusedError: If the call had no effect and may be made
                again.
            PlatformUnavailableError: If it is unknown whether it had one.
            DutyRejectedError: If the platform rejects the call for good.
        """
        document = {"window_id": window, "counts": counts}
        await self._post("usage", _USAGE_PATH, caller, document)

    async def order_engines(
        self,
        caller: Credentials,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
    ) -> None:
        """Orders the number of a service's engines in an availability zone.

        Args:
            caller: Who makes the call.
            service: The service.
            zone: The availability zone.
            count: The number of engines of the kind.
            reclaimable: Whether the platform may take the engines away.

        Raises:
            EnginesUnavailableError: If there are none at present.
            PlatformRefusedError: If the call had no effect and may be made
                again.
            PlatformUnavailableError: If it is unknown whether it had one.
            DutyRejectedError: If the platform rejects the call for good.
        """
        document: dict[str, Any] = {
            "service": service,
            "zone": zone,
            "desired": count,
        }
        if reclaimable:
            document["spot"] = True
        await self._post("scale", _SCALE_PATH, caller, document)

    def close(self) -> None:
        """Closes all idle connections."""
        self._http.close()

    async def _post(
        self, operation: str, path: str, caller: Credentials, document: Any
    ) -> None:
        self._counts[operation] += 1
        headers: messages.Headers = [
            (_HOLDER_HEADER, caller.box.encode()),
            (_FENCE_HEADER, str(caller.fence).encode()),
        ]
        head, body, connection = await self._http.call(
            operation,
            "POST",
            path,
            msgspec.json.encode(document),
            caller.timeout_s,
            headers,
            caller.may_send,
        )
        self._http.release(connection)
        if 200 <= head.status < 300:
            return
        if head.status in _NOT_DONE:
            raise errors.PlatformRefusedError(f"status {head.status}")
        if head.status == _NOT_AVAILABLE:
            raise errors.EnginesUnavailableError(f"status {head.status}")
        if head.status >= 500:
            raise errors.PlatformUnavailableError(f"status {head.status}")
        raise errors.DutyRejectedError(
            f"status {head.status}: {body[:200].decode('latin-1')}"
        )
