"""What replays came to, side by side."""

from martenjunction_lab.replays import ablations
from martenjunction_lab.replays import loads
from martenjunction_lab.replays import replay

HEAD = f"{'without':26} {'worth':>6}  asked/in time/late/refused/lost"


def table(load: str, without: list[str]) -> str:
    """Replays a load under the present policy and its ablations.

    Args:
        load: The load's name.
        without: Names of the ablations.

    Returns:
        A line for each.
    """
    lines = [HEAD]
    for name in without:
        with ablations.ablations.get(name)():
            run = replay.Replay(loads.loads.get(load)())
            run.run()
        lines.append(f"{name:26} {run.worth:6.3f}  {_counts(run)}")
    return "\n".join(lines)


def _counts(run: replay.Replay) -> str:
    return "  ".join(
        f"{kind} {found.asked}/{found.in_time}/{found.late}"
        f"/{found.refused}/{found.lost}"
        for kind, found in run.results.items()
    )
