"""What a box says of itself to other boxes and to the store."""

import hashlib
import time

from martenjunction.peers import membership
from martenjunction.platform import box_settings
from martenjunction.platform import documents

KB = 1000


def member(settings: box_settings.BoxSettings) -> membership.Member:
    """Returns this start of a box as a member of the fleet."""
    return membership.Member(
        settings.box,
        settings.zone,
        settings.callers,
        "",
        settings.peers,
        incarnation=time.time_ns(),
        link_kb=int(settings.link_bytes_s / KB),
        tunnels=settings.tunnels,
    )


def store_entry(
    settings: box_settings.BoxSettings, own: membership.Member
) -> documents.BoxEntry:
    """Returns the entry of a box in the store.

    Args:
        settings: The box's settings.
        own: The box as a member of the fleet.
    """
    return documents.BoxEntry(
        settings.box,
        settings.zone,
        settings.callers,
        settings.peers,
        own.incarnation,
        link_kb=own.link_kb,
        tunnels=own.tunnels,
    )


def peer_key(settings: box_settings.BoxSettings) -> str:
    """Returns the key that all boxes of one platform share.

    The platform provides no secret for peers, so the key is derived from the
    store address. It keeps out daemons of other deployments but does not
    protect against an attacker.
    """
    return hashlib.sha256(settings.store.encode()).hexdigest()


def peer_key_source(settings: box_settings.BoxSettings) -> str:
    """Returns what all boxes have to be given alike for their keys to agree."""
    return f"the same address of the store ({settings.store} here)"
