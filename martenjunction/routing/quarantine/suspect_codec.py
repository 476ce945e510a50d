"""Encodes and decodes records of suspected requests for peer messages."""

from collections.abc import Iterable
from collections.abc import Iterator

from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.routing.messages import suspect_messages

# Maximum length of a service, endpoint or build name accepted from a peer.
MAX_NAME = 256


def encode(
    suspects: Iterable[suspect_table.Suspect],
    message: type[
        suspect_messages.SuspectRecords
    ] = suspect_messages.SuspectRecords,
) -> suspect_messages.SuspectRecords:
    """Returns a message with the records of suspects.

    Args:
        suspects: The suspects.
        message: The type of the message.
    """
    rows = [(suspect.key, suspect.evidence) for suspect in suspects]
    return message(
        tuple(key.caller for key, _ in rows),
        tuple(key.content for key, _ in rows),
        tuple(held.service for _, held in rows),
        tuple(held.epoch for _, held in rows),
        tuple(tuple(held.crashes) for _, held in rows),
        tuple(tuple(held.crashes.values()) for _, held in rows),
        tuple(tuple(sorted(held.builds)) for _, held in rows),
        tuple(held.trials for _, held in rows),
        tuple(held.quarantined for _, held in rows),
        tuple(held.releases for _, held in rows),
        tuple(held.outlived for _, held in rows),
    )


def decode(
    message: suspect_messages.SuspectRecords,
) -> Iterator[tuple[content_key.ContentKey, suspicion.Suspicion]]:
    """Yields the key and the record of each request in a message.

    Invalid records are skipped: those with a digest of the wrong length, a
    count or generation below its minimum, or a name that is too long.
    """
    rows = zip(
        message.callers,
        message.contents,
        message.services,
        message.epochs,
        message.crashes,
        message.generations,
        message.builds,
        message.tries,
        message.quarantined,
        message.releases,
        message.outlived,
        strict=False,
    )
    for row in rows:
        caller, content, service, epoch, crashes, generations = row[:6]
        builds, tries, quarantined, releases, outlived = row[6:]
        if len(caller) != content_key.CALLER_BYTES:
            continue
        if len(content) != content_key.CONTENT_BYTES:
            continue
        if (
            min(epoch, tries, releases, 0) < 0
            or min(generations, default=1) < 1
        ):
            continue
        if any(len(name) > MAX_NAME for name in (service, *crashes, *builds)):
            continue
        key = content_key.ContentKey(caller, content)
        yield (
            key,
            suspicion.Suspicion(
                service,
                epoch,
                dict(zip(crashes, generations, strict=False)),
                frozenset(builds),
                tries,
                quarantined,
                releases,
                outlived,
            ),
        )
