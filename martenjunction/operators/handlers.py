"""The operators' side of a daemon: dump, metrics, explain and drain."""

import asyncio
import hmac
import json
from typing import Any
from typing import Protocol

from tornado import web

BEARER = "Bearer "


class Operated(Protocol):
    """What the operators' side needs of a daemon."""

    def dump(self) -> dict[str, Any]:
        """Returns the state of every part."""

    def metrics_text(self) -> bytes:
        """Returns the metrics in the Prometheus text form."""

    def config_status(self, keys: list[str]) -> dict[str, Any]:
        """Returns which configuration is in force."""

    def explain(self, question: dict[str, Any]) -> dict[str, Any]:
        """Returns what a described request would get, and why."""

    async def drain(self) -> None:
        """Stops the daemon as planned."""


class OperatorHandler(web.RequestHandler):
    """A request of an operator."""

    def initialize(self, daemon: Operated, key: str) -> None:
        """Takes the daemon and the key that operators must show."""
        self._daemon = daemon
        self._key = key

    def prepare(self) -> None:
        """Checks the key."""
        shown = self.request.headers.get("Authorization", "")
        wanted = BEARER + self._key
        if not hmac.compare_digest(shown.encode(), wanted.encode()):
            raise web.HTTPError(401)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers errors as JSON."""
        self.write({"error": {"code": status_code, "message": self._reason}})
        self.finish()


class DumpHandler(OperatorHandler):
    """`GET /operator/dump`."""

    def get(self) -> None:
        """Answers with the state of every part."""
        self.write(json.dumps(self._daemon.dump(), default=str))
        self.set_header("Content-Type", "application/json")


class MetricsHandler(OperatorHandler):
    """`GET /operator/metrics`."""

    def get(self) -> None:
        """Answers with the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.write(self._daemon.metrics_text())


class ConfigHandler(OperatorHandler):
    """`GET /operator/config`."""

    def get(self) -> None:
        """Answers with the configuration in force, by version."""
        self.write(self._daemon.config_status(self.get_arguments("key")))


class ExplainHandler(OperatorHandler):
    """`POST /operator/explain`."""

    def post(self) -> None:
        """Answers what a described request would get."""
        try:
            question = json.loads(self.request.body)
        except ValueError as error:
            raise web.HTTPError(400) from error
        self.write(self._daemon.explain(question))


class DrainHandler(OperatorHandler):
    """`POST /operator/drain`."""

    def post(self) -> None:
        """Begins a planned stop."""
        self._drain = asyncio.ensure_future(self._daemon.drain())
        self.set_status(202)
        self.write({"draining": True})


def application(daemon: Operated, key: str) -> web.Application:
    """Returns the web application of the operators' side."""
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
