"""Stand-ins, load tool and experiments; never imported by the library."""
