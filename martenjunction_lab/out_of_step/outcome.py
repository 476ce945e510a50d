"""What clients saw of streams while boxes were out of step."""

import collections
import dataclasses


@dataclasses.dataclass
class TakeUps:
    """Attempts to take streams up.

    Attributes:
        asked: All of them.
        gone_on: Those that brought an event or the end of the stream.
        refused: Those that were refused.
    """

    asked: int = 0
    gone_on: int = 0
    refused: int = 0


@dataclasses.dataclass
class Outcome:
    """What was seen.

    Attributes:
        begun: Streams by the version of their events, the newest if several;
            "" for none.
        joined: Those that held events of several versions.
        torn: Those in which an event was missing or came twice.
        whole: Those that came to their end.
        at_out: Take-ups at boxes that were out of step.
        elsewhere: All other take-ups.
    """

    begun: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    joined: int = 0
    torn: int = 0
    whole: int = 0
    at_out: TakeUps = dataclasses.field(default_factory=TakeUps)
    elsewhere: TakeUps = dataclasses.field(default_factory=TakeUps)
