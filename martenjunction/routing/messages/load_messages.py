"""Messages with sums of the loads of many boxes."""

import dataclasses
from typing import TypeVar

from martenjunction import errors
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import endpoint_outcomes
from martenjunction.decisions.boxes import load_sums
from martenjunction.decisions.boxes import prefill_demand
from martenjunction.peers import codec

# Limits on what a message may contain; one beyond them is invalid.
MAX_ROWS = 65_536
MAX_SERVICES = 256
MAX_COUNT = 2**40
MAX_HEIGHT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Sums:
    """Sums of loads.

    Attributes:
        height: Levels of boxes below the sender.
        endpoints: Keys of the endpoints; see `load_sums.endpoint_key`.
        row_counts: Number of rows of each endpoint in the next three fields.
        kinds: For each row, twice the urgency, plus 1 for long prompts.
        running: For each row, the requests in flight.
        backlog: For each row, their prompt tokens that are not prefilled yet.
        sent_per_s: For each endpoint, the prompt tokens sent per second.
        failing: Keys of the endpoints that fail some requests.
        ended: For each of them, the requests that ended, in hundredths per
            second.
        failed: For each of them, those that failed.
        services: Engine services with prefill demand.
        short_demand: Their demand by short prompts, in tokens per second.
        long_demand: Their demand by long prompts, in tokens per second.
        estimate_services: For each estimate of an engine profile, the position
            of its service in `services`.
        estimates: The estimates; see `load_sums.Estimate`.
    """

    height: int
    endpoints: tuple[int, ...]
    row_counts: tuple[int, ...]
    kinds: tuple[int, ...]
    running: tuple[int, ...]
    backlog: tuple[int, ...]
    sent_per_s: tuple[int, ...]
    failing: tuple[int, ...]
    ended: tuple[int, ...]
    failed: tuple[int, ...]
    services: tuple[str, ...]
    short_demand: tuple[int, ...]
    long_demand: tuple[int, ...]
    estimate_services: tuple[int, ...]
    estimates: tuple[tuple[int, int, int], ...]


@codec.message("load-sum", replaces=True)
@dataclasses.dataclass(frozen=True, slots=True)
class LoadSum(_Sums):
    """The loads of the sender and of all boxes below it in the tree."""

    def after(self, older: "LoadSum") -> "LoadSum":
        """Returns this message, which replaces an earlier one."""
        return self


@codec.message("load-total", replaces=True)
@dataclasses.dataclass(frozen=True, slots=True)
class LoadTotal(_Sums):
    """The loads of all boxes, or of the part of the tree with the sender."""

    def after(self, older: "LoadTotal") -> "LoadTotal":
        """Returns this message, which replaces an earlier one."""
        return self


T = TypeVar("T", LoadSum, LoadTotal)


def encode_sum(sums: load_sums.LoadSums, height: int) -> LoadSum:
    """Returns a message to the parent.

    Args:
        sums: The sums.
        height: Levels of boxes below this one.
    """
    return _encode(LoadSum, sums, height)


def encode_total(sums: load_sums.LoadSums) -> LoadTotal:
    """Returns a message to the children."""
    return _encode(LoadTotal, sums, 0)


