"""Connections to endpoints through another box, one hop."""
