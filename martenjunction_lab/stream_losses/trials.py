"""What is played while boxes lose what they know of streams."""

import dataclasses
import enum


class Versions(enum.StrEnum):
    """How the software versions of the engines follow each other."""

    ONE = "one"
    SIDE_BY_SIDE = "two side by side"
    REPLACED = "the old one leaves at each loss"
    BRIEF = "a new one comes before each loss and leaves right after it"


@dataclasses.dataclass(frozen=True)
class Trial:
    """A trial with some losses, one after the other.

    At a loss, in this order and where the trial has it: the engines of the old
    version lose their entries and serve on for a while, the operator changes
    the configuration, and the boxes are killed.

    Attributes:
        boxes: How many boxes there are.
        killed: How many of them are killed at once at a loss.
        away_s: Shortest and longest time in seconds until a killed box starts
            again.
        others_away_s: Further seconds for all killed boxes but one.
        suspended_s: Seconds for which the other boxes get no processor time
            from the start of a brief version on; only for box processes.
        versions: How versions follow each other.
        engines: Engines of each version.
        linger_s: Seconds for which engines without an entry serve on.
        timeout_s: The route's timeout, in seconds.
        later_timeout_s: The route's timeout from the first loss on, in seconds;
            0 if it is not changed.
        is_moved: Whether the route leads to another service from the first loss
            on, which has one version of its own.
        deadline_s: Seconds for which a client wants its stream, over all of its
            attempts.
        hidden: Whether clients do not say which request brought the first
            event of the stream that they take up.
        events: Events of a stream.
        pause_s: Seconds between two events.
        breaking: Part of the runs that break off inside an event.
        per_s: Streams that begin a second.
        losses: How many losses there are.
        loss_each_s: Seconds between two losses, and before the first.
        seconds: For how long streams are begun.
        seed: Decides the rest.
    """

    boxes: int = 4
    killed: int = 4
    away_s: tuple[float, float] = (0.2, 0.7)
    others_away_s: float = 0.0
    suspended_s: float = 0.0
    versions: Versions = Versions.REPLACED
    engines: int = 4
    linger_s: float = 2.0
    timeout_s: float = 3.0
    later_timeout_s: float = 0.0
    is_moved: bool = False
    deadline_s: float = 3.0
    hidden: bool = False
    events: int = 40
    pause_s: float = 0.05
    breaking: float = 0.0
    per_s: float = 25.0
    losses: int = 3
    loss_each_s: float = 6.0
    seconds: float = 24.0
    seed: int = 1

    def slowed(self, factor: float) -> "Trial":
        """Returns the trial with all of its times longer, for slow machines.

        The time for which boxes are away stays, as they start more slowly.
        """
        return dataclasses.replace(
            self,
            linger_s=self.linger_s * factor,
            timeout_s=self.timeout_s * factor,
            later_timeout_s=self.later_timeout_s * factor,
            deadline_s=self.deadline_s * factor,
            pause_s=self.pause_s * factor,
            per_s=self.per_s / factor,
            loss_each_s=self.loss_each_s * factor,
            seconds=self.seconds * factor,
        )


TRIALS = {
    "side-by-side": Trial(versions=Versions.SIDE_BY_SIDE),
    "old-leaves": Trial(),
    "longer-deadline": Trial(timeout_s=2.0, deadline_s=10.0),
    "longer-deadline-no-kill": Trial(killed=0, timeout_s=2.0, deadline_s=10.0),
    "longer-deadline-side-by-side": Trial(
        versions=Versions.SIDE_BY_SIDE, timeout_s=2.0, deadline_s=10.0
    ),
    "shorter-timeout": Trial(
        timeout_s=8.0, later_timeout_s=1.5, deadline_s=8.0
    ),
    "shorter-timeout-no-kill": Trial(
        killed=0, timeout_s=8.0, later_timeout_s=1.5, deadline_s=8.0
    ),
    "moved": Trial(
        versions=Versions.ONE,
        is_moved=True,
        timeout_s=2.0,
        deadline_s=10.0,
    ),
    "moved-no-kill": Trial(
        killed=0,
        versions=Versions.ONE,
        is_moved=True,
        timeout_s=2.0,
        deadline_s=10.0,
    ),
    "one-version": Trial(versions=Versions.ONE, deadline_s=10.0),
    "brief-version": Trial(versions=Versions.BRIEF, deadline_s=10.0),
    "all-but-one": Trial(killed=3, versions=Versions.SIDE_BY_SIDE),
    "one-back-earlier": Trial(
        others_away_s=2.0, timeout_s=2.0, deadline_s=10.0
    ),
    "two-losses": Trial(
        timeout_s=2.0,
        deadline_s=10.0,
        loss_each_s=2.5,
        losses=6,
    ),
}

_KILLED = Trial(
    timeout_s=1.0,
    deadline_s=6.0,
    linger_s=1.0,
    per_s=40.0,
    seconds=3.5,
    losses=1,
    loss_each_s=3.0,
)
_NOT_KILLED = Trial(
    killed=0,
    timeout_s=1.0,
    deadline_s=4.0,
    linger_s=1.0,
    seconds=5.0,
    losses=1,
    loss_each_s=2.5,
)

# Trials of some 10 s.
SHORT = {
    "short-longer-deadline": _KILLED,
    "short-longer-deadline-no-kill": _NOT_KILLED,
    "short-shorter-timeout": dataclasses.replace(
        _KILLED, timeout_s=6.0, later_timeout_s=0.8
    ),
    "short-moved": dataclasses.replace(
        _KILLED, versions=Versions.ONE, is_moved=True
    ),
    "short-moved-no-kill": dataclasses.replace(
        _NOT_KILLED, versions=Versions.ONE, is_moved=True
    ),
    "short-brief-version": dataclasses.replace(
        _KILLED, versions=Versions.BRIEF
    ),
    "short-brief-version-unseen": dataclasses.replace(
        _KILLED, killed=3, suspended_s=1.8, versions=Versions.BRIEF
    ),
    "short-hidden": dataclasses.replace(_KILLED, hidden=True),
    "short-side-by-side": dataclasses.replace(
        _KILLED, versions=Versions.SIDE_BY_SIDE
    ),
    "short-one-version": dataclasses.replace(_KILLED, versions=Versions.ONE),
    "short-one-back-earlier": dataclasses.replace(_KILLED, others_away_s=1.5),
}
