"""Peers that send as fast as their socket takes it, beside other clients."""
