"""What endpoints say of themselves in answers, and who is told of it."""

from collections.abc import Callable

from martenjunction import model
from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction.routing import decision_log
from martenjunction.routing import endpoint_book
from martenjunction.routing import leaving_sync
from martenjunction.routing import limit_sync


class EndpointNotices:
    """The one place that the heads of all endpoints' answers pass.

    A word that only one kind of answer is searched for is missed in the
    others: refusals, failures, health checks, answers in another's place.
    """

    def __init__(
        self,
        leaving: leaving_sync.LeavingSync,
        limits: limit_sync.LimitSync,
        book: endpoint_book.EndpointBook,
        now: Callable[[], float],
        log: decision_log.DecisionLog,
    ) -> None:
        """Makes it.

        Args:
            leaving: Told of endpoints that leave, for all boxes.
            limits: Told of those that take so many requests a second, from
                all boxes.
            book: Told of endpoints that want rest, from this box alone.
            now: Returns seconds on the steady clock.
            log: Told of what cannot be read.
        """
        self._leaving = leaving
        self._limits = limits
        self._book = book
        self._now = now
        self._log = log

    def take(
        self, endpoint: model.Endpoint, head: messages.ResponseHead
    ) -> None:
        """Takes in what the head of an answer says of its endpoint."""
        notice = notices.notice_of(head, endpoint.entry)
        if notice.leaves:
            self._leaving.say_leaving(endpoint.id)
        if notice.rest_s:
            self._rest(endpoint, head.status, notice.rest_s)
        if notice.limit_per_s is not None or notice.unlimited:
            self._limits.say(endpoint.id, notice.limit_per_s, head.asked_at)
        if notice.unreadable:
            self._log.write(
                "endpoint-notice-unreadable",
                endpoint=endpoint.id,
                status=head.status,
                value=notice.unreadable,
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