def decode(message: LoadSum | LoadTotal) -> load_sums.LoadSums:
    """Returns the sums in a message.

    Raises:
        PeerError: If the columns do not fit together or a number is out of
            range.
    """
    _check(message)
    result = load_sums.LoadSums()
    row = 0
    for endpoint, count, sent in zip(
        message.endpoints, message.row_counts, message.sent_per_s, strict=True
    ):
        for _ in range(count):
            kind = message.kinds[row]
            key = endpoint_loads.LoadKey(kind // 2, bool(kind % 2))
            result.loads[endpoint, key] = endpoint_loads.Load(
                message.running[row], message.backlog[row]
            )
            row += 1
        if sent:
            result.sent_per_s[endpoint] = float(sent)
    for endpoint, ended, failed in zip(
        message.failing, message.ended, message.failed, strict=True
    ):
        result.outcomes[endpoint] = (
            ended * endpoint_outcomes.UNIT_PER_S,
            failed * endpoint_outcomes.UNIT_PER_S,
        )
    for name, short, long in zip(
        message.services, message.short_demand, message.long_demand, strict=True
    ):
        result.demand[name] = prefill_demand.PrefillRates(short, long)
    for service, values in zip(
        message.estimate_services, message.estimates, strict=True
    ):
        result.estimates.setdefault(message.services[service], []).append(
            load_sums.Estimate(*values)
        )
    return result


def _encode(kind: type[T], sums: load_sums.LoadSums, height: int) -> T:
    rows: dict[int, list[tuple[int, int, int]]] = {
        endpoint: [] for endpoint in sums.sent_per_s
    }
    for (endpoint, key), load in sums.loads.items():
        rows.setdefault(endpoint, []).append(
            (2 * key.urgency + key.is_long, load.running, load.backlog_tokens)
        )
    flat = [row for of_endpoint in rows.values() for row in of_endpoint]
    services = list(dict.fromkeys([*sums.demand, *sums.estimates]))
    demand = [
        sums.demand.get(name, prefill_demand.PrefillRates())
        for name in services
    ]
    estimates = [
        (services.index(name), estimate)
        for name, drawn in sums.estimates.items()
        for estimate in drawn
    ]
    return kind(
        height=height,
        endpoints=tuple(rows),
        row_counts=tuple(len(of_endpoint) for of_endpoint in rows.values()),
        kinds=tuple(row[0] for row in flat),
        running=tuple(row[1] for row in flat),
        backlog=tuple(row[2] for row in flat),
        sent_per_s=tuple(
            round(sums.sent_per_s.get(endpoint, 0.0)) for endpoint in rows
        ),
        failing=tuple(sums.outcomes),
        ended=endpoint_outcomes.to_units(
            ended for ended, _ in sums.outcomes.values()
        ),
        failed=endpoint_outcomes.to_units(
            failed for _, failed in sums.outcomes.values()
        ),
        services=tuple(services),
        short_demand=tuple(round(rates.short) for rates in demand),
        long_demand=tuple(round(rates.long) for rates in demand),
        estimate_services=tuple(service for service, _ in estimates),
        estimates=tuple(
            dataclasses.astuple(estimate) for _, estimate in estimates
        ),
    )


def _check(message: LoadSum | LoadTotal) -> None:
    """Checks that the columns of a message fit together.

    Raises:
        PeerError: If they do not, or if a number is out of range.
    """
    rows = len(message.kinds)
    endpoints = len(message.endpoints)
    services = len(message.services)
    lengths_fit = (
        len(message.row_counts) == endpoints
        and len(message.sent_per_s) == endpoints
        and len(message.ended) == len(message.failing)
        and len(message.failed) == len(message.failing)
        and sum(message.row_counts) == rows
        and len(message.running) == rows
        and len(message.backlog) == rows
        and len(message.short_demand) == services
        and len(message.long_demand) == services
        and len(message.estimate_services) == len(message.estimates)
    )
    if not lengths_fit or rows > MAX_ROWS or services > MAX_SERVICES:
        raise errors.PeerError("the columns of a load message do not fit")
    if not 0 <= message.height <= MAX_HEIGHT:
        raise errors.PeerError(f"a load message has height {message.height}")
    columns = (
        message.row_counts,
        message.kinds,
        message.running,
        message.backlog,
        message.sent_per_s,
        message.ended,
        message.failed,
        message.short_demand,
        message.long_demand,
        *message.estimates,
    )
    if any(
        min(c, default=0) < 0 or max(c, default=0) > MAX_COUNT for c in columns
    ):
        raise errors.PeerError("a load message has a number out of range")
    if any(not 0 <= s < services for s in message.estimate_services):
        raise errors.PeerError("a load message has an unknown service")
