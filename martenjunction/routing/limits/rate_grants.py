"""Grants for sending requests to rate-limited endpoints."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any

from martenjunction import timers
from martenjunction.decisions import bounded
from martenjunction.decisions import grant_bucket
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.fleet import holders
from martenjunction.routing.limits import limit_sync
from martenjunction.routing.limits import place_grants
from martenjunction.routing.messages import peer_messages

# Timeout in seconds for the holder's answer, after which a request is sent to
# another endpoint.
ANSWER_LIMIT_S = 0.06

# Seconds for which this box sends nothing to an endpoint whose holder did not
# answer.
NO_ANSWER_BACKOFF_S = 0.25

# Maximum number of times a message is forwarded. In a large fleet the first box
# asked is usually not the holder, but a peer of the holder.
MAX_HOPS = 2

# Maximum number of forwarded messages awaiting an answer, and of buckets.
MAX_FORWARDED = 1024
MAX_BUCKETS = 1024

# Seconds after which an unused bucket is removed; a new one starts empty.
BUCKET_LIFETIME_S = 10.0
CLEANUP_INTERVAL_S = 1.0

# Seconds after which the place of a request that was aborted is returned.
ABORT_DELAY_S = 0.1

MS = 0.001


@dataclasses.dataclass(slots=True)
class RateGrant:
    """A grant to send one request to an endpoint.

    Attributes:
        endpoint_id: The endpoint.
        granter: The box that granted it; None if the endpoint has no limit.
        has_place: Whether it includes a place that is to be returned.
    """

    endpoint_id: str
    granter: str | None = None
    has_place: bool = False


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The token bucket of an endpoint and the time of its last use."""

    grants: grant_bucket.GrantBucket
    used_at: float


