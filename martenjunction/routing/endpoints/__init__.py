"""What a box knows of endpoints, and its connections to them."""
