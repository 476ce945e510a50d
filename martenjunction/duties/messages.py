"""Messages between boxes on the duties of the fleet."""

from collections.abc import Iterable
import dataclasses

from martenjunction import errors
from martenjunction.decisions.duties import usage_counts
from martenjunction.peers import codec

# Limits on what a message may contain; one beyond them is invalid.
MAX_ROWS = usage_counts.MAX_ROWS
MAX_COUNT = 2**40
MAX_KEY = 2**64


@codec.message("duty-heartbeat")
@dataclasses.dataclass(frozen=True, slots=True)
class DutyHeartbeat:
    """A heartbeat of the holder of the duties.

    Attributes:
        holder: The box.
        incarnation: The start of its daemon.
        fence: Its fencing token.
        released: Whether it has given the duties up.
        era: The era of the record's revision.
        revision: The number of the record's revision.
        number: Rises with each message of a holder.
        settled: The last window of usage that is recorded.
    """

    holder: str
    incarnation: int
    fence: int
    released: bool
    era: int
    revision: int
    number: int
    settled: int


@codec.message(
    "usage-rows", rows=(("sources", "windows", "workspaces", "counts"),)
)
@dataclasses.dataclass(frozen=True, slots=True)
class UsageRows:
    """Counts of usage; the fields have an item for each row but for one.

    Attributes:
        sources: The start of the box that counted.
        windows: The windows.
        workspaces: The positions of the workspaces in `names`.
        counts: The requests.
        names: The workspaces.
    """

    sources: tuple[int, ...]
    windows: tuple[int, ...]
    workspaces: tuple[int, ...]
    counts: tuple[int, ...]
    names: tuple[str, ...]


def encode_rows(rows: Iterable[usage_counts.Row]) -> UsageRows:
    """Returns a message with counts of usage."""
    listed = list(rows)
    names = sorted({row.workspace for row in listed})
    positions = {name: number for number, name in enumerate(names)}
    return UsageRows(
        tuple(row.source for row in listed),
        tuple(row.window for row in listed),
        tuple(positions[row.workspace] for row in listed),
        tuple(row.count for row in listed),
        tuple(names),
    )


def decode_rows(message: UsageRows) -> list[usage_counts.Row]:
    """Returns the counts in a message, without rows that are out of range.

    Raises:
        PeerError: If the columns do not fit together.
    """
    columns = (
        message.sources,
        message.windows,
        message.workspaces,
        message.counts,
    )
    if len({len(column) for column in columns}) != 1:
        raise errors.PeerError("the columns of usage rows do not fit")
    if len(message.counts) > MAX_ROWS:
        raise errors.PeerError("too many usage rows")
    limits = (MAX_KEY, MAX_COUNT, len(message.names), MAX_COUNT)
    return [
        usage_counts.Row(source, window, message.names[position], count)
        for source, window, position, count in zip(*columns, strict=True)
        if all(
            0 <= value < limit
            for value, limit in zip(
                (source, window, position, count), limits, strict=True
            )
        )
    ]
