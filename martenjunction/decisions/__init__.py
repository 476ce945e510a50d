"""Pure policy and scheduling: no sockets and no clock of its own."""
