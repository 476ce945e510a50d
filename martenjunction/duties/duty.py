"""What the holder of the duties performs, by kind."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import Protocol

from martenjunction import registry
from martenjunction.duties import record
from martenjunction.platform import duty_calls


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


duties: registry.Registry[Callable[..., Duty]] = registry.Registry("duty")
