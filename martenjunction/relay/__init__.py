"""Relaying of requests from callers to endpoints."""
