"""Targets by family; importing the modules registers them."""

from martenjunction_lab.fuzz.families import documents
from martenjunction_lab.fuzz.families import engine_streams
from martenjunction_lab.fuzz.families import event_streams
from martenjunction_lab.fuzz.families import header_fields
from martenjunction_lab.fuzz.families import http_requests
from martenjunction_lab.fuzz.families import http_responses
from martenjunction_lab.fuzz.families import peers
from martenjunction_lab.fuzz.families import settings
from martenjunction_lab.fuzz.families import store_pages
from martenjunction_lab.fuzz.families import stream_records
from martenjunction_lab.fuzz.families import tunnels

__all__ = [
    "documents",
    "engine_streams",
    "event_streams",
    "header_fields",
    "http_requests",
    "http_responses",
    "peers",
    "settings",
    "store_pages",
    "stream_records",
    "tunnels",
]
