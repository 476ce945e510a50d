"""Structured log of decisions, connections and usage."""
