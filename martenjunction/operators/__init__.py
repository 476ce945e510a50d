"""The operator interface of a daemon."""
