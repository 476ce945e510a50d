"""The boxes of the fleet: their trees, states and holders."""
