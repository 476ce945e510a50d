"""Objects in the platform's store: configuration, claims, list of boxes."""
