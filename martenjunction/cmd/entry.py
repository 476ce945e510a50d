"""Entry point of the `martenjunction` command."""

import sys

from martenjunction.cmd import early_signals

# The subcommand that installs signal handlers; the others end on a signal.
DAEMON = "daemon"


def main() -> None:
    """Runs the command; never returns normally."""
    if sys.argv[1:2] == [DAEMON]:
        early_signals.hold()
    # Imported after the signals are held, because it takes long.
    from martenjunction.cmd import main as command

    command.main()
