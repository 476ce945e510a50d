"""What endpoints say of themselves in answers, and who is told of it."""

from martenjunction.http1 import messages
from martenjunction.platform import notices
from martenjunction.routing import decision_log
from martenjunction.routing import model


class EndpointNotices:
    """The one place that the heads of all endpoints' answers pass."""

    def __init__(self, log: decision_log.DecisionLog) -> None:
        """Makes it.

        Args:
            log: Told of each notice.
        """
        self._log = log

    def take(
        self, endpoint: model.Endpoint, head: messages.ResponseHead
    ) -> None:
        """Takes in what the head of an answer says of its endpoint."""
        notice = notices.notice_of(head, endpoint.entry)
        if notice == notices.NOTHING:
            return
        self._log.write(
            "endpoint-notice",
            endpoint=endpoint.id,
            service=endpoint.service,
            status=head.status,
            leaves=notice.leaves,
            rest_s=notice.rest_s,
            unreadable=notice.unreadable,
        )
