"""Entry point of the daemon of a box on the platform."""

import sys

from martenjunction.cmd import early_signals


def main() -> int:
    """Runs the daemon; returns the exit code."""
    early_signals.ignore_meaningless()
    early_signals.hold()
    # Imported after the signals are held, because it takes long.
    from martenjunction.cmd import box_daemon

    return box_daemon.run()


if __name__ == "__main__":
    sys.exit(main())
