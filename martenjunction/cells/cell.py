"""The task that runs the dispatcher of one cell."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
from typing import Any

from martenjunction import mailbox
from martenjunction import timers
from martenjunction.cells import messages
from martenjunction.decisions.cells import dispatch_types
from martenjunction.decisions.cells import dispatcher

logger = logging.getLogger(__name__)

# Sends a message to the entry daemon on a box.
SendToEntry = Callable[[str, messages.FromOwner], None]

STEP_INTERVAL = 0.02
REVIEW_INTERVAL = 0.2

# Seconds for which the slots of an unresponsive entry daemon are kept.
LOST_ENTRY_GRACE = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class FromBox:
    """A message from an entry daemon and the box that sent it."""

    entry: str
    message: messages.FromEntry


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """An endpoint as listed by its service."""

    name: str
    slots: int
    zone: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The complete list of the cell's endpoints."""

    endpoints: tuple[ListedEndpoint, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReported:
    """An endpoint's load report.

    Attributes:
        endpoint: The endpoint.
        age: Seconds since the measurement.
        running: Requests in its batch.
        waiting: Requests in its own queue.
    """

    endpoint: str
    age: float
    running: int
    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointUnreachable:
    """An endpoint that could not be reached to query its load."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class EntryLost:
    """An entry daemon that is considered dead."""

    entry: str


@dataclasses.dataclass(frozen=True, slots=True)
class TickElapsed:
    """A periodic tick."""


Input = (
    FromBox
    | EndpointsListed
    | EndpointReported
    | EndpointUnreachable
    | EntryLost
    | TickElapsed
)


class CellTask:
    """Runs one cell's dispatcher and processes its messages in order."""

    def __init__(
        self,
        name: str,
        decider: dispatcher.Dispatcher,
        clock: timers.Timers,
        send: SendToEntry,
    ) -> None:
        """Initializes the task, which `start` runs.

        Args:
            name: The cell.
            decider: The cell's dispatcher.
            clock: Returns the time and schedules the periodic tick.
            send: Sends a message to an entry daemon.
        """
        self._name = name
        self._decider = decider
        self._timers = clock
        self._send = send
        self._mailbox: mailbox.Mailbox[Input] = mailbox.Mailbox(100_000)
        self._task: asyncio.Task[None] | None = None
        self._subscriptions: list[timers.Subscription] = []
        self._last_review = 0.0
        self._noted_stall_s = clock.total_stall_s()
        self._lost_entries: dict[str, float] = {}
        self._handlers: dict[type[Any], Callable[[Any, float], None]] = {
            FromBox: self._on_message,
            EndpointsListed: self._on_listed,
            EndpointReported: self._on_report,
            EndpointUnreachable: self._on_unreachable,
            EntryLost: self._on_entry_lost,
            TickElapsed: self._on_tick,
        }
        self._from_entry: dict[type[Any], Callable[[str, Any, float], None]] = {
            messages.SlotRequested: self._on_ask,
            messages.AnnounceRun: self._on_announce,
            messages.Withdraw: self._on_withdraw,
            messages.FirstToken: self._on_first_token,
            messages.RunEnded: self._on_ended,
        }

    @property
    def name(self) -> str:
        """The cell."""
        return self._name

    @property
    def dispatcher(self) -> dispatcher.Dispatcher:
        """The dispatcher. Callers must not modify it."""
        return self._decider

    def put(self, message: Input) -> None:
        """Enqueues a message.

        Raises:
            MailboxFullError: If the backlog is full.
        """
        self._mailbox.put(message)

    def start(self) -> None:
        """Starts the task in the event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._subscriptions.append(
            self._timers.subscribe(
                f"cell {self._name}",
                STEP_INTERVAL,
                self._tick,
            )
        )

    def _tick(self) -> None:
        """Wakes the task, less often while no request waits."""
        due = self._timers.now() - self._last_review >= REVIEW_INTERVAL
        if due or self._decider.waiting:
            self.put(TickElapsed())

    async def stop(self) -> None:
        """Stops the task without notifying entry daemons."""
        for subscription in self._subscriptions:
            subscription.cancel()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def summary(self) -> messages.Summary:
        """Returns the cell's summary for entry daemons."""
        summary = self._decider.summary(self._timers.now())
        return messages.from_summary(self._name, summary)

    async def _run(self) -> None:
        while True:
            batch = await self._mailbox.get_all()
            now = self._timers.now()
            self._note_stalls()
            for message in batch:
                try:
                    self._handlers[type(message)](message, now)
                except Exception:
                    logger.exception(
                        "cell %s: failed to process a message", self._name
                    )
            self._deliver(self._decider.step(now))

    def _note_stalls(self) -> None:
        total_s = self._timers.total_stall_s()
        if total_s > self._noted_stall_s:
            self._decider.note_stall(total_s - self._noted_stall_s)
            self._noted_stall_s = total_s

    def _deliver(self, decisions: list[dispatch_types.Decision]) -> None:
        for decision in decisions:
            message = messages.from_decision(self._name, decision)
            self._send(decision.entry, message)

    def _on_message(self, received: FromBox, now: float) -> None:
        self._lost_entries.pop(received.entry, None)
        handler = self._from_entry[type(received.message)]
        handler(received.entry, received.message, now)

    def _on_ask(
        self, entry: str, message: messages.SlotRequested, now: float
    ) -> None:
        ask = messages.to_ask(message, entry, now)
        self._deliver(self._decider.submit(ask, now))

    def _on_announce(
        self, entry: str, message: messages.AnnounceRun, now: float
    ) -> None:
        ask = messages.to_ask(message.ask, entry, now)
        granted = now - message.running
        self._decider.adopt(dispatch_types.Run(ask, message.endpoint, granted))

    def _on_withdraw(
        self, entry: str, message: messages.Withdraw, now: float
    ) -> None:
        if self._decider.withdraw(message.request_id):
            return
        # The grant and the withdrawal crossed; the slot was never used.
        run = self._decider.run(message.request_id)
        if run is not None and run.ask.entry == entry:
            end = dispatch_types.RunEnd(
                message.request_id, dispatch_types.Ending.CANCELLED
            )
            self._decider.ended(end, now)

    def _on_first_token(
        self, entry: str, message: messages.FirstToken, now: float
    ) -> None:
        self._decider.first_token(message.request_id, message.seconds, now)

    def _on_ended(
        self, entry: str, message: messages.RunEnded, now: float
    ) -> None:
        self._decider.ended(messages.to_run_end(message), now)

    def _on_listed(self, listed: EndpointsListed, now: float) -> None:
        names = {endpoint.name for endpoint in listed.endpoints}
        for endpoint in listed.endpoints:
            if endpoint.leaving:
                self._decider.set_leaving(endpoint.name, now)
            else:
                self._decider.set_endpoint(
                    endpoint.name, endpoint.slots, now, endpoint.zone
                )
        for name in list(self._decider.endpoints):
            if name not in names:
                self._decider.remove_endpoint(name)

    def _on_report(self, report: EndpointReported, now: float) -> None:
        self._decider.report(
            dispatch_types.LoadReport(
                report.endpoint,
                now - report.age,
                report.running,
                report.waiting,
            ),
            now,
        )

    def _on_unreachable(
        self, unreachable: EndpointUnreachable, now: float
    ) -> None:
        self._decider.mark_unreachable(unreachable.endpoint, now)

    def _on_entry_lost(self, lost: EntryLost, now: float) -> None:
        self._lost_entries.setdefault(lost.entry, now)

    def _on_tick(self, _: TickElapsed, now: float) -> None:
        if now - self._last_review < REVIEW_INTERVAL:
            return
        self._last_review = now
        self._deliver(self._decider.review(now))
        for entry, since in list(self._lost_entries.items()):
            if now - since > LOST_ENTRY_GRACE:
                del self._lost_entries[entry]
                self._decider.forget_entry(entry, now)
