"""Synchronizes suspected requests, or parts of prompts, between boxes."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from martenjunction import events
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.messages import suspect_messages
from martenjunction.routing.quarantine import suspect_codec

# Maximum number of suspected requests sent on a new connection, by descending
# weight. A larger number would saturate links of low bandwidth.
MAX_ON_CONNECT = 64

# Seconds for which changes are gathered before they are passed on. Passing on
# each change by itself would take one message per link of the fleet for each of
# the requests that were running at an endpoint when it crashed.
GATHER_S = 0.03

MergeSuspicion = Callable[
    [str, content_key.ContentKey, suspicion.Suspicion],
    suspect_table.Suspect | None,
]
_Batch = dict[content_key.ContentKey, suspect_table.Suspect]


class SuspectSync:
    """Exchanges records of suspected requests with the other boxes."""

    def __init__(
        self,
        table: suspect_table.SuspectTable,
        peers: hub.PeerHub,
        members: membership.Membership,
        merge: MergeSuspicion,
        message: type[
            suspect_messages.SuspectRecords
        ] = suspect_messages.SuspectRecords,
    ) -> None:
        """Initializes the exchange; `start` subscribes to peer messages.

        Args:
            table: The suspected requests that this box knows.
            peers: Connections to the other boxes.
            members: The boxes of the fleet.
            merge: Merges another box's record of a request; returns the result
                if it changed.
            message: The type of the messages.
        """
        self._message = message
        self._table = table
        self._peers = peers
        self._members = members
        self._merge = merge
        self._pending: _Batch = {}
        self._pending_forwards: _Batch = {}

    def start(self, emitter: events.Events) -> None:
        """Subscribes to peer messages and new connections.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(self._message, self._on_suspects)
        emitter.connect(events.PEER_CONNECTED, self._on_connected)

    def announce(self, suspect: suspect_table.Suspect) -> None:
        """Schedules a change for broadcast in this event loop iteration."""
        if not self._pending:
            asyncio.get_running_loop().call_soon(self._broadcast, self._pending)
        self._pending[suspect.key] = suspect

    def forward_pending(self) -> None:
        """Forwards pending changes to boxes that their sender may not reach."""
        self._broadcast(self._pending_forwards)

    def _encode(
        self, suspects: Iterable[suspect_table.Suspect]
    ) -> suspect_messages.SuspectRecords:
        return suspect_codec.encode(suspects, self._message)

    def _broadcast(self, batch: _Batch) -> None:
        if batch:
            self._peers.broadcast(self._encode(batch.values()))
            batch.clear()

    def _on_connected(self, box: str) -> None:
        """Sends the suspected requests to a newly connected box."""
        known = [s for s in self._table if s.evidence.generation]
        known.sort(key=suspect_table.weight, reverse=True)
        if known:
            self._peers.send(box, self._encode(known[:MAX_ON_CONNECT]))

    def _on_suspects(
        self, box: str, message: suspect_messages.SuspectRecords
    ) -> None:
        linked = len(self._peers.boxes()) + 1
        should_forward = linked < len(self._members.live_members())
        outdated = []
        for key, held in suspect_codec.decode(message):
            changed = self._merge(box, key, held)
            known = self._table.find(key)
            if changed is None:
                if known is not None and held.epoch < known.evidence.epoch:
                    outdated.append(known)
            elif should_forward:
                if not self._pending_forwards:
                    asyncio.get_running_loop().call_later(
                        GATHER_S, self.forward_pending
                    )
                self._pending_forwards[key] = changed
        if outdated:
            # Without the current epoch, crashes that the sender records would
            # be ignored by all other boxes.
            self._peers.send(box, self._encode(outdated))
