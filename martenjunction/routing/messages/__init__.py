"""Messages between boxes, and what each frame tells."""