class RateGrants:
    """Admits each request to an endpoint within the endpoint's limits.

    A rate limit, or the room of a brittle endpoint, applies to all boxes
    together. Boxes that decide independently would exceed it in total, so one
    box, the endpoint's holder, grants each request.
    """

    def __init__(
        self,
        registry: endpoint_registry.EndpointRegistry,
        sync: limit_sync.LimitSync,
        peers: hub.PeerHub,
        members: membership.Membership,
        responsive_peers: Callable[[], list[membership.Member]],
        clock: timers.Timers,
    ) -> None:
        """Initializes the grants; `start` subscribes to peer messages.

        Args:
            registry: Holds the endpoints' limits.
            sync: Synchronizes the limits between boxes.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            responsive_peers: Returns the live peers with a recent status.
            clock: The clock and timers.
        """
        self._limits = registry.table.limits
        self._brittle = registry.table.brittle
        self._members = members
        self._places = place_grants.PlaceGrants(registry.table, clock)
        self._limit_sync = sync
        self._peers = peers
        self._selector = holders.HolderSelector(members, responsive_peers)
        self._timers = clock
        self._buckets: dict[str, _Bucket] = {}
        self._pending: dict[int, asyncio.Future[peer_messages.GrantAnswer]] = {}
        self._forwarded: dict[int, tuple[str, int]] = {}
        self._last_number = 0
        self._denied = 0
        self._granted = 0

    @property
    def refused(self) -> int:
        """Number of requests of this box that were denied."""
        return self._denied

    @property
    def granted(self) -> int:
        """Number of requests granted by this box, for itself and others."""
        return self._granted

    def start(self) -> None:
        """Subscribes to peer messages and timers."""
        self._peers.subscribe(peer_messages.AskGrant, self._on_ask)
        self._peers.subscribe(peer_messages.GrantAnswer, self._on_answer)
        self._peers.subscribe(peer_messages.GrantUnused, self._on_unused)
        self._peers.subscribe(peer_messages.PlaceReleased, self._on_released)
        self._timers.subscribe(
            "rate-grants", CLEANUP_INTERVAL_S, self._remove_unused_buckets
        )

    def holder(self, endpoint_id: str) -> str:
        """Returns the box that grants requests, as known to this box."""
        return self._selector.holder(endpoint_id)

    def dump(self) -> dict[str, Any]:
        """Returns the limit and the holder of each limited endpoint."""
        now = self._timers.now()
        return {
            endpoint_id: {
                "per_s": self._limits.per_s(endpoint_id),
                "holder": self.holder(endpoint_id),
                "opens_in_s": round(
                    self._limits.opens_in_s(endpoint_id, now), 3
                ),
            }
            for endpoint_id in self._limits.limited()
        }

    async def acquire(self, endpoint_id: str) -> RateGrant | None:
        """Acquires a grant; to be called right before a request is sent.

        Args:
            endpoint_id: The endpoint.

        Returns:
            The grant; None if it is denied or the holder does not answer.
        """
        is_brittle = self._brittle.per_s(endpoint_id) is not None
        if self._limits.per_s(endpoint_id) is None and not is_brittle:
            return RateGrant(endpoint_id)
        now = self._timers.now()
        if not (
            self._limits.is_open(endpoint_id, now)
            and self._brittle.is_open(endpoint_id, now)
        ):
            self._denied += 1
            return None
        holder = self.holder(endpoint_id)
        if holder == self._selector.own_box:
            wait_s = await self._decide_own(endpoint_id)
        else:
            wait_s = await self._ask(holder, endpoint_id)
        self._block_until(endpoint_id, self._timers.now() + wait_s)
        if wait_s:
            self._denied += 1
            return None
        return RateGrant(endpoint_id, holder, is_brittle)

    def release(self, grant: RateGrant, aborted: bool) -> None:
        """Returns the place of a request that ended.

        Args:
            grant: The grant; nothing happens if its place was returned.
            aborted: Whether this box ended the request, so that the endpoint
                takes a moment to notice.
        """
        if not grant.has_place:
            return
        grant.has_place = False
        if aborted:
            asyncio.get_running_loop().call_later(
                ABORT_DELAY_S, self._return_place, grant
            )
        else:
            self._return_place(grant)

    def _return_place(self, grant: RateGrant) -> None:
        if grant.granter == self._selector.own_box:
            self._places.release(grant.endpoint_id, grant.granter)
        elif grant.granter is not None:
            released = peer_messages.PlaceReleased(grant.endpoint_id, 0)
            self._peers.send_soon(grant.granter, released)

    def refund(self, grant: RateGrant) -> None:
        """Returns an unused grant, as its request was not sent."""
        grant.has_place = False
        if grant.granter == self._selector.own_box:
            self._refund(grant.endpoint_id, grant.granter)
        elif grant.granter is not None:
            unused = peer_messages.GrantUnused(grant.endpoint_id, 0)
            self._peers.send_soon(grant.granter, unused)

    async def _decide_own(self, endpoint_id: str) -> float:
        """Decides about a request of this box, as the holder.

        Returns:
            0 if it is granted, else the seconds after which to retry.
        """
        decided: asyncio.Future[float] = (
            asyncio.get_running_loop().create_future()
        )

        def answer(wait_s: float) -> bool:
            if decided.done():
                return False
            decided.set_result(wait_s)
            return True

        self._decide(endpoint_id, self._selector.own_box, answer)
        try:
            return await decided
        except asyncio.CancelledError:
            if not decided.cancelled():
                self._return_unwanted(
                    endpoint_id, self._selector.own_box, decided.result()
                )
            raise

    def _decide(
        self, endpoint_id: str, box: str, answer: place_grants.Answer
    ) -> None:
        """Decides about a request, as the holder.

        Args:
            endpoint_id: The endpoint.
            box: The box that asks, or that forwarded its message.
            answer: Called with the result.
        """
        wait_s = self._grant_rate(endpoint_id)
        if wait_s or self._brittle.per_s(endpoint_id) is None:
            answer(wait_s)
            return

        def answer_place(wait_s: float) -> bool:
            bucket = self._buckets.get(endpoint_id)
            if wait_s and bucket is not None:
                bucket.grants.refund()
            return answer(wait_s)

        self._places.ask(
            endpoint_id,
            box,
            self._selector.reachable_fraction(),
            answer_place,
        )

    def _grant_rate(self, endpoint_id: str) -> float:
        now = self._timers.now()
        limit = self._limits.per_s(endpoint_id)
        if limit is None:
            return 0.0
        bucket = self._buckets.get(endpoint_id)
        if bucket is None:
            bucket = _Bucket(grant_bucket.GrantBucket(now), now)
            bounded.put(self._buckets, endpoint_id, bucket, MAX_BUCKETS)
        bucket.used_at = now
        wait_s = bucket.grants.take(
            limit, self._selector.reachable_fraction(), now
        )
        self._granted += not wait_s
        return wait_s

    def _refund(self, endpoint_id: str, box: str) -> None:
        bucket = self._buckets.get(endpoint_id)
        if bucket is not None:
            bucket.grants.refund()
        self._places.release(endpoint_id, box)

    def _block_until(self, endpoint_id: str, until: float) -> None:
        self._limits.block_until(endpoint_id, until)
        self._brittle.block_until(endpoint_id, until)

    async def _ask(self, holder: str, endpoint_id: str) -> float:
        """Requests a grant from another box; returns the same as `_grant`."""
        response: asyncio.Future[peer_messages.GrantAnswer] = (
            asyncio.get_running_loop().create_future()
        )
        number = self._next_number()
        self._pending[number] = response
        # Only one request for a part of a rate is in flight per endpoint;
        # meanwhile other requests of this box are sent to other endpoints.
        self._limits.block_until(
            endpoint_id, self._timers.now() + ANSWER_LIMIT_S
        )
        message = peer_messages.AskGrant(
            number, self._limit_sync.report(endpoint_id), 0
        )
        limit_s = ANSWER_LIMIT_S
        if self._brittle.per_s(endpoint_id) is not None:
            limit_s += place_grants.MAX_QUEUE_S
        try:
            if self._peers.send_soon(holder, message):
                await asyncio.wait([response], timeout=limit_s)
        except asyncio.CancelledError:
            if response.done():
                self._return_unwanted(
                    endpoint_id, holder, response.result().wait_ms
                )
            raise
        finally:
            del self._pending[number]
        if not response.done():
            return NO_ANSWER_BACKOFF_S
        return response.result().wait_ms * MS

    def _return_unwanted(
        self, endpoint_id: str, holder: str, wait: float
    ) -> None:
        """Returns a grant that came as its request ended.

        Args:
            endpoint_id: The endpoint.
            holder: The box that decided.
            wait: The decision; 0 if it is a grant.
        """
        if not wait:
            self.refund(RateGrant(endpoint_id, holder))

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _on_ask(self, box: str, ask: peer_messages.AskGrant) -> None:
        endpoint_id = ask.report.endpoint
        self._limit_sync.merge(box, ask.report)
        holder = self.holder(endpoint_id)
        if holder == self._selector.own_box:
            number = ask.number

            def answer(wait_s: float) -> bool:
                self._answer(box, number, endpoint_id, wait_s)
                return True

            self._decide(endpoint_id, box, answer)
            return
        if ask.hops < MAX_HOPS and holder != box:
            number = self._next_number()
            forwarded = peer_messages.AskGrant(
                number, self._limit_sync.report(endpoint_id), ask.hops + 1
            )
            if self._peers.send_soon(holder, forwarded):
                asked_by = (box, ask.number)
                bounded.put(self._forwarded, number, asked_by, MAX_FORWARDED)
                return
        self._answer(box, ask.number, endpoint_id, NO_ANSWER_BACKOFF_S)

    def _answer(
        self, box: str, number: int, endpoint_id: str, wait_s: float
    ) -> None:
        # A wait that is rounded to 0 would be taken for a grant.
        wait_ms = int(wait_s / MS) + 1 if wait_s else 0
        self._peers.send(
            box,
            peer_messages.GrantAnswer(
                number, self._limit_sync.report(endpoint_id), wait_ms
            ),
        )

    def _on_answer(self, box: str, answer: peer_messages.GrantAnswer) -> None:
        self._limit_sync.merge(box, answer.report)
        origin = self._forwarded.pop(answer.number, None)
        if origin is not None:
            requester, number = origin
            report = self._limit_sync.report(answer.report.endpoint)
            forwarded = peer_messages.GrantAnswer(
                number, report, answer.wait_ms
            )
            self._peers.send(requester, forwarded)
            return
        waiting = self._pending.get(answer.number)
        if waiting is None:
            if not answer.wait_ms:
                unused = peer_messages.GrantUnused(answer.report.endpoint, 0)
                self._peers.send(box, unused)
        elif not waiting.done():
            waiting.set_result(answer)

    def _on_unused(self, box: str, unused: peer_messages.GrantUnused) -> None:
        holder = self.holder(unused.endpoint)
        if holder == self._selector.own_box:
            self._refund(unused.endpoint, box)
        elif unused.hops < MAX_HOPS and holder != box:
            self._peers.send_soon(
                holder,
                dataclasses.replace(unused, hops=unused.hops + 1),
            )

    def _on_released(
        self, box: str, released: peer_messages.PlaceReleased
    ) -> None:
        holder = self.holder(released.endpoint)
        if holder == self._selector.own_box:
            self._places.release(released.endpoint, box)
        elif released.hops < MAX_HOPS and holder != box:
            self._peers.send_soon(
                holder,
                dataclasses.replace(released, hops=released.hops + 1),
            )

    def _remove_unused_buckets(self) -> None:
        now = self._timers.now()
        live = {member.box for member in self._members.live_members()}
        self._places.clean_up(live)
        for endpoint_id in [
            i
            for i, bucket in self._buckets.items()
            if now - bucket.used_at > BUCKET_LIFETIME_S
        ]:
            del self._buckets[endpoint_id]
