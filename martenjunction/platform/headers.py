"""Headers of requests and responses on the platform."""

import dataclasses
import math
import re

from martenjunction.http1 import messages

# Path by which clients resolve addresses of gateways.
ENTRY_PATH = b"/resolve"

RETRY_AFTER = b"Retry-After"
LAST_EVENT_ID = b"Last-Event-Id"

_REQUEST_ID = b"Martenjunction-Attempt-Id"
_RESUMES = b"resumes"
_DEADLINE = b"Martenjunction-Deadline-Ms"
_EXPECT_ENDPOINT = b"Martenjunction-Expect-Replica"
_WORKSPACE = b"Martenjunction-Tenant"
_URGENCY = b"Martenjunction-Request-Urgency"
_COPY_TO = b"Martenjunction-Kv-Backup"
_COPY_FROM = b"Kv-From"
# Despite its name, it has the parts of the prompt, not a hash.
_PROMPT_PARTS = b"martenjunction-prefix-hash"
_TOKENS = b"martenjunction-token-counts"
_NOT_RUN = b"martenjunction-not-executed"
_LOAD = b"martenjunction-replica-load"
_SEAL = b"martenjunction-replica-seal"

# Headers of a client's request that are not forwarded: only the gateway may
# set them, or they apply to a single hop.
_NOT_FORWARDED = frozenset(
    {
        b"authorization",
        b"content-length",
        b"expect",
        b"kv-fetch",
        b"kv-from",
        b"martenjunction-deadline-ms",
        b"martenjunction-expect-replica",
        b"martenjunction-expect-version",
        b"martenjunction-kv-backup",
        b"martenjunction-kv-hold",
        b"martenjunction-pin-ms",
        b"martenjunction-request-urgency",
        b"martenjunction-tenant",
    }
)
_FRAMING_HEADERS = frozenset({b"content-length"})

# Headers of a request without which an endpoint cannot answer it.
_END_TO_END = frozenset(
    {
        b"host",
        _REQUEST_ID.lower(),
        _RESUMES,
        LAST_EVENT_ID.lower(),
        _PROMPT_PARTS,
        _TOKENS,
    }
)

MS = 0.001
LOWEST_URGENCY = 9

