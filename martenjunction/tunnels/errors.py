"""Errors of tunnels."""

from martenjunction import errors


class TunnelRefusedError(errors.ConnectError):
    """A peer opened no tunnel.

    Attributes:
        status: The peer's answer; see `handshake.Status`.
    """

    def __init__(self, box: str, status: int) -> None:
        self.status = status
        super().__init__(f"{box} opened no tunnel: {status}")
