"""How long changes of the configuration take, by fleet and situation."""

from collections.abc import Iterator
import dataclasses

from martenjunction_lab.spread import fleet

SIZES = (9, 30, 87)

# What a fleet meets, by name.
SITUATIONS = {
    "calm": fleet.Site(boxes=0),
    "a fifth short of time": fleet.Site(
        boxes=0, slow_part=0.2, slow_speed=0.01
    ),
    "grown, a third without the store": fleet.Site(
        boxes=0, first_routes=49, routes=1452, turned_away_part=0.35
    ),
}


@dataclasses.dataclass(frozen=True)
class Row:
    """One fleet in one situation.

    Attributes:
        boxes: How many boxes there are.
        situation: What they meet.
        median_s: Seconds until a change is in force, for half of all.
        late_s: The same for 99 of 100.
        most_bytes: Bytes that left the busiest box.
    """

    boxes: int
    situation: str
    median_s: float
    late_s: float
    most_bytes: int


def rows() -> Iterator[Row]:
    """Simulates each fleet in each situation: four changes, 1 s apart."""
    for boxes in SIZES:
        for situation, site in SITUATIONS.items():
            made = fleet.Fleet(
                dataclasses.replace(
                    site, boxes=boxes, versions=4, gap_s=1.0, tail_s=6.0
                )
            )
            seconds = list(made.run().values())
            yield Row(
                boxes,
                situation,
                fleet.percentile(seconds, 0.5),
                fleet.percentile(seconds, 0.99),
                max(box.machine.bytes_out for box in made.boxes.values()),
            )


def text() -> Iterator[str]:
    """Returns the rows as lines, each as soon as it is known."""
    yield f"{'boxes':>5}  {'p50 s':>6}  {'p99 s':>6}  {'kB out':>7}  situation"
    for row in rows():
        yield (
            f"{row.boxes:>5}  {row.median_s:>6.2f}  {row.late_s:>6.2f}"
            f"  {row.most_bytes / 1000:>7.0f}  {row.situation}"
        )
