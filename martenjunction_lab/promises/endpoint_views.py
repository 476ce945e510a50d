"""What an endpoint's stand-in sees, recorded as events of a trial."""

from collections.abc import Mapping
import hashlib
import itertools
import time

from martenjunction_lab.promises import events

# Bytes of the begin and of the end of a body that its digest covers.
DIGEST_BYTES = 64 * 1024

# Numbers of the arrivals at all endpoints.
_numbers = itertools.count(1)


class EndpointView:
    """Records what becomes of requests at an endpoint."""

    def __init__(self, endpoint: str, service: str = "") -> None:
        """Begins without events.

        Args:
            endpoint: The endpoint.
            service: Its service; empty if not known.
        """
        self._endpoint = endpoint
        self._service = service
        self._seen: list[events.Event] = []

    @property
    def seen(self) -> list[events.Event]:
        """The events, in the order of their times on the monotonic clock."""
        return list(self._seen)

    def arrived(
        self, request: str, headers: Mapping[str, str], asked: str
    ) -> int:
        """Records that a request was read.

        Args:
            request: Its id.
            headers: Its headers, with names in lower case.
            asked: The digest of what it asks for.

        Returns:
            The number of the arrival.
        """
        attempt = next(_numbers)
        self._seen.append(
            arrival(
                request, attempt, self._endpoint, self._service, headers, asked
            )
        )
        return attempt

    def turned_away(self, attempt: int, status: int) -> None:
        """Records that an arrival was refused and not run."""
        self._add(events.TurnedAway(time.monotonic(), attempt, status))

    def began(self, attempt: int) -> None:
        """Records that a run began."""
        self._add(events.RunBegan(time.monotonic(), attempt))

    def ended(self, attempt: int, how: events.RunEnd, status: int = 0) -> None:
        """Records how a run ended, and the status that was returned."""
        self._add(events.RunEnded(time.monotonic(), attempt, how, status))

    def _add(
        self, event: events.TurnedAway | events.RunBegan | events.RunEnded
    ) -> None:
        """Adds an event, unless it is about a health check."""
        if event.attempt:
            self._seen.append(event)


def arrival(
    request: str,
    attempt: int,
    endpoint: str,
    service: str,
    headers: Mapping[str, str],
    asked: str,
) -> events.Arrived:
    """Returns that an endpoint has just read a request.

    Args:
        request: Its id.
        attempt: The number of the arrival.
        endpoint: The endpoint.
        service: Its service; empty if not known.
        headers: The request's headers, with names in lower case.
        asked: The digest of what it asks for.
    """
    left_ms = headers.get("martenjunction-deadline-ms")
    return events.Arrived(
        time.monotonic(),
        request,
        attempt,
        endpoint,
        service,
        asked,
        headers.get("martenjunction-tenant", ""),
        "authorization" in headers,
        None if left_ms is None else int(left_ms) / 1000,
    )


def digest(method: str, target: str, body: bytes) -> str:
    """Returns a digest of what a request asks for.

    Of a body that is longer than twice `DIGEST_BYTES` its begin, its end and
    its length count: endpoints in trials of large bodies must stay fast.
    """
    made = hashlib.blake2b(
        f"{method} {target} {len(body)} ".encode(), digest_size=8
    )
    made.update(body[:DIGEST_BYTES])
    made.update(body[max(DIGEST_BYTES, len(body) - DIGEST_BYTES) :])
    return made.hexdigest()
