"""Trials in simulated time."""
