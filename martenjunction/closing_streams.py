"""Streams that tell their owner before they close."""

from collections.abc import Callable
import logging
import socket

from tornado import iostream

logger = logging.getLogger(__name__)


class ClosingStream(iostream.IOStream):
    """A stream whose every close, for whatever reason, is seen beforehand.

    tornado itself closes a stream as it reads the end of what the peer sends.

    Attributes:
        before_close: Called before the socket is closed.
    """

    before_close: Callable[[], None] | None = None

    def close_fd(self) -> None:
        """Closes the socket."""
        callback, self.before_close = self.before_close, None
        try:
            if callback is not None:
                callback()
        except Exception:
            logger.exception("failed to end the request of a connection")
        finally:
            super().close_fd()

    def send_last(self, data: bytes) -> bool:
        """Sends data as the stream is closed; returns whether it was sent.

        Args:
            data: Few bytes. Nothing is sent if other data waits before them.
        """
        if self.socket is None or self.writing():
            return False
        try:
            sent = self.socket.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return False
        return sent == len(data)
