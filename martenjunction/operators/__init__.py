"""Everything that is said to operators."""
