"""The load tool: open-loop callers who check every answer."""

import asyncio
import collections
import dataclasses
import json
import time
from typing import Any

from martenjunction import errors
from martenjunction import http_headers
from martenjunction.endpoints import client
from martenjunction.endpoints import engine_protocol
from martenjunction_lab import answers
from martenjunction_lab import plain
from martenjunction_lab import traffic

MAX_TRANSFERS = 4000

# Addresses that a caller tries for one request, as long as nobody listens.
MAX_ADDRESSES = 4

# Seconds after which a caller gives an answer up.
CALLER_LIMIT = 180.0


@dataclasses.dataclass(slots=True)
class Seen:
    """What one caller saw.

    Attributes:
        arrival: What it sent, and when.
        status: The HTTP status; 0 where there was none.
        outcome: The outcome the daemon told, or an empty string.
        whole: Whether the answer is whole and its own.
        reason: What is wrong with it.
        tokens: Good tokens.
        first_token_s: Seconds from the time of arrival to the first token.
        duration_s: Seconds from the time of arrival to the end.
        retry_after: What a shed caller was told, or None.
        ended: Seconds from the start of the run to the end.
        address: The daemon that was used last.
    """

    arrival: traffic.Arrival
    status: int = 0
    outcome: str = ""
    whole: bool = False
    reason: str = ""
    tokens: int = 0
    first_token_s: float | None = None
    duration_s: float = 0.0
    retry_after: float | None = None
    ended: float = 0.0
    address: str = ""

    @property
    def lost(self) -> bool:
        """Whether the caller was left without an answer or a word.

        A request that the daemon refuses or gives up with an outcome is not
        lost: its caller knows where it stands.
        """
        return not self.whole and not self.outcome

    def attains(self, first_token: float, between_tokens: float) -> bool:
        """Returns whether a class's targets were met, as the caller saw."""
        if not self.whole or self.first_token_s is None:
            return False
        if self.first_token_s > first_token:
            return False
        if self.tokens < 2:
            return True
        streaming = self.duration_s - self.first_token_s
        return streaming / (self.tokens - 1) <= between_tokens


class AddressBook:
    """Which address a caller uses: fixed ones, or what the system answers.

    A caller asks any box it knows, keeps the answer for its time to live and
    connects there; where nobody listens any more, it takes the next address.
    """

    # Seconds for which an address that refused a connection is left out.
    REFUSED_PAUSE = 2.0

    def __init__(
        self, addresses: list[str], key: str, http: client.EndpointClient
    ) -> None:
        """Makes a book that begins with some addresses.

        Args:
            addresses: Addresses that callers know from elsewhere.
            key: A workspace's key, to ask with; empty to never ask.
            http: The client to ask with.
        """
        self._known = list(addresses)
        self._answer = list(addresses)
        self._key = key
        self._http = http
        self._expires = 0.0
        self._refused: dict[str, float] = {}
        self._asking: asyncio.Task[None] | None = None
        self.refusals = 0

    async def pick(self, number: int) -> str:
        """Returns the address for a request."""
        if self._key and time.monotonic() >= self._expires:
            await self._refresh()
        now = time.monotonic()
        usable = [a for a in self._answer if self._refused.get(a, 0.0) < now]
        usable = usable or [
            a for a in self._known if self._refused.get(a, 0.0) < now
        ]
        usable = usable or self._known
        return usable[number % len(usable)]

    def refused(self, address: str) -> None:
        """Notes that nobody listens on an address."""
        self.refusals += 1
        self._refused[address] = time.monotonic() + self.REFUSED_PAUSE

    async def _refresh(self) -> None:
        if self._asking is None or self._asking.done():
            self._asking = asyncio.ensure_future(self._ask())
        await asyncio.shield(self._asking)

    async def _ask(self) -> None:
        for address in [*self._answer, *self._known]:
            if self._refused.get(address, 0.0) >= time.monotonic():
                continue
            try:
                async with asyncio.timeout(1.0):
                    body = await self._get(address)
            except (errors.EndpointError, TimeoutError):
                self._refused[address] = time.monotonic() + self.REFUSED_PAUSE
                continue
            self._answer = [row["address"] for row in body["addresses"]]
            self._expires = time.monotonic() + body["ttl_s"]
            return

    async def _get(self, address: str) -> dict[str, Any]:
        stream = self._http.open(
            client.EndpointRequest(
                "GET",
                f"http://{address}/v1/entry",
                [("Authorization", f"Bearer {self._key}")],
                once=True,
            )
        )
        await stream.head()
        return dict(json.loads(await stream.read()))


