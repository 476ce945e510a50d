"""Routes requests by host and path and forwards them to endpoints."""
