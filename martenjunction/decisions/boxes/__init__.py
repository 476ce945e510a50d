"""Decision logic of a box: endpoint choice, store readers, quarantine."""
