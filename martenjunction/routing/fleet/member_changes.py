"""Acts on changes of the boxes that are known."""

import asyncio

from martenjunction.peers import hub
from martenjunction.peers import membership


class MemberChanges:
    """Counts the boxes, and connects to the first that become known."""

    def __init__(
        self, members: membership.Membership, peers: hub.PeerHub
    ) -> None:
        """Initializes the count.

        Args:
            members: The boxes of the fleet.
            peers: Connections to the other boxes.
        """
        self._members = members
        self._peers = peers
        self._max_count = 1
        self._dial_scheduled = False

    @property
    def max_count(self) -> int:
        """The most boxes that were known at a time."""
        return self._max_count

    def note(self) -> None:
        """Takes a change of the boxes."""
        self._max_count = max(self._max_count, len(self._members.members))
        if not self._peers.boxes() and not self._dial_scheduled:
            # Dial now rather than at the next heartbeat, up to 0.5 s later.
            # Until then this box would serve without the peers' records of
            # requests that crash endpoints. All boxes of a list come first, as
            # their number decides which of them this box connects to.
            self._dial_scheduled = True
            asyncio.get_running_loop().call_soon(self._dial)

    def _dial(self) -> None:
        self._dial_scheduled = False
        self._peers.dial()
