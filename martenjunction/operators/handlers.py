"""HTTP handlers of the operator interface of a daemon."""

import asyncio
import hmac
import json
from typing import Any
from typing import Protocol

from tornado import web

from martenjunction import decoding
from martenjunction import errors

BEARER_PREFIX = "Bearer "


class OperatedDaemon(Protocol):
    """Interface of a daemon that the operator handlers use."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of every component."""

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""

    def config_status(self, keys: list[str]) -> dict[str, Any]:
        """Returns the state of the active configuration."""

    def explain(self, question: dict[str, Any]) -> dict[str, Any]:
        """Returns how a described request would be routed, and why."""

    async def drain(self) -> None:
        """Shuts the daemon down gracefully."""


class OperatorHandler(web.RequestHandler):
    """Base class of the handlers; authenticates the operator."""

    def initialize(self, daemon: OperatedDaemon, key: str) -> None:
        """Sets the daemon and the key that operators must present."""
        self._daemon = daemon
        self._key = key

    def prepare(self) -> None:
        """Rejects requests without the operators' key."""
        presented = self.request.headers.get("Authorization", "")
        expected = BEARER_PREFIX + self._key
        if not hmac.compare_digest(presented.encode(), expected.encode()):
            raise web.HTTPError(401)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Writes an error response as JSON."""
        self.write({"error": {"code": status_code, "message": self._reason}})
        self.finish()


class DumpHandler(OperatorHandler):
    """`GET /operator/dump`."""

    def get(self) -> None:
        """Responds with the state of every component."""
        self.write(json.dumps(self._daemon.dump(), default=str))
        self.set_header("Content-Type", "application/json")


class MetricsHandler(OperatorHandler):
    """`GET /operator/metrics`."""

    def get(self) -> None:
        """Responds with the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self._daemon.metrics_text())


class ConfigHandler(OperatorHandler):
    """`GET /operator/config`."""

    def get(self) -> None:
        """Responds with the state and versions of the configuration."""
        self.write(self._daemon.config_status(self.get_arguments("key")))


class ExplainHandler(OperatorHandler):
    """`POST /operator/explain`."""

    def post(self) -> None:
        """Responds with how a described request would be routed."""
        try:
            question = decoding.lenient_value_from_json(self.request.body)
        except errors.MalformedError as error:
            raise web.HTTPError(400) from error
        self.write(self._daemon.explain(question))


class DrainHandler(OperatorHandler):
    """`POST /operator/drain`."""

    def post(self) -> None:
        """Starts a graceful shutdown."""
        self._drain = asyncio.ensure_future(self._daemon.drain())
        self.set_status(202)
        self.write({"draining": True})


def application(daemon: OperatedDaemon, key: str) -> web.Application:
    """Returns the web application of the operator interface."""
    arguments = {"daemon": daemon, "key": key}
    return web.Application(
        [
            ("/operator/dump", DumpHandler, arguments),
            ("/operator/metrics", MetricsHandler, arguments),
            ("/operator/config", ConfigHandler, arguments),
            ("/operator/explain", ExplainHandler, arguments),
            ("/operator/drain", DrainHandler, arguments),
        ]
    )
