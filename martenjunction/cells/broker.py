"""The entry daemon's client of cells: choice, ownership and retries."""

from collections.abc import Callable
import dataclasses
import enum
import logging
import random
from typing import Any

from martenjunction import errors
from martenjunction import mailbox
from martenjunction import timers
from martenjunction.cells import cell_choice
from martenjunction.cells import directory
from martenjunction.cells import messages
from martenjunction.cells import releases
from martenjunction.decisions.cells import dispatch_types

logger = logging.getLogger(__name__)

# Returns the candidate owners of a cell, best first, without unreachable boxes.
# This box is always included.
Owners = Callable[[directory.CellInfo], list[str]]


class TicketState(enum.Enum):
    """States of a request at its cell."""

    WAITING = "waiting"
    RUNNING = "running"
    OVER = "over"


class NoCellError(errors.MartenjunctionError):
    """Raised if no endpoint of the service is configured."""


class StopReason(enum.StrEnum):
    """Reasons for which the entry daemon itself ends a request or run."""

    CALLER_LEFT = "caller-left"
    TIME_LIMIT = "time-limit"
    STALLED = "stalled"
    PREEMPTED = "preempted"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Stopped:
    """The request must stop waiting for its cell."""

    reason: StopReason


PlacementResult = messages.SlotGranted | messages.RequestShed | Stopped


class Ticket:
    """The state of one request at the cell it was sent to.

    The broker puts results into `placement_results`, which the relay awaits,
    and calls `on_preempted` when a running request is preempted.
    """

    def __init__(
        self,
        ask: dispatch_types.SlotRequest,
        cell: directory.CellInfo,
        owner: str,
    ) -> None:
        self.ask = ask
        self.cell = cell
        self.owner = owner
        self.state = TicketState.WAITING
        self.endpoint = ""
        self.granted_at = 0.0
        self.placement_results: mailbox.Mailbox[PlacementResult] = (
            mailbox.Mailbox(16)
        )
        self.on_preempted: Callable[[], None] | None = None


@dataclasses.dataclass(slots=True)
class BrokerCounts:
    """Counters of a broker.

    Attributes:
        asked: Requests sent to cells.
        moved: Requests moved to a new owner or cell.
        returned: Stale grants returned to their owners.
    """

    asked: int = 0
    moved: int = 0
    returned: int = 0


