"""Exchanges sums of the boxes' loads along the tree of a large fleet."""

import random

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import load_sums
from martenjunction.decisions.boxes import overlay
from martenjunction.decisions.boxes import sum_wave
from martenjunction.peers import hub
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.messages import load_messages
from martenjunction.routing.sync import fleet_loads

# Interval in seconds at which this box looks whether its sum is due.
CHECK_INTERVAL_S = 0.1

ESTIMATE_PRIORITY_BITS = 32


class LoadExchange:
    """Tells the parent of this box sums of loads, and its children totals."""

    def __init__(
        self,
        place: fleet_overlay.FleetOverlay,
        peers: hub.PeerHub,
        registry: endpoint_registry.EndpointRegistry,
        clock: timers.Timers,
        rng: random.Random,
    ) -> None:
        """Initializes the exchange; `start` subscribes to messages.

        Args:
            place: The place of this box in the trees.
            peers: Connections to the other boxes.
            registry: Provides this box's load and receives that of the others.
            clock: The clock and timers.
            rng: Draws the priority of this box's estimates.
        """
        self._place = place
        self._peers = peers
        self._timers = clock
        self._loads = fleet_loads.FleetLoads(
            registry, rng.getrandbits(ESTIMATE_PRIORITY_BITS)
        )
        self._wave = sum_wave.SumWave(clock.now())
        self._parent: str | None = None

    def start(self, emitter: events.Events) -> None:
        """Subscribes to messages, lost connections and timers.

        Args:
            emitter: Announces lost connections to boxes.
        """
        self._peers.subscribe(load_messages.LoadSum, self._on_sum)
        self._peers.subscribe(load_messages.LoadTotal, self._on_total)
        emitter.connect(events.PEER_LOST, self._wave.remove)
        self._timers.subscribe("load-sums", CHECK_INTERVAL_S, self._check)

    def _on_sum(self, box: str, message: load_messages.LoadSum) -> None:
        sums = load_messages.decode(message)
        if not self._place.is_sparse or not self._place.may_be_child(box):
            # The views of the two boxes differ for a moment. If both counted
            # the other as a child, sums would grow without bound.
            self._wave.remove(box)
            return
        self._wave.record_sum(box, sums, message.height, self._timers.now())
        self._check()

    def _on_total(self, box: str, message: load_messages.LoadTotal) -> None:
        sums = load_messages.decode(message)
        if box != self._place.parent(overlay.Tree.PRIMARY):
            return
        self._wave.record_total(self._timers.now())
        self._tell_children(message)
        self._loads.apply(sums, self._timers.now())

    def _check(self) -> None:
        now = self._timers.now()
        if not self._place.is_sparse or not self._wave.is_due(now):
            return
        height = self._wave.height
        sums = self._wave.take(self._loads.take(now), now)
        parent = self._place.parent(overlay.Tree.PRIMARY)
        if self._parent is not None and self._parent != parent:
            # Otherwise both parents would count this box for a while.
            self._peers.send(
                self._parent, load_messages.encode_sum(load_sums.LoadSums(), 0)
            )
        self._parent = parent
        if parent is not None:
            self._peers.send(parent, load_messages.encode_sum(sums, height))
            if not self._wave.has_lost_parent(now):
                return
        else:
            self._wave.complete(now)
        self._tell_children(load_messages.encode_total(sums))
        self._loads.apply(sums, now)

    def _tell_children(self, message: load_messages.LoadTotal) -> None:
        self._peers.send_to(self._wave.children, message)
