"""Straight lines through measured points."""

import dataclasses
import statistics


@dataclasses.dataclass(frozen=True)
class Slope:
    """A straight line, and how well it fits.

    Attributes:
        name: What was measured, over what.
        unit: The unit of what was measured.
        base: The value at nothing.
        slope: What one more adds.
        points: What was measured.
    """

    name: str
    unit: str
    base: float
    slope: float
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """Returns the value at a size."""
        return self.base + self.slope * size


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fits a line by least squares."""
    xs = [x for x, _ in points]
    ys = [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    return Slope(name, unit, line.intercept, line.slope, tuple(points))
