"""The progress of one request."""

import dataclasses
from typing import Any

from martenjunction import model
from martenjunction.decisions import outcomes
from martenjunction.decisions.boxes import content_key
from martenjunction.decisions.boxes import stream_table


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run whose connection broke, and that may go on.

    Attributes:
        endpoint: Its endpoint.
        begun_at: Time at which the run was known to have begun.
    """

    endpoint: model.Endpoint
    begun_at: float


@dataclasses.dataclass(slots=True)
class RequestState:
    """The progress of one request.

    Attributes:
        id: The request id.
        received_at: Steady-clock time when the head was complete.
        content: The content key.
        is_retry: Whether this is a retry of a refused request.
        progress: Whether and how far the request has run.
        offers: Ids of the endpoints tried.
        choices: The inputs of each endpoint selection, for the log.
        runs: How and when each run ended, for the log.
        refusals: The number of endpoints that reported not running it.
        grant_denied: Whether an endpoint's rate limit left no grant for it.
        connection_broken: Whether the connection of the last run broke.
        broken_run: That run, unless its endpoint is known to have ended.
        continuation: Why a run whose connection broke did not continue from the
            copy of its memory, for the log; empty if it did, or none broke.
        needs_new_connection: Whether its last connection was silent, so that
            idle ones may be as well.
        resume_from: Id of the last event that the client has of an earlier
            response, or empty if it takes up no stream.
        stream_key: Identifies the stream over the client's tries.
        client_waits_s: Seconds for which the client waits from the arrival of
            the request, or None if it does not say so.
        part_keys: The parts of the prompt that other requests share.
        stream_version: Software version that wrote the first event of the
            stream, or None if there is none or it is not known.
        delivered_id: Id of the last event sent to the client, or None.
        first_event_at: When the first event was received, or None.
        last_event_at: When the last event was received.
        longest_pause_s: The longest pause between events, in seconds.
        status: The status sent to the client; 0 before that.
        failure: The reason for a failure, for the log; empty if there is none.
    """

    id: str
    received_at: float
    content: content_key.ContentKey
    stream_key: stream_table.StreamKey
    client_waits_s: float | None = None
    part_keys: tuple[content_key.ContentKey, ...] = ()
    is_retry: bool = False
    progress: outcomes.RequestProgress = dataclasses.field(
        default_factory=outcomes.RequestProgress
    )
    offers: list[str] = dataclasses.field(default_factory=list)
    choices: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    runs: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    refusals: int = 0
    grant_denied: bool = False
    connection_broken: bool = False
    broken_run: BrokenRun | None = None
    continuation: str = ""
    needs_new_connection: bool = False
    resume_from: str = ""
    stream_version: str | None = None
    delivered_id: str | None = None
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_pause_s: float = 0.0
    status: int = 0
    failure: str = ""

    def note_events(self, now: float) -> None:
        """Records that stream events were received."""
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause_s = max(self.longest_pause_s, pause)
        self.last_event_at = now
