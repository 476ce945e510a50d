"""Messages about routing that boxes exchange."""

import dataclasses

from martenjunction import revisions
from martenjunction.decisions.boxes import entry_states
from martenjunction.peers import codec

_LIMIT_ROW = ("endpoints", "per_s", "ages_ms")


@codec.message(
    "box-status",
    replaces=True,
    rows=(
        ("endpoints", "urgencies", "long", "running", "unread"),
        ("engines", "sent"),
        (
            "engine_services",
            "prefill_rates",
            "prefill_token_interval_us",
            "short_demand",
            "long_demand",
        ),
    ),
)
@dataclasses.dataclass(frozen=True, slots=True)
class BoxStatus:
    """The status of a box; without loads, its heartbeat.

    Attributes:
        ready: Whether the box accepts clients.
        reaches: Whether its own connections reach endpoints.
        version: Version of the configuration in force; 0 for none.
        revision: The store's revision up to which it knows the endpoints.
        reads: Whether it reads from the store and gets answers.
        age_ms: Milliseconds since its configuration was confirmed as the
            newest; -1 if it never was. A hint only, as the message may have
            been delayed.
        link_kb: Bandwidth of its link in kilobytes per second.
        has_loads: Whether the fields from `endpoints` to `sent` are set.
        endpoints: Ids of the endpoints where it has requests in flight; an
            endpoint appears once for each kind of request.
        urgencies: The urgency of those requests.
        long: Whether their prompts are long.
        running: Number of those requests.
        unread: Prompt tokens of those requests that are not prefilled yet.
        engines: Ids of the engines that it has sent prompts to.
        sent: Prompt tokens that each of those engines had to prefill for the
            box since the box started.
        engine_services: Engine services that the box has seen requests for.
        prefill_rates: Prefill throughput of their engines in tokens per
            second; 0 if there are too few samples.
        prefill_token_interval_us: Time per streamed token in microseconds
            while prompts are prefilled concurrently; 0 if there are too few
            samples.
        short_demand: Prefill demand of its requests with short prompts, in
            tokens per second.
        long_demand: Prefill demand of its requests with long prompts, in tokens
            per second.
    """

    ready: bool
    reaches: bool
    version: int
    revision: revisions.Revision
    reads: bool
    age_ms: int
    link_kb: int
    has_loads: bool
    endpoints: tuple[str, ...]
    urgencies: tuple[int, ...]
    long: tuple[bool, ...]
    running: tuple[int, ...]
    unread: tuple[int, ...]
    engines: tuple[str, ...]
    sent: tuple[int, ...]
    engine_services: tuple[str, ...]
    prefill_rates: tuple[int, ...]
    prefill_token_interval_us: tuple[int, ...]
    short_demand: tuple[int, ...]
    long_demand: tuple[int, ...]

    def after(self, older: "BoxStatus") -> "BoxStatus":
        """Returns this status merged with an earlier one that was not sent.

        Args:
            older: The earlier status; fields that only it sets are kept.
        """
        if not older.has_loads:
            return self
        if not self.has_loads:
            return dataclasses.replace(
                self,
                has_loads=True,
                endpoints=older.endpoints,
                urgencies=older.urgencies,
                long=older.long,
                running=older.running,
                unread=older.unread,
                engines=older.engines,
                sent=older.sent,
            )
        sent = dict(zip(older.engines, older.sent, strict=True))
        sent.update(zip(self.engines, self.sent, strict=True))
        return dataclasses.replace(
            self, engines=tuple(sent), sent=tuple(sent.values())
        )


