"""What a client's connection has carried, for the ledger and the log."""

import dataclasses

from martenjunction.http1 import close_reports
from martenjunction.http1 import connection_state
from martenjunction.http1 import final_responses
from martenjunction.http1 import messages
from martenjunction.http1 import peer_ends
from martenjunction.http1 import request_input
from martenjunction.http1 import request_ledger
from martenjunction.http1 import response_writer
from martenjunction.http1 import resting
from martenjunction.http1 import streams
from martenjunction.http1 import watched_streams

_End = request_ledger.End


class ConnectionRecord:
    """Accounts for the requests of one connection until it is closed.

    Attributes:
        unanswered: The accepted request that has no complete response, or
            None.
        response_count: Number of complete responses.
        report: Report on its close, once that has begun.
    """

    def __init__(
        self,
        stream: watched_streams.WatchedStream,
        source: streams.ByteSource,
        received: request_input.RequestInput,
        output: response_writer.ResponseWriter,
        rest: resting.Rest,
        ledger: request_ledger.RequestLedger,
    ) -> None:
        """Initializes the record of an accepted connection.

        Args:
            stream: The client's stream.
            source: Its receiving side.
            received: What the client sends.
            output: Its sending side.
            rest: For how long it may rest.
            ledger: Accounts for the requests.
        """
        self._stream = stream
        self._source = source
        self._input = received
        self._output = output
        self._rest = rest
        self._ledger = ledger
        self._events = request_ledger.ConnectionEvents()
        # The current request; None before its head is read.
        self._entry: request_ledger.LedgerEntry | None = None
        self._peer = streams.peer_address(stream)
        self.unanswered: messages.Request | None = None
        self.response_count = 0
        self.report: close_reports.ClosedConnection | None = None

    def note(self, event: str) -> None:
        """Records an event for the log."""
        self._events.note(event)

    def begin_request(self) -> None:
        """Records that the head of a request was read."""
        self._entry = self._ledger.begin()
        self.note("head-read")

    def take_request(self, request: messages.Request) -> None:
        """Records that the handler gets the request."""
        self.note("taken")
        self.unanswered = request
        if self._entry is not None:
            self._entry.taken = True

    def record_response(self) -> None:
        """Records a complete response."""
        self.note("answered")
        self.response_count += 1
        self.unanswered = None
        if self._entry is not None:
            taken = self._entry.taken
            self._entry.finish(_End.ANSWERED if taken else _End.REFUSED)

    def prepare_next_request(self) -> None:
        """Forgets the request that was answered."""
        self._entry = None

    def begin_close(
        self, reason: close_reports.CloseReason, state: connection_state.State
    ) -> None:
        """Records who closes the connection; the first call determines it."""
        if state is not connection_state.State.CLOSED:
            self.note(f"close:{reason}")
        if self.report is None and not self._stream.closed():
            self.report = self.build_report(reason)

    def end_request(self, state: connection_state.State) -> None:
        """Ends the current request as its connection is closed.

        If nothing was sent to it, it gets a final response.

        Args:
            state: The state before the close.
        """
        entry = self._entry
        started = self._output.started
        if entry is None:
            # Its head is not parsed yet.
            reading = state is connection_state.State.READING
            if not started and (reading or self._source.has_pending_result):
                self._stream.send_last(final_responses.NOT_RUN)
            return
        if entry.end is not None:
            return
        was_told = not started and self._stream.send_last(
            final_responses.RESPONSES[entry.taken]
        )
        entry.finish(
            entry.end_at_close(self._source.peer_end, started, was_told)
        )

    def closing(self, server: str) -> close_reports.ClosedConnection:
        """Returns a report on the closed, or still open, connection.

        Args:
            server: Name of the server that accepted it.
        """
        closing = self.report or self.build_report(
            close_reports.CloseReason.CLIENT
        )
        return dataclasses.replace(
            closing,
            server=server,
            end=None if self._entry is None else self._entry.end,
            events=self._events.timeline(),
        )

    def build_report(
        self, reason: close_reports.CloseReason
    ) -> close_reports.ClosedConnection:
        """Returns a report on the connection as it is now."""
        # Asked first: it may find the error.
        peer_end: peer_ends.PeerEnd = self._source.peer_end
        return close_reports.ClosedConnection(
            "",
            reason,
            self._peer,
            self._rest.rested_s,
            self.response_count,
            self.unanswered is not None,
            self._source.bytes_waiting,
            self._input.received,
            "" if self._source.error is None else repr(self._source.error),
            peer_end=peer_end,
            unanswered=self.unanswered,
            rest_time=self._rest.time,
        )
