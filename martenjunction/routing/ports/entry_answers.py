"""Tells clients which boxes to connect to."""

from collections.abc import Callable

from martenjunction.http1 import messages
from martenjunction.http1 import server_connection
from martenjunction.platform import box_settings
from martenjunction.platform import documents
from martenjunction.platform import headers
from martenjunction.routing.ports import query_fields
from martenjunction.routing.sync import reachable_boxes

# Time to live of a resolve response, in seconds. Some clients cache one for
# three times as long, and all of them should have switched to another box well
# before a graceful shutdown ends.
ENTRY_TTL_S = 1.0


class EntryAnswers:
    """Answers on the entry port."""

    def __init__(
        self,
        reachable: reachable_boxes.ReachableBoxes,
        settings: Callable[[], box_settings.BoxSettings],
    ) -> None:
        """Initializes the answers.

        Args:
            reachable: The boxes that accept clients.
            settings: Returns the settings in force.
        """
        self._reachable = reachable
        self._settings = settings

    async def serve(
        self,
        connection: server_connection.ServerConnection,
        request: messages.Request,
    ) -> None:
        """Answers one request with the boxes for its zone."""
        if request.path != headers.ENTRY_PATH:
            await connection.answer(404, [], b"")
            return
        _, zone = documents.decode_resolve_query(query_fields.decode(request))
        addresses = self._reachable.entries(zone)
        if not addresses:
            await connection.answer(503, [], b"")
            return
        ttl = min(ENTRY_TTL_S, self._settings().max_entry_ttl_s)
        await connection.answer(
            200,
            [(b"Content-Type", b"application/json")],
            documents.encode_resolve_response(addresses, ttl),
        )
