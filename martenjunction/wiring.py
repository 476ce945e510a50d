"""Routing of peer messages to the components of a daemon."""

from martenjunction.cells import broker
from martenjunction.cells import host
from martenjunction.cells import messages as cell_messages
from martenjunction.cells import summaries
from martenjunction.claims import keeper
from martenjunction.claims import messages as claim_messages
from martenjunction.peers import hub

# Messages from entry daemons to the owner of a cell.
TO_OWNER = (
    cell_messages.SlotRequested,
    cell_messages.AnnounceRun,
    cell_messages.Withdraw,
    cell_messages.FirstToken,
    cell_messages.RunEnded,
)

# Messages from owners of cells to entry daemons.
TO_ENTRY = (
    cell_messages.SlotGranted,
    cell_messages.RequestShed,
    cell_messages.RunPreempted,
    cell_messages.Summary,
)

# Messages from entry daemons to the owner of a claim shard.
TO_SHARD = (claim_messages.Claim, claim_messages.Settle)


class CellLinks:
    """Carries messages between entry daemons and owners of cells."""

    def __init__(self, box: str, peers: hub.PeerHub) -> None:
        """Initializes the links, which are unusable before `connect`.

        Args:
            box: This box; messages to itself are delivered directly.
            peers: The connections to other boxes.
        """
        self._box = box
        self._peers = peers
        self._throttle = summaries.SummaryThrottle()

    def connect(self, cells: host.CellHost, cell_broker: broker.Broker) -> None:
        """Subscribes the components to their messages.

        Args:
            cells: The cells that this daemon owns.
            cell_broker: The broker that places this daemon's requests.
        """
        self._cells = cells
        self._broker = cell_broker
        for to_owner in TO_OWNER:
            self._peers.subscribe(to_owner, cells.receive)
        for to_entry in TO_ENTRY:
            self._peers.subscribe(to_entry, cell_broker.receive)

    def to_entry(self, box: str, message: cell_messages.FromOwner) -> None:
        """Sends a message from the owner of a cell to an entry daemon."""
        if box == self._box:
            self._broker.receive(box, message)
        else:
            self._peers.send(box, message)

    def to_owner(self, box: str, message: cell_messages.FromEntry) -> bool:
        """Sends a message from an entry daemon to the owner of a cell.

        Returns:
            Whether it could be sent.
        """
        if box == self._box:
            self._cells.receive(box, message)
            return True
        return self._peers.send(box, message)

    def send_summaries(self, now: float) -> None:
        """Broadcasts the summaries of local cells that are due.

        Args:
            now: Seconds on the daemon's clock.
        """
        current = self._cells.summaries()
        for summary in current:
            self._broker.receive(self._box, summary)
        for summary in self._throttle.select_due(current, now):
            self._peers.broadcast(summary)

    def resend_all(self) -> None:
        """Resets the throttle so that a new peer gets all summaries."""
        self._throttle.forget()


def connect_claims(peers: hub.PeerHub, claims: keeper.ClaimKeeper) -> None:
    """Subscribes the claim keeper to claim messages.

    Args:
        peers: The connections to other boxes.
        claims: Prevents keyed requests from running twice.
    """
    for to_shard in TO_SHARD:
        peers.subscribe(to_shard, claims.receive)
    peers.subscribe(
        claim_messages.ClaimAnswer,
        lambda _, answer: claims.on_answer(answer),
    )
