"""What was seen of endpoints that say that they leave or want rest."""

import collections
import dataclasses

# Seconds after the first word of an endpoint that leaves for all boxes to know.
KNOWN_WITHIN_S = 1.0

# Seconds after which a time of rest counts, and requests that it bears.
REST_GRACE_S = 0.5
MOST_IN_REST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an endpoint.

    Attributes:
        box: The box that sent it.
        endpoint: Name and start of the endpoint.
        sent_at: When its client sent it, steady clock.
        at: When it arrived.
    """

    box: str
    endpoint: tuple[str, int]
    sent_at: float
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that asked for rest.

    Attributes:
        box: The box that got it.
        endpoint: Name and start of the endpoint that gave it.
        at: When, steady clock.
        rest_s: Seconds that it asked for.
    """

    box: str
    endpoint: tuple[str, int]
    at: float
    rest_s: float


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        arrivals: Requests that reached endpoints.
        words: When a client first got an answer of each endpoint from each
            box that says that the endpoint leaves.
        refusals: Answers that asked for rest.
        returns: When endpoints came back, by name and start.
        barred: Boxes and endpoints that came back, which get no work from
            there at the end.
        statuses: What clients got; 0 for none.
        codes: What they were told with a 503.
        refused_s: Seconds until clients got a 503.
        back_in_s: What these were told as the time to come back.
    """

    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    words: dict[tuple[str, tuple[str, int]], float] = dataclasses.field(
        default_factory=dict
    )
    refusals: list[Refusal] = dataclasses.field(default_factory=list)
    returns: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    barred: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    codes: collections.Counter[bytes] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_s: list[float] = dataclasses.field(default_factory=list)
    back_in_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def sent(self) -> int:
        """Requests that clients sent."""
        return self.statuses.total()

    @property
    def served(self) -> int:
        """Requests that were served."""
        return self.statuses[200]

    @property
    def late_from_told(self) -> int:
        """Arrivals from boxes that had passed on that an endpoint leaves.

        Counted are requests that their clients sent after that.
        """
        return sum(
            a.sent_at > self.words.get((a.box, a.endpoint), a.at)
            for a in self.arrivals
        )

    @property
    def late_from_any(self) -> int:
        """Arrivals from any box after all should know."""
        first: dict[tuple[str, int], float] = {}
        for (_, endpoint), at in self.words.items():
            first[endpoint] = min(at, first.get(endpoint, at))
        return sum(
            a.sent_at > first.get(a.endpoint, a.at) + KNOWN_WITHIN_S
            for a in self.arrivals
        )

    @property
    def in_rest(self) -> list[int]:
        """Requests in each time of rest after its first half second."""
        times = collections.defaultdict(list)
        for arrival in self.arrivals:
            times[arrival.box, arrival.endpoint].append(arrival.at)
        return [
            sum(
                r.at + REST_GRACE_S < at < r.at + r.rest_s
                for at in times[r.box, r.endpoint]
            )
            for r in self.refusals
        ]

    @property
    def broken(self) -> int:
        """Times of rest in which more came than is borne."""
        return sum(count > MOST_IN_REST for count in self.in_rest)

    def work_of_returned(self, names: list[str]) -> list[int]:
        """Returns the requests that each endpoint that came back has got.

        Args:
            names: Names of the endpoints that are looked at.
        """
        since = max(self.returns.values(), default=0.0)
        counts = collections.Counter(
            a.endpoint for a in self.arrivals if a.at > since
        )
        return [counts[e] for e in self.returns if e[0] in names]
