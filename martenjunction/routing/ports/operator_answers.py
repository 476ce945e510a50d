"""Answers operators: metrics, the dump, and the lifting of a quarantine."""

from collections.abc import Callable
import json
from typing import Any

from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.routing.ports import query_fields
from martenjunction.routing.quarantine import request_quarantine

METRICS_PATH = b"/metrics"
DUMP_PATH = b"/dump"
LIFT_PATH = b"/lift"

# Query field that identifies the quarantined request to lift.
CONTENT_FIELD = "content"


class OperatorAnswers:
    """Answers on the port for operators."""

    def __init__(
        self,
        metrics_text: Callable[[], bytes],
        dump: Callable[[], dict[str, Any]],
        quarantine: request_quarantine.RequestQuarantine,
    ) -> None:
        """Initializes the answers.

        Args:
            metrics_text: Returns the metrics in text format.
            dump: Returns the state of all components.
            quarantine: The requests that are refused.
        """
        self._metrics_text = metrics_text
        self._dump = dump
        self._quarantine = quarantine

    async def serve(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Answers one request of an operator."""
        if request.path == METRICS_PATH:
            await connection.answer(200, [], self._metrics_text())
        elif request.path == DUMP_PATH:
            text = json.dumps(self._dump(), indent=1).encode()
            await connection.answer(200, [], text)
        elif request.path == LIFT_PATH and request.method == b"POST":
            known = self._quarantine.lift(
                query_fields.decode(request).get(CONTENT_FIELD, "")
            )
            await connection.answer(200 if known else 404, [], b"")
        else:
            await connection.answer(404, [], b"")
