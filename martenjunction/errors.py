"""The exception hierarchy of the project."""


class MartenjunctionError(Exception):
    """Base of every error that the project raises."""


class SettingsError(MartenjunctionError):
    """A settings file is missing, malformed or holds a wrong value.

    Attributes:
        file: The file, as the operator named it.
        section: The section, or an empty string for the whole file.
        key: The key, or an empty string for the whole section.
    """

    def __init__(
        self, message: str, file: str = "", section: str = "", key: str = ""
    ) -> None:
        self.file = file
        self.section = section
        self.key = key
        location = file
        if section:
            location += f" [{section}]"
        if key:
            location += f" {key}"
        super().__init__(f"{location}: {message}" if location else message)


class PolicyError(MartenjunctionError):
    """A policy cannot be parsed or failed at run time."""


class MalformedError(MartenjunctionError, ValueError):
    """Data of another process cannot be decoded."""


class PlatformError(MartenjunctionError):
    """A call to the platform's object API failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not respond; the call may have taken effect."""


class PlatformAnswerTooLargeError(PlatformUnavailableError):
    """The platform's response has more bytes than any that it may send."""


class PlatformRefusedError(PlatformError):
    """The platform responded that it did not execute the call."""


class EnginesUnavailableError(PlatformRefusedError):
    """The platform has no more engines of the ordered kind at present."""


class DutyRejectedError(PlatformError):
    """The platform rejected a call of a duty for good."""


class ObjectMissingError(PlatformRefusedError):
    """The platform has no object of the name that a call is to change."""


class VersionConflictError(PlatformError):
    """A conditional update named a version that is no longer current.

    Attributes:
        key: The object's key.
        current: The current version on the platform; 0 for none.
    """

    def __init__(self, key: str, current: int) -> None:
        self.key = key
        self.current = current
        super().__init__(f"{key} is at version {current}")


class PeerError(MartenjunctionError):
    """A peer violated the protocol between daemons."""


class TooManyOddMessagesError(PeerError):
    """A peer sends too many messages that cannot be read."""


class PeerMismatchError(PeerError):
    """A peer has other settings, so that the two cannot connect.

    Attributes:
        box: The peer's box, as it says.
        mismatch: What differs; see `peers.handshake.Mismatch`.
    """

    def __init__(self, box: str, mismatch: str) -> None:
        """Initializes the error.

        Args:
            box: The peer's box.
            mismatch: What differs.
        """
        super().__init__(f"{box} has another {mismatch}")
        self.box = box
        self.mismatch = mismatch


class EndpointError(MartenjunctionError):
    """An endpoint did not return a complete response."""


class EndpointNotReachedError(EndpointError):
    """No byte of the request was sent to the endpoint."""


class EndpointBusyError(EndpointError):
    """This box has reached its connection limit for the endpoint."""


class EndpointRefusedError(EndpointError):
    """The endpoint reported that it refused the request before running it.

    Attributes:
        backoff_s: Requested back-off in seconds; 0 if not given.
    """

    def __init__(self, message: str, rest_s: float = 0.0) -> None:
        self.backoff_s = rest_s
        super().__init__(message)


class EndpointBrokenError(EndpointError):
    """The response is incomplete or missing; the request may have run."""


class AnswerGivenUpError(EndpointError):
    """This box has no memory for a response; the request ran."""


class StreamTruncatedError(EndpointBrokenError):
    """A stream ended within an event."""


class EndpointMismatchError(EndpointError):
    """The response belongs to another request."""


class CallerError(MartenjunctionError):
    """A caller's request is refused.

    Attributes:
        status: The HTTP status.
        code: A stable, machine-readable error code.
        retry_after: Seconds after which the caller may retry, or None.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        retry_after: float | None = None,
    ) -> None:
        self.status = status
        self.code = code
        self.retry_after = retry_after
        super().__init__(message)


class TransportError(MartenjunctionError):
    """An HTTP connection failed."""


class ConnectError(TransportError):
    """No connection could be made; no byte of the request was sent."""


class PortRefusedError(ConnectError):
    """Nothing listens at the address, so the server has exited."""


class NoSocketError(ConnectError):
    """This box has no free socket; the server's state is unknown."""


class ConnectionLostError(TransportError):
    """The connection closed before the message was complete."""


class ClientLostError(ConnectionLostError):
    """A client disconnected before it had its response.

    A type of its own: the loss of another connection must not count as the
    client's leaving, which ends a request without a response.
    """


class LocalCloseError(TransportError):
    """This daemon closed the connection.

    Attributes:
        reason: The reason, as written to the log.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(f"closed locally: {reason}")


class HttpSyntaxError(TransportError):
    """The received bytes are not a valid HTTP/1.1 message."""


class ExcessFramingError(HttpSyntaxError):
    """The framing of a body outweighs its data.

    Attributes:
        unparsed: Bytes of data that were received and are not parsed.
    """

    def __init__(self, message: str, unparsed: int = 0) -> None:
        self.unparsed = unparsed
        super().__init__(message)


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested revision."""


class UnreadableChangeError(HistoryLostError):
    """The platform reported a change that does not tell of which object."""
