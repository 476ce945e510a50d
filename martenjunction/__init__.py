"""A router for language-model traffic."""

__version__ = "0.1.0"
