"""Tests of the dispatcher's rules."""

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.decisions.cells import tiers
from tests import builders


def granted(decisions: list[dispatch_types.Decision]) -> list[str]:
    return [
        d.request_id for d in decisions if isinstance(d, dispatch_types.Grant)
    ]


def test_highest_tier_is_granted_first() -> None:
    cell = builders.cell()
    for tier in (4, 2, 1, 3):
        cell.submit(builders.ask(f"t{tier}", tier=tier), 0.0)
    assert granted(cell.step(0.0)) == ["t1"]


def test_least_slack_goes_first_within_a_workspace() -> None:
    cell = builders.cell()
    cell.submit(builders.ask("loose", target=5.0), 0.0)
    cell.submit(builders.ask("tight", target=0.5), 0.0)
    assert granted(cell.step(0.0)) == ["tight"]


def test_late_request_yields_but_completes() -> None:
    cell = builders.cell()
    cell.submit(builders.ask("hopeless", arrived=-10.0), 0.0)
    cell.submit(builders.ask("hopeful"), 0.0)
    assert granted(cell.step(0.0)) == ["hopeful"]
    cell.ended(builders.end("hopeful"), 0.1)
    assert granted(cell.step(0.1)) == ["hopeless"]


def test_workspaces_share_by_cost() -> None:
    cell = builders.cell()
    for number in range(30):
        cell.submit(builders.ask(f"big{number}", workspace="big"), 0.0)
    for number in range(3):
        cell.submit(builders.ask(f"small{number}", workspace="small"), 0.0)
    order = _drain(cell, 6)
    assert sum(name.startswith("small") for name in order) == 3


def _drain(cell: dispatcher.Dispatcher, count: int) -> list[str]:
    order: list[str] = []
    now = 0.0
    while len(order) < count:
        names = granted(cell.step(now))
        for name in names:
            cell.ended(builders.end(name), now)
        order.extend(names)
        now += 0.01
    return order


def test_lowest_tier_gets_its_share_under_load() -> None:
    settings = dispatcher.DispatchSettings(
        tiers.TierSettings(share=0.1, longest_pause=1000.0)
    )
    cell = builders.cell(settings=settings)
    for number in range(200):
        cell.submit(builders.ask(f"high{number}", tier=1), 0.0)
        cell.submit(builders.ask(f"low{number}", tier=4), 0.0)
    order = _drain(cell, 100)
    low = sum(name.startswith("low") for name in order)
    assert 5 <= low <= 15


def test_waiting_tier_is_due_after_its_longest_pause() -> None:
    settings = dispatcher.DispatchSettings(
        tiers.TierSettings(share=0.0, longest_pause=2.0)
    )
    cell = builders.cell(settings=settings)
    cell.submit(builders.ask("low", tier=4), 0.0)
    for number in range(10):
        cell.submit(builders.ask(f"high{number}", tier=1), 0.0)
    assert granted(cell.step(1.9)) == ["high0"]
    cell.ended(builders.end("high0"), 2.1)
    assert granted(cell.step(2.1)) == ["low"]


def test_shed_request_gets_a_retry_time() -> None:
    cell = builders.cell()
    cell.submit(builders.ask("first"), 0.0)
    cell.step(0.0)
    for number in range(20):
        cell.submit(builders.ask(f"w{number}"), 0.0)
    decisions = cell.submit(builders.ask("late", patience=0.5), 0.0)
    assert [type(d) for d in decisions] == [dispatch_types.Shed]
    assert isinstance(decisions[0], dispatch_types.Shed)
    assert decisions[0].retry_after >= 1.0


def test_late_request_that_cannot_be_granted_in_time_is_shed() -> None:
    cell = builders.cell()
    now = 0.0
    for number in range(40):
        name = f"done{number}"
        cell.submit(builders.ask(name, arrived=now), now)
        cell.step(now)
        now += 0.01
        cell.ended(builders.end(name), now)
    cell.submit(builders.ask("running", arrived=now), now)
    cell.step(now)
    for number in range(60):
        late = builders.ask(f"late{number}", arrived=now - 2, patience=12.0)
        assert cell.submit(late, now) == []
    # The slot is occupied far longer than predicted.
    now += 5.0
    shed = [d.request_id for d in cell.review(now)]
    assert "late59" in shed
    assert "late0" not in shed


