"""A model engine that batches, in simulated time.

Prompts are read in pieces between the tokens of the requests that run; the
figures are given as data, so that engines of several kinds can be replayed.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EngineKind:
    """How fast the engines of a service are.

    Attributes:
        slots: Requests in its batch.
        step_s: Seconds of a step of an empty batch.
        step_per_run_s: Seconds that each running request adds to it.
        prefill_tokens_per_s: Prompt tokens that are read in a second.
        piece_tokens: Most prompt tokens that one step reads.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    step_s: float
    step_per_run_s: float
    prefill_tokens_per_s: float
    piece_tokens: int
    tokens_per_event: int


# Engines on which a stream of six tokens an event stays in time beside prompts,
# if hardly, and ones on which a stream of three does not.
FIRST = EngineKind(64, 0.0031, 0.00002, 56_900.0, 2_048, 5)
SECOND = EngineKind(64, 0.0056, 0.00003, 31_000.0, 2_048, 3)


@dataclasses.dataclass(slots=True)
class Run:
    """A request at an engine.

    Attributes:
        number: The request.
        urgency: Its rank; 0 is served first.
        unread: Prompt tokens that are yet to be read.
        events: Events that are yet to be made.
        made: Tokens made towards the next event.
    """

    number: int
    urgency: int
    unread: int
    events: int
    made: int = 0


class Engine:
    """One engine; it holds each shared part that it has read."""

    def __init__(self, name: str, kind: EngineKind) -> None:
        """Makes an idle engine that holds nothing."""
        self.name = name
        self.kind = kind
        self._held: set[str] = set()
        self._queue: list[Run] = []
        self._running: list[Run] = []

    @property
    def idle(self) -> bool:
        """Whether it has nothing to do."""
        return not self._queue and not self._running

    def submit(self, run: Run, shared: tuple[tuple[str, int], ...]) -> None:
        """Takes a request, whose shared parts it may hold."""
        for part, tokens in shared:
            if part in self._held:
                run.unread -= tokens
            self._held.add(part)
        run.unread = max(1, run.unread)
        self._queue.append(run)
        self._queue.sort(key=lambda queued: queued.urgency)

    def cancel(self, number: int) -> None:
        """Drops a request whose client has left."""
        self._queue = [run for run in self._queue if run.number != number]
        self._running = [run for run in self._running if run.number != number]

    def step(self) -> tuple[float, list[Run]]:
        """Takes one step.

        Returns:
            The seconds that it takes, and the runs that made an event in it;
            those without events left have ended.
        """
        while self._queue and len(self._running) < self.kind.slots:
            self._running.append(self._queue.pop(0))
        left = self.kind.piece_tokens
        made = []
        for run in sorted(self._running, key=lambda run: run.urgency):
            if run.unread:
                piece = min(left, run.unread)
                run.unread -= piece
                left -= piece
                if run.unread:
                    continue
            run.made += 1
            if run.made == self.kind.tokens_per_event:
                run.made = 0
                run.events -= 1
                made.append(run)
        read = self.kind.piece_tokens - left
        seconds = (
            self.kind.step_s
            + len(self._running) * self.kind.step_per_run_s
            + read / self.kind.prefill_tokens_per_s
        )
        self._running = [run for run in self._running if run.events]
        return seconds, made
