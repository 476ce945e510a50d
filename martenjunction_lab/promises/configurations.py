"""What the configurations of a trial allow, and when they may be in force."""

from collections.abc import Iterable
import dataclasses
import functools

from martenjunction_lab.promises import cases
from martenjunction_lab.promises import events

# Statuses by which a box says that no configuration allows a request.
DENIALS = frozenset({401, 403, 404})


@dataclasses.dataclass(frozen=True)
class Handling:
    """A run or a denial of a request, which shows what its box has in force.

    Attributes:
        case: The request.
        sent: How it was sent.
        at: When it ran or was denied.
        denied: Whether it was denied.
        versions: The versions that allow this.
    """

    case: cases.Case
    sent: events.Sent
    at: float
    denied: bool
    versions: frozenset[int]


def handlings(history: events.History) -> list[Handling]:
    """Returns all runs and denials, in the order of their times.

    None if no configuration was seen.
    """
    return history.derived(_find_handlings)


def in_force(
    history: events.History, sent_at: float, at: float, within_s: float
) -> list[events.Configured]:
    """Returns the configurations by which a box in touch may handle a request.

    These are the newest that was acknowledged long enough before it was sent,
    and newer ones; those may take effect before they are acknowledged.

    Args:
        history: The trial.
        sent_at: When the request was sent, in seconds.
        at: When it was handled, in seconds.
        within_s: Time within which a configuration is in force, in seconds.
    """
    ordered = history.derived(_by_version)
    known = (its.version for its in ordered if its.at <= sent_at - within_s)
    oldest = max(known, default=-1)
    early_s = history.terms.change_s
    return [
        its
        for its in ordered
        if its.version >= oldest and its.at - early_s <= at
    ]


def all_allow(history: events.History, sent: events.Sent, at: float) -> bool:
    """Returns whether all configurations that may be in force allow a request.

    Args:
        history: The trial; without a configuration all requests are allowed.
        sent: How the request was sent.
        at: When it ended, in seconds.
    """
    if not history.derived(_by_version):
        return True
    found = in_force(history, sent.at, at, history.terms.change_s)
    return bool(found) and all(
        sent.route in its.services and may_take_key(its, sent) for its in found
    )


def may_take_key(config: events.Configured, sent: events.Sent) -> bool:
    """Returns whether a configuration may take a request's key, or none."""
    unknown = config.public is None and not sent.key
    return unknown or _takes_key(config, sent)


def _takes_key(config: events.Configured, sent: events.Sent) -> bool:
    return sent.key in config.keys or sent.route in (config.public or ())


def _may_run(
    config: events.Configured, sent: events.Sent, service: str
) -> bool:
    allowed = config.services.get(sent.route) == service
    return allowed and may_take_key(config, sent)


def _may_deny(config: events.Configured, sent: events.Sent) -> bool:
    return sent.route not in config.services or not _takes_key(config, sent)


def _by_version(history: events.History) -> list[events.Configured]:
    found = {its.version: its for its in history.of(events.Configured)}
    return [found[version] for version in sorted(found)]


def _find_handlings(history: events.History) -> list[Handling]:
    ordered = history.derived(_by_version)
    explain = _Explanations(ordered)
    found = []
    for case, sent in cases.sent(history) if ordered else ():
        for attempt, arrived in case.arrivals:
            if attempt.runs:
                versions = explain.run(sent, arrived.service)
                at = attempt.runs[0].at
                found.append(Handling(case, sent, at, False, versions))
        ended = case.ended
        if ended is not None and _is_denial(ended):
            versions = explain.denial(sent)
            found.append(Handling(case, sent, ended.at, True, versions))
    return sorted(found, key=lambda made: (made.at, made.case.request))


def _is_denial(ended: events.Ended) -> bool:
    return ended.source is events.Source.BOX and ended.status in DENIALS


class _Explanations:
    """The versions that allow what was seen, kept for requests alike."""

    def __init__(self, configs: Iterable[events.Configured]) -> None:
        self._configs = list(configs)
        self._kept: dict[tuple[str, str, str | None], frozenset[int]] = {}

    def run(self, sent: events.Sent, service: str) -> frozenset[int]:
        """Returns the versions by which a request may run at a service."""
        explains = functools.partial(_may_run, sent=sent, service=service)
        return self._versions((sent.route, sent.key, service), explains)

    def denial(self, sent: events.Sent) -> frozenset[int]:
        """Returns the versions by which a request may be denied."""
        explains = functools.partial(_may_deny, sent=sent)
        return self._versions((sent.route, sent.key, None), explains)

    def _versions(
        self,
        alike: tuple[str, str, str | None],
        explains: functools.partial[bool],
    ) -> frozenset[int]:
        if alike not in self._kept:
            self._kept[alike] = frozenset(
                config.version for config in self._configs if explains(config)
            )
        return self._kept[alike]