# A number of tokens or requests. What is worked out from more digits may be no
# finite number.
_COUNT = re.compile(r"[0-9]{1,12}")


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may share.

    Attributes:
        id: The part's id.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata from a request's headers.

    Attributes:
        id: The request's id, or empty if there is none.
        host: The value of the Host header.
        key: The caller's API key, or None.
        deadline_s: Seconds that the client will wait, or None.
        parts: The parts of the prompt in order.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum number of tokens to generate.
        resume_from: Id of the last event that the client received, or None.
        resumes: Id of the request that brought the first event of the stream,
            or empty if the client names none.
    """

    id: str
    host: str
    key: str | None
    deadline_s: float | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    max_tokens: int
    resume_from: str | None
    resumes: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The load that an endpoint reports.

    Attributes:
        running: Number of running requests.
        waiting: Number of queued requests.
        slots: Number of requests that it can run concurrently.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPlan:
    """Endpoints that keep or provide a copy of a run's KV cache.

    Attributes:
        copy_to: Address of the endpoint that keeps a backup during the run, or
            None.
        copy_from: Address of the endpoint with the backup from which the run is
            resumed, or None.
    """

    copy_to: str | None = None
    copy_from: str | None = None


def decode_request(headers: messages.Headers) -> RequestMetadata:
    """Decodes the headers of a request, ignoring malformed values."""
    by_name = {name.lower(): value for name, value in reversed(headers)}
    tokens = _integers(by_name.get(_TOKENS, b""))
    authorization = by_name.get(b"authorization", b"").decode("latin-1")
    scheme, _, key = authorization.partition(" ")
    deadline = _number(by_name.get(_DEADLINE.lower()))
    event_id = by_name.get(LAST_EVENT_ID.lower())
    return RequestMetadata(
        id=by_name.get(_REQUEST_ID.lower(), b"").decode("latin-1"),
        host=by_name.get(b"host", b"").decode("latin-1"),
        key=key.strip() if scheme.lower() == "bearer" else None,
        deadline_s=None if deadline is None else deadline * MS,
        parts=_parts(by_name.get(_PROMPT_PARTS, b"")),
        prompt_tokens=tokens[0] if tokens else 0,
        max_tokens=tokens[1] if len(tokens) > 1 else 0,
        resume_from=None if event_id is None else event_id.decode("latin-1"),
        resumes=by_name.get(_RESUMES, b"").decode("latin-1").strip(),
    )


def endpoint_headers(
    headers: messages.Headers,
    body_length: int | None,
    deadline_s: float,
    endpoint: str,
    workspace: str | None,
    urgency: int | None,
    resume_from: str | None = None,
    copies: "CopyPlan | None" = None,
) -> messages.Headers:
    """Returns the headers of a request to an endpoint.

    Args:
        headers: The client's headers.
        body_length: Length of the body in bytes, or None if there is no body.
        deadline_s: Seconds until the deadline.
        endpoint: Id of the endpoint that the request is meant for.
        workspace: Name of the request's workspace, or None.
        urgency: 0 (most urgent) to 9, or None for a plain service.
        resume_from: Id of the event after which to continue, or None to forward
            the client's own header.
        copies: Endpoints that keep or provide a copy of the KV cache, or None.
    """
    forwarded = messages.without(headers, _NOT_FORWARDED, _END_TO_END)
    if resume_from is not None:
        name = LAST_EVENT_ID.lower()
        forwarded = [(n, v) for n, v in forwarded if n.lower() != name]
        forwarded.append((LAST_EVENT_ID, resume_from.encode("latin-1")))
    milliseconds = max(1, int(deadline_s / MS))
    forwarded.append((_DEADLINE, str(milliseconds).encode()))
    forwarded.append((_EXPECT_ENDPOINT, endpoint.encode()))
    if workspace is not None:
        forwarded.append((_WORKSPACE, workspace.encode()))
    if urgency is not None:
        forwarded.append((_URGENCY, str(min(urgency, LOWEST_URGENCY)).encode()))
    if copies is not None and copies.copy_to is not None:
        forwarded.append((_COPY_TO, copies.copy_to.encode()))
    if copies is not None and copies.copy_from is not None:
        # The run that was backed up has the same id as this request.
        origin = f"{copies.copy_from}/{request_id_of(headers)}"
        forwarded.append((_COPY_FROM, origin.encode()))
    if body_length is not None:
        forwarded.append((b"Content-Length", str(body_length).encode()))
    return forwarded


def request_id_of(headers: messages.Headers) -> str:
    """Returns the request id from headers, or empty if there is none."""
    value = messages.header(headers, _REQUEST_ID.lower())
    return "" if value is None else value.decode("latin-1")


def client_headers(headers: messages.Headers) -> messages.Headers:
    """Returns an endpoint's headers without those of the framing."""
    return messages.without(headers, _FRAMING_HEADERS)


def answers_request(head: messages.ResponseHead, request_id: str) -> bool:
    """Returns whether a response belongs to a request.

    A response with an error status may lack the id, one with a success status
    must have it.
    """
    echoed = head.get(_REQUEST_ID.lower())
    if echoed is None:
        return head.status >= 300
    return echoed.decode("latin-1") == request_id


def has_request_id(head: messages.ResponseHead) -> bool:
    """Returns whether a response names the request that it answers."""
    return head.get(_REQUEST_ID.lower()) is not None


def was_not_executed(head: messages.ResponseHead) -> bool:
    """Returns whether the endpoint reports that it did not run the request."""
    return head.status == 421 or head.get(_NOT_RUN) is not None


def is_sealed(head: messages.ResponseHead) -> bool:
    """Returns whether a response has an endpoint's seal."""
    return head.get(_SEAL) is not None


def load_of(head: messages.ResponseHead) -> EndpointLoad | None:
    """Returns the load that a response reports, or None."""
    numbers = _integers(head.get(_LOAD) or b"")
    return EndpointLoad(*numbers) if len(numbers) == 3 else None


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Returns the Retry-After header for a client, in hundredths of a second.

    The time is rounded up: rounded to nearest, a short one would become 0.
    """
    return RETRY_AFTER, f"{math.ceil(seconds * 100) / 100:.2f}".encode()


def _parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for text in value.decode("latin-1").split(","):
        name, _, tokens = text.strip().partition(":")
        if name and _COUNT.fullmatch(tokens):
            parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def _integers(value: bytes) -> list[int]:
    """Returns the counts in a header; none if one of them is malformed."""
    texts = [text.strip() for text in value.decode("latin-1").split(",")]
    if not all(map(_COUNT.fullmatch, texts)):
        return []
    return list(map(int, texts))


def _number(value: bytes | None) -> float | None:
    """Returns the finite number in a header, or None."""
    if value is None or b"_" in value:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
