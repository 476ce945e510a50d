"""A fleet of simulated boxes that hear of new configurations.

What boxes tell each other, and what they make of it, is the daemons' own code;
only processors, links and the store are simulated.
"""

import dataclasses
import json
import math
import random
from typing import Any

from martenjunction import events
from martenjunction import timers
from martenjunction.decisions.boxes import box_states
from martenjunction.decisions.boxes import config_freshness
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import store_readers
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.routing.access import admission
from martenjunction.routing.endpoints import endpoint_registry
from martenjunction.routing.fleet import box_state_sync
from martenjunction.routing.fleet import fleet_overlay
from martenjunction.routing.log import decision_log
from martenjunction.routing.messages import peer_stamps
from martenjunction.routing.store import store_cache
from martenjunction.routing.sync import load_exchange
from martenjunction.routing.sync import peer_sync
from martenjunction_lab.spread import network

# Seconds between two looks at a box's timers.
TICK_S = 0.05

# Seconds of a call to the store.
STORE_S = 0.004

# Processor seconds to decode a byte of a configuration: 25 ms for 368 kB.
DECODE_BYTE_S = 68e-9

# Seconds until a connection that was lost is called again, and processor
# seconds that its handshake takes at each end.
CALL_AGAIN_S = 0.5
HANDSHAKE_S = 0.002
HANDSHAKE_LIMIT_S = 2.0

ROUTES_PER_HOST = 8

KB = 1000


@dataclasses.dataclass(frozen=True)
class Site:
    """What is simulated.

    Attributes:
        boxes: How many boxes there are.
        zones: Availability zones that they are spread over.
        link_bytes_s: Bytes a second of a box's link.
        routes: Routes of the configurations that are written, which decide
            their size.
        first_routes: Routes of the one that is in force at the start; as many
            if left out.
        slow_part: Part of the boxes that are short of processor time.
        slow_speed: Processor seconds that those get in a second.
        turned_away_part: Part of the boxes that the store does not answer.
        versions: Configurations that are written.
        gap_s: Seconds between two of them.
        settle_s: Seconds before the first one.
        tail_s: Seconds after the last one.
        seed: Decides which boxes are slow or turned away.
    """

    boxes: int
    zones: int = 3
    link_bytes_s: float = 625_000.0
    routes: int = 48
    first_routes: int | None = None
    slow_part: float = 0.0
    slow_speed: float = 1.0
    turned_away_part: float = 0.0
    versions: int = 6
    gap_s: float = 0.5
    settle_s: float = 4.0
    tail_s: float = 8.0
    seed: int = 1


