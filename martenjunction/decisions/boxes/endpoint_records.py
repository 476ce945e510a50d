"""What one box knows of one endpoint, and what it predicts from that."""

import collections
from collections.abc import Iterable
import dataclasses

from martenjunction.decisions import endpoint_refusals
from martenjunction.decisions import endpoint_states
from martenjunction.decisions import estimates
from martenjunction.decisions.boxes import endpoint_loads
from martenjunction.decisions.boxes import engine_figures
from martenjunction.decisions.boxes import reading_demand

# Part of its rate up to which long prompts are sent to an engine: while it
# reads without a break, the streams that it runs get a token only after each
# piece that it reads, and long answers miss their deadline.
READING_PART = 0.8

# Seconds to a first event that do not depend on the prompt: the way there
# and back, and the tokens that one event holds.
FIRST_EVENT_S = 0.03

# Time kept back of a pause, in seconds, for the way to the client.
PAUSE_MARGIN_S = 0.015

# Seconds by which each running request delays the first token of another.
STEP_S_PER_RUN = 0.001

# Seconds by which each request beyond an endpoint's places delays a first
# token: another one must end first.
OVER_SLOTS_S = 0.01

# Seconds of an answer by a plain service, until it is learnt.
PLAIN_ANSWER_S = 0.03

# Weight of one observation of how slow an engine is, and for how many the
# start, that it is as fast as usual, stands: single first events are late by
# several times for what arrives in the same moment, not for the engine.
SLOWNESS_WEIGHT = 0.05
SLOWNESS_START = 19

