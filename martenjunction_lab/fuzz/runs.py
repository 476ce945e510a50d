"""Runs of generated inputs, and what they found."""

import dataclasses
import random
import time

from martenjunction_lab.fuzz import minimiser
from martenjunction_lab.fuzz import targets

# Number of inputs between two looks at the clock.
_BATCH = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """An input that shows a fault.

    Attributes:
        target: Name of the target.
        fault: What is wrong; see `targets.judge`.
        number: How many inputs were tried before.
        data: The smallest input found that shows the same.
    """

    target: str
    fault: str
    number: int
    data: bytes


@dataclasses.dataclass
class Run:
    """The inputs of one target.

    Attributes:
        target: Name of the target.
        seed: Seed of the generator.
        inputs: Number of inputs that were tried.
        failed: Number of those that showed a fault.
        elapsed_s: Seconds that they took, with their generation.
        longest_s: Longest time of one input in seconds, as the clock shows it.
        times: Number of inputs by the binary logarithm of their time in
            microseconds, rounded up.
        findings: The first input for each fault.
    """

    target: str
    seed: int
    inputs: int = 0
    failed: int = 0
    elapsed_s: float = 0.0
    longest_s: float = 0.0
    times: list[int] = dataclasses.field(default_factory=lambda: [0] * 32)
    findings: list[Finding] = dataclasses.field(default_factory=list)

    @property
    def rate(self) -> float:
        """Inputs per second."""
        return self.inputs / self.elapsed_s if self.elapsed_s else 0.0


def run(
    name: str,
    seed: int,
    seconds: float | None = None,
    count: int | None = None,
) -> Run:
    """Tries inputs until a time or a number of them is reached.

    Args:
        name: Name of the target.
        seed: Decides the inputs.
        seconds: Seconds after which it ends; None for no limit.
        count: Number of inputs after which it ends; None for no limit.
    """
    target = targets.registered.get(name)()
    return run_target(target, name, seed, seconds, count)


def run_target(
    target: targets.Target,
    name: str,
    seed: int,
    seconds: float | None = None,
    count: int | None = None,
) -> Run:
    """Tries inputs of a target; see `run`."""
    rng = random.Random(f"{name}/{seed}")
    result = Run(name, seed)
    seen: dict[str, tuple[int, bytes]] = {}
    clock = time.perf_counter
    began = clock()
    while count is None or result.inputs < count:
        is_due = seconds is not None and result.inputs % _BATCH == 0
        if is_due and clock() - began >= (seconds or 0.0):
            break
        data = target.generate(rng)
        input_began = clock()
        fault = targets.judge(target, data)
        spent = clock() - input_began
        result.times[min(int(spent * 1e6).bit_length(), 31)] += 1
        result.longest_s = max(result.longest_s, spent)
        if fault:
            result.failed += 1
            seen.setdefault(fault, (result.inputs, data))
        result.inputs += 1
    result.elapsed_s = clock() - began
    result.findings = [
        Finding(name, fault, number, _shrink(target, fault, data))
        for fault, (number, data) in seen.items()
    ]
    return result


def _shrink(target: targets.Target, fault: str, data: bytes) -> bytes:
    return minimiser.shrink(
        data, lambda smaller: targets.judge(target, smaller) == fault
    )
