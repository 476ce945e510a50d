"""Runs the cells that this box owns or receives messages for."""

from collections.abc import Callable
import logging

from martenjunction import mailbox
from martenjunction import timers
from martenjunction.cells import cell
from martenjunction.cells import directory
from martenjunction.cells import messages
from martenjunction.config import fleet
from martenjunction.decisions.cells import dispatcher

logger = logging.getLogger(__name__)

MakeDispatcher = Callable[[], dispatcher.Dispatcher]

# Seconds after which an idle cell that this box no longer owns is stopped.
IDLE_LIFETIME = 10.0


def new_dispatcher() -> dispatcher.Dispatcher:
    """Returns a dispatcher with the default settings."""
    return dispatcher.Dispatcher(dispatcher.DispatchSettings())


class CellHost:
    """Runs the cells of one box."""

    def __init__(
        self,
        clock: timers.Timers,
        send: cell.SendToEntry,
        make: MakeDispatcher,
    ) -> None:
        """Initializes the host without cells.

        Args:
            clock: Returns the time.
            send: Sends messages to entry daemons.
            make: Creates the dispatcher of a cell.
        """
        self._timers = clock
        self._send = send
        self._new_dispatcher = make
        self._layout: dict[str, directory.CellInfo] = {}
        self._endpoints: dict[str, fleet.Endpoint] = {}
        self._leaving: frozenset[str] = frozenset()
        self._tasks: dict[str, cell.CellTask] = {}
        self._last_used: dict[str, float] = {}
        self._owned: frozenset[str] = frozenset()

    @property
    def tasks(self) -> dict[str, cell.CellTask]:
        """The running cells by name. Callers must not modify it."""
        return self._tasks

    def set_layout(
        self,
        layout: dict[str, directory.CellInfo],
        endpoints: dict[str, fleet.Endpoint],
        leaving: frozenset[str],
    ) -> None:
        """Applies a new layout of cells, endpoints and leaving endpoints."""
        self._layout = layout
        self._endpoints = endpoints
        self._leaving = leaving
        for name, task in self._tasks.items():
            task.put(self._listing(name))

    async def set_owned(self, owned: frozenset[str]) -> None:
        """Starts the owned cells and stops idle cells that are not owned."""
        self._owned = owned
        for name in owned:
            self._task(name)
        now = self._timers.now()
        for name, task in list(self._tasks.items()):
            decider = task.dispatcher
            busy = decider.waiting or decider.running or name in owned
            if busy:
                self._last_used[name] = now
            elif now - self._last_used.get(name, now) > IDLE_LIFETIME:
                del self._tasks[name]
                self._last_used.pop(name, None)
                await task.stop()

    def receive(self, entry: str, message: messages.FromEntry) -> None:
        """Dispatches a message of an entry daemon to its cell."""
        task = self._task(messages.cell_of(message))
        try:
            task.put(cell.FromBox(entry, message))
        except mailbox.MailboxFullError:
            logger.warning("cell %s: backlog full, message dropped", task.name)

    def report(
        self, endpoint: str, age: float, running: int, waiting: int
    ) -> None:
        """Dispatches an endpoint's load report to the cells that contain it."""
        self._put_to_cells_with(
            endpoint, cell.EndpointReported(endpoint, age, running, waiting)
        )

    def mark_unreachable(self, endpoint: str) -> None:
        """Reports an unreachable endpoint to the cells that contain it."""
        self._put_to_cells_with(endpoint, cell.EndpointUnreachable(endpoint))

    def entry_lost(self, entry: str) -> None:
        """Reports an entry daemon that is considered dead to all cells."""
        for task in self._tasks.values():
            task.put(cell.EntryLost(entry))

    def polled_endpoints(self) -> list[fleet.Endpoint]:
        """Returns the endpoints of the running cells."""
        names = [
            endpoint
            for name in self._tasks
            if name in self._layout
            for endpoint in self._layout[name].endpoints
        ]
        return [
            self._endpoints[name] for name in names if name in self._endpoints
        ]

    def summaries(self) -> list[messages.Summary]:
        """Returns the summaries of the owned cells."""
        return [
            task.summary()
            for name, task in self._tasks.items()
            if name in self._owned
        ]

    async def stop(self) -> None:
        """Stops all cells."""
        for task in list(self._tasks.values()):
            await task.stop()
        self._tasks.clear()

    def _put_to_cells_with(self, endpoint: str, message: cell.Input) -> None:
        for name, task in self._tasks.items():
            info = self._layout.get(name)
            if info is not None and endpoint in info.endpoints:
                task.put(message)

    def _task(self, name: str) -> cell.CellTask:
        task = self._tasks.get(name)
        if task is None:
            task = cell.CellTask(
                name, self._new_dispatcher(), self._timers, self._send
            )
            self._tasks[name] = task
            self._last_used[name] = self._timers.now()
            task.start()
            task.put(self._listing(name))
        return task

    def _listing(self, name: str) -> cell.EndpointsListed:
        info = self._layout.get(name)
        names = info.endpoints if info is not None else ()
        return cell.EndpointsListed(
            tuple(
                cell.ListedEndpoint(
                    endpoint,
                    self._endpoints[endpoint].slots,
                    self._endpoints[endpoint].zone,
                    endpoint in self._leaving,
                )
                for endpoint in names
                if endpoint in self._endpoints
            )
        )
