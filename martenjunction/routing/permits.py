"""Leave to send a request to an endpoint, and what its run shows."""

from typing import Protocol

from martenjunction import model
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.decisions.boxes import suspect_table
from martenjunction.routing import request_content


class Keeper(Protocol):
    """What keeps account of runs; `routing.suspects` does."""

    @property
    def listed(self) -> endpoint_list.EndpointList:
        """The endpoints, to be read only."""

    def stands(self, permit: "Permit") -> bool:
        """Returns whether nothing came up since a permit was given."""

    def note_answer(self, permit: "Permit") -> None:
        """Notes that an endpoint answered a run in full."""

    def note_unsure(self, permit: "Permit", endpoint: model.Endpoint) -> None:
        """Notes that a run broke off, and its endpoint may have ended."""

    def note_end(self, permit: "Permit", endpoint: model.Endpoint) -> None:
        """Notes that an endpoint ended under a run."""

    def end_trial(self, permit: "Permit") -> None:
        """Notes that a run on its own showed nothing."""


class Permit:
    """Leave to send a request once, and what is learnt from that run."""

    def __init__(
        self,
        suspects: "Keeper",
        key: request_content.ContentKey,
        service: model.Service,
        ruling: suspect_table.Ruling,
    ) -> None:
        """Makes a permit; the keeper gives it.

        Args:
            suspects: Keeps what is learnt.
            key: The request.
            service: The service.
            ruling: Why it may be sent.
        """
        self._suspects = suspects
        self.key = key
        self.service = service
        self.ruling = ruling
        self._settled = False
        self._broken = False
        self._closed = False

    @property
    def running(self) -> bool:
        """Whether no end of its run has been noted."""
        return not (self._settled or self._broken or self._closed)

    @property
    def apart(self) -> bool:
        """Whether it goes where fewest others run."""
        return self.ruling.verdict is suspect_table.Verdict.ALONE

    def stands(self) -> bool:
        """Returns whether nothing came up against it since it was given."""
        return self._suspects.stands(self)

    def avoided(self) -> set[str]:
        """Returns the endpoints to which it must not be sent."""
        builds = self.ruling.avoid_builds
        if not builds:
            return set()
        ready = self._suspects.listed.ready(self.service.name)
        return {e.id for e in ready if model.build(e, self.service) in builds}

    def answered(self) -> None:
        """Notes that the endpoint answered in full: it did not end."""
        if not self._settled:
            self._settled = True
            self._suspects.note_answer(self)

    def broken(self, endpoint: model.Endpoint) -> None:
        """Notes that the run broke off; its endpoint may have ended."""
        self._broken = True
        self._suspects.note_unsure(self, endpoint)

    def ended(self, endpoint: model.Endpoint) -> None:
        """Notes that its endpoint ended under it."""
        if not self._settled:
            self._settled = True
            self._suspects.note_end(self, endpoint)

    def close(self) -> None:
        """Notes that the run is over, whatever came of it.

        A run that broke off does not end its trial: the end of its endpoint
        may be confirmed only later, and a trial that began before then could
        end another endpoint.
        """
        self._closed = True
        if self.apart and not self._settled and not self._broken:
            self._suspects.end_trial(self)
