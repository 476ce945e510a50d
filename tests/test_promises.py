"""Property-based tests of a dispatcher with random sequences of events."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.decisions.cells import tiers
from tests import builders

SETTINGS = dispatcher.DispatchSettings(
    tiers.TierSettings(longest_pause=2.0), max_waiting=12
)
NAMES = [f"e{number}" for number in range(1, 4)]
ENDINGS = [
    dispatch_types.Ending.COMPLETE,
    dispatch_types.Ending.BROKEN,
    dispatch_types.Ending.CANCELLED,
    dispatch_types.Ending.NOT_REACHED,
]


class CellMachine(stateful.RuleBasedStateMachine):
    """Checks the dispatcher's invariants after every step."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.cell = builders.cell(3, 2, SETTINGS)
        self.waiting: dict[str, dispatch_types.SlotRequest] = {}
        self.running: dict[str, dispatch_types.Grant] = {}
        self.asks: dict[str, dispatch_types.SlotRequest] = {}
        self.leaving: set[str] = set()
        self.count = 0

    @stateful.rule(
        tier=st.integers(1, 4),
        workspace=st.sampled_from(["a", "b"]),
        patience=st.sampled_from([0.5, 100.0]),
        preemptible=st.booleans(),
    )
    def submit(
        self, tier: int, workspace: str, patience: float, preemptible: bool
    ) -> None:
        self.count += 1
        ask = builders.ask(
            f"r{self.count}",
            tier=tier,
            workspace=workspace,
            patience=patience,
            preemptible=preemptible,
            arrived=self.now,
            target=0.3 * tier,
        )
        self.asks[ask.request_id] = ask
        self.waiting[ask.request_id] = ask
        self.take(self.cell.submit(ask, self.now))

    @stateful.rule(pause=st.sampled_from([0.01, 0.3, 2.5]))
    def step(self, pause: float) -> None:
        self.now += pause
        self.take(self.cell.step(self.now))
        self.take(self.cell.review(self.now))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), ending=st.sampled_from(ENDINGS))
    def end(self, data: st.DataObject, ending: dispatch_types.Ending) -> None:
        name = data.draw(st.sampled_from(sorted(self.running)))
        self.cell.first_token(name, 0.05, self.now)
        self.cell.ended(builders.end(name, ending), self.now)
        del self.running[name]

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.cell.withdraw(name)
        del self.waiting[name]

    @stateful.rule(name=st.sampled_from(NAMES), leaving=st.booleans())
    def list_endpoint(self, name: str, leaving: bool) -> None:
        if leaving:
            self.cell.set_leaving(name, self.now)
            self.leaving.add(name)
        else:
            self.cell.set_endpoint(name, 2, self.now)
            self.leaving.discard(name)

    @stateful.rule(
        name=st.sampled_from(NAMES),
        lag=st.sampled_from([0.0, 1.0, 5.0]),
        running=st.integers(0, 4),
    )
    def report(self, name: str, lag: float, running: int) -> None:
        measured = self.now - lag
        report = dispatch_types.LoadReport(name, measured, running, 0)
        self.cell.report(report, self.now)

    @stateful.rule()
    def change_owner(self) -> None:
        """A new owner rebuilds the cell from the entries' announcements."""
        self.cell = builders.cell(3, 2, SETTINGS)
        for name in self.leaving:
            self.cell.set_leaving(name, self.now)
        for name, grant in self.running.items():
            run = dispatch_types.Run(self.asks[name], grant.endpoint, self.now)
            self.cell.adopt(run)
        for ask in self.waiting.values():
            self.cell.submit(_firm(ask), self.now)

    def take(self, decisions: list[dispatch_types.Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, dispatch_types.Grant):
                self.on_grant(decision)
            elif isinstance(decision, dispatch_types.Shed):
                self.on_shed(decision)
            else:
                self.on_preempt(decision)

    def on_grant(self, grant: dispatch_types.Grant) -> None:
        assert grant.request_id in self.waiting, "granted twice or not waiting"
        assert grant.endpoint not in self.leaving, (
            "granted at a leaving endpoint"
        )
        del self.waiting[grant.request_id]
        self.running[grant.request_id] = grant

    def on_shed(self, shed: dispatch_types.Shed) -> None:
        assert shed.request_id in self.waiting, (
            "shed a request that is not waiting"
        )
        tier = self.asks[shed.request_id].tier
        del self.waiting[shed.request_id]
        if shed.reason is dispatch_types.ShedReason.QUEUE_FULL:
            by_tier = [ask.tier for ask in self.waiting.values()]
            lower = [t for t in by_tier if t > tier]
            # Only the oldest request of each lower tier may remain.
            assert len(lower) == len(set(lower)), (
                "shed in favor of a lower tier"
            )

    def on_preempt(self, preempt: dispatch_types.Preempt) -> None:
        victim = self.asks[preempt.request_id]
        assert preempt.request_id in self.running
        assert victim.tier > preempt.for_tier, (
            "preempted in favor of a lower tier"
        )
        assert victim.preemptible

    @stateful.invariant()
    def all_requests_are_accounted_for(self) -> None:
        present = {ask.request_id for ask in self.cell.waiting_requests()}
        assert present == set(self.waiting)
        assert self.cell.running == len(self.running)

    @stateful.invariant()
    def slots_are_consistent(self) -> None:
        for endpoint in self.cell.endpoints.values():
            held = sum(
                grant.endpoint == endpoint.name
                for grant in self.running.values()
            )
            assert held == len(endpoint.runs)

    @stateful.invariant()
    def some_endpoint_remains(self) -> None:
        ejected = [
            e
            for e in self.cell.endpoints.values()
            if e.health.state is endpoint_states.EndpointState.EJECTED
        ]
        assert len(ejected) < len(self.cell.endpoints)

    def teardown(self) -> None:
        """Checks that all requests end once all endpoints are healthy."""
        for name in NAMES:
            self.cell.set_endpoint(name, 2, self.now)
            report = dispatch_types.LoadReport(name, self.now, 0, 0)
            self.cell.report(report, self.now)
        self.leaving.clear()
        for _ in range(400):
            if not self.waiting and not self.running:
                return
            self.now += 0.5
            for name in NAMES:
                report = dispatch_types.LoadReport(name, self.now, 0, 0)
                self.cell.report(report, self.now)
            for name in list(self.running):
                self.cell.first_token(name, 0.05, self.now)
                self.cell.ended(builders.end(name), self.now)
                del self.running[name]
            self.take(self.cell.step(self.now))
            self.take(self.cell.review(self.now))
        raise AssertionError(f"{len(self.waiting)} requests never ended")


def _firm(ask: dispatch_types.SlotRequest) -> dispatch_types.SlotRequest:
    return builders.ask(
        ask.request_id,
        tier=ask.tier,
        workspace=ask.workspace,
        patience=ask.patience,
        preemptible=ask.preemptible,
        arrived=ask.arrived,
        target=ask.target,
        exempt_from_shedding=True,
    )


TestCell = CellMachine.TestCase
TestCell.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
