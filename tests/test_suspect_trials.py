"""Trials of a suspected request run one at a time across the fleet.

Guards against concurrent trials, begun by boxes that decide independently or
by requests whose wait ends at the same time. Each trial may crash an endpoint.
"""

import asyncio
from collections.abc import AsyncIterator
import time
from typing import Any

import msgspec
import pytest

from martenjunction import gateway
from martenjunction import model
from martenjunction import timers
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import suspect_table
from martenjunction.peers import codec
from martenjunction.peers import membership
from martenjunction.routing.access import admission
from martenjunction.routing.fleet import holders
from martenjunction.routing.messages import suspect_messages
from martenjunction.routing.quarantine import permits
from martenjunction.routing.quarantine import suspect_codec
from martenjunction.routing.quarantine import trial_grants
from martenjunction_lab import boxes
from tests import limited_fleet
from tests import linked_boxes
from tests import routing_builders as builders

KEY = content_key.ContentKey(b"c" * 8, b"q" * 16)
BOXES = 6

# Seconds within which permits are granted on an idle machine.
SETTLE_S = 0.3


@pytest.fixture
async def fleet() -> AsyncIterator[boxes.Boxes]:
    made = boxes.Boxes()
    await made.start(builders.config_document(), boxes=BOXES)
    for _ in range(2):
        await made.add_replica(builders.PLAIN)
    await made.until_listed()
    await boxes.until(
        lambda: all(
            len(b.sync.responsive_peers()) == BOXES - 1 for b in made.gateways
        )
    )
    yield made
    await made.stop()


def service(box: gateway.Gateway) -> model.Service:
    config = box.admitter.config
    assert config is not None
    return config.services[builders.PLAIN]


async def permit(box: gateway.Gateway, left_s: float = 20.0) -> permits.Permit:
    deadline = box.timers.now() + left_s
    return await box.quarantine.permit(KEY, service(box), deadline)


def request_permits(
    fleet: boxes.Boxes, left_s: float = 20.0
) -> list[asyncio.Task[permits.Permit]]:
    """Requests a permit on all boxes concurrently."""
    return [asyncio.create_task(permit(b, left_s)) for b in fleet.gateways]


def granted_permits(
    pending: list[asyncio.Task[permits.Permit]],
) -> list[permits.Permit]:
    return [task.result() for task in pending if task.done()]


async def until_suspected(fleet: boxes.Boxes, ends: int) -> None:
    def known(box: gateway.Gateway) -> bool:
        suspect = box.quarantine.table.find(KEY)
        return suspect is not None and len(suspect.evidence.crashes) == ends

    await boxes.until(lambda: all(known(box) for box in fleet.gateways))


async def make_suspected(fleet: boxes.Boxes) -> None:
    """Crashes an endpoint during the request; waits until all boxes know."""
    first = await permit(fleet.gateways[0])
    at = msgspec.structs.replace(builders.endpoint("e1"), version="v1")
    first.record_crash(at)
    await until_suspected(fleet, 1)


def trial_count(box: gateway.Gateway) -> int:
    suspect = box.quarantine.table.find(KEY)
    return 0 if suspect is None else suspect.evidence.trials


def find_holder(fleet: boxes.Boxes) -> gateway.Gateway:
    box = fleet.gateways[0]
    name = holders.HolderSelector(
        box.members, box.sync.responsive_peers
    ).holder(str(KEY))
    return next(b for b in fleet.gateways if b.members.own.box == name)


async def cancel(pending: list[asyncio.Task[permits.Permit]]) -> None:
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