@codec.message("ask-view", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AskView:
    """Requests the store's state as known by another box.

    Attributes:
        number: Correlates the answer with this message.
        version: Version of the sender's configuration; 0 for none.
        revision: Revision of the sender's endpoints.
        digest: A digest of the ids of the endpoints available to it.
    """

    number: int
    version: int
    revision: revisions.Revision
    digest: int


@codec.message("view", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The store's state as known by the sender.

    Attributes:
        number: The number of the `AskView` message.
        age_ms: Milliseconds since its configuration was confirmed as the
            newest; -1 if it never was.
        version: The version of that configuration.
        list_age_ms: Milliseconds since its list of endpoints was known to have
            all changes, or `list_age.UNKNOWN_AGE_MS`.
        revision: The store's revision up to which it knows the endpoints.
        has_endpoints: Whether the fields below are set; they are not if the
            receiver is up to date.
        ready: Ids of all available endpoints.
        lapsed: Ids of those of them whose entries are missing since an outage
            of the store.
        leaving: Ids of the listed endpoints that announced that they are
            leaving.
        changed: Ids of the endpoints whose entries changed after the
            receiver's revision.
        eras: The era of each changed entry's revision.
        numbers: The number of each changed entry's revision.
        entries: Each changed entry.
    """

    number: int
    age_ms: int
    version: int
    list_age_ms: int
    revision: revisions.Revision
    has_endpoints: bool
    ready: tuple[str, ...]
    lapsed: tuple[str, ...]
    leaving: tuple[str, ...]
    changed: tuple[str, ...]
    eras: tuple[int, ...]
    numbers: tuple[int, ...]
    entries: tuple[bytes, ...]

    def rows(self) -> list[tuple[str, revisions.Revision, bytes]]:
        """Returns id, revision and document of each changed entry.

        Raises:
            ValueError: If the columns do not fit together.
        """
        columns = zip(
            self.changed, self.eras, self.numbers, self.entries, strict=True
        )
        return [
            (name, revisions.Revision(era, number), entry)
            for name, era, number, entry in columns
        ]


@codec.message("config-news", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigUpdate:
    """A configuration that is in force at the sender.

    Attributes:
        version: Its version.
        base: The version that the delta applies to; 0 for a full document.
        digest: A digest of the resulting document.
        delta: The encoded difference; see `peers.document_delta`.
    """

    version: int
    base: int
    digest: int
    delta: bytes


@codec.message("endpoints-left", urgent=True, rows=(("ids", "causes"),))
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsRemoved:
    """Endpoints that are no longer available according to the store.

    The first two fields have an item for each endpoint.

    Attributes:
        ids: Their ids.
        causes: Why they are not available; see `entry_states.RemovalCause`.
        revision: The store's revision that this rests on.
    """

    ids: tuple[str, ...]
    causes: tuple[str, ...]
    revision: revisions.Revision

    def rows(self) -> list[tuple[str, entry_states.RemovalCause]]:
        """Returns the id and the cause of each endpoint.

        A cause that this box does not know ends with the entry's next write, as
        a missing entry does.

        Raises:
            ValueError: If the columns do not fit together.
        """
        known = {cause.value: cause for cause in entry_states.RemovalCause}
        missing = entry_states.RemovalCause.MISSING
        return [
            (endpoint_id, known.get(cause, missing))
            for endpoint_id, cause in zip(self.ids, self.causes, strict=True)
        ]


@codec.message("endpoints-leaving", urgent=True, rows=(("ids",),))
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsLeaving:
    """Endpoints that announced in an answer that they are leaving.

    Attributes:
        ids: Their ids; each identifies one start of an endpoint.
    """

    ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """The rate limit of an endpoint as known by a box.

    Attributes:
        endpoint: The endpoint's id, which identifies one start of it.
        per_s: Requests per second from all boxes together; None for no limit.
        age_ms: Milliseconds since a box first received it from the endpoint;
            None if the box knows of no announcement.
    """

    endpoint: str
    per_s: float | None
    age_ms: int | None


@codec.message("endpoint-limits", urgent=True, rows=(_LIMIT_ROW,))
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLimits:
    """Rate limits of endpoints.

    The first three fields have an item for each endpoint; see `LimitReport`.

    Attributes:
        endpoints: Ids of the endpoints.
        per_s: The limits, in requests per second.
        ages_ms: Milliseconds since each limit was first received.
        hops: Number of boxes that passed them on.
    """

    endpoints: tuple[str, ...]
    per_s: tuple[float | None, ...]
    ages_ms: tuple[int | None, ...]
    hops: int

    @classmethod
    def of(cls, reports: list[LimitReport], hops: int) -> "EndpointLimits":
        """Returns a message with the given limits."""
        return cls(
            tuple(report.endpoint for report in reports),
            tuple(report.per_s for report in reports),
            tuple(report.age_ms for report in reports),
            hops,
        )

    def reports(self) -> list[LimitReport]:
        """Returns the limit of each endpoint.

        Raises:
            ValueError: If the columns do not fit together.
        """
        rows = zip(self.endpoints, self.per_s, self.ages_ms, strict=True)
        return [LimitReport(*row) for row in rows]


@codec.message("brittle-endpoints", urgent=True, rows=(_LIMIT_ROW,))
@dataclasses.dataclass(frozen=True, slots=True)
class BrittleEndpoints(EndpointLimits):
    """Rejections a second beyond which endpoints crash, like limits."""


@codec.message("place-released", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class PlaceReleased:
    """Returns a place at a brittle endpoint to its holder.

    Attributes:
        endpoint: The endpoint's id.
        hops: Number of boxes that forwarded this message.
    """

    endpoint: str
    hops: int


@codec.message("ask-rate-grant", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AskGrant:
    """Requests a grant to send a request to a rate-limited endpoint.

    Attributes:
        number: Correlates the answer with this message.
        report: The endpoint and its limit as known by the sender.
        hops: Number of boxes that forwarded this message.
    """

    number: int
    report: LimitReport
    hops: int


@codec.message("rate-grant-answer", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswer:
    """Grants or denies sending one request to a rate-limited endpoint.

    Attributes:
        number: The number of the `AskGrant` message.
        report: The endpoint and its limit as known by the sender.
        wait_ms: Milliseconds after which to retry; 0 if it is granted.
    """

    number: int
    report: LimitReport
    wait_ms: int


@codec.message("rate-grant-unused", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class GrantUnused:
    """Returns an unused grant, as its request was not sent.

    Attributes:
        endpoint: The endpoint's id.
        hops: Number of boxes that forwarded this message.
    """

    endpoint: str
    hops: int
