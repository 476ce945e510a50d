"""Tables and plots of what was seen over losses."""

from collections.abc import Iterable
import pathlib

from matplotlib import figure

from martenjunction_lab.stream_losses import outcome

HEADINGS = (
    "trial",
    "seed",
    "streams",
    "joined",
    "torn",
    "whole",
    "after a loss: gone on",
    "refused",
    "failed",
    "streams with their version served: taken up, gone on",
    "refusals of a stream: mean, most",
    "refused as",
)

# Width of the bars of a plot, in seconds.
BAR_S = 0.25

COLOURS = {
    outcome.Ending.GONE_ON: "tab:green",
    outcome.Ending.REFUSED: "tab:orange",
    outcome.Ending.FAILED: "tab:gray",
    outcome.Ending.JOINED: "tab:red",
}


# How attempts end that a box answered.
ANSWERED = tuple(
    ending for ending in outcome.Ending if ending is not outcome.Ending.FAILED
)


def headings() -> str:
    """Returns the first lines of a table."""
    return f"{_line(HEADINGS)}\n{_line(['---'] * len(HEADINGS))}"


def row(name: str, seed: int, seen: outcome.Outcome) -> str:
    """Returns the line of a trial in a table."""
    counted = {ending: seen.after_loss(ending) for ending in outcome.Ending}
    refusals = seen.refusals or [0]
    mean = sum(refusals) / len(refusals)
    codes = "; ".join(
        f"{count} x {code}" for code, count in seen.refused.most_common()
    )
    return _line(
        (
            name,
            seed,
            seen.streams,
            seen.joined,
            seen.torn,
            seen.whole,
            counted[outcome.Ending.GONE_ON],
            counted[outcome.Ending.REFUSED],
            counted[outcome.Ending.FAILED],
            f"{seen.streams_after_loss(*ANSWERED)},"
            f" {seen.streams_after_loss(outcome.Ending.GONE_ON)}",
            f"{mean:.1f}, {max(refusals)}",
            codes,
        )
    )


def plot(seen: dict[str, outcome.Outcome], file: pathlib.Path) -> None:
    """Draws attempts to take up streams over time.

    Args:
        seen: What was seen, by title.
        file: The picture; its suffix decides the format.
    """
    drawn = figure.Figure(figsize=(9, 2.6 * len(seen)), layout="constrained")
    all_axes = drawn.subplots(len(seen), 1, squeeze=False)
    for axes, (title, one) in zip(all_axes.flat, seen.items(), strict=True):
        last_s = max((taken.at_s for taken in one.take_ups), default=0.0)
        edges = [bar * BAR_S for bar in range(int(last_s / BAR_S) + 2)]
        axes.hist(
            [
                [taken.at_s for taken in one.take_ups if taken.ending is ending]
                for ending in COLOURS
            ],
            bins=edges,
            stacked=True,
            color=list(COLOURS.values()),
            label=[f"{ending}" for ending in COLOURS],
        )
        for at_s in one.losses_s:
            axes.axvline(at_s, color="black", linestyle="--", linewidth=0.8)
        axes.set_title(title)
        axes.set_ylabel(f"attempts in {BAR_S} s")
    all_axes.flat[0].legend()
    all_axes.flat[-1].set_xlabel("seconds")
    drawn.savefig(file)


def _line(cells: Iterable[object]) -> str:
    return f"| {' | '.join(map(str, cells))} |"
