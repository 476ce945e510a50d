"""Base class of the caller handlers: keys, body limits and errors."""

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
from martenjunction.http1 import close_reports
from martenjunction.relay import relay
from martenjunction.relay import requests
from martenjunction.relay import results
from martenjunction.relay import sinks


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Base handler that checks a request before it reads the body."""

    def initialize(self, callers: service.CallerService) -> None:
        """Initializes the handler.

        Args:
            callers: Service with keys, classes and limits.
        """
        self._callers = callers
        self._body = bytearray()
        self._workspace: fleet.Workspace | None = None
        self._failed = False
        self._request_id = uuid.uuid4().hex
        self._close_logged = False

    @property
    def callers(self) -> service.CallerService:
        """The service that the handlers share."""
        return self._callers

    @property
    def workspace(self) -> fleet.Workspace:
        """The caller's workspace.

        Raises:
            CallerError: If the request is not authenticated.
        """
        if self._workspace is None:
            raise errors.CallerError(401, "no-key", "a key is required")
        return self._workspace

    @property
    def body(self) -> bytes:
        """The request body received so far."""
        return bytes(self._body)

    def prepare(self) -> None:
        """Checks the key and the content length before reading the body."""
        http_server.name_request(self.request.connection, self._request_id)
        try:
            self._workspace = self._callers.authenticate(
                self.request.headers.get("Authorization", "")
            )
            self._check_length(self.request.headers.get("Content-Length"))
        except errors.CallerError as error:
            self.fail(error)

    def on_connection_close(self) -> None:
        """Stops reading the body and cancels the work for the request."""
        super().on_connection_close()
        self.on_disconnect()
        self._log_daemon_close()

    def on_disconnect(self) -> None:
        """Called if the connection closes before the response is complete."""

    def abort_response(self) -> None:
        """Closes the connection in the middle of an incomplete response."""
        reason = close_reports.CloseReason.ANSWER_BROKEN
        http_server.abort(self.request.connection, reason)
        self._log_daemon_close()

    def make_relay(
        self, request: requests.RoutedRequest, sink: sinks.Sink
    ) -> relay.Relay:
        """Admits a request, unless its connection is already closed.

        Tornado still delivers a request that it had read when its connection
        closed, and does not notify a handler of a close that happened before
        the handler was created.

        Raises:
            CallerError: If the connection is closed, or the daemon is
                overloaded or shutting down.
        """
        if http_server.is_closed(self.request.connection):
            self._log_close(http_server.AFTER_CLOSE)
            code = results.FailureCode.CALLER_LEFT
            raise errors.CallerError(
                results.STATUS[code], str(code), "the connection is closed"
            )
        return self._callers.make_relay(request, sink)

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body, up to the size limit."""
        if self._failed:
            return
        self._body += chunk
        if len(self._body) > self._callers.settings.body_limit:
            self._body.clear()
            self.fail(_too_large(self._callers.settings.body_limit))

    def fail(self, error: errors.CallerError) -> None:
        """Sends an error response for a request that was not run."""
        if self._failed:
            return
        self._failed = True
        self.write_error_response(
            error.status,
            error.code,
            str(error),
            outcomes.Outcome.NOT_RUN,
            error.retry_after,
        )
        self.finish()

    def write_error_response(
        self,
        status: int,
        code: str,
        message: str,
        outcome: outcomes.Outcome,
        retry_after: float | None = None,
    ) -> None:
        """Writes the headers and body of an error response.

        Args:
            status: HTTP status.
            code: Error code.
            message: Description of the error.
            outcome: How far the request ran.
            retry_after: Seconds after which to retry, or None.
        """
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.set_header(http_headers.OUTCOME, str(outcome))
        if retry_after is not None:
            seconds = max(1, round(retry_after))
            self.set_header(http_headers.RETRY_AFTER, str(seconds))
        body = error_body(code, message, outcome, retry_after)
        self.write(json.dumps(body).encode())

    def write_result(self, result: results.Result) -> None:
        """Writes the error response of a failed run.

        Only valid while nothing of a response has been sent.
        """
        code = result.code or results.FailureCode.INTERNAL
        self.write_error_response(
            results.STATUS[code],
            str(code),
            result.message,
            result.outcome,
            result.retry_after,
        )

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes Tornado's own errors in the common error format."""
        code = "internal-error" if status_code >= 500 else "bad-request"
        if status_code == 404:
            code = "not-found"
        if status_code == 405:
            code = "method-not-allowed"
        self.write_error_response(
            status_code, code, self._reason, outcomes.Outcome.NOT_RUN
        )
        self.finish()

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Logs exceptions, except those of callers that disconnected."""
        if not isinstance(value, iostream.StreamClosedError):
            super().log_exception(typ, value, tb)

    def header_pairs(self) -> http_headers.Pairs:
        """Returns the request headers, repeated ones as separate pairs."""
        return list(self.request.headers.get_all())

    def labels(self) -> dict[str, str]:
        """Returns the labels that the caller set for policies."""
        prefix = http_headers.LABEL_PREFIX
        return {
            name[len(prefix) :].lower(): value
            for name, value in self.request.headers.get_all()
            if name.startswith(prefix)
        }

    def request_id(self) -> str:
        """Returns the id generated by the daemon.

        An id sent by the caller is not used, as it may not be unique.
        """
        return self._request_id

    def _log_daemon_close(self) -> None:
        """Logs a connection that the daemon, not the caller, closed."""
        reason = http_server.close_reason(self.request.connection)
        if reason is not close_reports.CloseReason.CLIENT:
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


def error_body(
    code: str,
    message: str,
    outcome: outcomes.Outcome,
    retry_after: float | None = None,
) -> dict[str, Any]:
    """Returns the JSON body of an error response."""
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


def reason_phrase(status: int) -> str:
    """Returns the standard reason phrase of an HTTP status."""
    return http.client.responses.get(status, "Unknown")
