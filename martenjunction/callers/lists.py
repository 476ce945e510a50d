"""What callers can ask about the system itself."""

from tornado import web

from martenjunction.callers import handlers
from martenjunction.config import fleet


class ModelsHandler(handlers.CallerHandler):
    """`GET /v1/models`."""

    def get(self) -> None:
        """Lists the models, in the form of the published API."""
        services = self.callers.config.service.values()
        models = [
            {"id": model, "object": "model", "owned_by": service.name}
            for service in services
            if service.kind is fleet.ServiceKind.ENGINE
            for model in service.models
        ]
        self.write({"object": "list", "data": models})


class EntryHandler(handlers.CallerHandler):
    """`GET /v1/entry`."""

    def get(self) -> None:
        """Tells which addresses to use, the best first, and for how long."""
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
    """Every other path."""

    def prepare(self) -> None:
        """Answers without looking at the key."""
        raise web.HTTPError(404)