def test_request_exempt_from_shedding_is_not_shed() -> None:
    cell = builders.cell()
    for number in range(20):
        cell.submit(builders.ask(f"w{number}"), 0.0)
    late = builders.ask("moved", patience=0.0, exempt_from_shedding=True)
    assert cell.submit(late, 0.0) == []


def test_full_queue_sheds_the_newest_of_the_lowest_tier() -> None:
    settings = dispatcher.DispatchSettings(max_waiting=3, shed_by_delay=False)
    cell = builders.cell(endpoints=0, settings=settings)
    for number in range(3):
        cell.submit(builders.ask(f"low{number}", tier=4), 0.0)
    cell.submit(builders.ask("high0"), 0.0)
    cell.submit(builders.ask("high1"), 0.0)
    shed = cell.submit(builders.ask("high2"), 0.0)
    assert [d.request_id for d in shed] == ["low2"]


def test_limit_of_the_highest_tier_does_not_depend_on_lower_ones() -> None:
    alone = _accepted_high(low=0)
    crowded = _accepted_high(low=5)
    assert alone == crowded


def _accepted_high(low: int) -> int:
    settings = dispatcher.DispatchSettings(max_waiting=5, shed_by_delay=False)
    cell = builders.cell(endpoints=0, settings=settings)
    for number in range(low):
        cell.submit(builders.ask(f"low{number}", tier=4), 0.0)
    for number in range(20):
        cell.submit(builders.ask(f"high{number}"), 0.0)
    return sum(ask.tier == 1 for ask in cell.waiting_requests())


def test_urgent_request_preempts_the_newest_run_of_the_lowest_tier() -> None:
    cell = builders.cell(slots=3)
    for tier, at in ((2, 0.0), (4, 0.0), (4, 0.1)):
        name = f"t{tier}-{at}"
        cell.submit(
            builders.ask(name, tier=tier, preemptible=True, arrived=at), at
        )
        cell.step(at)
    cell.submit(builders.ask("urgent", target=0.3, arrived=0.2), 0.2)
    decisions = cell.step(0.2)
    assert [d.request_id for d in decisions] == ["t4-0.1"]
    assert isinstance(decisions[0], dispatch_types.Preempt)


def test_nothing_is_preempted_for_a_tier_that_is_not_higher() -> None:
    cell = builders.cell()
    cell.submit(builders.ask("running", tier=2, preemptible=True), 0.0)
    cell.step(0.0)
    for tier in (2, 3, 4):
        cell.submit(builders.ask(f"t{tier}", tier=tier, target=0.2), 0.0)
    assert cell.step(0.1) == []


def test_preemptions_of_one_request_are_bounded() -> None:
    cell = builders.cell()
    often = builders.ask("often", tier=4, preemptible=True, preemptions=2)
    cell.submit(often, 0.0)
    cell.step(0.0)
    cell.submit(builders.ask("urgent", target=0.2), 0.0)
    assert cell.step(0.05) == []


def test_run_granted_by_the_share_of_a_tier_is_not_preempted() -> None:
    settings = dispatcher.DispatchSettings(
        tiers.TierSettings(share=0.0, longest_pause=1.0)
    )
    cell = builders.cell(settings=settings)
    low = builders.ask("low", tier=4, preemptible=True, target=9.0)
    cell.submit(low, 0.0)
    cell.submit(builders.ask("high", arrived=0.0, target=9.0), 0.0)
    assert granted(cell.step(0.1)) == ["high"]
    cell.ended(builders.end("high"), 2.0)
    cell.submit(builders.ask("urgent", arrived=2.0, target=0.2), 2.0)
    assert granted(cell.step(2.0)) == ["low"]
    assert cell.step(2.1) == []


