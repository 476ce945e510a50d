"""How many engines of which kind are ordered in each availability zone.

Answers the load pattern of engines that are paid by the second, where some
kinds cost a fraction of others but may be taken away, a whole zone of them at a
time and at shorter notice than a new engine needs to start:

- The need follows the demand at its recent peak, refused requests included. It
  rises at once, and falls only when the peak has passed for some minutes: an
  engine that is let go loses its cache.
- Reclaimable engines are spread so that those that remain after the loss of any
  one zone meet the need, and after that of any two zones a part of it.
- What is taken away is ordered again, and regular engines fill what is missing
  meanwhile, as soon as the first word of it comes.
- A holder that has just begun takes what stands for the need.

Orders state numbers, so that one that is repeated changes nothing.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math

from martenjunction import model

# Fraction of the engines' prefill rate that the demand may take at its peak,
# and the same for the slots.
TARGET_PREFILL_FRACTION = 0.6
TARGET_SLOT_FRACTION = 0.5

# Part of the need that reclaimable engines meet after the loss of two zones.
TWO_ZONES_FRACTION = 2 / 3

# Length in seconds of the intervals whose peaks are kept, and their number.
PEAK_INTERVAL_S = 60.0
PEAK_INTERVALS = 5

# Seconds in which engines that stood before are still being listed.
STANDING_S = 10.0

# Minimum seconds between two orders of one kind in one zone.
ORDER_INTERVAL_S = 2.0

# Seconds for which a zone whose engines are not available is not asked again.
UNAVAILABLE_S = 2.0

# Seconds by which ordered engines may be late, before the order is repeated.
BOOT_MARGIN_S = 4.0

# Seconds for which regular engines must have been dispensable before they are
# let go, and lacking before some are ordered.
RELEASE_AFTER_S = 1.5
LACKING_AFTER_S = 0.2

# Seconds over which the highest demand counts when regular engines are let go
# to make room for others.
RECENT_S = 10.0

# Fraction below the ordered number at which a lower one is ordered.
SHRINK_FRACTION = 0.75


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class Subject:
    """What an order is about.

    Attributes:
        zone: The availability zone.
        reclaimable: Whether the engines may be taken away.
    """

    zone: str
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What is asked of a service's engines.

    Attributes:
        prefill_per_s: Prompt tokens per second, refused requests included.
        engine_rate: Prompt tokens per second that an engine prefills.
        running: Requests in flight.
        slots: Requests that an engine runs concurrently.
    """

    prefill_per_s: float
    engine_rate: float
    running: int
    slots: int

    @property
    def engines(self) -> float:
        """The engines that are needed for it."""
        by_prefill = self.prefill_per_s / (
            TARGET_PREFILL_FRACTION * self.engine_rate
        )
        by_slots = self.running / (TARGET_SLOT_FRACTION * max(1, self.slots))
        return max(by_prefill, by_slots)


@dataclasses.dataclass(slots=True)
class _Ordered:
    """The last order of a subject.

    Attributes:
        count: The number of engines.
        at: When it was made.
        max_ready: The most engines that were ready since then.
    """

    count: int
    at: float
    max_ready: int = 0