class Broker:
    """Requests slots from the owners of cells for this box's requests."""

    def __init__(
        self,
        box: str,
        zone: str,
        clock: timers.Timers,
        owners: Owners,
        send: releases.SendToOwner,
        rng: random.Random | None = None,
    ) -> None:
        """Initializes the broker without cells.

        Args:
            box: This box.
            zone: Its availability zone.
            clock: Returns the time.
            owners: Returns the candidate owners of a cell.
            send: Sends messages to owners.
            rng: Selects the two cells that are compared.
        """
        self._box = box
        self._timers = clock
        self._owners = owners
        self._send = send
        self._releases = releases.Releases(send)
        self._choice = cell_choice.CellChoice(
            zone, clock, rng or random.Random()
        )
        self._cells: dict[str, directory.CellInfo] = {}
        self._current_owner: dict[str, str] = {}
        self._tickets: dict[str, Ticket] = {}
        self._counts = BrokerCounts()
        self._handlers: dict[type[Any], Callable[[str, Any], None]] = {
            messages.SlotGranted: self._on_granted,
            messages.RequestShed: self._on_shed,
            messages.RunPreempted: self._on_preempted,
            messages.Summary: self._on_summary,
        }

    @property
    def counts(self) -> BrokerCounts:
        """Counters since the broker was created."""
        return self._counts

    @property
    def tickets(self) -> dict[str, Ticket]:
        """Active requests by ID. Callers must not modify it."""
        return self._tickets

    @property
    def cells(self) -> dict[str, directory.CellInfo]:
        """The known cells by name. Callers must not modify it."""
        return self._cells

    @property
    def current_owners(self) -> dict[str, str]:
        """The current owner of each cell in use."""
        return dict(self._current_owner)

    def set_cells(self, cells: dict[str, directory.CellInfo]) -> None:
        """Applies a new layout of cells.

        Requests whose cell no longer exists are moved to another one.
        """
        self._cells = cells
        self._choice.set_cells(cells.values())
        for ticket in list(self._tickets.values()):
            if ticket.cell.name not in cells:
                self._move_to_other_cell(ticket)
            else:
                ticket.cell = cells[ticket.cell.name]
        self._current_owner = {
            name: owner
            for name, owner in self._current_owner.items()
            if name in cells
        }
        self.reassign()

    def place(self, ask: dispatch_types.SlotRequest, service: str) -> Ticket:
        """Sends a request to a cell.

        Args:
            ask: The request, with times on this box's clock.
            service: The requested service.

        Raises:
            NoCellError: If the service has no endpoint.
        """
        cell = self._choice.choose(ask, service)
        if cell is None:
            raise NoCellError(f"service {service!r} has no endpoint")
        owner = self._owner_of(cell)
        ticket = Ticket(ask, cell, owner)
        self._tickets[ask.request_id] = ticket
        self._counts.asked += 1
        self._send_to_owner(ticket, self._ask_message(ticket))
        return ticket

    def withdraw(self, ticket: Ticket) -> None:
        """Withdraws a waiting request or returns an unused slot."""
        if ticket.state is TicketState.OVER:
            return
        self._close(ticket)
        message = messages.Withdraw(ticket.cell.name, ticket.ask.request_id)
        self._send_to_owner(ticket, message)

    def first_token(self, ticket: Ticket, seconds: float) -> None:
        """Notifies the cell of the first token."""
        self._send_to_owner(
            ticket,
            messages.FirstToken(
                ticket.cell.name, ticket.ask.request_id, round(seconds, 4)
            ),
        )

    def ended(self, ticket: Ticket, end: dispatch_types.RunEnd) -> None:
        """Releases a slot and notifies the cell of how the run ended."""
        if ticket.state is TicketState.OVER:
            return
        self._close(ticket)
        self._send_to_owner(
            ticket,
            messages.RunEnded(
                ticket.cell.name,
                end.request_id,
                str(end.ending),
                end.first_token_s,
                end.tokens,
                end.token_interval_s,
                end.backoff_s,
                end.answered,
                end.limit_per_s,
            ),
        )

    def receive(self, sender: str, message: messages.FromOwner) -> None:
        """Processes a message from the owner of a cell."""
        self._handlers[type(message)](sender, message)

    def reassign(self) -> None:
        """Moves requests to the new owners of their cells.

        Waiting requests keep their arrival time and running ones keep their
        slots. The new owner rebuilds its queues and slot counts from these
        messages.
        """
        changed = set()
        for name, known in list(self._current_owner.items()):
            cell = self._cells.get(name)
            owner = self._first_owner(cell) if cell is not None else self._box
            if owner != known:
                self._current_owner[name] = owner
                self._choice.forget_summary(name)
                changed.add(name)
        if not changed:
            return
        for ticket in list(self._tickets.values()):
            if ticket.cell.name in changed:
                self._move(ticket, ticket.cell)

    def announce_to(self, owner: str) -> None:
        """Announces all requests to an owner with a new connection.

        Messages of both sides are lost with a connection, and an owner drops
        the requests of a box that it cannot reach.
        """
        for ticket in list(self._tickets.values()):
            if ticket.owner == owner:
                self._move(ticket, ticket.cell)

    def delay(self, cell: str, tier: int) -> float | None:
        """Returns a cell's latest predicted delay in seconds, or None."""
        return self._choice.delay(cell, tier)

    def service_delay(self, service: str, tier: int) -> float:
        """Returns the least predicted delay of a service's cells in seconds."""
        cells = self._choice.of_service(service)
        delays = [self.delay(cell.name, tier) or 0.0 for cell in cells]
        return min(delays, default=0.0)

    # Owners.

    def _owner_of(self, cell: directory.CellInfo) -> str:
        owner = self._current_owner.get(cell.name)
        if owner is None:
            owner = self._first_owner(cell)
            self._current_owner[cell.name] = owner
        return owner

    def _first_owner(self, cell: directory.CellInfo) -> str:
        return next(iter(self._owners(cell)), self._box)

    # Messages to owners.

    def _send_to_owner(
        self, ticket: Ticket, message: messages.FromEntry
    ) -> None:
        if not self._releases.send(ticket.owner, message):
            # The next call of `reassign` moves an open request to another
            # owner.
            logger.debug("cell owner %s cannot be reached", ticket.owner)

    def _ask_message(self, ticket: Ticket) -> messages.SlotRequested:
        return messages.from_ask(
            ticket.ask, ticket.cell.name, self._timers.now()
        )

    def _move(self, ticket: Ticket, cell: directory.CellInfo) -> None:
        """Moves a request to the current owner of a cell."""
        # A previous owner may own the cell again, and would still count it.
        withdrawal = messages.Withdraw(ticket.cell.name, ticket.ask.request_id)
        self._send_to_owner(ticket, withdrawal)
        ticket.cell = cell
        ticket.owner = self._current_owner[cell.name]
        ticket.ask = dataclasses.replace(ticket.ask, exempt_from_shedding=True)
        self._counts.moved += 1
        message: messages.FromEntry = self._ask_message(ticket)
        if ticket.state is TicketState.RUNNING:
            running = round(self._timers.now() - ticket.granted_at, 4)
            message = messages.AnnounceRun(
                self._ask_message(ticket), ticket.endpoint, running
            )
        self._send_to_owner(ticket, message)

    def _move_to_other_cell(self, ticket: Ticket) -> None:
        """Moves a request to the cell that contains its endpoint, or any."""
        cells = self._choice.of_service(ticket.cell.service)
        candidates = [
            c for c in cells if ticket.endpoint in c.endpoints
        ] or cells
        if not candidates:
            return
        self._owner_of(candidates[0])
        self._move(ticket, candidates[0])

    def _close(self, ticket: Ticket) -> None:
        ticket.state = TicketState.OVER
        if self._tickets.get(ticket.ask.request_id) is ticket:
            del self._tickets[ticket.ask.request_id]

    # Messages from owners.

    def _on_granted(self, sender: str, message: messages.SlotGranted) -> None:
        ticket = self._ticket_of(
            sender, message.request_id, TicketState.WAITING
        )
        if ticket is None or ticket.cell.name != message.cell:
            # Granted by a previous owner, or to a request that has ended.
            self._counts.returned += 1
            withdrawal = messages.Withdraw(message.cell, message.request_id)
            self._send(sender, withdrawal)
            return
        ticket.state = TicketState.RUNNING
        ticket.endpoint = message.endpoint
        ticket.granted_at = self._timers.now()
        ticket.placement_results.put(message)

    def _on_shed(self, sender: str, message: messages.RequestShed) -> None:
        ticket = self._ticket_of(
            sender, message.request_id, TicketState.WAITING
        )
        if ticket is not None:
            self._close(ticket)
            ticket.placement_results.put(message)

    def _on_preempted(
        self, sender: str, message: messages.RunPreempted
    ) -> None:
        ticket = self._ticket_of(
            sender, message.request_id, TicketState.RUNNING
        )
        if ticket is not None and ticket.on_preempted is not None:
            ticket.on_preempted()

    def _ticket_of(
        self, sender: str, request_id: str, state: TicketState
    ) -> Ticket | None:
        """Returns the ticket if owned by the sender and in the given state."""
        ticket = self._tickets.get(request_id)
        if ticket is None or ticket.owner != sender:
            return None
        return ticket if ticket.state is state else None

    def _on_summary(self, sender: str, message: messages.Summary) -> None:
        if self._current_owner.get(message.cell, sender) == sender:
            self._choice.take_summary(message)
