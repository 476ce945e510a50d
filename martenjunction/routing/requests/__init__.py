"""The way of an admitted request."""
