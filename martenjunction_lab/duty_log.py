"""The calls of duties that a stand-in of the platform took."""

import collections
import dataclasses
from typing import Any


@dataclasses.dataclass(frozen=True)
class DutyCall:
    """A call of a duty, as it arrived.

    Attributes:
        path: What is called: usage or scale.
        holder: The daemon that holds the duty.
        fence: Its fencing token.
        body: What it says.
    """

    path: str
    holder: str
    fence: int
    body: dict[str, Any]


class DutyLog:
    """The calls of duties that were accepted, and how the next ones fare."""

    def __init__(self) -> None:
        """Makes an empty log that accepts all calls."""
        self.accepted: list[DutyCall] = []
        self.statuses: collections.deque[int] = collections.deque()

    @property
    def usage(self) -> dict[int, dict[str, int]]:
        """The counts of each window that was reported."""
        return {
            call.body["window_id"]: call.body["counts"]
            for call in self.accepted
            if call.path == "usage"
        }

    def take(self, call: DutyCall) -> int:
        """Takes a call; returns the status of its answer."""
        status = self.statuses.popleft() if self.statuses else 200
        if status == 200:
            self.accepted.append(call)
        return status
