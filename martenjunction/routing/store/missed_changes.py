"""Reads which endpoints were listed since a revision, however briefly.

A list tells what there is now. A box that lists after a pause would not know of
an endpoint that came and left meanwhile, which may have begun streams.
"""

from martenjunction import errors
from martenjunction import revisions
from martenjunction.decisions.boxes import endpoint_list
from martenjunction.platform import documents
from martenjunction.platform import store
from martenjunction.routing.log import decision_log
from martenjunction.routing.store import listing_turns

# Seconds for which the store may wait for a change; those that there were are
# told at once.
WAIT_S = 0.001


async def read(
    client: store.StoreClient, known: revisions.Revision
) -> listing_turns.DecodedList:
    """Returns the entries that were written since a revision.

    Args:
        client: The store's client.
        known: The revision.

    Raises:
        HistoryLostError: If the store has dropped changes since then.
        PlatformError: If it does not tell, or tells one that cannot be read.
    """
    found = await client.watch(documents.ENDPOINT_KIND, known, WAIT_S)
    return await listing_turns.decode(
        [
            (change.object.name, change.object.revision, change.object.spec)
            for change in found.changes
            if not change.deleted
        ]
    )


async def note(
    client: store.StoreClient,
    listed: endpoint_list.EndpointList,
    known: revisions.Revision,
    log: decision_log.DecisionLog,
) -> None:
    """Records the versions that were listed since a revision, or the gap.

    Args:
        client: The store's client.
        listed: The endpoints.
        known: The revision up to which they were known before.
        log: Records that the changes are not known.
    """
    if known == revisions.NONE:
        return
    try:
        missed = await read(client, known)
    except errors.PlatformError as error:
        log.write("changes-unknown", since=str(known), why=str(error))
        listed.note_gap()
        return
    for endpoint, _ in missed.entries:
        listed.note_version(endpoint)
    if missed.unreadable:
        listed.note_gap()
