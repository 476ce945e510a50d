"""The one hierarchy of errors."""


class MartenjunctionError(Exception):
    """Base of every error that the project raises."""


class SettingsError(MartenjunctionError):
    """A settings file is missing, malformed or holds a wrong value.

    Attributes:
        file: The file as it was named by the operator.
        section: The section, or an empty string for the whole file.
        key: The key, or an empty string for the whole section.
    """

    def __init__(
        self, message: str, file: str = "", section: str = "", key: str = ""
    ) -> None:
        self.file = file
        self.section = section
        self.key = key
        place = file
        if section:
            place += f" [{section}]"
        if key:
            place += f" {key}"
        super().__init__(f"{place}: {message}" if place else message)


class PolicyError(MartenjunctionError):
    """A policy cannot be parsed, or failed while it ran."""


class PlatformError(MartenjunctionError):
    """The platform's object API could not answer."""


class PlatformUnavailableError(PlatformError):
    """No answer: the call may or may not have taken effect."""


class PlatformRefusedError(PlatformError):
    """The platform answered that it did not carry the call out."""


class VersionConflictError(PlatformError):
    """A conditional update named a version that is no longer current.

    Attributes:
        key: The object's key.
        current: The version that the platform holds now; 0 for none.
    """

    def __init__(self, key: str, current: int) -> None:
        self.key = key
        self.current = current
        super().__init__(f"{key} is at version {current}")


class PeerError(MartenjunctionError):
    """A peer broke the protocol between daemons."""


class EndpointError(MartenjunctionError):
    """An endpoint did not give a whole answer."""


class EndpointNotReachedError(EndpointError):
    """No byte of the request went to the endpoint."""


class EndpointBusyError(EndpointError):
    """This box has as many connections to the endpoint as it may."""


class EndpointRefusedError(EndpointError):
    """The endpoint said that it refused the request before running it.

    Attributes:
        rest_s: Seconds for which it wants nothing; 0 if it did not say.
    """

    def __init__(self, message: str, rest_s: float = 0.0) -> None:
        self.rest_s = rest_s
        super().__init__(message)


class EndpointBrokenError(EndpointError):
    """The answer broke off, or never came: the request may have run."""


class EndpointMismatchError(EndpointError):
    """The answer belongs to another request."""


class CallerError(MartenjunctionError):
    """A caller's request is refused.

    Attributes:
        status: The HTTP status.
        code: A stable word for programs.
        retry_after: Seconds after which the caller may try again, or None.
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
    """There is no connection: no byte of the request was sent."""


class PortRefusedError(ConnectError):
    """Nobody listens at the address: the server has ended."""


class NoSocketError(ConnectError):
    """This box has no socket left: it says nothing of the server."""


class ConnectionLostError(TransportError):
    """The connection ended before the message was whole."""


class ConnectionCutError(TransportError):
    """This daemon itself closed a connection.

    Attributes:
        why: The word for it in the log.
    """

    def __init__(self, why: str) -> None:
        self.why = why
        super().__init__(f"closed here: {why}")


class HttpSyntaxError(TransportError):
    """The peer's bytes are not a message of HTTP/1.1."""


class HistoryLostError(PlatformError):
    """The platform no longer has the changes since the revision asked for."""
