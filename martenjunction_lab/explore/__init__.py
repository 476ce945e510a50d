"""Plays every order of events on one client connection, up to a depth."""
