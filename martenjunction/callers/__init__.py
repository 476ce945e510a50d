"""Everything that is said to callers."""
