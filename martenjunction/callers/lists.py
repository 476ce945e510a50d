"""Lists of models and entry addresses for callers."""

from tornado import web

from martenjunction.callers import handlers
from martenjunction.config import fleet


class ModelsHandler(handlers.CallerHandler):
    """Handles `GET /v1/models`."""

    def get(self) -> None:
        """Lists the models in the format of the published API."""
        services = self.callers.config.service.values()
        models = [
            {"id": model, "object": "model", "owned_by": service.name}
            for service in services
            if service.kind is fleet.ServiceKind.ENGINE
            for model in service.models
        ]
        self.write({"object": "list", "data": models})


class EntryHandler(handlers.CallerHandler):
    """Handles `GET /v1/entry`."""

    def get(self) -> None:
        """Returns the addresses to use, best first, and their lifetime."""
        ttl = self.callers.settings.entry_ttl
        self.set_header("Cache-Control", f"max-age={int(ttl)}")
        self.write(
            {
                "addresses": [
                    {
                        "address": entry.address,
                        "box": entry.box,
                        "zone": entry.zone,
                    }
                    for entry in self.callers.entry()
                ],
                "ttl_s": ttl,
            }
        )


class UnknownPathHandler(handlers.CallerHandler):
    """Handles every other path."""

    def prepare(self) -> None:
        """Responds with 404 without checking the key."""
        raise web.HTTPError(404)
