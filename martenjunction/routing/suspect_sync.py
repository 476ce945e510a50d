"""Tells the other boxes which requests are suspected, and hears of theirs."""

import asyncio
from collections.abc import Callable

from martenjunction import events
from martenjunction.decisions.boxes import suspect_table
from martenjunction.decisions.boxes import suspicion
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing import peer_messages
from martenjunction.routing import request_content
from martenjunction.routing import suspect_news

# Suspected requests that a box tells of on a new connection, those with the
# most against them first; more than a flood of them would fill thin links.
TOLD_TO_NEW = 64

Take = Callable[
    [str, request_content.ContentKey, suspicion.Suspicion],
    suspect_table.Suspect | None,
]
_Batch = dict[request_content.ContentKey, suspect_table.Suspect]


class SuspectSync:
    """One box's exchange with the others about suspected requests."""

    def __init__(
        self,
        table: suspect_table.SuspectTable,
        peers: hub.PeerHub,
        members: membership.Membership,
        take: Take,
    ) -> None:
        """Makes the exchange; `start` begins.

        Args:
            table: What this box knows.
            peers: Connections to the other boxes.
            members: Which boxes there are.
            take: Takes in what a box holds against a request; returns what
                changed by it.
        """
        self._table = table
        self._peers = peers
        self._members = members
        self._take = take
        self._untold: _Batch = {}
        self._to_pass_on: _Batch = {}

    def start(self, emitter: events.Events) -> None:
        """Listens to the other boxes.

        Args:
            emitter: Announces new connections to boxes.
        """
        self._peers.subscribe(peer_messages.Suspects, self._on_news)
        emitter.connect(events.PEER_CONNECTED, self._greet)

    def tell(self, suspect: suspect_table.Suspect) -> None:
        """Tells all boxes of a change, in this turn of the loop."""
        if not self._untold:
            asyncio.get_running_loop().call_soon(self._broadcast, self._untold)
        self._untold[suspect.key] = suspect

    def pass_on(self) -> None:
        """Passes on what came up since, to boxes that its sender may not hear.

        To be called some times a second: one by one, each suspect of one end
        makes as many messages as the fleet has links.
        """
        self._broadcast(self._to_pass_on)

    def _broadcast(self, batch: _Batch) -> None:
        if batch:
            self._peers.broadcast(suspect_news.encode(batch.values()))
            batch.clear()

    def _greet(self, box: str) -> None:
        """Tells a box that was not connected what is held against whom."""
        known = [s for s in self._table if s.held.generation]
        known.sort(key=suspect_table.weight, reverse=True)
        if known:
            self._peers.send(box, suspect_news.encode(known[:TOLD_TO_NEW]))

    def _on_news(self, box: str, news: peer_messages.Suspects) -> None:
        linked = len(self._peers.boxes()) + 1
        passes_on = linked < len(self._members.believed())
        outdated = []
        for key, held in suspect_news.decode(news):
            changed = self._take(box, key, held)
            known = self._table.find(key)
            if changed is None:
                if known is not None and held.epoch < known.held.epoch:
                    outdated.append(known)
            elif passes_on:
                self._to_pass_on[key] = changed
        if outdated:
            # Else what it holds against them would not count anywhere.
            self._peers.send(box, suspect_news.encode(outdated))
