"""What the holder of the duties performs, by kind."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
from typing import Any
from typing import Protocol

from martenjunction import model
from martenjunction import registry
from martenjunction.decisions.duties import usage_counts
from martenjunction.duties import record
from martenjunction.platform import box_settings
from martenjunction.platform import duty_calls
from martenjunction.routing.endpoints import endpoint_table
from martenjunction.routing.log import decision_log


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to the platform that is due.

    Attributes:
        make: Makes the call.
        done: Records its outcome: the error, or None.
    """

    make: Callable[[duty_calls.Credentials], Awaitable[None]]
    done: Callable[[Exception | None, float], None]


class Duty(Protocol):
    """One kind of duty, as performed by its holder."""

    def begin(self, held: record.DutyRecord, now: float) -> None:
        """Starts performing the duty, from what the record says."""

    def prepare(self, held: record.DutyRecord, now: float) -> record.DutyRecord:
        """Returns the record with what is to be sent next."""

    def calls(self, held: record.DutyRecord, now: float) -> list[Call]:
        """Returns the calls that are due, all of which the record has."""

    def dump(self, now: float) -> dict[str, Any]:
        """Returns the state of the duty, for diagnostics."""


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What duties are built from.

    Attributes:
        settings: The duties of the deployment.
        counts: The counts of usage.
        calls: Makes the calls of duties.
        wall_time: Returns seconds since 1970 at a monotonic time.
        config: Returns the configuration in force, or None.
        endpoints: The endpoints, their loads, and the demand.
        log: Receives what is decided.
        rng: Random source for jitter.
    """

    settings: box_settings.DutySettings
    counts: usage_counts.UsageCounts
    calls: duty_calls.DutyCalls
    wall_time: Callable[[float], float]
    config: Callable[[], model.RoutingConfig | None]
    endpoints: endpoint_table.EndpointTable
    log: decision_log.DecisionLog
    rng: random.Random


builders: registry.Registry[Callable[[Parts], Duty]] = registry.Registry("duty")
