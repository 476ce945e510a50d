"""The request for a tunnel and its answer: CONNECT of HTTP/1.1 (RFC 9110).

A box asks for an endpoint by its id and address, and proves that it belongs to
the same fleet.
"""

import dataclasses
import enum
import hashlib
import hmac

from martenjunction import errors

# Maximum size of a request or an answer, in bytes.
MAX_BYTES = 2048

END = b"\r\n\r\n"

_ADDRESS = "Endpoint-Address"
_BOX = "Box"
_PROOF = "Proof"


class Status(enum.IntEnum):
    """Answers to a request for a tunnel.

    Attributes:
        CONNECTED: The tunnel is open.
        MALFORMED: The request cannot be read.
        FORBIDDEN: The proof is wrong.
        UNKNOWN: The box does not list the endpoint as available.
        REFUSED: The endpoint refused the connection.
        NO_PATH: The box is in doubt about its own path, has no room, or stops.
        TIMED_OUT: The endpoint accepted no connection in time.
    """

    CONNECTED = 200
    MALFORMED = 400
    FORBIDDEN = 403
    UNKNOWN = 404
    REFUSED = 502
    NO_PATH = 503
    TIMED_OUT = 504


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelRequest:
    """A request for a tunnel.

    Attributes:
        endpoint_id: The endpoint's id.
        address: Its IP address and port as known to the asking box.
        box: The asking box.
    """

    endpoint_id: str
    address: str
    box: str


def encode_request(request: TunnelRequest, key: str) -> bytes:
    """Returns the bytes of a request.

    Args:
        request: The request.
        key: The key that all boxes share.
    """
    lines = [
        f"CONNECT {request.endpoint_id} HTTP/1.1",
        f"{_ADDRESS}: {request.address}",
        f"{_BOX}: {request.box}",
        f"{_PROOF}: {_proof(request, key)}",
    ]
    return "\r\n".join(lines).encode() + END


def decode_request(data: bytes, key: str) -> TunnelRequest:
    """Returns a request.

    Raises:
        PeerError: If it is malformed or its proof is wrong.
    """
    try:
        first, *lines = data.decode("ascii").strip().split("\r\n")
        method, endpoint_id, version = first.split(" ")
        fields = dict(line.split(": ", 1) for line in lines)
        request = TunnelRequest(endpoint_id, fields[_ADDRESS], fields[_BOX])
        proof = fields[_PROOF]
    except (ValueError, KeyError) as error:
        raise errors.PeerError("malformed request for a tunnel") from error
    if method != "CONNECT" or version != "HTTP/1.1":
        raise errors.PeerError(f"unexpected request: {method} {version}")
    if not hmac.compare_digest(proof, _proof(request, key)):
        raise errors.PeerError(
            f"{request.box} did not prove that it has the key"
        )
    return request


def encode_answer(status: Status) -> bytes:
    """Returns the bytes of an answer."""
    return f"HTTP/1.1 {int(status)} {status.name}".encode() + END


def decode_answer(data: bytes) -> int:
    """Returns the status of an answer.

    Raises:
        PeerError: If it is malformed.
    """
    parts = data.split(b" ", 2)
    if len(parts) < 2 or parts[0] != b"HTTP/1.1" or not parts[1].isdigit():
        raise errors.PeerError("malformed answer to a request for a tunnel")
    return int(parts[1])


def _proof(request: TunnelRequest, key: str) -> str:
    text = "\0".join(
        ("tunnel", request.endpoint_id, request.address, request.box)
    )
    return hmac.digest(key.encode(), text.encode(), hashlib.sha256).hex()
