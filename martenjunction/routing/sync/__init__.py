"""What boxes tell each other all the time."""
