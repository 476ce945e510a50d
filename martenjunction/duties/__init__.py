"""Duties of the fleet that one box at a time performs."""