def document(version: int, routes: int) -> bytes:
    """Returns a configuration, as the store holds it."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"route-{number}",
                    "host": f"host-{number // ROUTES_PER_HOST}.example",
                    "path_prefix": f"/path-{number * 7919 % 100003}/",
                    "route_kind": "streaming",
                    "timeout_ms": 5000.0 + (version if not number else 0),
                    "goal_ms": 600.0,
                    "gap_goal_ms": 400.0,
                    "priority": number % 3,
                    "service": "engines",
                    "max_attempts": 2,
                    "public": False,
                    "resumable": False,
                }
                for number in range(routes)
            ],
            "services": [{"name": "engines", "max_conns": 64}],
            "tenants": [
                {"name": f"w-{n}", "api_keys": [f"key-{n}-{version}"]}
                for n in range(24)
            ],
        }
    ).encode()


class _Reading:
    """The part of a box that reads from the store."""

    def __init__(self, fleet: "Fleet", box: "_Box", turned_away: bool) -> None:
        self._fleet = fleet
        self._box = box
        self._turned_away = turned_away
        self._wanted = False
        self.is_synced = False
        self.has_listed = True
        self.first_list_delay_s = 0.0

    def read(self, wanted: bool, first: bool) -> None:
        if wanted and not self._wanted:
            self._wanted = True
            self._confirm()
        elif not wanted:
            self._wanted = self.is_synced = False

    def update_era(self, era: int) -> None:
        """Does nothing, as this store is never restored from a copy."""

    def news(self) -> None:
        """Lets a watch tell of a new configuration."""
        if self.is_synced:
            self._take(self._fleet.simulation.now)

    def _confirm(self) -> None:
        if not self._wanted:
            return
        now = self._fleet.simulation.now
        if self._turned_away:
            self.is_synced = False
        else:
            self._take(now)
        pause_s = store_readers.confirm_interval_s(
            len(self._fleet.newest), self._fleet.site.link_bytes_s
        )
        self._fleet.simulation.at(now + pause_s, self._confirm)

    def _take(self, asked_at: float) -> None:
        spec = self._fleet.newest

        def taken() -> None:
            if self._wanted:
                self.is_synced = True
                self._box.take(spec, asked_at)

        machine = self._box.machine
        self._fleet.simulation.at(
            asked_at + STORE_S,
            lambda: machine.arrive(
                len(spec), lambda: machine.work(network.FRAME_S, taken)
            ),
        )


class _Box:
    """One box: its processor, and what it knows."""

    def __init__(
        self, fleet: "Fleet", member: membership.Member, slow: bool, away: bool
    ) -> None:
        simulation, site = fleet.simulation, fleet.site
        self.member = member
        self.machine = network.Machine(
            simulation, site.link_bytes_s, site.slow_speed if slow else 1.0
        )
        self.slow = slow
        self.clock = timers.Timers(simulation)
        self.members = membership.Membership(member, self.clock, lambda: None)
        self.freshness = config_freshness.ConfigFreshness(5.0, 0.25, 3.0)
        log = decision_log.DecisionLog(simulation)
        listed = endpoint_list.EndpointList()
        self.listed = listed
        book = endpoint_registry.EndpointRegistry(listed, log, random.Random(1))
        self.registry = book
        admitter = admission.Admitter(self.freshness, False, random.Random(1))
        self.known = store_cache.StoreCache(
            admitter, listed, self.freshness, log, simulation
        )
        self._decoded = self.known.apply_newer_config
        self.known.apply_newer_config = self._decode  # type: ignore[method-assign]
        self.reading = _Reading(fleet, self, away)
        self.events = events.Events()
        self.place = fleet_overlay.FleetOverlay(self.members, simulation)
        self.stamps = peer_stamps.PeerStamps()
        self.peers = hub.PeerHub(
            self.members,
            "key",
            self.clock,
            self.events,
            self._heartbeat,
            "",
            rng=random.Random(1),
            silence_timeout_s=peer_sync.LINK_SILENCE_TIMEOUT_S,
            arrangement=self.place,
            stamps=self.stamps,
        )
        self.sync = peer_sync.PeerSync(
            self.peers,
            self.members,
            self.known,
            self.freshness,
            book,
            self.clock,
            log,
            lambda: True,
            lambda: True,
            self.reading,  # type: ignore[arg-type]
            self.place,
            self.stamps,
        )
        self.states = box_state_sync.BoxStateSync(
            self.place,
            self.peers,
            self.members,
            self.clock,
            log,
            lambda: box_states.State.READY,
            random.Random(1),
            lambda s, call: simulation.at(simulation.now + s, call),
        )
        self.loads = load_exchange.LoadExchange(
            self.place, self.peers, book, self.clock, random.Random(member.box)
        )

    def _heartbeat(self) -> Any:
        return self.sync.heartbeat()

    def take(self, spec: bytes, asked_at: float) -> None:
        """Takes in what the store answered."""
        self.known.apply_config(spec, asked_at, "store")

    def _decode(self, spec: bytes, source: str) -> int:
        before = self.known.version
        version = self._decoded(spec, source)
        if self.known.version != before:
            self.machine.spend(len(spec) * DECODE_BYTE_S)
        return version


class Fleet:
    """Boxes before a store into which configurations are written."""

    def __init__(self, site: Site) -> None:
        """Makes a fleet; `run` lets it hear of configurations."""
        self.site = site
        self.simulation = network.Simulation()
        first = site.routes if site.first_routes is None else site.first_routes
        self.newest = document(1, first)
        self.boxes: dict[str, _Box] = {}
        draw = random.Random(site.seed)
        numbers = range(site.boxes)
        slow = set(draw.sample(numbers, round(site.boxes * site.slow_part)))
        away = set(
            draw.sample(numbers, round(site.boxes * site.turned_away_part))
        )
        for number in numbers:
            member = membership.Member(
                f"box-{number:03}",
                f"zone-{number % site.zones}",
                "",
                "",
                "",
                1,
                link_kb=int(site.link_bytes_s / KB),
            )
            self.boxes[member.box] = _Box(
                self, member, number in slow, number in away
            )

    def run(self) -> dict[tuple[str, int], float]:
        """Writes the configurations; returns seconds until in force.

        Returns:
            For each box and version, the seconds from its writing until it or
            a newer one was in force there; infinite if it never was.
        """
        self.start()
        site = self.site
        written: dict[int, float] = {}
        for number in range(site.versions):
            self.simulation.run(site.settle_s + number * site.gap_s)
            written[number + 2] = self.simulation.now
            self.newest = document(number + 2, site.routes)
            for box in self.boxes.values():
                box.reading.news()
        self.simulation.run(self.simulation.now + site.tail_s)
        return {
            (name, version): self._taken_at(name, version) - at
            for name in self.boxes
            for version, at in written.items()
        }

    def start(self) -> None:
        """Connects the boxes and starts their timers."""
        self._seen: dict[str, list[tuple[float, int]]] = {}
        for one in self.boxes.values():
            for other in self.boxes.values():
                if other is not one:
                    one.members.record_connected(
                        dataclasses.replace(other.member)
                    )
                    one.members.update_listed(other.member, True, False)
        for name, box in self.boxes.items():
            self._seen[name] = []
            for member in box.peers._targets():
                if not box.peers.is_connected(member.box):
                    self._connect(box, self.boxes[member.box])
        for number, box in enumerate(self.boxes.values()):
            box.take(self.newest, 0.0)
            box.sync.start()
            box.states.start(box.events)
            box.loads.start(box.events)
            box.clock.subscribe(
                "heartbeat", hub.HEARTBEAT_CHECK_S, box.peers._send_heartbeat
            )
            box.reading.read(True, True)
            self._tick(box, TICK_S * number / len(self.boxes))

    def _tick(self, box: _Box, after_s: float) -> None:
        def look() -> None:
            seen = self._seen[box.member.box]
            if not seen or seen[-1][1] != box.known.version:
                seen.append((self.simulation.now, box.known.version))
            box.clock.wake()
            self._tick(box, TICK_S)

        due = self.simulation.now + after_s
        box.clock.set_next_wake(due)
        self.simulation.at(due, lambda: box.machine.work(0.0, look))

    def _connect(self, one: _Box, two: _Box) -> None:
        ends = [self._end(one, two, True), self._end(two, one, False)]
        ends[0].join(ends[1])
        for box, end in zip((one, two), ends, strict=True):
            box.peers._links.setdefault(end.box, []).append(end)  # type: ignore[arg-type]

    def _end(self, own: _Box, other: _Box, calls: bool) -> network.Connection:
        def lost(end: network.Connection) -> None:
            own.peers._remove_link(end)  # type: ignore[arg-type]
            if calls:
                self._call_again(own, other)

        return network.Connection(
            self.simulation,
            own.machine,
            dataclasses.replace(other.member),
            lambda end, message: own.peers._receive(end, message),  # type: ignore[arg-type]
            lost,
            own.stamps,
            calls,
        )

    def _call_again(self, one: _Box, two: _Box) -> None:
        def answered(began: float) -> None:
            if self.simulation.now - began > HANDSHAKE_LIMIT_S:
                self._call_again(one, two)
            else:
                self._connect(one, two)

        def call() -> None:
            began = self.simulation.now
            two.machine.work(
                HANDSHAKE_S,
                lambda: one.machine.work(HANDSHAKE_S, lambda: answered(began)),
            )

        self.simulation.at(self.simulation.now + CALL_AGAIN_S, call)

    def _taken_at(self, name: str, version: int) -> float:
        return next(
            (at for at, seen in self._seen[name] if seen >= version), math.inf
        )


def percentile(seconds: list[float], part: float) -> float:
    """Returns the value that a part of some values does not exceed."""
    ordered = sorted(seconds)
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]
