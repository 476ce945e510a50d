"""Decisions on the duties of the fleet."""
