"""The record in the store of who holds the duties, and of what was decided.

What leaves for the platform is written here before: whoever holds the duties
next finds it and sends exactly the same.
"""

from typing import Annotated

import msgspec

from martenjunction import decoding
from martenjunction import errors
from martenjunction.decisions.duties import lease

KIND = "martenjunction-duties"
NAME = "holder"

_Count = Annotated[int, msgspec.Meta(ge=0)]


class Window(msgspec.Struct, frozen=True):
    """The usage of a window, which never changes once it is recorded.

    Attributes:
        number: The window's number.
        counts: Requests that began to run, by workspace.
    """

    number: _Count
    counts: dict[str, _Count]


class Order(msgspec.Struct, frozen=True):
    """The last order of engines of one kind in an availability zone.

    Attributes:
        service: The service.
        zone: The availability zone.
        reclaimable: Whether the platform may take the engines away.
        count: The number of engines that were ordered.
    """

    service: str
    zone: str
    reclaimable: bool
    count: _Count


class DutyRecord(msgspec.Struct, frozen=True):
    """The whole record.

    Attributes:
        holder: The box that holds the duties.
        incarnation: The start of its daemon.
        fence: Rises with each takeover.
        released: Whether the holder has given the duties up.
        settled: The last window of usage that is dealt with; -1 for none.
        windows: Windows after it that are recorded, in order.
        orders: The last order of each kind.
    """

    holder: str
    incarnation: _Count
    fence: _Count
    released: bool = False
    settled: int = -1
    windows: tuple[Window, ...] = ()
    orders: tuple[Order, ...] = ()

    @property
    def last_window(self) -> int:
        """The last window that is recorded or settled; -1 for none."""
        return self.windows[-1].number if self.windows else self.settled

    @property
    def tenure(self) -> lease.Tenure:
        """Who holds the duties."""
        return lease.Tenure(
            self.holder, self.incarnation, self.fence, self.released
        )

    def with_tenure(self, tenure: lease.Tenure) -> "DutyRecord":
        """Returns the record with another holder."""
        return msgspec.structs.replace(
            self,
            holder=tenure.holder,
            incarnation=tenure.incarnation,
            fence=tenure.fence,
            released=tenure.released,
        )


def decode(spec: bytes) -> DutyRecord:
    """Decodes the record.

    Raises:
        PlatformError: If it is malformed.
    """
    try:
        return decoding.from_json(spec, DutyRecord)
    except errors.MalformedError as error:
        raise errors.PlatformError(f"malformed duty record: {error}") from error


EMPTY = DutyRecord("", 0, 0)
