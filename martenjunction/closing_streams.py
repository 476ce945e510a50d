"""Streams that tell their owner before they close."""

from collections.abc import Callable
import socket

from tornado import iostream


class ClosingStream(iostream.IOStream):
    """A stream whose every close, for whatever reason, is seen beforehand.

    tornado itself closes a stream as it reads the end of what the peer sends.

    Attributes:
        before_close: Called before the socket is closed.
    """

    before_close: Callable[[], None] | None = None

    def close_fd(self) -> None:
        """Closes the socket."""
        if self.before_close is not None:
            self.before_close()
        super().close_fd()

    def send_last(self, data: bytes) -> bool:
        """Sends data as the stream is closed; returns whether it was sent.

        Args:
            data: Few bytes; nothing may wait to be sent before them.
        """
        if self.socket is None:
            return False
        try:
            sent = self.socket.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return False
        return sent == len(data)
