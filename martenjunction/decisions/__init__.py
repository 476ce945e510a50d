"""Policy and scheduling logic without I/O; callers pass in the time."""
