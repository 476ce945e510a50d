"""Boxes that are out of step with the others while versions change."""
