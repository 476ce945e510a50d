"""How fast a configuration spreads over a fleet, in simulated time."""
