"""Trials of what boxes promise: what is done to them, and a judge."""
