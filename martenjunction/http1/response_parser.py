"""Parses responses of HTTP/1.1; reads and writes nothing itself."""

import re

import h11

from martenjunction import errors
from martenjunction.http1 import framing
from martenjunction.http1 import messages

# Maximum size of a response head, in bytes.
MAX_HEAD_BYTES = 64 * 1024

_KEEP_ALIVE_TIMEOUT = re.compile(
    rb"timeout\s*=\s*(\d+(?:\.\d+)?)", re.IGNORECASE
)


class ResponseParser:
    """Frames the requests of one connection and parses their responses."""

    def __init__(self) -> None:
        """Initializes the parser of a connection that is not open yet."""
        self._parser = _new_parser()
        self._request: h11.Request | None = None
        self._head: messages.ResponseHead | None = None
        self._chunked: framing.ChunkedBody | None = None

    @property
    def head(self) -> messages.ResponseHead | None:
        """The head of the last final response, or None before the first."""
        return self._head

    def frame(self, request: h11.Request, body: messages.Body) -> list[bytes]:
        """Returns the pieces of a complete request, to be written.

        Args:
            request: The head of the request.
            body: The complete body.
        """
        events: list[h11.Event] = [request]
        if body:
            events.append(h11.Data(data=body))  # type: ignore[arg-type]
        pieces = []
        for event in (*events, h11.EndOfMessage()):
            pieces += self._parser.send_with_data_passthrough(event) or []
        self._request = request
        return pieces

    def next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next part of a response, or that data is needed.

        Raises:
            ConnectionLostError: If the connection is closed within a response.
            HttpSyntaxError: If the data is not a valid response.
        """
        if (
            self._parser.their_state is h11.SEND_RESPONSE
            and framing.begins_with_too_many_lines(
                self._parser.trailing_data[0]
            )
        ):
            raise errors.HttpSyntaxError("too many header fields")
        if self._chunked is not None:
            unparsed = self._parser.trailing_data[0]
            self._chunked.scan(unparsed)
            if self._chunked.has_too_many_lines(unparsed):
                raise errors.HttpSyntaxError("too many header fields")
        try:
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._parser.trailing_data[1]:
                # The server closed the connection before the end.
                raise errors.ConnectionLostError(str(error)) from error
            raise errors.HttpSyntaxError(str(error)) from error
        if event is h11.NEED_DATA:
            if self._chunked is not None:
                _check_framing(self._chunked, parsed=True)
        elif framing.has_too_many_fields(event):
            raise errors.HttpSyntaxError("too many header fields")
        return event

    def note_event(self, event: object) -> None:
        """Counts the data of a part of a response.

        Raises:
            ExcessFramingError: If the framing of a body outweighs its data.
        """
        if isinstance(event, h11.Data) and self._chunked is not None:
            self._chunked.note_data(len(event.data), event.chunk_end)
            _check_framing(self._chunked, parsed=False)

    def receive(self, data: bytes) -> None:
        """Takes data from the connection; empty at its end.

        Raises:
            ConnectionLostError: If data follows the end of the connection.
        """
        if self._chunked is not None:
            self._chunked.note_received(len(data))
        try:
            self._parser.receive_data(data)
        except RuntimeError as error:
            raise errors.ConnectionLostError(
                "data after the end of the connection"
            ) from error

    def take_head(self, event: h11.Response) -> messages.ResponseHead:
        """Returns the head of a final response, whose body follows."""
        head = _parse_head(event)
        self._head = head
        self._chunked = None
        if head.get(b"transfer-encoding") is not None:
            rest = len(self._parser.trailing_data[0])
            self._chunked = framing.ChunkedBody(rest)
        return head

    def end_body(self) -> None:
        """Records that the body of a response was read completely."""
        self._chunked = None

    def expect_another_response(self) -> None:
        """Prepares to parse one more response to the request that was sent.

        Raises:
            ConnectionLostError: If the server closes the connection instead.
        """
        if self._head is None or self._head.closes or self._request is None:
            raise errors.ConnectionLostError("closed after a stale response")
        rest, ended = self._parser.trailing_data
        if ended:
            raise errors.ConnectionLostError("closed after a stale response")
        parser = _new_parser()
        # The new parser needs the method to frame the response. Its output is
        # discarded: nothing is sent again.
        parser.send(
            h11.Request(
                method=self._request.method,
                target=self._request.target,
                headers=[(b"Host", b"")],
            )
        )
        parser.send(h11.EndOfMessage())
        if rest:
            parser.receive_data(rest)
        self._parser = parser

    def may_carry_another(self) -> bool:
        """Returns whether an exchange ended so that another may follow."""
        rest, ended = self._parser.trailing_data
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not rest
            and not ended
            and self._head is not None
            and not self._head.closes
        )

    def start_next_cycle(self) -> None:
        """Prepares for another request."""
        self._parser.start_next_cycle()


def _new_parser() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def _check_framing(body: framing.ChunkedBody, parsed: bool) -> None:
    """Rejects a body whose framing outweighs its data.

    Raises:
        ExcessFramingError: If it does.
    """
    if body.is_excessive(parsed):
        raise errors.ExcessFramingError(
            "the framing of a body outweighs its data", body.unparsed_excess
        )


def _parse_head(event: h11.Response) -> messages.ResponseHead:
    headers = [(bytes(n), bytes(v)) for n, v in event.headers.raw_items()]
    head = messages.ResponseHead(event.status_code, headers)
    connection = (head.get(b"connection") or b"").lower()
    head.closes = b"close" in connection or event.http_version == b"1.0"
    match = _KEEP_ALIVE_TIMEOUT.search(head.get(b"keep-alive") or b"")
    if match is not None:
        head.keep_alive_s = float(match.group(1))
    return head
