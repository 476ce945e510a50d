"""Settings of a daemon and the configuration of the fleet."""
