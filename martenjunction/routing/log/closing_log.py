"""Logs client connections that were closed abnormally."""

from martenjunction import metrics
from martenjunction.http1 import close_reports
from martenjunction.http1 import messages
from martenjunction.http1 import request_ledger
from martenjunction.platform import headers
from martenjunction.routing.log import decision_log

# Reasons for which no connection with a request should be closed.
_ERRORS = frozenset({close_reports.CloseReason.FAILED})


class ClosingLog:
    """Writes a log line for each connection closed abnormally."""

    def __init__(
        self, log: decision_log.DecisionLog, counters: metrics.Metrics
    ) -> None:
        """Initializes the writer.

        Args:
            log: Receives the lines.
            counters: Counts connections ended for excessive framing.
        """
        self._log = log
        self._metrics = counters

    def __call__(self, closed: close_reports.ClosedConnection) -> None:
        """Logs a closed connection, or a request received after the close."""
        fields: dict[str, object] = {
            "server": closed.server,
            "why": closed.reason.value,
            "client": closed.client,
            "rested_ms": round(closed.idle_s * 1000, 1),
            "answered": closed.answered,
            "under_way": closed.in_flight,
            "bytes_waiting": closed.bytes_waiting,
            "received": closed.received,
            "error": closed.error,
            "client_end": closed.peer_end.value,
            "may_rest_s": round(closed.rest_time.held_s, 3),
        }
        if closed.rest_time.told_s is not None:
            fields["told_s"] = closed.rest_time.told_s
        if closed.reason is close_reports.CloseReason.FRAMING:
            self._metrics.count("excess_framing", side="client")
        if closed.request is not None:
            request_id = _id(closed.request)
            self._log.write("request-after-close", id=request_id, **fields)
            return
        if closed.unanswered is not None:
            fields["request"] = _id(closed.unanswered)
        if closed.end is not None:
            fields["end"] = closed.end.value
        self._log.write("connection-closed", **fields)
        if closed.end in request_ledger.UNEXPECTED or _is_own_close(closed):
            events = [[round(ago, 4), name] for ago, name in closed.events]
            self._log.write("request-without-answer", events=events, **fields)


def _is_own_close(closed: close_reports.ClosedConnection) -> bool:
    """Returns whether the box closed under a request whose client had left."""
    gone = closed.end is request_ledger.End.CLIENT_GONE
    return gone and closed.reason in _ERRORS


def _id(request: messages.Request) -> str:
    return headers.decode_request(request.headers).id
