"""Everything that is said to the platform."""
