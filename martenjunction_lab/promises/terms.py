"""The figures of the promises."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Figures of the promises that are judged, in seconds unless named.

    Attributes:
        contact_s: Time without a disturbance after which time limits bind.
        change_s: Time within which a configuration is in force.
        revoke_s: Time after which no box runs a request with a lost key.
        drain_s: Time after which a leaving endpoint gets no more work.
        grace_s: Time that a box has to stop.
        gone_s: Time within which an endpoint hears that a client has left.
        late_s: Time after a time limit within which a final answer is due.
        retry_ratio: Retries of a request that a service gets, at most.
        retry_allowance: Retries beyond these in a window.
        retry_window_s: The length of a window.
        min_served: Part of the requests that is served while nothing is
            disturbed.
        grant_slack_s: Time by which an endpoint may be granted too much.
        max_lost: Requests that may be lost in a trial, planned work aside.
        recovered: Part of the requests that is served once work is back.
    """

    contact_s: float = 2.0
    change_s: float = 2.0
    revoke_s: float = 5.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    gone_s: float = 0.5
    late_s: float = 0.5
    retry_ratio: float = 0.2
    retry_allowance: float = 52.0
    retry_window_s: float = 10.0
    min_served: float = 0.99
    grant_slack_s: float = 0.5
    max_lost: int = 3
    recovered: float = 0.25
