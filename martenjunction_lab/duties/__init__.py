"""Boxes that perform duties, in simulated time."""
