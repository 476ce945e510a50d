"""Stages of a daemon's connections, and what ends a request in each."""

import enum
import http

from martenjunction import http_headers
from martenjunction.decisions import outcomes


class Stage(enum.Enum):
    """The stage of a connection's current request."""

    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"


def _empty_response(
    status: http.HTTPStatus, outcome: outcomes.Outcome
) -> bytes:
    return (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        f"{http_headers.OUTCOME}: {outcome}\r\n"
        "Content-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()


TIMEOUT_RESPONSE = _empty_response(
    http.HTTPStatus.REQUEST_TIMEOUT, outcomes.Outcome.NOT_RUN
)

_UNREAD_RESPONSE = _empty_response(
    http.HTTPStatus.SERVICE_UNAVAILABLE, outcomes.Outcome.NOT_RUN
)

# By the stage in which a connection is closed without any other response.
FINAL_RESPONSES = {
    Stage.HEAD: _UNREAD_RESPONSE,
    Stage.BODY: _UNREAD_RESPONSE,
    Stage.ANSWER: _empty_response(
        http.HTTPStatus.BAD_GATEWAY, outcomes.Outcome.UNKNOWN
    ),
}
