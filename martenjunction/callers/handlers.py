"""What all handlers of the callers' side share: keys, limits and errors."""

import http.client
import json
from typing import Any
import uuid

import eliot
from tornado import iostream
from tornado import web

from martenjunction import errors
from martenjunction import http_headers
from martenjunction import http_server
from martenjunction.callers import service
from martenjunction.config import fleet
from martenjunction.decisions import outcomes
from martenjunction.http1 import closings
from martenjunction.relay import relay
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import sinks


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """A request of a caller, checked before its body is read."""

    def initialize(self, callers: service.CallerService) -> None:
        """Takes the service that knows keys, classes and limits."""
        self._callers = callers
        self._body = bytearray()
        self._workspace: fleet.Workspace | None = None
        self._failed = False
        self._request_id = uuid.uuid4().hex
        self._close_logged = False

    @property
    def callers(self) -> service.CallerService:
        """The service behind the handlers."""
        return self._callers

    @property
    def workspace(self) -> fleet.Workspace:
        """The workspace of the caller."""
        if self._workspace is None:
            raise errors.CallerError(401, "no-key", "a key is required")
        return self._workspace

    @property
    def body(self) -> bytes:
        """The whole body."""
        return bytes(self._body)

    def prepare(self) -> None:
        """Checks the key and the length before the body is read."""
        try:
            self._workspace = self._callers.authenticate(
                self.request.headers.get("Authorization", "")
            )
            self._check_length(self.request.headers.get("Content-Length"))
        except errors.CallerError as error:
            self.fail(error)

    def on_connection_close(self) -> None:
        """Ends the wait for a body, and what runs for the request."""
        super().on_connection_close()
        self.on_left()
        self._note_close()

    def on_left(self) -> None:
        """Called when the connection closes before the answer is whole."""

    def break_off(self) -> None:
        """Closes the connection within an answer that broke off."""
        broken = closings.CloseReason.ANSWER_BROKEN
        http_server.cut_off(self.request.connection, broken)
        self._note_close()

    def make_relay(
        self, request: requests.RoutedRequest, sink: sinks.Sink
    ) -> relay.Relay:
        """Takes a request in, unless nobody is there to be answered.

        The library hands on what it had read when its connection closed, and
        tells no handler of a close that came before.

        Raises:
            CallerError: If the connection is closed, or the daemon too full.
        """
        if http_server.is_closed(self.request.connection):
            self._log_close(http_server.AFTER_CLOSE)
            code = results.FailureCode.CALLER_LEFT
            raise errors.CallerError(
                results.STATUS[code], str(code), "the connection is closed"
            )
        return self._callers.make_relay(request, sink)

    def data_received(self, chunk: bytes) -> None:
        """Collects the body, up to the limit."""
        if self._failed:
            return
        self._body += chunk
        if len(self._body) > self._callers.settings.body_limit:
            self._body.clear()
            self.fail(_too_large(self._callers.settings.body_limit))

    def fail(self, error: errors.CallerError) -> None:
        """Answers with an error; nothing of the request was run."""
        if self._failed:
            return
        self._failed = True
        self.write_failure(
            error.status,
            error.code,
            str(error),
            outcomes.Outcome.NOT_RUN,
            error.retry_after,
        )
        self.finish()

    def write_failure(
        self,
        status: int,
        code: str,
        message: str,
        outcome: outcomes.Outcome,
        retry_after: float | None = None,
    ) -> None:
        """Writes the header and body of an answer that is not whole."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(http_headers.OUTCOME, str(outcome))
        if retry_after is not None:
            seconds = max(1, round(retry_after))
            self.set_header(http_headers.RETRY_AFTER, str(seconds))
        body = failure_body(code, message, outcome, retry_after)
        self.write(json.dumps(body).encode())

    def write_result(self, result: results.Result) -> None:
        """Writes how a request failed, where nothing was sent before."""
        code = result.code or results.FailureCode.INTERNAL
        self.write_failure(
            results.STATUS[code],
            str(code),
            result.message,
            result.outcome,
            result.retry_after,
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Turns errors of the web library into the usual form."""
        code = "internal-error" if status_code >= 500 else "bad-request"
        if status_code == 404:
            code = "not-found"
        if status_code == 405:
            code = "method-not-allowed"
        self.write_failure(
            status_code, code, self._reason, outcomes.Outcome.NOT_RUN
        )
        self.finish()

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Leaves callers that went away out of the error log."""
        if not isinstance(value, iostream.StreamClosedError):
            super().log_exception(typ, value, tb)

    def header_pairs(self) -> http_headers.Pairs:
        """Returns the request's headers, repeated ones one by one."""
        return list(self.request.headers.get_all())

    def labels(self) -> dict[str, str]:
        """Returns the short texts that the caller sent for policies."""
        prefix = http_headers.LABEL_PREFIX
        return {
            name[len(prefix) :].lower(): value
            for name, value in self.request.headers.get_all()
            if name.startswith(prefix)
        }

    def request_id(self) -> str:
        """Returns our own id; a caller's is not trusted to be unique."""
        return self._request_id

    def _note_close(self) -> None:
        """Logs that the daemon, not the caller, closed the connection."""
        why = http_server.close_reason(self.request.connection)
        if why is not closings.CloseReason.CLIENT:
            self._log_close(http_server.CLOSED)

    def _log_close(self, kind: str) -> None:
        if self._close_logged:
            return
        self._close_logged = True
        eliot.log_message(
            kind,
            request_id=self._request_id,
            why=http_server.close_reason(self.request.connection),
        )

    def _check_length(self, length: str | None) -> None:
        limit = self._callers.settings.body_limit
        if length is not None and length.isdigit() and int(length) > limit:
            raise _too_large(limit)


def failure_body(
    code: str,
    message: str,
    outcome: outcomes.Outcome,
    retry_after: float | None = None,
) -> dict[str, Any]:
    """Returns the JSON body of an answer that is not whole."""
    error: dict[str, Any] = {
        "code": code,
        "message": message,
        "outcome": str(outcome),
    }
    if retry_after is not None:
        error["retry_after_s"] = retry_after
    return {"error": error}


def _too_large(limit: int) -> errors.CallerError:
    return errors.CallerError(
        413, "body-too-large", f"a body may have {limit} bytes"
    )


def reason_of(status: int) -> str:
    """Returns the usual reason phrase of a status."""
    return http.client.responses.get(status, "Unknown")
