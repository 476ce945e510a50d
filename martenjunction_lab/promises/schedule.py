"""Draws behaviours and their times from a seed."""

from collections.abc import Sequence
import itertools
import random

from martenjunction_lab.promises import behaviours

# Registers its kinds when it is imported.
from martenjunction_lab.promises import endpoint_behaviours  # noqa: F401
from martenjunction_lab.promises import fleet
from martenjunction_lab.promises import other_behaviours  # noqa: F401
from martenjunction_lab.promises import silent_links  # noqa: F401

Part = behaviours.Part

# Earliest and latest begin of the first behaviour, in seconds.
BEGINS_S = (1.5, 2.5)

# Longest pause between two behaviours in series, in seconds.
MAX_PAUSE_S = 0.5

# Names of the parts that a behaviour can be on.
_NAMES: dict[Part, tuple[str, ...]] = {part: (part.value,) for part in Part} | {
    Part.ENDPOINT: tuple(fleet.ranked_names()),
    Part.BOX: tuple(fleet.box_names()),
}


def pairs(kinds: Sequence[str] = ()) -> list[tuple[str, str]]:
    """Returns all pairs of kinds.

    A kind pairs with itself if there are several parts that it can be on.

    Args:
        kinds: The kinds; all if empty.

    Raises:
        KeyError: If there is no such kind.
    """
    chosen = {behaviours.KINDS[name].name for name in kinds}
    return [
        (first, second)
        for first, second in itertools.combinations_with_replacement(
            sorted(chosen or behaviours.KINDS), 2
        )
        if first != second or len(_names(first)) > 1
    ]


def all_pairs(
    kinds: Sequence[str] = (), among: Sequence[str] = ()
) -> list[tuple[str, str]]:
    """Returns each pair of kinds once, in the order of their names.

    Each kind pairs with itself as well.

    Args:
        kinds: The kinds; all if empty.
        among: Kinds of which each pair has at least one; any if empty.

    Raises:
        KeyError: If there is no such kind.
    """
    chosen = {behaviours.KINDS[name].name for name in kinds}
    wanted = {behaviours.KINDS[name].name for name in among}
    return [
        pair
        for pair in itertools.combinations_with_replacement(
            sorted(chosen or behaviours.KINDS), 2
        )
        if not wanted or wanted.intersection(pair)
    ]


def draw_pair(
    seed: int, kinds: Sequence[str] = ()
) -> tuple[behaviours.Behaviour, ...]:
    """Draws two behaviours, which overlap or follow each other.

    Two that are on the same sort of part are on the same one or on two.

    Args:
        seed: Decides all.
        kinds: The kinds that it is drawn from; all if empty.

    Raises:
        IndexError: If the kinds make no pair.
        KeyError: If there is no such kind.
    """
    draw = random.Random(f"pair {seed}")
    return _draw_two(draw, draw.choice(pairs(kinds)))


def draw_named_pair(
    seed: int, kinds: tuple[str, str]
) -> tuple[behaviours.Behaviour, ...]:
    """Draws two behaviours of the kinds of a pair.

    A kind that can be on one part only follows itself there.

    Args:
        seed: Decides when, where and how strong.
        kinds: The kinds.

    Raises:
        KeyError: If there is no such kind.
    """
    return _draw_two(random.Random(f"named {seed} {kinds}"), kinds)


def draw_one(seed: int, kind: str) -> tuple[behaviours.Behaviour, ...]:
    """Draws a behaviour of a kind, alone.

    Args:
        seed: Decides when, where and how strong.
        kind: The kind.
    """
    draw = random.Random(f"one {seed} {kind}")
    return (_draw(draw, kind, draw.uniform(*BEGINS_S), ""),)


def _names(kind: str) -> tuple[str, ...]:
    return _NAMES[behaviours.KINDS[kind].part]


def _draw_two(
    draw: random.Random, kinds: tuple[str, str]
) -> tuple[behaviours.Behaviour, ...]:
    """Draws two behaviours, which overlap or follow each other."""
    drawn = list(kinds)
    draw.shuffle(drawn)
    first = _draw(draw, drawn[0], draw.uniform(*BEGINS_S), "")
    at_s = first.at_s + first.for_s + draw.uniform(0.0, MAX_PAUSE_S)
    one_part = drawn[0] == drawn[1] and len(_names(drawn[0])) == 1
    if draw.random() < 0.5 and not one_part:
        at_s = first.at_s + draw.uniform(0.0, first.for_s)
    taken = first.on if drawn[0] == drawn[1] and not one_part else ""
    return first, _draw(draw, drawn[1], at_s, taken)


def _draw(
    draw: random.Random, name: str, at_s: float, taken: str
) -> behaviours.Behaviour:
    """Draws the rest of a behaviour.

    Args:
        draw: Where it is drawn from.
        name: Its kind.
        at_s: When it begins.
        taken: A part that it is not on; empty for none.
    """
    kind = behaviours.KINDS[name]
    return behaviours.Behaviour(
        name,
        round(at_s, 3),
        round(draw.uniform(*kind.for_s), 3),
        round(draw.uniform(*kind.share), 2),
        round(draw.uniform(*kind.strength), 2),
        draw.choice([one for one in _names(name) if one != taken]),
    )
