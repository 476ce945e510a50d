"""Cells: ownership, the entry daemon's client, and the owner's task."""
