"""What was seen of endpoints that name the requests a second they take."""

import bisect
import collections
import dataclasses

# Seconds after an endpoint's first word from which on the limit binds.
CONTACT_S = 3.0

# Seconds over which the limit is counted, and those after which a box that
# passed the word on counts.
WINDOW_S = 4.0
TOLD_S = 0.5

# What the limit allows in a window: so many times the requests, and so many
# more, over all boxes.
PART = 1.5
MORE = 5


def allowed(limit_per_s: float) -> float:
    """Returns the requests that a limit allows in a window."""
    return PART * WINDOW_S * limit_per_s + MORE


def most_in_window(times: list[float]) -> int:
    """Returns the most of some moments that lie in one window."""
    ordered = sorted(times)
    return max(
        bisect.bisect_left(ordered, at + WINDOW_S) - number
        for number, at in enumerate(ordered)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        box: The box that sent it.
        endpoint: The endpoint's name.
        at: When it arrived, steady clock.
    """

    box: str
    endpoint: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Word:
    """What an endpoint names from a moment on.

    Attributes:
        at: The moment, steady clock.
        per_s: Requests a second; None for no limit.
    """

    at: float
    per_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A 503 that a client got.

    Attributes:
        code: What it says.
        after_s: Seconds until it came.
        back_in_s: When the client may come back; None if it was not told.
    """

    code: str
    after_s: float
    back_in_s: float | None


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        arrivals: Requests that reached endpoints, in order.
        named: What each endpoint named, in order.
        passed_on: When a client first got an answer with a limit, by box and
            endpoint.
        statuses: What clients got; 0 for none.
        refusals: The 503s among them.
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    named: dict[str, list[Word]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    passed_on: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: list[Refusal] = dataclasses.field(default_factory=list)

    @property
    def sent(self) -> int:
        """Requests that clients sent."""
        return self.statuses.total()

    @property
    def served(self) -> int:
        """Requests that were served."""
        return self.statuses[200]

    def windows(self) -> list[float]:
        """Returns what came in each window, as a part of what is allowed.

        A window ends with each arrival at an endpoint that names a limit.
        """
        return [
            part
            for endpoint, words in self.named.items()
            for part in self._windows_of(endpoint, words)
        ]

    @property
    def broken(self) -> int:
        """Windows in which more came than is allowed."""
        return sum(part > 1.0 for part in self.windows())

    def used(self) -> dict[str, float]:
        """Returns what each endpoint got, as a part of its limit.

        Counted from when the limit binds until it ends or no request comes.
        """
        parts: dict[str, float] = {}
        for endpoint, words in self.named.items():
            first, last = words[0].at + CONTACT_S, self.arrivals[-1].at
            spans = list(
                zip(words, [*words[1:], Word(last, None)], strict=True)
            )
            taken = sum(
                (word.per_s or 0.0) * max(0.0, after.at - max(first, word.at))
                for word, after in spans
                if word.per_s is not None
            )
            end = next((w.at for w in words if w.per_s is None), last)
            came = sum(
                a.endpoint == endpoint and first <= a.at <= end
                for a in self.arrivals
            )
            parts[endpoint] = came / taken if taken else 0.0
        return parts

    def work_after_end(self, within_s: float) -> dict[str, int]:
        """Returns what each endpoint got after its limit had ended.

        Args:
            within_s: Seconds after the end that are counted.
        """
        return {
            endpoint: sum(
                a.endpoint == endpoint
                and words[-1].at < a.at <= words[-1].at + within_s
                for a in self.arrivals
            )
            for endpoint, words in self.named.items()
        }

    def _windows_of(self, endpoint: str, words: list[Word]) -> list[float]:
        counted = [
            a.at
            for a in self.arrivals
            if a.endpoint == endpoint
            and a.at - TOLD_S >= self.passed_on.get((a.box, endpoint), a.at)
        ]
        parts = []
        for number, at in enumerate(counted):
            if at < words[0].at + CONTACT_S:
                continue
            limit = _most_named(words, at - WINDOW_S, at)
            if limit is None:
                continue
            first = bisect.bisect_left(counted, at - WINDOW_S)
            parts.append((number + 1 - first) / allowed(limit))
        return parts


def _most_named(words: list[Word], since: float, until: float) -> float | None:
    """Returns the largest limit named in a time; None if none held in part."""
    after = [word.at for word in words[1:]] + [float("inf")]
    held = [
        word.per_s
        for word, end in zip(words, after, strict=True)
        if end > since and word.at <= until
    ]
    if any(limit is None for limit in held):
        return None
    return max((limit for limit in held if limit is not None), default=None)
