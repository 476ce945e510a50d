"""Tests of the running totals of an endpoint's load."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from martenjunction.decisions.boxes import endpoint_loads

KEYS = [
    endpoint_loads.LoadKey(urgency, is_long)
    for urgency in (0, 3)
    for is_long in (False, True)
]
LIFETIME_S = endpoint_loads.PEER_LOAD_LIFETIME_S

tables = st.dictionaries(
    st.sampled_from(KEYS),
    st.builds(endpoint_loads.Load, st.integers(0, 9), st.integers(0, 9000)),
)


class Totals(RuleBasedStateMachine):
    """Compares the totals with ones recomputed from all reports."""

    def __init__(self) -> None:
        super().__init__()
        self.loads = endpoint_loads.EndpointLoads()
        self.now = 100.0
        self.own: list[tuple[endpoint_loads.LoadKey, int, int]] = []
        self.peers: dict[
            str,
            tuple[float, dict[endpoint_loads.LoadKey, endpoint_loads.Load]],
        ] = {}

    @rule(
        key=st.sampled_from(KEYS),
        running=st.integers(0, 3),
        unread=st.integers(0, 9000),
    )
    def begin(
        self, key: endpoint_loads.LoadKey, running: int, unread: int
    ) -> None:
        self.loads.add(key, running, unread)
        self.own.append((key, running, unread))

    @rule(box=st.sampled_from(["a", "b", "c"]), reported=tables)
    def report(
        self,
        box: str,
        reported: dict[endpoint_loads.LoadKey, endpoint_loads.Load],
    ) -> None:
        self.loads.update_peer(box, reported, self.now)
        self.peers[box] = (self.now, reported)

    @rule(seconds=st.sampled_from([0.1, 0.7, LIFETIME_S, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def totals_match_current_reports(self) -> None:
        rows = list(self.own)
        for reported_at, reported in self.peers.values():
            if self.now - reported_at < LIFETIME_S:
                rows += [
                    (k, v.running, v.backlog_tokens)
                    for k, v in reported.items()
                ]
        assert self.loads.running(self.now) == sum(r for _, r, _ in rows)
        assert self.loads.backlog_tokens(self.now) == sum(u for _, _, u in rows)
        assert self.loads.tokens_ahead(0, self.now) == sum(
            u for k, _, u in rows if k.urgency == 0
        )
        assert self.loads.short_running(self.now) == sum(
            r for k, r, _ in rows if not k.is_long
        )


def test_silent_boxes_are_extrapolated() -> None:
    loads = endpoint_loads.EndpointLoads()
    loads.add(KEYS[0], 2, 900)
    loads.scale = 2.5
    assert (loads.running(0.0), loads.backlog_tokens(0.0)) == (5, 2250)
    assert loads.own_running == 2


TestTotals = Totals.TestCase