class Load:
    """Sends a run's arrivals to some daemons."""

    def __init__(
        self, addresses: list[str], seed: int = 0, entry_key: str = ""
    ) -> None:
        """Makes a load.

        Args:
            addresses: Callers' addresses that are known at the start.
            seed: Makes bookings of one run differ from another's.
            entry_key: A key with which to ask for entry addresses; empty to
                use the known ones in turn.
        """
        self._seed = seed
        self._http = client.EndpointClient(MAX_TRANSFERS)
        self._started = 0.0
        self.book = AddressBook(addresses, entry_key, self._http)
        self.seen: list[Seen] = []
        self.in_flight: collections.Counter[str] = collections.Counter()

    def close(self) -> None:
        """Ends the client."""
        self._http.close()

    @property
    def elapsed(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self._started

    def booking(self, arrival: traffic.Arrival) -> str:
        """Returns the mark of one plain call."""
        return f"booking-{self._seed}-{arrival.number}"

    async def run(self, arrivals: list[traffic.Arrival]) -> list[Seen]:
        """Sends all arrivals at their times and waits for the answers."""
        self._started = time.monotonic()
        tasks = []
        for arrival in arrivals:
            wait = arrival.at - self.elapsed
            if wait > 0:
                await asyncio.sleep(wait)
            tasks.append(asyncio.ensure_future(self._send(arrival)))
        await asyncio.gather(*tasks)
        return self.seen

    async def _send(self, arrival: traffic.Arrival) -> None:
        seen = Seen(arrival)
        try:
            async with asyncio.timeout(CALLER_LIMIT):
                await self._try_addresses(arrival, seen)
        except errors.EndpointError as error:
            seen.reason = str(error)
        except TimeoutError:
            seen.reason = "no answer in time"
        seen.ended = self.elapsed
        seen.duration_s = seen.ended - arrival.at
        self.seen.append(seen)

    async def _try_addresses(
        self, arrival: traffic.Arrival, seen: Seen
    ) -> None:
        for attempt in range(MAX_ADDRESSES):
            address = await self.book.pick(arrival.number + attempt)
            seen.address = address
            self.in_flight[address] += 1
            try:
                await self._exchange(address, arrival, seen)
            except errors.EndpointNotReachedError:
                self.book.refused(address)
                seen.reason = "no box listens"
            else:
                return
            finally:
                self.in_flight[address] -= 1

    async def _exchange(
        self, address: str, arrival: traffic.Arrival, seen: Seen
    ) -> None:
        stream = self._http.open(self._request(address, arrival))
        head = await stream.head()
        seen.status = head.status
        seen.outcome = head.get(http_headers.OUTCOME) or ""
        retry_after = head.get(http_headers.RETRY_AFTER)
        seen.retry_after = float(retry_after) if retry_after else None
        parts: list[bytes] = []
        while data := await stream.read():
            if seen.first_token_s is None:
                seen.first_token_s = self.elapsed - arrival.at
            parts.append(data)
        body = b"".join(parts)
        if head.status != 200:
            seen.first_token_s = None
            seen.reason = body.decode("utf-8", "replace")[:200]
        elif arrival.stream.is_plain:
            self._check_plain(arrival, seen, body)
        else:
            _check_chat(arrival, seen, body)

    def _request(
        self, address: str, arrival: traffic.Arrival
    ) -> client.EndpointRequest:
        stream = arrival.stream
        headers = [
            ("Authorization", f"Bearer {stream.key}"),
            (http_headers.KIND, stream.kind),
            ("Content-Type", "application/json"),
        ]
        if stream.is_plain:
            booking = self.booking(arrival)
            headers.append((plain.BOOKING_HEADER, booking))
            url = f"http://{address}/v1/services/{stream.target}/book"
            body = json.dumps({"booking": booking}).encode()
        else:
            url = f"http://{address}{engine_protocol.CHAT_PATH}"
            body = json.dumps(arrival.body).encode()
        return client.EndpointRequest("POST", url, headers, body, once=True)

    def _check_plain(
        self, arrival: traffic.Arrival, seen: Seen, body: bytes
    ) -> None:
        answer = json.loads(body)
        seen.whole = answer.get("booking") == self.booking(arrival)
        if not seen.whole:
            seen.reason = "another's answer"


def _check_chat(arrival: traffic.Arrival, seen: Seen, body: bytes) -> None:
    delivered = engine_protocol.Delivered()
    error = body.find(b"event: error\n")
    if error >= 0:
        report = body[error:].split(b"data: ", 1)[1]
        seen.outcome = json.loads(report)["error"]["outcome"]
        body = body[:error]
    delivered.feed(body)
    verdict = answers.check(delivered.text(), arrival.body)
    seen.tokens = verdict.tokens
    seen.whole = verdict.whole and delivered.done and error < 0
    if not seen.whole:
        seen.reason = verdict.reason or "the stream ended early"
