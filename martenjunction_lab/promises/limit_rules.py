"""Rules on time limits, clients that leave, and retries."""

import bisect
import collections
from collections.abc import Iterator
import dataclasses

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import events
from martenjunction_lab.promises import rules


@rules.rule("final-answer", rules.Section.LIMITS)
def final_answer(history: events.History) -> Iterator[rules.Broken]:
    """A request ends soon after the time limit of its route.

    Nothing is due to a client that leaves, or gives up, before.
    """
    for case, sent in cases.sent(history):
        due = sent.timeout_at + history.terms.late_s
        waits = due < min(case.ended_at, case.left_at, history.end)
        if (
            waits
            and due <= sent.deadline_at
            and history.calm(sent.box, sent.at, due)
        ):
            yield case.broken("final-answer", due)


@rules.rule("time-granted", rules.Section.LIMITS)
def time_granted(history: events.History) -> Iterator[rules.Broken]:
    """Endpoints are granted no more time than remains."""
    for case, sent in cases.sent(history):
        limit = min(sent.deadline_at, sent.timeout_at)
        limit += history.terms.grant_slack_s
        for _, arrived in case.arrivals:
            left_s = arrived.time_left_s
            too_much = left_s is None or arrived.at + left_s > limit
            if too_much and _is_in_touch(history, sent, arrived, sent.at):
                yield case.broken("time-granted", arrived.at)


@rules.rule("client-left", rules.Section.LIMITS)
def client_left(history: events.History) -> Iterator[rules.Broken]:
    """Nothing is sent on for a client that has left."""
    for case, sent in cases.sent(history):
        bound = case.left_at + history.terms.gone_s
        for _, arrived in case.arrivals:
            if arrived.at > bound and _is_in_touch(
                history, sent, arrived, case.left_at
            ):
                yield case.broken("client-left", arrived.at)


@rules.rule("left-run-ended", rules.Section.LIMITS)
def left_run_ended(history: events.History) -> Iterator[rules.Broken]:
    """The run of a client that has left ends, unless it may run only once.

    A stream that may run only once is ended as well.
    """
    for case, sent in cases.sent(history):
        bound = case.left_at + history.terms.gone_s
        if sent.kind is events.RouteKind.UNSAFE or bound >= history.end:
            continue
        for attempt, arrived in case.arrivals:
            if (
                attempt.runs
                and arrived.at <= bound < attempt.ended_at
                and history.calm(sent.box, case.left_at, bound)
                and history.undisturbed(arrived.endpoint, case.left_at, bound)
            ):
                yield case.broken("left-run-ended", bound)


@rules.rule("endpoints-per-request", rules.Section.LIMITS)
def endpoints_per_request(history: events.History) -> Iterator[rules.Broken]:
    """A request runs at no more endpoints than its route allows.

    Runs that their endpoint broke off do not count.
    """
    for case, sent in cases.sent(history):
        found: set[str] = set()
        for attempt, arrived in case.arrivals:
            broken_off = attempt.ended_as(events.RunEnd.BROKEN_OFF)
            if attempt.runs and not broken_off:
                found.add(arrived.endpoint)
            if 0 < sent.most_endpoints < len(found):
                yield case.broken("endpoints-per-request", arrived.at)
                break


@rules.rule("retry-budget", rules.Section.LIMITS)
def retry_budget(history: events.History) -> Iterator[rules.Broken]:
    """Retries stay within ratio and allowance in each sliding window."""
    traffic: dict[str, _Traffic] = collections.defaultdict(_Traffic)
    for sent in history.of(events.Sent):
        traffic[sent.service].requests.append(sent.at)
    seen: set[tuple[str, str]] = set()
    for arrived in history.of(events.Arrived):
        if (arrived.request, arrived.service) in seen:
            traffic[arrived.service].retries.append(arrived)
        seen.add((arrived.request, arrived.service))
    for service, its in traffic.items():
        for trace in its.beyond(history.terms):
            yield rules.Broken("retry-budget", trace[-1].at, service, trace)


@dataclasses.dataclass
class _Traffic:
    """What was sent to a service, in the order of the times.

    Attributes:
        requests: When clients sent requests for it, in seconds.
        retries: Arrivals beyond the first of each request.
    """

    requests: list[float] = dataclasses.field(default_factory=list)
    retries: list[events.Arrived] = dataclasses.field(default_factory=list)

    def beyond(
        self, terms: events.Terms
    ) -> Iterator[tuple[events.Arrived, ...]]:
        """Yields the retries of windows that have too many.

        The windows do not overlap; each is the first that breaks the bound
        after the one before.
        """
        if len(self.retries) <= terms.retry_allowance:
            return
        length_s = terms.retry_window_s
        times = [arrived.at for arrived in self.retries]
        # The excess of a window that slides on rises only as a retry enters
        # it, or as a request leaves the span in which requests count.
        begins = {at - length_s for at in times}
        for lead_s in (0.0, length_s / 2, length_s):
            begins.update(at + lead_s for at in self.requests)
        told_until = -float("inf")
        for begin in sorted(begins):
            if begin < told_until:
                continue
            first, last = (
                bisect.bisect_right(times, at)
                for at in (begin, begin + length_s)
            )
            bound = terms.retry_ratio * self._counted(begin, length_s)
            if last - first > bound + terms.retry_allowance:
                told_until = begin + length_s
                yield tuple(self.retries[first:last])

    def _counted(self, begin: float, length_s: float) -> int:
        """Returns the requests that count for a window.

        Requests are retried after they were sent, so those of the window
        before, or half a window before, may count in place of its own.
        """
        return max(
            _between(self.requests, since, since + length_s)
            for since in (begin, begin - length_s / 2, begin - length_s)
        )


def _between(times: list[float], since: float, until: float) -> int:
    """Returns how many times are later than `since` and not than `until`."""
    return bisect.bisect_right(times, until) - bisect.bisect_right(times, since)


def _is_in_touch(
    history: events.History,
    sent: events.Sent,
    arrived: events.Arrived,
    since: float,
) -> bool:
    """Returns whether box and endpoint were undisturbed until an arrival."""
    return history.calm(sent.box, since, arrived.at) and history.undisturbed(
        arrived.endpoint, since, arrived.at
    )
