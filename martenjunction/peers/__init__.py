"""Communication between daemons."""
