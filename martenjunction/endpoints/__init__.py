"""Clients, connection pool and protocols for endpoints."""
