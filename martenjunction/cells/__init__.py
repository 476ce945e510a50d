"""Cells: who owns them, how they are asked, and the owner's task."""
