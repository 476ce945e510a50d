"""Everything that daemons say to one another."""
