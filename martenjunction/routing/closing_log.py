"""Log lines for connections from clients that did not end as usual."""

from martenjunction.http1 import closings
from martenjunction.platform import headers
from martenjunction.routing import decision_log


class ClosingLog:
    """Writes a line for each connection that it is told of."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Makes a writer.

        Args:
            log: Where the lines go.
        """
        self._log = log

    def __call__(self, closed: closings.ClosedConnection) -> None:
        """Writes a line: of the connection, or of a request that was late."""
        fields = {
            "server": closed.server,
            "why": closed.reason.value,
            "client": closed.client,
            "rested_ms": round(closed.rested_s * 1000, 1),
            "answered": closed.answered,
            "under_way": closed.under_way,
            "bytes_waiting": closed.bytes_waiting,
        }
        if closed.request is None:
            self._log.write("connection-closed", **fields)
            return
        facts = headers.decode_request(closed.request.headers)
        self._log.write("request-after-close", id=facts.id, **fields)
