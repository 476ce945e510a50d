"""Tells the operator of boxes that cannot connect to each other."""

import logging

from martenjunction import errors
from martenjunction.peers import codec
from martenjunction.peers import handshake

logger = logging.getLogger(__name__)

# Maximum number of boxes that are remembered, and of characters of a name that
# are shown: a box that is refused is not authenticated.
MAX_BOXES = 256
MAX_SHOWN = 80


class Refusals:
    """Boxes that this one cannot connect to, as their settings differ."""

    def __init__(self, key_source: str) -> None:
        """Initializes the refusals.

        Args:
            key_source: What all boxes have to be given alike for their keys to
                agree, as the operator knows it, and this box's own.
        """
        self._key_source = key_source
        self._told: set[tuple[str, str]] = set()

    def note(self, error: errors.PeerMismatchError) -> None:
        """Logs a refused connection, once until the box is connected."""
        refused = error.box[:MAX_SHOWN], error.mismatch
        if refused in self._told or len(self._told) >= MAX_BOXES:
            return
        self._told.add(refused)
        logger.warning(
            "no connection to box %s is possible: %s. This is logged once until"
            " it is connected",
            refused[0] or "(name unknown)",
            self._reason(error.mismatch),
        )

    def forget(self, box: str) -> None:
        """Forgets a box that is connected now."""
        self._told -= {(box[:MAX_SHOWN], m) for m in handshake.Mismatch}

    def _reason(self, mismatch: str) -> str:
        if mismatch == handshake.Mismatch.KEY:
            return f"its key differs; all boxes need {self._key_source}"
        return (
            "its software uses another version of the protocol between boxes;"
            f" this one uses {codec.PROTOCOL}. All boxes need the same software"
        )
