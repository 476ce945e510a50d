"""Seeded fuzzing of what the product decodes from outside."""