async def test_stalled_boxes_run_one_trial_at_a_time(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    pending = request_permits(fleet)
    for _ in range(3):
        await asyncio.sleep(0)
        time.sleep(3 * timers.STALL_THRESHOLD_S)
    await asyncio.sleep(SETTLE_S)
    [first] = granted_permits(pending)
    assert first.isolated
    # Once the first trial's crash is known, exactly one more may begin.
    first.record_crash(builders.endpoint("e2"))
    await until_suspected(fleet, 2)
    await asyncio.sleep(SETTLE_S)
    assert len(granted_permits(pending)) == 2
    await cancel(pending)


async def test_requests_are_refused_when_their_wait_ends(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    trial = await permit(fleet.gateways[1])
    assert trial.isolated
    pending = request_permits(fleet, left_s=1.0)
    done = await asyncio.gather(*pending, return_exceptions=True)
    for refusal in done:
        assert isinstance(refusal, admission.RefusalError)
        assert refusal.status == 503
        assert refusal.retry_after is not None and refusal.retry_after > 0


async def test_outlived_trial_releases_all_waiting_requests(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    trial = await permit(fleet.gateways[1])
    assert trial.isolated
    pending = request_permits(fleet)
    await asyncio.sleep(suspect_table.TRIAL_S + SETTLE_S)
    assert not any(p.isolated for p in await asyncio.gather(*pending))


async def test_request_after_a_broken_trial_is_a_trial_again(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    trial = await permit(fleet.gateways[1])
    trial.record_broken_run(builders.endpoint("e2"))
    trial.close()
    pending = request_permits(fleet)
    await asyncio.sleep(suspect_table.TRIAL_S + SETTLE_S)
    [second] = granted_permits(pending)
    assert second.isolated
    await cancel(pending)


async def test_recently_answered_content_is_sent_when_its_wait_ends(
    fleet: boxes.Boxes,
) -> None:
    box = fleet.gateways[1]
    (await permit(box)).record_answer()
    for number in range(2):
        endpoint = builders.endpoint(f"e{number}")
        (await permit(box)).record_crash(endpoint)
        await until_suspected(fleet, number + 1)
    trial = await permit(box)
    assert trial.isolated
    assert (await permit(box, left_s=0.5)).isolated
    # A box that saw no answer still refuses the request.
    with pytest.raises(admission.RefusalError):
        await permit(fleet.gateways[2], left_s=0.5)


async def test_answered_trial_releases_all_waiting_requests(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    trial = await permit(fleet.gateways[1])
    pending = request_permits(fleet)
    await asyncio.sleep(SETTLE_S)
    assert granted_permits(pending) == []
    trial.record_answer()
    assert not any(p.isolated for p in await asyncio.gather(*pending))


async def test_inconclusive_trial_lets_the_next_begin_at_once(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    box = next(b for b in fleet.gateways if b is not find_holder(fleet))
    for _ in range(3):
        began = time.monotonic()
        trial = await permit(box)
        assert trial.isolated
        assert time.monotonic() - began < suspect_table.TRIAL_S
        trial.close()


async def test_broken_trial_delays_the_next_until_the_crash_is_known(
    fleet: boxes.Boxes,
) -> None:
    # Guards against starting the next trial between the moment a run breaks
    # off and the confirmation that its endpoint has crashed.
    await make_suspected(fleet)
    trial = await permit(fleet.gateways[1])
    trial.record_broken_run(builders.endpoint("e2"))
    trial.close()
    pending = request_permits(fleet)
    await asyncio.sleep(SETTLE_S)
    assert granted_permits(pending) == []
    trial.record_crash(builders.endpoint("e2"))
    await asyncio.sleep(SETTLE_S)
    assert len(granted_permits(pending)) == 1
    await cancel(pending)


async def test_unresponsive_holder_is_skipped(
    fleet: boxes.Boxes, monkeypatch: pytest.MonkeyPatch
) -> None:
    await make_suspected(fleet)
    unresponsive = find_holder(fleet)
    trials = unresponsive.quarantine._trials
    denied = trial_grants.TrialRuling(False)
    monkeypatch.setattr(trials, "_decide_for", lambda *args: denied)
    monkeypatch.setattr(trials, "_answer", lambda *args: None)
    others = [b for b in fleet.gateways if b is not unresponsive]
    pending = [asyncio.create_task(permit(box)) for box in others]
    await asyncio.sleep(trial_grants.ANSWER_LIMIT_S + SETTLE_S)
    [first] = granted_permits(pending)
    assert first.isolated
    await cancel(pending)


async def test_restarted_holder_assumes_that_a_trial_is_running(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    box = next(b for b in fleet.gateways if b is not find_holder(fleet))
    trial = await permit(box)
    assert trial.isolated
    # A trial that keeps running would release the pending request.
    trial.record_broken_run(builders.endpoint("e2"))
    trial.close()
    holder = find_holder(fleet)
    holder.quarantine.table._suspects.clear()
    suspect = box.quarantine.table.find(KEY)
    assert suspect is not None
    # Makes this box ask the holder, which has lost its record of the trial.
    suspect.trial_until = 0.0
    pending = asyncio.create_task(permit(box))
    await asyncio.sleep(SETTLE_S)
    assert not pending.done()
    assert (await pending).isolated


async def test_trial_of_a_cancelled_request_is_released_at_once(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    box = next(b for b in fleet.gateways if b is not find_holder(fleet))
    cancelled = asyncio.create_task(permit(box))
    await asyncio.sleep(0)
    await cancel([cancelled])
    holder = find_holder(fleet)
    await boxes.until(lambda: trial_count(holder) == 1)
    await asyncio.sleep(SETTLE_S)
    suspect = holder.quarantine.table.find(KEY)
    assert suspect is not None and suspect.trial_until == 0.0


async def test_trial_granted_as_its_request_is_cancelled_is_released() -> None:
    nodes = nodes_of_a_suspect()
    asking = asyncio.create_task(nodes[0].trials.ask(KEY, frozenset()))
    while not asking.done() and not any(
        response.done() for response in nodes[0].trials._pending.values()
    ):
        await asyncio.sleep(0)
    asking.cancel()
    await asyncio.wait([asking])
    assert asking.cancelled()
    await asyncio.sleep(SETTLE_S)
    [holder] = [node for node in nodes if node.granted]
    suspect = holder.table.find(KEY)
    assert suspect is not None and suspect.trial_until == 0.0


async def test_request_quarantined_by_the_holder_is_refused_at_once(
    fleet: boxes.Boxes,
) -> None:
    await make_suspected(fleet)
    suspect = find_holder(fleet).quarantine.table.find(KEY)
    assert suspect is not None
    suspect.evidence.quarantined = True
    box = next(b for b in fleet.gateways if b is not find_holder(fleet))
    began = time.monotonic()
    with pytest.raises(admission.RefusalError):
        await permit(box)
    assert time.monotonic() - began < SETTLE_S


async def test_isolated_box_grants_its_own_trials(fleet: boxes.Boxes) -> None:
    await make_suspected(fleet)
    box = fleet.gateways[0]
    for other in fleet.gateways[1:]:
        await other.stop()
    del fleet.gateways[1:]
    assert (await permit(box)).isolated


class TrialNode:
    """The suspect table and trial grants of one box."""

    def __init__(
        self, linked: linked_boxes.Node, members: list[membership.Member]
    ) -> None:
        self.table = suspect_table.SuspectTable()
        self.granted = 0
        own = next(m for m in members if m.box == linked.name)
        believed: Any = limited_fleet.Members(own, members)
        peers: Any = linked
        heard = [m for m in members if m.box != linked.name]
        self.trials = trial_grants.TrialGrants(
            self.table,
            peers,
            holders.HolderSelector(believed, lambda: heard),
            timers.Timers(),
            self._decide,
            lambda box, key, held: self.table.merge_peer(key, held, 0.0),
            lambda key, trial: self.table.end_trial(key, trial),
        )
        self.trials.start()

    def _decide(
        self, key: content_key.ContentKey, builds: frozenset[str]
    ) -> trial_grants.TrialRuling:
        ruling = self.table.decide(key, builds, 0.0)
        if ruling.verdict is not suspect_table.Verdict.ALONE:
            return trial_grants.TrialRuling(False, ruling.recheck_after_s)
        self.table.begin_trial(key, 0.0)
        self.granted += 1
        return trial_grants.TrialRuling(True)


def nodes_of_a_suspect() -> list[TrialNode]:
    """Returns linked boxes, all of which know of one crash."""
    linked = linked_boxes.LinkedBoxes()
    members = [
        membership.Member(node.name, f"zone-{node.zone}", "", "", "")
        for node in linked.nodes.values()
    ]
    nodes = [TrialNode(node, members) for node in linked.nodes.values()]
    for node in nodes:
        ruling = suspect_table.SuspectDecision(suspect_table.Verdict.FREE)
        node.table.record_crash(KEY, builders.PLAIN, "e1", ruling, "v1", 0.0)
    return nodes


async def test_one_of_87_boxes_grants_one_trial() -> None:
    nodes = nodes_of_a_suspect()
    pending = [node.trials.ask(KEY, frozenset()) for node in nodes]
    rulings = await asyncio.gather(*pending)
    assert sum(ruling.granted for ruling in rulings) == 1
    assert sum(node.granted for node in nodes) == 1


def test_trial_messages_round_trip() -> None:
    table = suspect_table.SuspectTable()
    ruling = suspect_table.SuspectDecision(suspect_table.Verdict.FREE)
    changed = table.record_crash(KEY, builders.PLAIN, "e1", ruling, "v1", 0.0)
    assert changed is not None
    message = suspect_codec.encode([changed])
    batch = [
        suspect_messages.AskTrial(3, message, ("v1",), 1),
        suspect_messages.TrialAnswer(3, True, 1, message),
        suspect_messages.TrialOver(KEY.caller, KEY.content, 2, 0),
    ]
    assert codec.decode_batch(codec.encode_batch(batch)) == batch
