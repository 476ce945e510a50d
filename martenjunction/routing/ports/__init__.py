"""What a box answers on its ports, and whether it takes clients."""