class OrderPlanner:
    """Plans the orders of the engines of one service."""

    def __init__(self, orders: Mapping[Subject, int], now: float) -> None:
        """Initializes the planner of a holder that has just begun.

        Args:
            orders: The last orders, as recorded by former holders.
            now: The current time.
        """
        self._ordered = {
            subject: _Ordered(count, now) for subject, count in orders.items()
        }
        self._inherited = sum(
            count for subject, count in orders.items() if subject.reclaimable
        )
        self._began_at = now
        self._standing: int | None = None
        self._peaks: collections.deque[float] = collections.deque(
            [0.0], maxlen=PEAK_INTERVALS
        )
        self._interval_began_at = now
        self._intervals = 0
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._unavailable: dict[Subject, float] = {}
        self._dispensable_since: float | None = None
        self._lacking_since: float | None = None
        self._need = 0

    @property
    def need(self) -> int:
        """The number of engines that are needed, as of the last plan."""
        return self._need

    def note_unavailable(self, subject: Subject, now: float) -> None:
        """Records that no more engines of a subject are available."""
        self._unavailable[subject] = now + UNAVAILABLE_S
        ordered = self._ordered.get(subject)
        if ordered is not None:
            # None of them is on the way; they are ordered again later.
            ordered.max_ready = ordered.count

    def plan(
        self,
        terms: model.Scaling,
        ready: Mapping[Subject, int],
        demand: Demand,
        now: float,
    ) -> dict[Subject, int]:
        """Returns the orders that differ from the last ones.

        Args:
            terms: The terms of the service.
            ready: Engines that are ready and not leaving.
            demand: What is asked of them.
            now: The current time.
        """
        if not any(ready.values()) and self._standing is None:
            # Nothing is known of the engines yet.
            return {}
        if now - self._began_at < STANDING_S or self._standing is None:
            self._standing = max(
                self._standing or 0, self._count_standing(terms, ready)
            )
        for subject, ordered in self._ordered.items():
            ordered.max_ready = max(ordered.max_ready, ready.get(subject, 0))
        self._need = self._needed(terms, demand, now)
        wanted = self._wanted(terms, ready, now)
        return {
            subject: count
            for subject, count in sorted(wanted.items())
            if self._is_due(subject, count, ready, terms, now)
        }

    def note_ordered(self, subject: Subject, count: int, now: float) -> None:
        """Records an order that is about to be sent."""
        self._ordered[subject] = _Ordered(count, now)

    def _count_standing(
        self, terms: model.Scaling, ready: Mapping[Subject, int]
    ) -> int:
        """Returns the need that what stands was meant for."""
        zones = len(terms.zone_prices)
        if self._inherited and zones > 1:
            each = self._inherited / zones
            return math.floor(each / _zone_share(zones))
        return sum(n for s, n in ready.items() if not s.reclaimable)

    def _needed(self, terms: model.Scaling, demand: Demand, now: float) -> int:
        if now - self._interval_began_at >= PEAK_INTERVAL_S:
            self._interval_began_at = now
            self._intervals += 1
            self._peaks.append(0.0)
        self._peaks[-1] = max(self._peaks[-1], demand.engines)
        self._recent.append((now, demand.engines))
        while now - self._recent[0][0] > RECENT_S:
            self._recent.popleft()
        peak = math.ceil(max(self._peaks))
        if self._intervals < PEAK_INTERVALS:
            peak = max(peak, self._standing or 0)
        zones = len(terms.zone_prices)
        return max(1, min(peak, terms.most * zones))

    def _wanted(
        self,
        terms: model.Scaling,
        ready: Mapping[Subject, int],
        now: float,
    ) -> dict[Subject, int]:
        wanted = self._wanted_reclaimable(terms, ready, now)
        present = sum(n for s, n in ready.items() if s.reclaimable)
        booting = self._booting(True, terms, now)
        wanted.update(
            self._wanted_regular(terms, ready, wanted, present, booting, now)
        )
        return wanted

    def _wanted_reclaimable(
        self, terms: model.Scaling, ready: Mapping[Subject, int], now: float
    ) -> dict[Subject, int]:
        """Returns how many reclaimable engines are wanted in each zone."""
        zones = sorted(terms.zone_prices)
        if terms.reclaimable_price is None or len(zones) < 2:
            return {}
        subjects = [Subject(zone, True) for zone in zones]
        available = [s for s in subjects if not self._is_unavailable(s, now)]
        each = math.ceil(self._need * _zone_share(len(available)))
        each = max(terms.least, each)
        return {
            s: min(each, max(0, terms.most - self._regular(s.zone, ready)))
            for s in available
        }

    def _wanted_regular(
        self,
        terms: model.Scaling,
        ready: Mapping[Subject, int],
        reclaimable: Mapping[Subject, int],
        present: int,
        booting: int,
        now: float,
    ) -> dict[Subject, int]:
        """Returns how many regular engines are wanted in each zone.

        Args:
            terms: The terms of the service.
            ready: Engines that are ready.
            reclaimable: Reclaimable engines that are wanted.
            present: Reclaimable engines that are ready.
            booting: Reclaimable engines that were ordered lately.
            now: The current time.
        """
        zones = sorted(terms.zone_prices, key=lambda z: terms.zone_prices[z])
        standing = {z: self._regular(z, ready) for z in zones}
        missing = self._need - present
        total = sum(standing.values())
        if missing <= 0:
            self._lacking_since = None
            if self._dispensable_since is None:
                self._dispensable_since = now
            if now - self._dispensable_since < RELEASE_AFTER_S:
                return {}
            return {Subject(zone, False): 0 for zone in zones}
        self._dispensable_since = None
        if total + booting >= missing:
            # Those on the way will do; none is let go before they serve.
            self._lacking_since = None
            # Little gets through to be measured while engines boot.
            if booting or self._booting(False, terms, now):
                return {}
            return self._make_room(zones, ready, present, now)
        if self._lacking_since is None:
            self._lacking_since = now
        if now - self._lacking_since < LACKING_AFTER_S:
            return {}
        wanted = {}
        for zone in zones:
            if self._is_unavailable(Subject(zone, False), now):
                continue
            room = terms.most - self._occupied(zone, reclaimable, ready)
            more = min(max(0, room - standing[zone]), missing - total)
            if more > 0:
                wanted[Subject(zone, False)] = standing[zone] + more
                total += more
        return wanted

    def _make_room(
        self,
        zones: list[str],
        ready: Mapping[Subject, int],
        present: int,
        now: float,
    ) -> dict[Subject, int]:
        """Returns orders that make room for reclaimable engines.

        Only what the recent demand did not need is let go, and a single engine
        as long as it is not known whether others are to be had.
        """
        standing = {zone: self._regular(zone, ready) for zone in zones}
        serving = sum(ready.get(Subject(zone, False), 0) for zone in zones)
        recent = max(engines for _, engines in self._recent)
        spare = present + serving - math.ceil(recent)
        wanted = {}
        for zone in reversed(zones):
            subject = Subject(zone, True)
            if subject not in self._ordered or spare <= 0:
                continue
            if self._is_unavailable(subject, now):
                continue
            is_available = ready.get(subject, 0) > 0
            fewer = min(standing[zone], spare if is_available else 1)
            if fewer > 0:
                wanted[Subject(zone, False)] = standing[zone] - fewer
                spare -= fewer
        return wanted

    def _booting(
        self, reclaimable: bool, terms: model.Scaling, now: float
    ) -> int:
        """Returns the engines of a kind that were ordered lately and boot."""
        return sum(
            max(0, ordered.count - ordered.max_ready)
            for subject, ordered in self._ordered.items()
            if subject.reclaimable is reclaimable
            and now - ordered.at < terms.boot_s + BOOT_MARGIN_S
        )

    def _regular(self, zone: str, ready: Mapping[Subject, int]) -> int:
        subject = Subject(zone, False)
        ordered = self._ordered.get(subject)
        return ready.get(subject, 0) if ordered is None else ordered.count

    def _occupied(
        self,
        zone: str,
        reclaimable: Mapping[Subject, int],
        ready: Mapping[Subject, int],
    ) -> int:
        """Returns the reclaimable engines that a zone has or soon gets."""
        subject = Subject(zone, True)
        ordered = self._ordered.get(subject)
        present = ready.get(subject, 0)
        if ordered is not None and present < ordered.max_ready:
            # They were taken away, and may not be available again soon.
            return present
        return reclaimable.get(subject, present)

    def _is_unavailable(self, subject: Subject, now: float) -> bool:
        return now < self._unavailable.get(subject, now)

    def _is_due(
        self,
        subject: Subject,
        count: int,
        ready: Mapping[Subject, int],
        terms: model.Scaling,
        now: float,
    ) -> bool:
        """Returns whether an order differs enough from the last one."""
        ordered = self._ordered.get(subject)
        if ordered is None:
            return count != ready.get(subject, 0)
        if now - ordered.at < ORDER_INTERVAL_S:
            return False
        if count > ordered.count or count == 0 < ordered.count:
            return True
        if count < SHRINK_FRACTION * ordered.count or (
            count < ordered.count and not subject.reclaimable
        ):
            return True
        present = ready.get(subject, 0)
        was_taken = present < ordered.max_ready
        is_late = now - ordered.at >= terms.boot_s + BOOT_MARGIN_S
        return (was_taken or is_late) and present < min(count, ordered.count)


def _zone_share(zones: int) -> float:
    """Returns the part of the need that is ordered in each of some zones."""
    if zones < 3:
        return 1.0
    return max(1 / (zones - 1), TWO_ZONES_FRACTION / (zones - 2))
