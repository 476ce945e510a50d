"""What a box holds of an endpoint's entry, and how news of it changes that.

News comes from the store, from the endpoint itself and from other boxes. Boxes
tell each other the cause, so that the same news has the same effect on all of
them: only an endpoint that announced that it is leaving is unavailable for
good; each other state ends when its entry is written again.
"""

import enum

import msgspec

from martenjunction import model
from martenjunction import revisions


class EntryState(enum.Enum):
    """What a box holds of an entry.

    Attributes:
        UNLISTED: Not listed; the endpoint gets no requests.
        READY: Listed; the endpoint may get new requests.
        LAPSED: Missing since an outage of the store. The endpoint may get new
            requests until the grace period ends.
        LEAVING: The endpoint announced that it is leaving and gets no new
            requests. Final for this start of the endpoint.
    """

    UNLISTED = "unlisted"
    READY = "ready"
    LAPSED = "lapsed"
    LEAVING = "leaving"


class EntryNews(enum.Enum):
    """News of an entry.

    Attributes:
        PRESENT: It was read, and says that the endpoint is ready.
        LEAVING: The endpoint announced that it is leaving.
        MISSING: The store does not have it, and live endpoints had the time to
            write theirs.
        MISSING_IN_GRACE: The store does not have it, but was away shortly
            before.
        WITHDRAWN: It cannot be read, or another start of the endpoint or
            another endpoint at its address took its place.
        GRACE_ENDED: The grace period after an outage has ended.
    """

    PRESENT = "present"
    LEAVING = "leaving"
    MISSING = "missing"
    MISSING_IN_GRACE = "missing-in-grace"
    WITHDRAWN = "withdrawn"
    GRACE_ENDED = "grace-ended"


class RemovalCause(enum.StrEnum):
    """Why an endpoint may get no more requests, as told to other boxes.

    Attributes:
        LEAVING: It announced that it is leaving.
        MISSING: Its entry is missing from the store.
        WITHDRAWN: Its entry cannot be read or was replaced.
    """

    LEAVING = "leaving"
    MISSING = "missing"
    WITHDRAWN = "withdrawn"


class Listed(msgspec.Struct, frozen=True, gc=False):
    """An entry of the list.

    Attributes:
        endpoint: The endpoint as described by its entry; draining if it is
            leaving.
        revision: The store's revision of the entry.
        state: What this box holds of the entry.
        reported: Whether only another box reported that a lapsed entry is
            missing.
    """

    endpoint: model.Endpoint
    revision: revisions.Revision
    state: EntryState = EntryState.READY
    reported: bool = False

    @property
    def lapsed(self) -> bool:
        """Whether the entry is missing and only kept for the grace period."""
        return self.state is EntryState.LAPSED


_STATE = EntryState
_NEWS = EntryNews

_NEXT: dict[tuple[EntryState, EntryNews], EntryState] = {
    (_STATE.UNLISTED, _NEWS.PRESENT): _STATE.READY,
    (_STATE.UNLISTED, _NEWS.LEAVING): _STATE.LEAVING,
    (_STATE.READY, _NEWS.LEAVING): _STATE.LEAVING,
    (_STATE.READY, _NEWS.MISSING): _STATE.UNLISTED,
    (_STATE.READY, _NEWS.MISSING_IN_GRACE): _STATE.LAPSED,
    (_STATE.READY, _NEWS.WITHDRAWN): _STATE.UNLISTED,
    (_STATE.LAPSED, _NEWS.PRESENT): _STATE.READY,
    (_STATE.LAPSED, _NEWS.LEAVING): _STATE.LEAVING,
    (_STATE.LAPSED, _NEWS.MISSING): _STATE.UNLISTED,
    (_STATE.LAPSED, _NEWS.WITHDRAWN): _STATE.UNLISTED,
    (_STATE.LAPSED, _NEWS.GRACE_ENDED): _STATE.UNLISTED,
    (_STATE.LEAVING, _NEWS.MISSING): _STATE.UNLISTED,
    (_STATE.LEAVING, _NEWS.MISSING_IN_GRACE): _STATE.UNLISTED,
    (_STATE.LEAVING, _NEWS.WITHDRAWN): _STATE.UNLISTED,
}


# What other boxes are told of news that ends a listed endpoint.
_CAUSE = {
    EntryNews.MISSING: RemovalCause.MISSING,
    EntryNews.MISSING_IN_GRACE: RemovalCause.MISSING,
    EntryNews.GRACE_ENDED: RemovalCause.MISSING,
    EntryNews.WITHDRAWN: RemovalCause.WITHDRAWN,
}


def removal_cause(news: EntryNews) -> RemovalCause:
    """Returns the cause to report for news that removes an endpoint."""
    return _CAUSE[news]


def next_state(state: EntryState, news: EntryNews) -> EntryState:
    """Returns the state after news; news without an entry changes nothing."""
    return _NEXT.get((state, news), state)


def gets_requests(state: EntryState) -> bool:
    """Returns whether an endpoint may get new requests."""
    return state in (EntryState.READY, EntryState.LAPSED)
