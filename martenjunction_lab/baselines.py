"""What operators would otherwise use, at the same places as the dispatcher."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import random

from martenjunction import registry
from martenjunction.decisions import endpoint_states
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher
from martenjunction.decisions.cells import outliers
from martenjunction.decisions.cells import placement
from martenjunction.decisions.cells import tiers

MakeDispatcher = Callable[[], dispatcher.Dispatcher]

policies: registry.Registry[MakeDispatcher] = registry.Registry("policy")

SEED = 11


@policies.register("martenjunction")
def make_martenjunction() -> dispatcher.Dispatcher:
    """Makes the project's own dispatcher, as daemons use it."""
    return dispatcher.Dispatcher(
        dispatcher.DispatchSettings(), random.Random(SEED)
    )


class _NoOutliers(outliers.Outliers):
    def evaluate(self, endpoint: placement.Endpoint, now: float) -> None:
        """Finds no endpoint at fault."""


class Baseline(dispatcher.Dispatcher):
    """Late binding in order of arrival, with no tiers and no shedding."""

    def __init__(self) -> None:
        super().__init__(
            dispatcher.DispatchSettings(shed_by_delay=False, preempt=False),
            random.Random(SEED),
        )
        self._outliers = _NoOutliers(self._cell)
        self._line: collections.OrderedDict[str, dispatch_types.SlotRequest] = (
            collections.OrderedDict()
        )

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._line)

    def waiting_requests(self) -> Iterator[dispatch_types.SlotRequest]:
        """Yields the waiting requests in their order."""
        yield from self._line.values()

    def submit(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> list[dispatch_types.Decision]:
        """Puts a request at the end of the line."""
        if self.run(ask.request_id) is None:
            self._line[ask.request_id] = ask
        return []

    def withdraw(self, request_id: str) -> bool:
        """Forgets a waiting request."""
        return self._line.pop(request_id, None) is not None

    def review(self, now: float) -> list[dispatch_types.Decision]:
        """Sheds nothing and ejects nothing."""
        return []

    def step(self, now: float) -> list[dispatch_types.Decision]:
        """Grants in the order of the line."""
        decisions: list[dispatch_types.Decision] = []
        for ask in self._in_order():
            endpoint = self._choose(ask, now)
            if endpoint is None:
                break
            del self._line[ask.request_id]
            decisions.append(self._granting.grant(ask, endpoint, 0.0, now))
        return decisions

    def _in_order(self) -> list[dispatch_types.SlotRequest]:
        return list(self._line.values())

    def _usable(self) -> list[placement.Endpoint]:
        gone = endpoint_states.EndpointState.DRAINING
        return [
            e for e in self.endpoints.values() if e.health.state is not gone
        ]

    def _choose(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> placement.Endpoint | None:
        raise NotImplementedError


@policies.register("round-robin-fifo")
class RoundRobin(Baseline):
    """Endpoints in turn, whatever their load; they queue by themselves."""

    def __init__(self) -> None:
        """Begins with the first endpoint."""
        super().__init__()
        self._turn = 0

    def _choose(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> placement.Endpoint | None:
        usable = self._usable()
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]


@policies.register("least-load")
class LeastLoad(Baseline):
    """The less loaded of two endpoints drawn at random; no tiers."""

    def _choose(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> placement.Endpoint | None:
        usable = self._usable()
        if not usable:
            return None
        drawn = self._rng.choices(usable, k=2)
        return min(drawn, key=lambda e: e.busy / e.slots)


@policies.register("strict-priority")
class StrictPriority(Baseline):
    """The highest tier first, in order of arrival; no share for others."""

    def _in_order(self) -> list[dispatch_types.SlotRequest]:
        return sorted(self._line.values(), key=lambda ask: ask.tier)

    def _choose(
        self, ask: dispatch_types.SlotRequest, now: float
    ) -> placement.Endpoint | None:
        free = [e for e in self._usable() if len(e.runs) < e.slots]
        return min(free, key=lambda e: e.busy / e.slots, default=None)


@policies.register("no-preemption")
def make_without_preemption() -> dispatcher.Dispatcher:
    """Makes the project's dispatcher without preemption, to weigh it."""
    return dispatcher.Dispatcher(
        dispatcher.DispatchSettings(preempt=False), random.Random(SEED)
    )


@policies.register("no-share")
def make_without_share() -> dispatcher.Dispatcher:
    """Makes the project's dispatcher with strict tiers, to weigh the share."""
    sharing = tiers.TierSettings(share=0.0, longest_pause=1e9)
    return dispatcher.Dispatcher(
        dispatcher.DispatchSettings(sharing), random.Random(SEED)
    )


# The four that every comparison shows.
USUAL = ("martenjunction", "round-robin-fifo", "least-load", "strict-priority")

# Those that send without asking whether a place is free.
QUEUE_AT_ENGINES = frozenset({"round-robin-fifo", "least-load"})
