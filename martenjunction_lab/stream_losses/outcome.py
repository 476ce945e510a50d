"""What clients saw of their streams over losses."""

import collections
import dataclasses
import enum


class Ending(enum.StrEnum):
    """How an attempt to take up a stream ended."""

    GONE_ON = "gone on"
    JOINED = "joined"
    REFUSED = "refused"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True)
class TakeUp:
    """An attempt to take up a stream.

    Attributes:
        at_s: Seconds from the start of the trial.
        ending: How it ended.
        after_loss: Whether a loss lies between it and the first event.
        is_served: Whether the version of the stream was listed at a service to
            which the route leads.
    """

    at_s: float
    ending: Ending
    after_loss: bool
    is_served: bool


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        streams: Streams of which an event came.
        joined: Those that held events of several versions.
        torn: Those in which an event was missing or came twice.
        whole: Those that came to their end.
        take_ups: All attempts to take up a stream.
        refused: Refused attempts by status and body.
        refusals: For each stream that was refused after a loss, how often.
        losses_s: Seconds from the start of the trial to each loss.
    """

    streams: int = 0
    joined: int = 0
    torn: int = 0
    whole: int = 0
    take_ups: list[TakeUp] = dataclasses.field(default_factory=list)
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refusals: list[int] = dataclasses.field(default_factory=list)
    losses_s: list[float] = dataclasses.field(default_factory=list)

    def after_loss(self, ending: Ending, is_served: bool | None = None) -> int:
        """Returns how many attempts after a loss ended in some way.

        Args:
            ending: The way.
            is_served: Whether the version of the stream was still served; any
                if None.
        """
        return sum(
            one.ending is ending
            and one.after_loss
            and is_served in (None, one.is_served)
            for one in self.take_ups
        )
