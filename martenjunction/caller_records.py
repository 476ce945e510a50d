"""What a connection of a daemon has carried, for the ledger and the log."""

from typing import cast

import eliot
from tornado import http1connection
from tornado import httputil
from tornado import iostream

from martenjunction import errors
from martenjunction import fair_streams
from martenjunction.http1 import close_reports
from martenjunction.http1 import peeks
from martenjunction.http1 import peer_ends
from martenjunction.http1 import request_ledger

# Kind of log line, the same as that of a box on the platform.
UNANSWERED = "request-without-answer"

_End = request_ledger.End


class CallerRecord:
    """Accounts for the requests of one connection until it is closed."""

    def __init__(
        self,
        stream: fair_streams.FairStream,
        ledger: request_ledger.RequestLedger,
    ) -> None:
        """Initializes the record of an accepted connection.

        Args:
            stream: The connection's stream.
            ledger: Accounts for the requests.
        """
        self._stream = stream
        self._ledger = ledger
        self._events = request_ledger.ConnectionEvents()
        self._exchange: http1connection.HTTP1Connection | None = None
        # The current request; None before its head is read.
        self._entry: request_ledger.LedgerEntry | None = None
        self._answered = 0

    def await_request(self, exchange: httputil.HTTPConnection) -> None:
        """Ends the request that was answered; another one may follow.

        Args:
            exchange: The library's object for the next request.
        """
        if self._entry is not None and self._entry.end is None:
            self._record_response(self._entry)
        self._entry = None
        self._exchange = cast(http1connection.HTTP1Connection, exchange)
        self._stream.request_id = ""

    def begin_request(self) -> None:
        """Records that the head of a request was read."""
        self._entry = self._ledger.begin()
        self._events.note("head-read")

    def take_request(self) -> None:
        """Records that a request was read completely."""
        self._events.note("taken")
        if self._entry is not None:
            self._entry.taken = True

    def end_at_close(self, peer_end: peer_ends.PeerEnd, was_told: bool) -> None:
        """Ends the current request as its connection is closed.

        Args:
            peer_end: How the caller had ended its sending side.
            was_told: Whether a final response was sent in this moment.
        """
        entry = self._entry
        if entry is None or entry.end is not None:
            return
        if self._is_answered(entry):
            self._record_response(entry)
            return
        reason = reason_of(self._stream.error)
        self._events.note(f"close:{reason}")
        end = entry.end_at_close(peer_end, self._stream.has_written, was_told)
        entry.finish(end)
        if end in request_ledger.UNEXPECTED:
            eliot.log_message(
                UNANSWERED,
                request_id=self._stream.request_id or None,
                why=reason,
                client_end=peer_end,
                end=end,
                answered=self._answered,
                events=[
                    [round(ago, 4), name]
                    for ago, name in self._events.timeline()
                ],
            )

    def _record_response(self, entry: request_ledger.LedgerEntry) -> None:
        self._events.note("answered")
        self._answered += 1
        entry.finish(_End.ANSWERED if entry.taken else _End.REFUSED)

    def _is_answered(self, entry: request_ledger.LedgerEntry) -> bool:
        """Returns whether all of a response was handed to the kernel."""
        if self._stream.writing() or not self._stream.has_written:
            return False
        # What the server itself writes before a request is read is complete.
        # tornado has no public API for the rest.
        return not entry.taken or (
            self._exchange is not None and self._exchange._write_finished
        )


def find_peer_end(stream: iostream.IOStream) -> peer_ends.PeerEnd:
    """Returns how the peer of a stream that is closed ended its side."""
    # Other errors are those of the library or of the daemon.
    error = stream.error if isinstance(stream.error, OSError) else None
    error = error or peeks.take_error(stream.socket)
    if error is not None:
        return peer_ends.classify(error)
    if peeks.has_sent_all(stream.socket):
        return peer_ends.PeerEnd.FIN
    return peer_ends.PeerEnd.OPEN


def reason_of(error: BaseException | None) -> close_reports.CloseReason:
    """Returns the reason for which a stream was closed with an error."""
    if isinstance(error, errors.LocalCloseError):
        return close_reports.CloseReason(error.reason)
    return close_reports.CloseReason.CLIENT
