"""Limits of endpoints, and grants to send to them."""
