"""Logs how servers keep to their shares of the descriptors."""

from collections.abc import Callable
import functools

from martenjunction.decisions.boxes import connection_share
from martenjunction.routing.log import decision_log


class ConnectionLog:
    """Writes a line for each change of a server's share."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Initializes the writer.

        Args:
            log: Receives the lines.
        """
        self._log = log
        self._shares: dict[str, connection_share.ConnectionShare] = {}

    def watch(
        self, server: str, share: connection_share.ConnectionShare
    ) -> Callable[[], None]:
        """Returns what to call after each change of a share's state.

        Args:
            server: Name of the server.
            share: Its share.
        """
        self._shares[server] = share
        return functools.partial(self._write, server, share)

    def gauges(self) -> dict[str, float]:
        """Returns counts over all servers, by the names of their metrics."""
        shares = self._shares.values()
        return {
            "connections_ended_at_rest": float(sum(s.ended for s in shares)),
            "connections_refused": float(sum(s.refused for s in shares)),
        }

    def _write(
        self, server: str, share: connection_share.ConnectionShare
    ) -> None:
        self._log.write(
            "connection-share",
            server=server,
            state=share.state.value,
            ended=share.ended,
            refused=share.refused,
        )
