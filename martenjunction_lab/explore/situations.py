"""Situations of a connection, after each of which every event is played.

Each of them is reached under every configuration, so that a change from any
configuration to any other meets all of them.
"""

import itertools

from martenjunction_lab.explore import configurations
from martenjunction_lab.explore import events

# Endpoints whose answers are known to be quick, and then take longer.
_KNOWN: events.Order = ("config-patient", "after-10", "many", "after-3000")

# A connection at rest.
RESTING: tuple[events.Order, ...] = tuple(
    (f"config-{name}", "safe", "answer")
    for name in configurations.LIMITS
    if name != "usual"
)
# An answer that arrives as the periodic checks are due.
CHECKED: tuple[events.Order, ...] = (
    ("unsafe", "wait-check", "answer&"),
    ("resumable", "wait-check", "answer&"),
)
# Answers that are late. What may be repeated has a second attempt by then.
LATE: tuple[events.Order, ...] = (
    ("safe", "wait-300"),
    ("unsafe", "wait-300"),
    ("resumable", "wait-300"),
    ("config-patient", "safe", "wait-1000", "wait-1000", "wait-1000"),
    (*_KNOWN, "safe", "wait-1000", "wait-1000"),
)
# A connection in use, and one on which a request is arriving.
IN_USE: tuple[events.Order, ...] = tuple(
    (f"config-{name}", *order)
    for order in (("unsafe",), ("stream", "answer-part"), ("half-body",))
    for name in configurations.LIMITS
    if name != "usual"
)
# Requests that arrived in several pieces, and are unread behind one in use.
UNREAD: tuple[events.Order, ...] = tuple(
    ("config-patient", "after-3000", kind, "stream", "two")
    for kind in ("safe", "resumable")
)
# What the first endpoint makes of a late run: of a plain request beside a
# second attempt, of a stream before one.
MOVED: tuple[events.Order, ...] = tuple(
    (*order, step)
    for order in (LATE[0], LATE[2], LATE[3])
    for step in ("answer-part", "fail", "reject", "break", "pause")
)

GROUPS = (RESTING, CHECKED, LATE, IN_USE, UNREAD, MOVED)
# Those of large groups come last.
ALL: tuple[events.Order, ...] = tuple(
    itertools.chain(RESTING, CHECKED, UNREAD, LATE, IN_USE, MOVED)
)
