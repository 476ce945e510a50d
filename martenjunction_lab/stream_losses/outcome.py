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
        stream: Number of the stream.
        at_s: Seconds from the start of the trial.
        ending: How it ended.
        after_loss: Whether a loss lies between it and the first event.
        is_served: Whether the version of the stream was listed at a service to
            which the route leads.
    """

    stream: int
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

    @property
    def refusals(self) -> list[int]:
        """For each stream that was refused after a loss, how often it was."""
        counted = collections.Counter(
            one.stream
            for one in self.take_ups
            if one.after_loss and one.ending is Ending.REFUSED
        )
        return list(counted.values())

    def streams_after_loss(self, *endings: Ending) -> int:
        """Returns how many streams had an attempt after a loss that ended so.

        Only attempts while the version of the stream was served count.

        Args:
            endings: The ways in which it may have ended.
        """
        return len(
            {
                one.stream
                for one in self.take_ups
                if one.after_loss and one.is_served and one.ending in endings
            }
        )
