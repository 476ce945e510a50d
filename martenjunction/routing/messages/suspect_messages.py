"""Messages about suspected requests and parts of prompts."""

import dataclasses

from martenjunction.peers import codec

_COLUMNS = (
    "callers",
    "contents",
    "services",
    "epochs",
    "crashes",
    "generations",
    "builds",
    "tries",
    "quarantined",
    "releases",
    "outlived",
)


@codec.message("suspects", urgent=True, rows=(_COLUMNS,))
@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecords:
    """Records of suspected requests, during which endpoints crashed.

    See `decisions.boxes.suspicion`; the fields have an item for each request.

    Attributes:
        callers: Digests of the callers.
        contents: Digests of the request contents.
        services: The services.
        epochs: Number of times each request was cleared.
        crashes: Ids of the endpoints that crashed during it since then.
        generations: The generation of each of those runs.
        builds: Builds of those endpoints.
        tries: Number of trials.
        quarantined: Whether the request is quarantined.
        releases: Number of times a quarantine expired since.
        outlived: Whether a trial was reported as still running.
    """

    callers: tuple[bytes, ...]
    contents: tuple[bytes, ...]
    services: tuple[str, ...]
    epochs: tuple[int, ...]
    crashes: tuple[tuple[str, ...], ...]
    generations: tuple[tuple[int, ...], ...]
    builds: tuple[tuple[str, ...], ...]
    tries: tuple[int, ...]
    quarantined: tuple[bool, ...]
    releases: tuple[int, ...]
    outlived: tuple[bool, ...]


@codec.message("suspected-parts", urgent=True, rows=(_COLUMNS,))
@dataclasses.dataclass(frozen=True, slots=True)
class PartRecords(SuspectRecords):
    """Records of suspected parts of prompts, like those of requests.

    The callers are digests of the services, the contents those of the parts.
    """


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
    suspect: SuspectRecords
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
    suspect: SuspectRecords


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
