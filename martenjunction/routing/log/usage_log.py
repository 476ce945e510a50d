"""Logs what this box costs: processor time, store calls and messages."""

import collections
from collections.abc import Callable
import resource
import time

from martenjunction import timers
from martenjunction.peers import hub
from martenjunction.routing.log import decision_log

# Interval in seconds between two log lines.
INTERVAL_S = 10.0


class UsageLog:
    """Writes a line at intervals with what was used since the last one."""

    def __init__(
        self,
        clock: timers.Timers,
        peers: hub.PeerHub,
        store_calls: Callable[[], dict[str, int]],
        log: decision_log.DecisionLog,
    ) -> None:
        """Initializes the log; `start` subscribes to timers.

        Args:
            clock: The clock and timers.
            peers: Connections to the other boxes.
            store_calls: Returns the number of store calls by operation.
            log: Receives the lines.
        """
        self._timers = clock
        self._peers = peers
        self._store_calls = store_calls
        self._log = log
        self._cpu_s = 0.0
        self._at = clock.now()
        self._calls: collections.Counter[str] = collections.Counter()
        self._kinds: collections.Counter[str] = collections.Counter()
        self._bytes_out = 0

    def start(self) -> None:
        """Subscribes to timers."""
        self._timers.subscribe("usage", INTERVAL_S, self.write)

    def write(self) -> None:
        """Writes a line."""
        now = self._timers.now()
        cpu_s = time.process_time()
        calls = collections.Counter(self._store_calls())
        traffic = self._peers.traffic()
        self._log.write(
            "usage",
            seconds=round(now - self._at, 1),
            core=round((cpu_s - self._cpu_s) / max(now - self._at, 0.001), 4),
            peak_mb=round(
                resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1
            ),
            links=len(self._peers.boxes()),
            store_calls=dict(calls - self._calls),
            messages_out=dict(traffic.by_kind - self._kinds),
            bytes_out=traffic.bytes_out - self._bytes_out,
        )
        self._at = now
        self._cpu_s = cpu_s
        self._calls = calls
        self._kinds = collections.Counter(traffic.by_kind)
        self._bytes_out = traffic.bytes_out
