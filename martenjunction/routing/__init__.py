"""Requests to routes by host and path: what runs before the endpoints."""
