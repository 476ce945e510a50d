"""Rules on keys, configurations and endpoints that leave."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import math
from typing import TypeVar

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import configurations
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules

EventT = TypeVar("EventT", events.Leaves, events.Returns)


@rules.rule("own-tenant", rules.Section.KEYS)
def own_tenant(history: events.History) -> Iterator[rules.Broken]:
    """A request runs as its key's tenant; on a public route, as none too."""
    public = {
        route
        for config in history.of(events.Configured)
        for route in config.public or ()
    }
    for case, sent in cases.sent(history):
        tenants = {sent.tenant} | ({""} if sent.route in public else set())
        for attempt, arrived in case.arrivals:
            if attempt.runs and arrived.tenant not in tenants:
                yield case.broken("own-tenant", attempt.runs[0].at)


@rules.rule("key-kept", rules.Section.KEYS)
def key_kept(history: events.History) -> Iterator[rules.Broken]:
    """No client's key reaches an endpoint."""
    for case in cases.of(history).values():
        for _, arrived in case.arrivals:
            if arrived.saw_key:
                yield case.broken("key-kept", arrived.at)


@rules.rule("lost-key", rules.Section.KEYS)
def lost_key(history: events.History) -> Iterator[rules.Broken]:
    """Nothing runs by a key that was taken away long enough before.

    This binds boxes that are disturbed as well.
    """
    configs = history.of(events.Configured)
    ever = frozenset(key for config in configs for key in config.keys)
    for made in configurations.handlings(history):
        if made.denied or made.sent.key not in ever:
            continue
        found = configurations.in_force(
            history, made.sent.at, made.at, history.terms.revoke_s
        )
        taken = (configurations.may_take_key(its, made.sent) for its in found)
        if found and not any(taken):
            yield _broken("lost-key", made, found)


@rules.rule("allowed-run", rules.Section.CONFIGURATION)
def allowed_run(history: events.History) -> Iterator[rules.Broken]:
    """Nothing runs where no configuration allows it."""
    for made in configurations.handlings(history):
        if not made.denied and not made.versions:
            yield _broken("allowed-run", made, history.of(events.Configured))


@rules.rule("denied", rules.Section.CONFIGURATION)
def denied(history: events.History) -> Iterator[rules.Broken]:
    """Nothing is denied that every configuration allows."""
    for made in configurations.handlings(history):
        if made.denied and not made.versions:
            yield _broken("denied", made, history.of(events.Configured))


@rules.rule("change-in-force", rules.Section.CONFIGURATION)
def change_in_force(history: events.History) -> Iterator[rules.Broken]:
    """A change is in force in time on boxes in touch."""
    change_s = history.terms.change_s
    for made in configurations.handlings(history):
        found = configurations.in_force(
            history, made.sent.at, made.at, change_s
        )
        since = made.sent.at - change_s
        if (
            found
            and made.versions
            and made.versions.isdisjoint(its.version for its in found)
            and history.calm(made.sent.box, since, made.at)
        ):
            yield _broken("change-in-force", made, found)


@rules.rule("never-back", rules.Section.CONFIGURATION)
def never_back(history: events.History) -> Iterator[rules.Broken]:
    """No process goes back to an older version than it was seen to have."""
    restarts: dict[str, list[float]] = collections.defaultdict(list)
    for stop in history.of(events.BoxStops):
        restarts[stop.box].append(stop.at)
    for event in history.of(events.Disturbance):
        if event.restarts:
            restarts[event.part].append(event.at)
    for times in restarts.values():
        times.sort()
    lives: dict[tuple[str, int], _Effects] = collections.defaultdict(_Effects)
    for made in configurations.handlings(history):
        if not made.versions:
            continue
        begins = restarts[made.sent.box]
        life = bisect.bisect_right(begins, made.sent.at)
        effects = lives[made.sent.box, life]
        newest = effects.newest_before(made.sent.at)
        if newest is not None and max(made.versions) < min(newest.versions):
            yield _broken("never-back", made, newest.case.trace)
        if bisect.bisect_right(begins, made.at) == life:
            effects.add(made)


@rules.rule("leaving-endpoint", rules.Section.ENDPOINTS)
def leaving_endpoint(history: events.History) -> Iterator[rules.Broken]:
    """An endpoint that leaves gets no more work after a while.

    A box that acknowledged the leaving keeps to it though the store is
    disturbed. Arrivals that were misdirected do not count.
    """
    leaves = _by_endpoint(history.of(events.Leaves))
    returns = _by_endpoint(history.of(events.Returns))
    for case, sent in cases.sent(history):
        for attempt, arrived in case.arrivals:
            away = attempt.turned_away
            if away is not None and away.status == 421:
                continue
            back_at = max(
                (
                    its.at
                    for its in returns[arrived.endpoint]
                    if its.at <= arrived.at
                ),
                default=-math.inf,
            )
            told = [
                its
                for its in leaves[arrived.endpoint]
                if back_at <= its.at < arrived.at - history.terms.drain_s
                and _is_bound(history, sent, its, arrived.at)
            ]
            if told:
                trace = _merged(told, case.trace)
                yield rules.Broken(
                    "leaving-endpoint", arrived.at, arrived.endpoint, trace
                )


class _Effects:
    """What showed the versions of a process, in the order of their times."""

    def __init__(self) -> None:
        self._times: list[float] = []
        self._newest: list[configurations.Handling] = []

    def newest_before(self, at: float) -> configurations.Handling | None:
        """Returns what showed the newest version before a time in seconds."""
        count = bisect.bisect_left(self._times, at)
        return self._newest[count - 1] if count else None

    def add(self, made: configurations.Handling) -> None:
        """Adds what was seen last."""
        if self._newest and min(self._newest[-1].versions) >= min(
            made.versions
        ):
            return
        self._times.append(made.at)
        self._newest.append(made)


def _by_endpoint(found: Iterable[EventT]) -> dict[str, list[EventT]]:
    by_endpoint: dict[str, list[EventT]] = collections.defaultdict(list)
    for event in found:
        by_endpoint[event.endpoint].append(event)
    return by_endpoint


def _is_bound(
    history: events.History,
    sent: events.Sent,
    leaves: events.Leaves,
    at: float,
) -> bool:
    """Returns whether a request's box has to know of a leaving."""
    if leaves.box == sent.box:
        return history.undisturbed(sent.box, leaves.at, at)
    return history.calm(sent.box, leaves.at, at)


def _broken(
    promise: str,
    made: configurations.Handling,
    beside: Iterable[events.Event],
) -> rules.Broken:
    """Returns that a promise was broken for a request.

    Args:
        promise: The promise.
        made: How the request was handled.
        beside: Events of other parts that tell why.
    """
    trace = _merged(beside, made.case.trace)
    return rules.Broken(promise, made.at, made.case.request, trace)


def _merged(
    *found: Iterable[events.Event],
) -> tuple[events.Event, ...]:
    """Returns events in the order of their times."""
    made = [event for part in found for event in part]
    return tuple(sorted(made, key=lambda event: event.at))