def test_leaving_endpoint_gets_no_requests() -> None:
    cell = builders.cell(endpoints=2)
    cell.set_leaving("e1", 0.0)
    for number in range(3):
        cell.submit(builders.ask(f"r{number}"), 0.0)
    decisions = cell.step(0.0)
    assert [
        d.endpoint for d in decisions if isinstance(d, dispatch_types.Grant)
    ] == ["e2"]


def test_failed_endpoint_is_avoided() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    cell.submit(builders.ask("again", avoid=frozenset({"e1"})), 0.0)
    grant = cell.step(0.0)[0]
    assert isinstance(grant, dispatch_types.Grant)
    assert grant.endpoint == "e2"


def test_slow_endpoint_is_ejected_despite_reporting_no_load() -> None:
    cell = builders.cell(endpoints=3, slots=4)
    for number in range(12):
        cell.submit(builders.ask(f"r{number}"), 0.0)
    cell.step(0.0)
    for number in range(1, 30):
        now = number * 0.2
        for name, seconds in (("e2", 0.05), ("e3", 0.05)):
            for run in list(cell.endpoints[name].runs.values()):
                cell.first_token(run.ask.request_id, seconds, now)
        cell.report(dispatch_types.LoadReport("e1", now, 0, 0), now)
        cell.review(now)
    state = cell.endpoints["e1"].health.state
    assert state is endpoint_states.EndpointState.EJECTED


def test_not_all_endpoints_are_ejected_at_once() -> None:
    cell = builders.cell(endpoints=3, slots=1)
    for round_number in range(10):
        for number in range(3):
            name = f"r{round_number}-{number}"
            cell.submit(builders.ask(name), 0.0)
        for decision in cell.step(0.0):
            end = builders.end(
                decision.request_id, dispatch_types.Ending.BROKEN
            )
            cell.ended(end, 0.0)
    states = [e.health.state for e in cell.endpoints.values()]
    assert states.count(endpoint_states.EndpointState.EJECTED) == 1


def test_ejected_endpoint_is_reinstated_by_a_probe() -> None:
    cell = builders.cell(endpoints=2, slots=2)
    cell.mark_unreachable("e1", 0.0)
    assert cell.endpoints["e1"].free(1.0) == 0
    cell.review(4.0)
    for number in range(3):
        cell.submit(builders.ask(f"r{number}", arrived=4.0), 4.0)
    cell.step(4.0)
    trial = next(iter(cell.endpoints["e1"].runs))
    cell.first_token(trial, 0.03, 4.1)
    state = cell.endpoints["e1"].health.state
    assert state is endpoint_states.EndpointState.ROUTING


def test_runs_before_an_ejection_fail_no_trial() -> None:
    # Runs that a short stall delayed kept an endpoint ejected for 60 s.
    cell = builders.cell(endpoints=2, slots=4)
    for number in range(8):
        cell.submit(builders.ask(f"r{number}"), 0.0)
    cell.step(0.0)
    health = cell.endpoints["e1"].health
    health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    for number in range(5, 15):
        cell.review(number * 0.2)
    for run in list(cell.endpoints["e1"].runs.values()):
        cell.first_token(run.ask.request_id, 3.0, 3.0)
        broken = dispatch_types.Ending.BROKEN
        cell.ended(builders.end(run.ask.request_id, broken), 3.0)
    assert health.trial_due(endpoint_states.INITIAL_PROBE_DELAY_S)


def test_overdue_run_fails_one_trial() -> None:
    cell = builders.cell(endpoints=2)
    health = cell.endpoints["e1"].health
    health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    cell.review(2.0)
    for number in range(2):
        cell.submit(builders.ask(f"r{number}", arrived=2.0), 2.0)
    cell.step(2.0)
    assert cell.endpoints["e1"].runs
    for number in range(15, 30):
        cell.review(number * 0.2)
    assert health.ejections == 2


