"""This box's copy of the platform's store."""
