"""Loads replayed against the decisions of boxes, in simulated time."""
