"""Hubs of connections between boxes, and bytes that peers send to them."""

from typing import Any

from martenjunction import events
from martenjunction import timers
from martenjunction.peers import hub
from martenjunction.peers import membership
from martenjunction.peers import messages

KEY = "key"

UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)

# A frame without data, as a client sends it.
EMPTY_PING = b"\x89\x80\x00\x00\x00\x00"


def member(name: str) -> membership.Member:
    return membership.Member(name, "zone-a", "", "", "", 1)


def new_hub(address: str, **settings: Any) -> hub.PeerHub:
    clock = timers.Timers()
    return hub.PeerHub(
        membership.Membership(member("box-1"), clock, lambda: None),
        KEY,
        clock,
        events.Events(),
        lambda: messages.Heartbeat(0, 0, 0.0),
        address,
        **settings,
    )
