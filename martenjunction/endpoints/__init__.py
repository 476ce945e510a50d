"""Everything that is said to endpoints."""
