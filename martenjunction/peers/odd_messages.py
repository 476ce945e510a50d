"""Accounts for what peers send and this daemon cannot read."""

from collections.abc import Callable
import dataclasses
import logging

from martenjunction import errors

logger = logging.getLogger(__name__)

# Odd messages that a peer may send a second, and at once, before its
# connection is closed. A peer of other software has some kinds of messages
# that are odd each time: at five statuses and ten sums and totals a second,
# 15. A peer that sends nothing else would take this daemon's time.
MAX_PER_S = 50.0
MAX_AT_ONCE = 200.0

# Minimum seconds between log lines on a kind of message of a peer, and maximum
# number of kinds and peers that are remembered.
LOG_INTERVAL_S = 60.0
MAX_LOGGED = 1024


@dataclasses.dataclass(slots=True)
class _Allowance:
    left: float
    at: float


class OddMessages:
    """Counts, logs and bounds the odd messages of each peer.

    A message counts once, also if only rows of it are left out. The bound holds
    for a peer over all of its connections, so that a new one does not reset it.
    """

    def __init__(
        self, now: Callable[[], float], on_odd: Callable[[str], None]
    ) -> None:
        """Initializes the account.

        Args:
            now: Returns the monotonic time in seconds.
            on_odd: Called with the kind of each odd message.
        """
        self._now = now
        self._on_odd = on_odd
        self._allowances: dict[str, _Allowance] = {}
        self._logged: dict[tuple[str, str], float] = {}

    def note(self, box: str, kind: str, why: str) -> None:
        """Records an odd message that is left out, or rows of it.

        Args:
            box: The peer.
            kind: The tag of the message, or "unknown".
            why: The reason.

        Raises:
            TooManyOddMessagesError: If the peer sends too many of them.
        """
        now = self._now()
        self._on_odd(kind)
        self._log(box, kind, why, now)
        if not self._take(box, now):
            raise errors.TooManyOddMessagesError(
                f"over {MAX_PER_S:.0f} messages a second that cannot be read,"
                f" the last a {kind}: {why}; compare the software of both boxes"
            )

    def _take(self, box: str, now: float) -> bool:
        held = self._allowances.get(box)
        if held is None:
            self._forget_calm(now)
            held = self._allowances[box] = _Allowance(MAX_AT_ONCE, now)
        held.left = _refilled(held, now)
        held.at = now
        if held.left < 1.0:
            return False
        held.left -= 1.0
        return True

    def _forget_calm(self, now: float) -> None:
        """Forgets the peers whose allowance is whole again."""
        for box, held in list(self._allowances.items()):
            if _refilled(held, now) >= MAX_AT_ONCE:
                del self._allowances[box]

    def _log(self, box: str, kind: str, why: str, now: float) -> None:
        logged_at = self._logged.get((box, kind))
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        if logged_at is None and len(self._logged) >= MAX_LOGGED:
            self._logged = {
                key: at
                for key, at in self._logged.items()
                if now - at < LOG_INTERVAL_S
            }
            if len(self._logged) >= MAX_LOGGED:
                return
        self._logged[box, kind] = now
        logger.warning(
            "left out (a part of) a %s message of %s: %s; the rest is taken."
            " This is logged once in %d s for each kind and box",
            kind,
            box,
            why,
            LOG_INTERVAL_S,
        )


def _refilled(held: _Allowance, now: float) -> float:
    return min(MAX_AT_ONCE, held.left + (now - held.at) * MAX_PER_S)
