"""What a box on the platform decides: endpoints, readers, suspects."""
