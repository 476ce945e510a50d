"""Spans of time that can be asked whether one overlaps with another."""

import bisect
import collections
from collections.abc import Iterable
import itertools

# Begin and end, in seconds; both belong to the span.
Span = tuple[float, float]


class Spans:
    """Spans of time, which may overlap."""

    def __init__(self, made: Iterable[Span]) -> None:
        """Takes spans in any order."""
        ordered = sorted(made)
        self._begins = [begin for begin, _ in ordered]
        self._latest_ends = list(
            itertools.accumulate((end for _, end in ordered), max)
        )

    def overlap(self, since: float, until: float) -> bool:
        """Returns whether some span has a time in common with another one.

        Args:
            since: Begin of the other one in seconds.
            until: Its end in seconds.
        """
        begun = bisect.bisect_right(self._begins, until)
        return begun > 0 and self._latest_ends[begun - 1] >= since


class PartSpans:
    """Spans of time by the parts that they concern."""

    def __init__(self, made: Iterable[tuple[tuple[str, ...], Span]]) -> None:
        """Takes the parts and the time of each span."""
        by_part: dict[str | None, list[Span]] = collections.defaultdict(list)
        for parts, span in made:
            for part in {None, *parts}:
                by_part[part].append(span)
        self._spans = {part: Spans(its) for part, its in by_part.items()}

    def overlap(self, part: str | None, since: float, until: float) -> bool:
        """Returns whether a span of a part overlaps with another one.

        Args:
            part: The part; None for all parts.
            since: Begin of the other span in seconds.
            until: Its end in seconds.
        """
        found = self._spans.get(part)
        return found is not None and found.overlap(since, until)
