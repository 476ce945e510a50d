"""What the owner of a cell decides: queues, grants, placement, shedding."""
