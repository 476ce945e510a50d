"""How the peer of a connection ended its sending side."""

import enum
import errno


class PeerEnd(enum.StrEnum):
    """How the peer ended its sending side.

    Attributes:
        OPEN: It had not ended it.
        FIN: In an orderly way. Whether it still reads is not known: a socket
            that is closed whole sends the same.
        RESET: It reset the connection.
        TIMED_OUT: It acknowledged nothing until the kernel gave up on it.
        FAILED: The socket failed otherwise, as where no route leads to it.
    """

    OPEN = "open"
    FIN = "fin"
    RESET = "reset"
    TIMED_OUT = "timed-out"
    FAILED = "failed"


_BY_ERRNO = {
    errno.ECONNRESET: PeerEnd.RESET,
    errno.ECONNABORTED: PeerEnd.RESET,
    errno.EPIPE: PeerEnd.RESET,
    errno.ETIMEDOUT: PeerEnd.TIMED_OUT,
}


def classify(error: BaseException) -> PeerEnd:
    """Returns which end of the peer an error of a stream stands for.

    Args:
        error: The error, of the socket or of the library that reads it.
    """
    if isinstance(error, OSError) and error.errno is not None:
        return _BY_ERRNO.get(error.errno, PeerEnd.FAILED)
    return PeerEnd.FAILED