def test_runs_of_a_previous_owner_make_no_endpoint_slow() -> None:
    # Such a run has no prediction, and its first token may have come. Its
    # endpoint was ejected a second after each change of owner.
    cell = builders.cell(endpoints=2, slots=4)
    for number in range(3):
        ask = builders.ask(f"r{number}")
        cell.adopt(dispatch_types.Run(ask, "e1", 0.0))
    for number in range(1, 30):
        cell.review(number * 0.2)
    state = cell.endpoints["e1"].health.state
    assert state is endpoint_states.EndpointState.ROUTING


def test_stall_of_this_process_makes_no_run_overdue() -> None:
    cell = builders.cell(endpoints=2, slots=4)
    for number in range(8):
        cell.submit(builders.ask(f"r{number}"), 0.0)
    cell.step(0.0)
    for run in list(cell.endpoints["e2"].runs.values()):
        cell.first_token(run.ask.request_id, 0.05, 0.05)
    cell.note_stall(3.0)
    health = cell.endpoints["e1"].health
    for now in (3.1, 3.3, 3.5):
        cell.review(now)
    assert health.state is endpoint_states.EndpointState.ROUTING
    # Silence after the stall counts.
    for now in (3.8, 4.0, 4.2):
        cell.review(now)
    assert health.state is endpoint_states.EndpointState.EJECTED


def test_unreachable_endpoint_is_reinstated_by_a_load_report() -> None:
    cell = builders.cell(endpoints=2, slots=2)
    cell.mark_unreachable("e1", 0.0)
    state = cell.endpoints["e1"].health.state
    assert state is endpoint_states.EndpointState.EJECTED
    cell.report(dispatch_types.LoadReport("e1", 0.5, 0, 0), 0.5)
    state = cell.endpoints["e1"].health.state
    assert state is endpoint_states.EndpointState.ROUTING


def test_slow_endpoint_is_not_reinstated_by_a_load_report() -> None:
    cell = builders.cell(endpoints=2, slots=2)
    health = cell.endpoints["e1"].health
    health.move(endpoint_states.EndpointEvent.OUTLIER, 0.0)
    cell.report(dispatch_types.LoadReport("e1", 0.5, 0, 0), 0.5)
    assert health.state is endpoint_states.EndpointState.EJECTED


def test_delayed_report_adds_only_runs_of_other_senders() -> None:
    cell = builders.cell(slots=4)
    cell.submit(builders.ask("ours"), 1.0)
    cell.step(1.0)
    cell.report(dispatch_types.LoadReport("e1", 0.5, 0, 0), 1.1)
    assert cell.endpoints["e1"].busy == 1
    cell.report(dispatch_types.LoadReport("e1", 1.05, 3, 0), 1.2)
    assert cell.endpoints["e1"].busy == 3


def test_adopted_runs_occupy_their_slots() -> None:
    cell = builders.cell()
    cell.adopt(dispatch_types.Run(builders.ask("moved"), "e1", 0.0))
    cell.submit(builders.ask("next"), 0.0)
    assert cell.step(0.0) == []
    cell.ended(builders.end("moved"), 0.1)
    assert granted(cell.step(0.1)) == ["next"]


def test_slots_of_a_failed_entry_are_released() -> None:
    cell = builders.cell()
    cell.submit(builders.ask("gone", entry="box-9"), 0.0)
    cell.step(0.0)
    cell.submit(builders.ask("stays"), 0.0)
    cell.forget_entry("box-9", 0.1)
    assert granted(cell.step(0.1)) == ["stays"]


def test_estimate_of_an_idle_endpoint_decays() -> None:
    cell = builders.cell(endpoints=3, slots=2)
    cell.endpoints["e1"].speed.base_s.add(2.0)
    before = cell.endpoints["e1"].speed.base_s.value
    for number in range(100):
        cell.review(10.0 + number)
    assert cell.endpoints["e1"].speed.base_s.value < before / 4
