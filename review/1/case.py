"""The store is away for a moment, and the replicas' entries lapse."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins

BOXES = 6
HEARTBEAT_S = 1.2
# The site's dose of "reset lapse" is 4.5 s. Entries lapse after three
# heartbeats without a write.
OUTAGE_S = 3.65
LAPSE_S = 3 * HEARTBEAT_S
# Entries "are back within about two seconds" of the store's return.
FIRST_BACK_S = (0.02, 0.1)
ADDED_BACK_S = (1.2, 1.7)
# The store counts as stable, and the boxes as in touch, `contact_ms` later.
CONTACT_S = 3.2
MEASURED_S = 2.0
OUTAGES = 11
LIMIT_S = 96.0
# How long the requests are followed once the rule is broken.
AFTER_S = 15.0


def configs() -> list[dict[str, object]]:
    """Returns the first configuration, and one with a route that is added."""
    services = [
        {"name": name, "health_path": standins.HEALTH_PATH, "max_conns": 96}
        for name in ("app", "gate")
    ]
    first = standins.route("first", "/orders/", "unsafe")
    added = standins.route("added", "/scans/", "unsafe", service="gate")
    return [
        standins.config(1, services=services, routes=[first]),
        standins.config(2, services=services, routes=[first, added]),
    ]


class Deployment:
    """Boxes, replicas of two services, and the store."""

    def __init__(self, record: standins.Record, folder: pathlib.Path) -> None:
        self.record = record
        self.store = standins.Store()
        self.replicas = {
            "app": [standins.Replica(f"i-a{n}", record) for n in range(3)],
            "gate": [standins.Replica(f"i-g{n}", record) for n in range(3)],
        }
        self._folder = folder
        self.boxes: list[standins.Box] = []
        self._sent = 0

    async def start(self) -> None:
        """Starts everything; the route is added once the boxes are ready."""
        await self.store.start()
        for service, replicas in self.replicas.items():
            for replica in replicas:
                await replica.start()
                self.write(service, replica)
        first, added = configs()
        self.store.write("config", "main", first)
        self.boxes = [
            standins.Box(f"edge-{n}", self.store.address, self._folder)
            for n in range(BOXES)
        ]
        for box in self.boxes:
            await box.start([other.peers for other in self.boxes[:3]])
        for box in self.boxes:
            await box.until_ready()
        self.store.write("config", "main", added)
        self.record.add("route-added", version=2)
        await asyncio.sleep(4.0)

    async def stop(self) -> None:
        """Ends everything."""
        for box in self.boxes:
            await box.end()
        for replicas in self.replicas.values():
            for replica in replicas:
                await replica.stop()
        await self.store.stop()

    def write(self, service: str, replica: standins.Replica) -> None:
        """Writes a replica's entry."""
        self.store.write("servers", replica.name, replica.entry(service))

    async def outage(self) -> None:
        """Takes the store away; entries lapse, and come back after it."""
        began = time.monotonic()
        self.store.go_down("reset")
        self.record.add("store-down", how="reset", for_s=OUTAGE_S)
        every = [r for found in self.replicas.values() for r in found]
        lapses = [
            (LAPSE_S - HEARTBEAT_S * random.random(), r.name) for r in every
        ]
        for after_s, name in sorted(lapses):
            await _until(began + after_s)
            self.store.write("servers", name, None)
        await _until(began + OUTAGE_S)
        self.store.down = ""
        back = time.monotonic()
        self.record.add("store-back")
        returns = [
            (random.uniform(*span), service, replica)
            for service, span in (("app", FIRST_BACK_S), ("gate", ADDED_BACK_S))
            for replica in self.replicas[service]
        ]
        for after_s, service, replica in sorted(returns, key=lambda r: r[0]):
            await _until(back + after_s)
            self.write(service, replica)
            self.record.add("entry-back", replica=replica.name)
        await _until(back + CONTACT_S)

    async def measure(self, seconds: float) -> dict[str, tuple[int, int]]:
        """Returns how many requests were sent and served on each route."""
        ended = time.monotonic() + seconds
        counts = {"first": [0, 0], "added": [0, 0]}

        async def client(box: standins.Box) -> None:
            async with standins.Client(box.frontend) as kept:
                while time.monotonic() < ended:
                    for route, path in (
                        ("first", "orders"),
                        ("added", "scans"),
                    ):
                        self._sent += 1
                        attempt = f"t{self._sent}"
                        self.record.add(
                            "sent", id=attempt, box=box.name, route=route
                        )
                        status, _, body = await kept.call(
                            "POST",
                            f"/{path}/x",
                            standins.order_headers(attempt, 600),
                            b"order",
                        )
                        why = body.decode() if status != 200 else ""
                        self.record.add(
                            "answered", id=attempt, status=status, why=why
                        )
                        counts[route][0] += 1
                        counts[route][1] += status == 200
                        await asyncio.sleep(0.05)

        await asyncio.gather(*(client(box) for box in self.boxes))
        listed = self.store.listed("servers")
        self.record.add("measured", listed=len(listed), **counts)
        return {route: (sent, done) for route, (sent, done) in counts.items()}


async def _until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def is_broken(counts: dict[str, tuple[int, int]]) -> bool:
    """Returns whether added routes are served under a quarter as often."""
    first_sent, first_served = counts["first"]
    added_sent, added_served = counts["added"]
    if added_sent < 20:
        return False
    return added_served / added_sent < first_served / first_sent / 4


async def case(
    record: standins.Record, folder: pathlib.Path, trouble: bool
) -> bool:
    """Returns whether requests on the added route were no longer served."""
    began = time.monotonic()
    deployment = Deployment(record, folder)
    try:
        await deployment.start()
        outages = 0
        for _ in range(OUTAGES):
            left_s = LIMIT_S - (time.monotonic() - began)
            if left_s < OUTAGE_S + CONTACT_S + MEASURED_S:
                break
            if trouble:
                outages += 1
                await deployment.outage()
            else:
                await asyncio.sleep(OUTAGE_S + CONTACT_S)
            if not is_broken(await deployment.measure(MEASURED_S)):
                continue
            record.add("broken", outage=outages)
            left_s = LIMIT_S + 8.0 - (time.monotonic() - began)
            later = await deployment.measure(min(AFTER_S, left_s))
            record.add("result", outages=outages, then=later, broken=True)
            return True
        record.add("result", outages=outages, broken=False)
        return False
    finally:
        await deployment.stop()


if __name__ == "__main__":
    standins.run_case(str(pathlib.Path(__file__).resolve().parent), case)
