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


class Sums(RuleBasedStateMachine):
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

    @rule(box=st.sampled_from(["a", "b", "c"]), told=tables)
    def tell(
        self,
        box: str,
        told: dict[endpoint_loads.LoadKey, endpoint_loads.Load],
    ) -> None:
        self.loads.take_peer(box, told, self.now)
        self.peers[box] = (self.now, told)

    @rule(seconds=st.sampled_from([0.1, 0.7, LIFETIME_S, 5.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def sums_are_those_of_what_counts(self) -> None:
        rows = list(self.own)
        for heard, told in self.peers.values():
            if self.now - heard < LIFETIME_S:
                rows += [(k, v.running, v.unread) for k, v in told.items()]
        assert self.loads.running(self.now) == sum(r for _, r, _ in rows)
        assert self.loads.waiting(self.now) == sum(u for _, _, u in rows)
        assert self.loads.ahead(0, self.now) == sum(
            u for k, _, u in rows if k.urgency == 0
        )
        assert self.loads.short_running(self.now) == sum(
            r for k, r, _ in rows if not k.is_long
        )


def test_boxes_that_are_not_heard_are_taken_to_have_as_much() -> None:
    loads = endpoint_loads.EndpointLoads()
    loads.add(KEYS[0], 2, 900)
    loads.scale = 2.5
    assert (loads.running(0.0), loads.waiting(0.0)) == (5, 2250)
    assert loads.own_running == 2


TestSums = Sums.TestCase
