"""What boxes tell one another about routing."""

import dataclasses

from martenjunction import revisions
from martenjunction.peers import codec


@codec.message("box-status", replaces=True)
@dataclasses.dataclass(frozen=True, slots=True)
class BoxStatus:
    """How a box is; without loads, its heartbeat.

    Attributes:
        ready: Whether clients may be sent to it.
        version: Version of the configuration in force there; 0 for none.
        revision: The store's revision up to which it knows the endpoints.
        reads: Whether it reads from the store and is answered.
        age_ms: Milliseconds since its configuration was confirmed as the
            newest; -1 if it never was. A hint only: the message may have been
            under way for long.
        link_kb: Kilobytes a second that its link carries.
        tells_loads: Whether the fields below are told.
        endpoints: Ids of the endpoints where it has requests; an endpoint
            stands there once for each kind of request.
        urgencies: The urgency of those requests.
        long: Whether their prompts are long.
        running: How many there are.
        unread: Prompt tokens that are yet to be read for them.
        engines: Ids of the engines that it has sent prompts to.
        sent: Prompt tokens that each of them had to read for it since it
            started.
        learnt_of: Engine services that the box has seen requests for.
        prefill_rates: Prompt tokens that their engines read in a second; 0
            where too few were seen.
        reading_token_us: Microseconds that a token of their streams takes
            while prompts are read beside it; 0 where too few were seen.
        short_asked: Prompt tokens a second that its requests with short
            prompts ask to be read.
        long_asked: The same of requests with long prompts.
    """

    ready: bool
    version: int
    revision: revisions.Revision
    reads: bool
    age_ms: int
    link_kb: int
    tells_loads: bool
    endpoints: tuple[str, ...]
    urgencies: tuple[int, ...]
    long: tuple[bool, ...]
    running: tuple[int, ...]
    unread: tuple[int, ...]
    engines: tuple[str, ...]
    sent: tuple[int, ...]
    learnt_of: tuple[str, ...]
    prefill_rates: tuple[int, ...]
    reading_token_us: tuple[int, ...]
    short_asked: tuple[int, ...]
    long_asked: tuple[int, ...]

    def after(self, older: "BoxStatus") -> "BoxStatus":
        """Returns this status in place of itself and one that was not sent.

        Args:
            older: The earlier status; what it alone tells is kept.
        """
        if not older.tells_loads:
            return self
        if not self.tells_loads:
            return dataclasses.replace(
                self,
                tells_loads=True,
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
    """A box wants to know what another one read from the store.

    Attributes:
        question: Names the question in its answer.
        version: The configuration that the asking box has.
        revision: The revision of the endpoints that it has.
        digest: A digest of the ids of those that may get work.
    """

    question: int
    version: int
    revision: revisions.Revision
    digest: int


@codec.message("view", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a box read from the store.

    Attributes:
        question: The question.
        age_ms: Milliseconds since its configuration was confirmed as the
            newest; -1 if it never was.
        version: The version of that configuration.
        revision: The store's revision up to which it knows the endpoints.
        tells_endpoints: Whether the fields below are told; they are not if
            the asking box knows as much.
        ready: Ids of all endpoints that may get work.
        changed: Ids of the endpoints whose entries changed after the
            revision that the asking box has.
        eras: The era of each changed entry's revision.
        numbers: The number of each changed entry's revision.
        entries: Each changed entry.
    """

    question: int
    age_ms: int
    version: int
    revision: revisions.Revision
    tells_endpoints: bool
    ready: tuple[str, ...]
    changed: tuple[str, ...]
    eras: tuple[int, ...]
    numbers: tuple[int, ...]
    entries: tuple[bytes, ...]

    def rows(self) -> list[tuple[str, revisions.Revision, bytes]]:
        """Returns id, revision and document of each changed entry."""
        columns = zip(
            self.changed, self.eras, self.numbers, self.entries, strict=False
        )
        return [
            (name, revisions.Revision(era, number), entry)
            for name, era, number, entry in columns
        ]


@codec.message("config-news", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigNews:
    """A configuration that is in force at the sender.

    Attributes:
        version: Its version.
        base: The version that it is told as a difference from; 0 if whole.
        digest: A digest of its document.
        difference: What differs; see `peers.document_delta`.
    """

    version: int
    base: int
    digest: int
    difference: bytes


@codec.message("endpoints-left", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsLeft:
    """Endpoints that may get no more work, by the store's word.

    Attributes:
        ids: Their ids.
        revision: The store's revision of that.
    """

    ids: tuple[str, ...]
    revision: revisions.Revision


@codec.message("endpoints-leaving", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsLeaving:
    """Endpoints that get no more work, by their own word.

    Attributes:
        ids: Their ids, each of one start.
    """

    ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LimitWord:
    """What a box knows of the limit of an endpoint.

    Attributes:
        endpoint: The endpoint's id, of one start.
        per_s: Requests a second that it takes from all boxes; None for no
            limit.
        age_ms: Milliseconds since the box that heard it first did so; None if
            nothing was heard.
    """

    endpoint: str
    per_s: float | None
    age_ms: int | None


@codec.message("endpoint-limits", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLimits:
    """Endpoints that take only so many requests a second.

    The first three have an item for each endpoint; see `LimitWord`.

    Attributes:
        endpoints: Their ids.
        per_s: Requests a second that each takes.
        ages_ms: Milliseconds since that was first heard.
        first_hand: Whether the sender heard it from the endpoints.
    """

    endpoints: tuple[str, ...]
    per_s: tuple[float | None, ...]
    ages_ms: tuple[int | None, ...]
    first_hand: bool

    @classmethod
    def of(cls, words: list[LimitWord], first_hand: bool) -> "EndpointLimits":
        """Returns the message that tells some words."""
        return cls(
            tuple(word.endpoint for word in words),
            tuple(word.per_s for word in words),
            tuple(word.age_ms for word in words),
            first_hand,
        )

    def words(self) -> list[LimitWord]:
        """Returns what it tells of each endpoint."""
        rows = zip(self.endpoints, self.per_s, self.ages_ms, strict=False)
        return [LimitWord(*row) for row in rows]


@codec.message("ask-rate-grant", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AskGrant:
    """A box wants to send a request to an endpoint that names a limit.

    Attributes:
        number: Names the question in its answer.
        word: The endpoint, and what is known of its limit.
        hops: Boxes that passed the question on.
    """

    number: int
    word: LimitWord
    hops: int


@codec.message("rate-grant-answer", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class GrantAnswer:
    """A grant to send one request, or the time to ask again.

    Attributes:
        number: The question.
        word: The endpoint, and what is known of its limit.
        wait_ms: Milliseconds after which to ask again; 0 if it is granted.
    """

    number: int
    word: LimitWord
    wait_ms: int


@codec.message("rate-grant-unused", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class GrantUnused:
    """A request that was granted was not sent.

    Attributes:
        endpoint: The endpoint.
        hops: Boxes that passed this on.
    """

    endpoint: str
    hops: int


@codec.message("suspects", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class Suspects:
    """What a box holds against requests under which endpoints ended.

    See `decisions.boxes.suspicion`; the fields have an item for each request.

    Attributes:
        callers: Digests of the callers.
        contents: Digests of what they ask for.
        services: The services.
        epochs: Times that each was cleared.
        ends: Ids of the endpoints that ended under it since.
        generations: The generation of each of those runs.
        builds: What ran at those endpoints.
        tries: Runs that began on their own.
        quarantined: Whether it is not sent any more.
        releases: How often time has let it be tried since.
        outlived: Whether a trial was reported as still running.
    """

    callers: tuple[bytes, ...]
    contents: tuple[bytes, ...]
    services: tuple[str, ...]
    epochs: tuple[int, ...]
    ends: tuple[tuple[str, ...], ...]
    generations: tuple[tuple[int, ...], ...]
    builds: tuple[tuple[str, ...], ...]
    tries: tuple[int, ...]
    quarantined: tuple[bool, ...]
    releases: tuple[int, ...]
    outlived: tuple[bool, ...]


@codec.message("ask-trial", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class AskTrial:
    """Asks the holder for a trial of a suspected request.

    Attributes:
        number: Correlates the answer with this message.
        suspect: The request and the sender's record of it.
        builds: Builds of the endpoints to which it may be sent.
        hops: Number of boxes that forwarded this message.
    """

    number: int
    suspect: Suspects
    builds: tuple[str, ...]
    hops: int


@codec.message("trial-answer", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class TrialAnswer:
    """Grants or denies a trial of a suspected request.

    Attributes:
        number: The number of the `AskTrial` message.
        granted: Whether the trial may begin.
        wait_ms: Milliseconds after which to ask again, if it was denied.
        suspect: The request and the sender's record of it.
    """

    number: int
    granted: bool
    wait_ms: int
    suspect: Suspects


@codec.message("trial-over", urgent=True)
@dataclasses.dataclass(frozen=True, slots=True)
class TrialOver:
    """Reports that a trial was inconclusive, so that another may begin.

    Attributes:
        caller: Digest of the caller.
        content: Digest of the request content.
        trial: The trial's number, as assigned by the holder.
        hops: Number of boxes that forwarded this message.
    """

    caller: bytes
    content: bytes
    trial: int
    hops: int
