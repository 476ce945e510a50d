"""Scheduling in a cell: queues, grants, placement and shedding."""
