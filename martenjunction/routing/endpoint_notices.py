"""What endpoints say of themselves in answers, and who is told of it."""

from collections.abc import Callable

from martenjunction import model
from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import leaving_sync

# Endpoints whose limits are remembered; the oldest give way.
MAX_LIMITS = 1024


class EndpointNotices:
    """The one place that the heads of all endpoints' answers pass.

    A word that only one kind of answer is searched for is missed in the
    others: refusals, failures, health checks, answers in another's place.
    """

    def __init__(
        self,
        leaving: leaving_sync.LeavingSync,
        book: endpoint_book.EndpointBook,
        now: Callable[[], float],
        log: decision_log.DecisionLog,
    ) -> None:
        """Makes it.

        Args:
            leaving: Told of endpoints that leave, for all boxes.
            book: Told of endpoints that want rest, from this box alone.
            now: Returns seconds on the steady clock.
            log: Told of what cannot be read.
        """
        self._leaving = leaving
        self._book = book
        self._now = now
        self._log = log
        self._limits: dict[str, float] = {}

    def take(
        self, endpoint: model.Endpoint, head: messages.ResponseHead
    ) -> None:
        """Takes in what the head of an answer says of its endpoint."""
        notice = notices.notice_of(head, endpoint.entry)
        if notice.leaves:
            self._leaving.say_leaving(endpoint.id)
        if notice.rest_s:
            self._rest(endpoint, head.status, notice.rest_s)
        self._note_limit(endpoint, notice.limit_per_s)
        if notice.unreadable:
            self._log.write(
                "endpoint-notice-unreadable",
                endpoint=endpoint.id,
                status=head.status,
                value=notice.unreadable,
            )

    def _note_limit(
        self, endpoint: model.Endpoint, per_s: float | None
    ) -> None:
        before = self._limits.get(endpoint.id)
        if per_s == before:
            return
        if per_s is None:
            del self._limits[endpoint.id]
        else:
            while len(self._limits) >= MAX_LIMITS:
                del self._limits[next(iter(self._limits))]
            self._limits[endpoint.id] = per_s
        self._log.write(
            "endpoint-limit", endpoint=endpoint.id, per_s=per_s, before=before
        )

    def _rest(
        self, endpoint: model.Endpoint, status: int, asked_s: float
    ) -> None:
        longer_s = self._book.rest(endpoint.id, asked_s, self._now())
        if longer_s:
            self._log.write(
                "endpoint-rests",
                endpoint=endpoint.id,
                status=status,
                asked_s=asked_s,
                longer_s=round(longer_s, 3),
            )
