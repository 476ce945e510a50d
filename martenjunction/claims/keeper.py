"""Claims idempotency keys and hosts the claim shards of this box."""

import asyncio
from collections.abc import Callable
import logging
import time

import xxhash

from martenjunction import mailbox
from martenjunction.claims import messages
from martenjunction.claims import shards
from martenjunction.decisions import outcomes
from martenjunction.objects import client as object_client
from martenjunction.relay import requests
from martenjunction.relay import results

logger = logging.getLogger(__name__)

SHARDS = 64

# Timeout of a claim in seconds, and the retry time sent to the caller when the
# claim is unavailable.
CLAIM_TIMEOUT = 5.0
RETRY_AFTER = 5.0

Owner = Callable[[str], str]
Send = Callable[[str, messages.Claim | messages.Settle], bool]
SendAnswer = Callable[[str, messages.ClaimAnswer], bool]


class ClaimKeeper:
    """Claims keys for this box's requests and hosts its claim shards."""

    def __init__(
        self,
        box: str,
        platform: object_client.ObjectClient | None,
        owner: Owner,
        send: Send,
        send_answer: SendAnswer,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Initializes the keeper without shards.

        Args:
            box: This box.
            platform: Stores the claims; None for a daemon without a platform.
            owner: Returns the current owner of a shard.
            send: Sends a claim or its settlement to another box.
            send_answer: Sends an answer to another box.
            wall_clock: Returns the Unix time in seconds.
        """
        self._box = box
        self._platform = platform
        self._owner = owner
        self._send = send
        self._send_answer = send_answer
        self._wall_clock = wall_clock
        self._waiting: dict[str, asyncio.Future[messages.ClaimState]] = {}
        self._shards: dict[int, shards.ClaimShard] = {}

    @property
    def owned(self) -> dict[int, shards.ClaimShard]:
        """The shards hosted by this box. Callers must not modify it."""
        return self._shards

    async def claim(
        self, request: requests.RoutedRequest
    ) -> results.Result | None:
        """Claims the key of a request before it is sent to an endpoint.

        Returns:
            None if the request may run, else its result.
        """
        state = await self._request_claim(_make_claim(request))
        if state is messages.ClaimState.CLAIMED:
            return None
        if state is messages.ClaimState.UNAVAILABLE:
            # The claim may have been stored nevertheless, so it is released.
            self.settle(request, outcomes.Outcome.NOT_RUN)
            if request.service_class.unclaimed_in_outage:
                return None
            return results.Result(
                outcomes.Outcome.NOT_RUN,
                results.FailureCode.CLAIM_UNAVAILABLE,
                "the key could not be claimed with the platform",
                RETRY_AFTER,
            )
        outcome, code, message = _CLAIMED_RESULTS[state]
        return results.Result(outcome, code, message)

    def settle(
        self, request: requests.RoutedRequest, outcome: outcomes.Outcome
    ) -> None:
        """Settles the claim of a request that ended."""
        claim = _make_claim(request)
        ran = outcome is not outcomes.Outcome.NOT_RUN
        message = messages.Settle(claim.shard, claim.key, claim.request_id, ran)
        owner = self._owner(f"claims/{claim.shard}")
        if owner == self._box:
            self.receive(self._box, message)
        else:
            self._send(owner, message)

    def receive(
        self, sender: str, message: messages.Claim | messages.Settle
    ) -> None:
        """Processes a claim or settlement as the owner of its shard."""
        answer: shards.ReplyCallback | None = None
        if isinstance(message, messages.Claim):

            def answer(reply: messages.ClaimAnswer) -> None:
                self._reply(sender, reply)

        shard = self._shard(message.shard)
        if shard is not None:
            try:
                shard.put(message, answer)
                return
            except mailbox.MailboxFullError:
                logger.warning("claim shard %d: backlog full", message.shard)
        if answer is not None:
            state = messages.ClaimState.UNAVAILABLE
            answer(messages.ClaimAnswer(message.request_id, state))

    def on_answer(self, answer: messages.ClaimAnswer) -> None:
        """Processes the answer to a claim of this box."""
        waiting = self._waiting.get(answer.request_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.state)

    async def stop(self) -> None:
        """Flushes and stops all shards."""
        for shard in self._shards.values():
            await shard.stop()

    async def _request_claim(
        self, claim: messages.Claim
    ) -> messages.ClaimState:
        waiting: asyncio.Future[messages.ClaimState] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[claim.request_id] = waiting
        owner = self._owner(f"claims/{claim.shard}")
        try:
            if owner == self._box:
                self.receive(self._box, claim)
            elif not self._send(owner, claim):
                return messages.ClaimState.UNAVAILABLE
            async with asyncio.timeout(CLAIM_TIMEOUT):
                return await waiting
        except TimeoutError:
            return messages.ClaimState.UNAVAILABLE
        finally:
            del self._waiting[claim.request_id]

    def _reply(self, sender: str, reply: messages.ClaimAnswer) -> None:
        if sender == self._box:
            self.on_answer(reply)
        else:
            self._send_answer(sender, reply)

    def _shard(self, number: int) -> shards.ClaimShard | None:
        if self._platform is None:
            return None
        if number not in self._shards:
            shard = shards.ClaimShard(number, self._platform, self._wall_clock)
            shard.start()
            self._shards[number] = shard
        return self._shards[number]


def _make_claim(request: requests.RoutedRequest) -> messages.Claim:
    text = f"{request.workspace}\x00{request.idempotency_key}"
    digest = xxhash.xxh3_128(text.encode())
    number = digest.intdigest() % SHARDS
    return messages.Claim(number, digest.hexdigest(), request.request_id)


# Results for requests whose key is claimed by another request.
_CLAIMED_RESULTS = {
    messages.ClaimState.IN_PROGRESS: (
        outcomes.Outcome.UNKNOWN,
        results.FailureCode.ALREADY_CLAIMED,
        "a request with this key was taken in before; its end is not known",
    ),
    messages.ClaimState.RAN: (
        outcomes.Outcome.DONE,
        results.FailureCode.ALREADY_RAN,
        "a request with this key already ran",
    ),
}
