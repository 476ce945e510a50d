"""Lines and plots of runs."""

from collections.abc import Sequence
import json
import pathlib

from matplotlib import figure

from martenjunction_lab.fuzz import runs

# What a line shows of an input.
_MAX_SHOWN = 200


def line(run: runs.Run) -> str:
    """Returns a run as one JSON object."""
    return json.dumps(
        {
            "target": run.target,
            "seed": run.seed,
            "inputs": run.inputs,
            "failed": run.failed,
            "seconds": round(run.elapsed_s, 2),
            "inputs_per_s": round(run.rate),
            "longest_ms": round(run.longest_s * 1000, 2),
            "findings": [
                {
                    "fault": finding.fault,
                    "number": finding.number,
                    "bytes": len(finding.data),
                    "input": repr(finding.data[:_MAX_SHOWN]),
                }
                for finding in run.findings
            ],
        }
    )


def plot(played: Sequence[runs.Run], file: pathlib.Path) -> None:
    """Draws inputs, inputs per second and times by target.

    Args:
        played: The runs.
        file: The picture; its suffix decides the format.
    """
    drawing = figure.Figure(figsize=(14, 1.5 + 0.35 * len(played)))
    inputs, rates, times = drawing.subplots(1, 3, sharey=True)
    names = [run.target for run in played]
    inputs.barh(names, [run.inputs for run in played])
    inputs.set_xlabel("inputs")
    rates.barh(names, [run.rate for run in played])
    rates.set_xlabel("inputs per second")
    for number, run in enumerate(played):
        # Each bucket ends at a power of two of microseconds.
        for power, count in enumerate(run.times):
            if count:
                times.scatter(
                    2**power,
                    number,
                    s=4 + 120 * count / run.inputs,
                    color="tab:blue",
                )
    times.set_xscale("log")
    times.set_xlabel("time of an input in microseconds (area: share)")
    for axes in (inputs, rates):
        axes.set_xscale("log")
    drawing.tight_layout()
    drawing.savefig(file)
