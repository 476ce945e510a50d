"""The requests that a box holds."""

from collections.abc import Set

from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.routing.requests import exchange
from martenjunction.routing.requests import exchange_context


class HeldRequests:
    """Serves requests of callers and knows those that are in flight."""

    def __init__(self, context: exchange_context.ExchangeContext) -> None:
        """Initializes the set, which is empty.

        Args:
            context: The objects shared by all exchanges.
        """
        self._context = context
        self._exchanges: set[exchange.Exchange] = set()

    def __len__(self) -> int:
        """Returns the number of requests in flight."""
        return len(self._exchanges)

    @property
    def exchanges(self) -> Set[exchange.Exchange]:
        """The requests in flight."""
        return self._exchanges

    async def serve(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Serves one request of a caller."""
        running = exchange.Exchange(self._context, connection, request)
        self._exchanges.add(running)
        try:
            await running.run()
        finally:
            self._exchanges.discard(running)

    def move(self) -> None:
        """Moves the requests that another endpoint should take."""
        for running in self._exchanges:
            if running.should_move:
                running.move()

    def stop(self) -> None:
        """Ends all requests; each gets a final response."""
        for running in list(self._exchanges):
            running.stop(exchange.Ending.STOPPED)
