"""Admission of requests, and keys of what they ask for."""