# The urgency that stands for requests of plain services.
PLAIN_URGENCY = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request asks of an endpoint.

    Attributes:
        service: The service.
        parts: Ids and tokens of the parts of its prompt, in order.
        prompt_tokens: Length of the prompt.
        zone: The box's availability zone.
        is_engine: Whether the service's endpoints are model engines.
        repeatable: Whether it may run more than once.
        urgency: Rank at an engine; 0 is served first.
        shortest_pause_s: The shortest pause between events that any stream
            of the service may have; None where there is no such bound.
        pause_s: The longest pause between its own events; None where there is
            no such bound.
        tokens_per_event: Tokens in one event of a stream.
        figures: What is learnt of the service's engines.
        asked: What all requests of the service ask to be read.
    """

    service: str
    parts: tuple[tuple[str, int], ...]
    prompt_tokens: int
    zone: str
    is_engine: bool
    repeatable: bool
    urgency: int = PLAIN_URGENCY
    shortest_pause_s: float | None = None
    pause_s: float | None = None
    tokens_per_event: int = 1
    figures: engine_figures.EngineFigures = engine_figures.EngineFigures()
    asked: reading_demand.ReadingRates = reading_demand.ReadingRates()

    @property
    def reads_beside_streams(self) -> bool:
        """Whether streams stay in time while their engine reads prompts."""
        if self.shortest_pause_s is None:
            return True
        pause_s = self.tokens_per_event * self.figures.reading_token_s
        return pause_s <= self.shortest_pause_s - PAUSE_MARGIN_S

    @property
    def subject(self) -> str | None:
        """The last part that other requests may share, or None."""
        if not self.parts:
            return None
        return self.parts[-2 if len(self.parts) > 1 else -1][0]

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return sum(tokens for _, tokens in self.parts[:-1])

    @property
    def load_key(self) -> endpoint_loads.LoadKey:
        """What it is counted under."""
        return endpoint_loads.LoadKey(self.urgency, self.is_long)

    @property
    def is_long(self) -> bool:
        """Whether reading its prompt holds up streams beside it.

        One that may itself not pause for longer than those is long only where
        it would hold them up alone: among long prompts it would come late.
        """
        if self.shortest_pause_s is None:
            return False
        part = LONG_PAUSE_PART
        if self.pause_s is not None and self.pause_s <= self.shortest_pause_s:
            part = LONG_ALONE_PART
        reading_s = self.figures.reading_s(self.prompt_tokens)
        return reading_s > part * self.shortest_pause_s


# A prompt is long when reading it takes more than this part of the shortest
# pause that any stream of the service may have; where its own stream may not
# pause for longer either, more than the second part.
LONG_PAUSE_PART = 0.2
LONG_ALONE_PART = 0.5


class EndpointRecord:
    """What one box learnt of one endpoint."""

    def __init__(
        self, endpoint_id: str, zone: str, slots: int, cache_tokens: int
    ) -> None:
        """Makes the record of an endpoint that was just listed.

        Args:
            endpoint_id: Its id.
            zone: Its availability zone.
            slots: Requests that it runs at once.
            cache_tokens: Tokens that fit into its memory; 0 for a plain one.
        """
        self.id = endpoint_id
        self.zone = zone
        self.slots = slots
        self.cache_tokens = cache_tokens
        self.failures = estimates.Average(0.0, weight=0.15)
        self.answer_s = estimates.Average(PLAIN_ANSWER_S, weight=0.15)
        self.slowness = estimates.Average(
            1.0, SLOWNESS_WEIGHT, start_counts=SLOWNESS_START
        )
        self.health = endpoint_states.Health(
            endpoint_states.EndpointState.ROUTING
        )
        self.refusals = endpoint_refusals.Refusals()
        self.limited = False
        self.figures = engine_figures.EngineFigures()
        self.loads = endpoint_loads.EndpointLoads()
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._held_tokens = 0
        self._sent_tokens = 0
        self._peer_sent: dict[str, int] = {}
        self._debt = 0.0
        self._debt_at = 0.0

    @property
    def sent_tokens(self) -> int:
        """Unread tokens that this box has sent there since it started."""
        return self._sent_tokens

    def sent(self, unread: int, now: float) -> None:
        """Notes that this box sends it tokens to read."""
        self._sent_tokens += unread
        self._add_debt(unread, now)

    def take_peer_sent(self, box: str, total: int, now: float) -> None:
        """Notes how many tokens another box has sent there in its life."""
        before = self._peer_sent.get(box, total)
        self._peer_sent[box] = total
        if total > before:
            self._add_debt(total - before, now)

    def debt(self, now: float) -> float:
        """Returns the tokens sent there beyond the rate for long prompts."""
        rate = self.figures.prefill_tokens_per_s * READING_PART
        return max(0.0, self._debt - (now - self._debt_at) * rate)

    def _add_debt(self, tokens: int, now: float) -> None:
        self._debt = self.debt(now) + tokens
        self._debt_at = now

    def remember(self, parts: Iterable[tuple[str, int]]) -> None:
        """Notes the parts of a prompt that was read there."""
        for name, tokens in parts:
            old = self._parts.pop(name, 0)
            self._parts[name] = tokens
            self._held_tokens += tokens - old
        while self._held_tokens > self.cache_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._held_tokens -= tokens

    def held(self, parts: Iterable[tuple[str, int]]) -> int:
        """Returns how many tokens at a prompt's start it probably holds."""
        total = 0
        for name, tokens in parts:
            if name not in self._parts:
                break
            total += tokens
        return total

    def accepts(self, now: float) -> bool:
        """Returns whether it may be sent a request at all."""
        return self.refusals.accepts(self.loads.own_running, now)

    def may_get_work(self, now: float) -> bool:
        """Returns whether it is sound, or due for a trial."""
        if self.health.state is endpoint_states.EndpointState.EJECTED:
            return self.loads.own_running == 0 and self.health.trial_due(now)
        return not self.refusals.pauses(now)

    def unread(self, demand: Demand, belongs: bool) -> int:
        """Returns the prompt tokens that it would have to read.

        Args:
            demand: The request.
            belongs: Whether the request's subject belongs there, so that
                another box has probably sent its shared parts already.
        """
        held = self.held(demand.parts)
        if belongs:
            held = max(held, demand.shared_tokens)
        return max(1, demand.prompt_tokens - held)

    def predicted_s(self, demand: Demand, unread: int, now: float) -> float:
        """Predicts seconds to a first event, or to a plain answer.

        Args:
            demand: The request.
            unread: Prompt tokens that it would have to read.
            now: The current time.
        """
        running = self.loads.running(now)
        if not demand.is_engine:
            over = max(0.0, (running + 1 - self.slots) / self.slots)
            return self.answer_s.value * (1 + over + 0.5 * running / self.slots)
        expected_s = self._queue_s(demand, unread, now)
        if demand.reads_beside_streams and not demand.is_long:
            expected_s += self._held_up_s(demand, now)
        return expected_s * self.slowness.value

    def _held_up_s(self, demand: Demand, now: float) -> float:
        """Returns by how much prompts that go later delay a first event.

        Each of the event's tokens waits for a piece that is read beside it.
        """
        beside = max(
            0, self.loads.waiting(now) - self.loads.ahead(demand.urgency, now)
        )
        longest_s = demand.tokens_per_event * demand.figures.reading_token_s
        return min(demand.figures.reading_s(beside), longest_s)

    def _queue_s(self, demand: Demand, unread: int, now: float) -> float:
        """Predicts seconds to a first event at an engine's usual speed.

        Args:
            demand: The request.
            unread: Prompt tokens that it would have to read.
            now: The current time.
        """
        running = self.loads.running(now)
        ahead = float(self.loads.ahead(demand.urgency, now))
        if demand.is_long:
            ahead = max(ahead, self.debt(now))
        reading = demand.figures.reading_s(unread + ahead)
        over = max(0, running + 1 - self.slots) * OVER_SLOTS_S
        steps = running * STEP_S_PER_RUN
        return FIRST_EVENT_S + reading + steps + over
