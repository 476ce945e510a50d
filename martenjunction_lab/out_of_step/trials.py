"""What is played while a version joins and boxes are out of step."""

import dataclasses
import enum


class Out(enum.StrEnum):
    """What the boxes that are out of step lose."""

    NOTHING = "nothing"
    LINKS = "bytes to and from the other boxes are held"
    LINKS_AND_STORE = "these, and those to and from the store"
    STORE = "those to and from the store"


@dataclasses.dataclass(frozen=True)
class Trial:
    """One release during which some boxes are out of step.

    Attributes:
        boxes: How many boxes there are.
        out: What those out of step lose.
        boxes_out: How many are out of step, together.
        out_s: Seconds for which they are.
        lead_s: Seconds from the beginning of that to the new version.
        stays_s: Seconds until the new version leaves; 0 for never.
        resets: Whether held connections are reset at the end.
        per_s: Streams that begin a second.
        breaking: Part of the new version's runs that break off inside an event.
        at_out: Part of the take-ups that come to a box out of step.
        pause_s: Shortest and longest time in seconds to a take-up.
        settle_s: Seconds from the ready boxes to the first loss.
        after_s: Seconds for which streams begin after the end.
        deadline_s: Seconds for which a client wants its stream.
        seed: Decides the rest.
    """

    boxes: int = 36
    out: Out = Out.LINKS_AND_STORE
    boxes_out: int = 1
    out_s: float = 4.0
    lead_s: float = 1.0
    stays_s: float = 0.0
    resets: bool = False
    per_s: float = 25.0
    breaking: float = 0.6
    at_out: float = 0.8
    pause_s: tuple[float, float] = (0.05, 0.35)
    settle_s: float = 6.0
    after_s: float = 1.0
    deadline_s: float = 3.0
    seed: int = 1
