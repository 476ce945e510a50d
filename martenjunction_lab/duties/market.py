"""Engines that are ordered, boot and are taken away, in simulated time.

Compares policies of ordering under the same seeded loads: what the engines
cost, and how much of what is asked waits for too long. Prompts are a fluid that
the engines of a service share.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import math
import random

from martenjunction import model
from martenjunction import registry
from martenjunction.decisions.duties import engine_orders

STEP_S = 0.1

# Prompt tokens per second that an engine prefills, and requests in its batch.
ENGINE_RATE = 45_000.0
SLOTS = 64

# Seconds of waiting beyond which what is asked counts as late, and those after
# which it is not asked any more.
LATE_S = 0.8
GIVEN_UP_S = 4.0

# Seconds from the word that engines leave until they are gone.
NOTICE_S = (2.0, 2.9)

ZONES = {"zone-a": 0.85, "zone-b": 1.2, "zone-c": 1.0}
TERMS = model.Scaling(1, 20, 4.0, 0.15, ZONES)

# Seconds before the first requests in which engines are paid for.
LEAD_S = 16.0

# Time constant in seconds of the rate at which prompt tokens are asked.
RATE_DECAY_S = 3.0

# Requests in flight for each engine that is busy, and for each second of an
# engine that waits.
RUNS_PER_ENGINE = 2
RUNS_PER_ENGINE_S = 20

NEGLIGIBLE = 1e-9

# Engines that stand at the start in each zone, all regular.
STANDING = 10

Subject = engine_orders.Subject


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """The loss of all reclaimable engines of a zone.

    Attributes:
        at_s: When the platform says that they leave.
        zone: The availability zone.
        gone_s: Seconds for which none are to be had there afterwards.
        everywhere: Whether none are to be had in other zones either.
    """

    at_s: float
    zone: str
    gone_s: float
    everywhere: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What is asked, and what is taken away.

    Attributes:
        asked: Returns the engines that are fully busy with what is asked at a
            time, in seconds.
        length_s: How long it lasts.
        losses: What is taken away.
    """

    asked: Callable[[float], float]
    length_s: float
    losses: tuple[Loss, ...] = ()


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a policy came to.

    Attributes:
        cost: Seconds of engines, weighed by price.
        asked: Seconds of engines that were asked for.
        late: Those that waited for too long or were given up.
        orders: Number of orders.
    """

    cost: float = 0.0
    asked: float = 0.0
    late: float = 0.0
    orders: int = 0

    @property
    def late_part(self) -> float:
        """The part of what was asked that was late."""
        return self.late / self.asked if self.asked else 0.0


class Policy:
    """Decides on orders; this one gives none."""

    def plan(
        self,
        ready: Mapping[Subject, int],
        demand: engine_orders.Demand,
        now: float,
    ) -> dict[Subject, int]:
        """Returns orders.

        Args:
            ready: Engines that are ready and not leaving.
            demand: What is asked of them.
            now: The current time.
        """
        return {}

    def refused(self, subject: Subject, now: float) -> None:
        """Hears that no more engines of a subject are available."""


policies: registry.Registry[Callable[[Load], Policy]] = registry.Registry(
    "policy"
)


@policies.register("none")
def _none(load: Load) -> Policy:
    return Policy()


@policies.register("utilisation")
class Utilisation(Policy):
    """Regular engines by the measured demand, as horizontal autoscalers do.

    The highest need within a stabilisation window holds.
    """

    TARGET = 0.6
    WINDOW_S = 60.0

    def __init__(self, load: Load) -> None:
        """Initializes the policy; the load is not looked at."""
        self._needs: list[tuple[float, int]] = [(0.0, 3 * STANDING)]
        self._ordered = 3 * STANDING

    def plan(
        self,
        ready: Mapping[Subject, int],
        demand: engine_orders.Demand,
        now: float,
    ) -> dict[Subject, int]:
        """Returns orders; see `Policy`."""
        busy = demand.prefill_per_s / demand.engine_rate
        self._needs.append((now, math.ceil(busy / self.TARGET)))
        self._needs = [n for n in self._needs if now - n[0] <= self.WINDOW_S]
        need = max(1, max(count for _, count in self._needs))
        if need == self._ordered:
            return {}
        self._ordered = need
        orders = {}
        for zone in sorted(ZONES, key=lambda zone: ZONES[zone]):
            orders[Subject(zone, False)] = min(TERMS.most, need)
            need -= orders[Subject(zone, False)]
        return orders


@policies.register("insured")
class Insured(Policy):
    """The policy of the daemons."""

    def __init__(self, load: Load) -> None:
        """Initializes the policy; the load is not looked at."""
        self._planner = engine_orders.OrderPlanner({}, 0.0)

    def plan(
        self,
        ready: Mapping[Subject, int],
        demand: engine_orders.Demand,
        now: float,
    ) -> dict[Subject, int]:
        """Returns orders; see `Policy`."""
        orders = self._planner.plan(TERMS, ready, demand, now)
        for subject, count in orders.items():
            self._planner.note_ordered(subject, count, now)
        return orders

    def refused(self, subject: Subject, now: float) -> None:
        """Hears that no more engines of a subject are available."""
        self._planner.note_unavailable(subject, now)


@policies.register("clairvoyant")
class Clairvoyant(Policy):
    """Knows the load and each loss, and orders just in time.

    It takes reclaimable engines in zones that stay for long enough, and regular
    ones where there is no such zone.
    """

    def __init__(self, load: Load) -> None:
        """Initializes the policy with what will be asked."""
        self._load = load

    def plan(
        self,
        ready: Mapping[Subject, int],
        demand: engine_orders.Demand,
        now: float,
    ) -> dict[Subject, int]:
        """Returns orders; see `Policy`."""
        ahead_s = TERMS.boot_s + 1.0
        steps = [now + ahead_s * part / 10 for part in range(11)]
        need = math.ceil(1.1 * max(self._load.asked(t) for t in steps))
        orders = {}
        for zone in sorted(ZONES, key=lambda zone: ZONES[zone]):
            stays = not any(
                loss.at_s - ahead_s <= now < loss.at_s + loss.gone_s
                for loss in self._load.losses
                if loss.zone == zone or loss.everywhere
            )
            count = min(TERMS.most, need) if stays else 0
            orders[Subject(zone, True)] = count
            need -= count
        for zone in sorted(ZONES, key=lambda zone: ZONES[zone]):
            room = TERMS.most - orders[Subject(zone, True)]
            orders[Subject(zone, False)] = count = min(room, need)
            need -= count
        return orders


class _Market:
    """The engines of one subject.

    Attributes:
        desired: The number that was ordered.
        engines: When each of them is ready, and when it is gone.
    """

    def __init__(self, standing: int) -> None:
        self.desired = standing
        self.engines: list[list[float]] = [
            [0.0, math.inf] for _ in range(standing)
        ]

    def order(self, count: int, now: float, boot_s: float) -> None:
        staying = [e for e in self.engines if e[1] == math.inf]
        for engine in staying[count:]:
            engine[1] = now + 1.0
        for _ in range(count - len(staying)):
            self.engines.append([now + boot_s, math.inf])
        self.desired = count

    def take_away(self, gone_at: float) -> None:
        for engine in self.engines:
            engine[1] = min(engine[1], gone_at)

    def ready(self, now: float) -> int:
        return sum(e[0] <= now and e[1] == math.inf for e in self.engines)

    def serving(self, now: float) -> int:
        return sum(e[0] <= now < e[1] for e in self.engines)

    def paid(self, now: float) -> int:
        return sum(now < e[1] for e in self.engines)


def play(load: Load, name: str, seed: int = 1) -> Outcome:
    """Plays a load under a policy.

    Args:
        load: The load.
        name: The policy.
        seed: Decides how long a notice is.
    """
    return _Play(load, policies.get(name)(load), random.Random(seed)).run()


class _Play:
    """One load under one policy."""

    def __init__(self, load: Load, policy: Policy, rng: random.Random) -> None:
        self._load = load
        self._policy = policy
        self._rng = rng
        self._losses = sorted(load.losses, key=lambda loss: loss.at_s)
        self._markets = {
            Subject(zone, kind): _Market(0 if kind else STANDING)
            for zone in ZONES
            for kind in (False, True)
        }
        # What waits, since when, the oldest first.
        self._waiting: list[list[float]] = []
        self._asked_rate = 0.0
        self._outcome = Outcome()

    def run(self) -> Outcome:
        now = -LEAD_S
        while now < self._load.length_s:
            asked = self._load.asked(now) if now >= 0 else 0.0
            self._take_away(now)
            self._order(asked, now)
            self._serve(asked, now)
            self._pay(now)
            now += STEP_S
        return self._outcome

    def _take_away(self, now: float) -> None:
        while self._losses and self._losses[0].at_s <= now:
            lost = self._losses.pop(0)
            gone_at = now + self._rng.uniform(*NOTICE_S)
            self._markets[Subject(lost.zone, True)].take_away(gone_at)

    def _order(self, asked: float, now: float) -> None:
        self._asked_rate += (asked - self._asked_rate) * STEP_S / RATE_DECAY_S
        waiting = sum(amount for _, amount in self._waiting)
        demand = engine_orders.Demand(
            self._asked_rate * ENGINE_RATE,
            ENGINE_RATE,
            round(RUNS_PER_ENGINE_S * waiting + RUNS_PER_ENGINE * asked),
            SLOTS,
        )
        ready = {s: m.ready(now) for s, m in self._markets.items()}
        orders = self._policy.plan(ready, demand, now)
        for subject, count in orders.items():
            self._carry_out(subject, count, now)

    def _carry_out(self, subject: Subject, count: int, now: float) -> None:
        market = self._markets[subject]
        if count == market.desired == market.ready(now):
            return
        self._outcome.orders += 1
        if count > market.ready(now) and self._is_dry(subject, now):
            self._policy.refused(subject, now)
        else:
            market.order(count, now, TERMS.boot_s)

    def _is_dry(self, subject: Subject, now: float) -> bool:
        return subject.reclaimable and any(
            loss.at_s <= now < loss.at_s + loss.gone_s
            for loss in self._load.losses
            if loss.everywhere or loss.zone == subject.zone
        )

    def _serve(self, asked: float, now: float) -> None:
        """Lets the engines work for a step, and counts what is late."""
        if asked:
            self._waiting.append([now, asked * STEP_S])
            self._outcome.asked += asked * STEP_S
        capacity = STEP_S * sum(m.serving(now) for m in self._markets.values())
        while self._waiting:
            since, amount = self._waiting[0]
            if now - since > GIVEN_UP_S:
                self._outcome.late += amount
                self._waiting.pop(0)
                continue
            done = min(amount, capacity)
            if done <= 0:
                return
            capacity -= done
            if now - since > LATE_S:
                self._outcome.late += done
            self._waiting[0][1] -= done
            if self._waiting[0][1] <= NEGLIGIBLE:
                self._waiting.pop(0)

    def _pay(self, now: float) -> None:
        for subject, market in self._markets.items():
            price = ZONES[subject.zone]
            if subject.reclaimable:
                price *= TERMS.reclaimable_price or 1.0
            self._outcome.cost += STEP_S * market.paid(now) * price
