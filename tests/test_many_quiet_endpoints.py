"""Judging hundreds of quiet endpoints held up the event loop."""

import time

from martenjunction.decisions.boxes import endpoint_choice
from martenjunction.decisions.boxes import response_survival
from martenjunction.routing.endpoints import endpoint_ejection
from martenjunction.routing.endpoints import run_ticket
from martenjunction.routing.endpoints import silence_watch
from martenjunction.routing.log import decision_log
from tests import routing_builders as builders

TICK_INTERVAL_S = 0.1


class Watched:
    """A service of 500 endpoints with two runs each, all of them waiting."""

    ENDPOINTS = 500

    def __init__(self, waited_s: float) -> None:
        self.now = 100.0
        log = decision_log.DecisionLog(lambda: self.now)
        self.watch = silence_watch.SilenceWatch(
            endpoint_ejection.EjectionTracker(log)
        )
        demand = builders.demand(service=builders.PLAIN, is_engine=False)
        self.records = [
            builders.record(f"e{number}", cache_tokens=0)
            for number in range(self.ENDPOINTS)
        ]
        self.tickets = []
        for number in range(response_survival.MAX_SAMPLES + 1000):
            record = self.records[number % self.ENDPOINTS]
            choice = endpoint_choice.evaluate(record, demand, False, 0.0)
            ended = number < response_survival.MAX_SAMPLES
            sent_at = 0.0 if ended else self.now - waited_s - number / 10_000
            ticket = run_ticket.RunTicket(choice, demand, sent_at, sent_at)
            if ended:
                self.watch.note_bytes(ticket, 0.01 + number / 10_000)
            else:
                self.tickets.append(ticket)

    def judge(self) -> float:
        """Judges once; returns the processor time in seconds."""
        began = time.thread_time()
        self.watch.judge(self.tickets, {}, self.now, self.now, lambda _: None)
        return time.thread_time() - began


def test_judging_many_endpoints_leaves_the_event_loop_time() -> None:
    watched = Watched(waited_s=3.0)
    assert min(watched.judge() for _ in range(3)) < TICK_INTERVAL_S / 2


def test_all_quiet_endpoints_are_judged_in_turn() -> None:
    watched = Watched(waited_s=3.0)
    judged: set[str] = set()
    probability = watched.watch._quiet_probability

    def record(endpoint_id: str, *args: object) -> float:
        judged.add(endpoint_id)
        return probability(endpoint_id, *args)  # type: ignore[arg-type]

    watched.watch._quiet_probability = record  # type: ignore[method-assign,assignment]
    for _ in range(5):
        watched.now += TICK_INTERVAL_S
        watched.judge()
    assert len(judged) == watched.ENDPOINTS
