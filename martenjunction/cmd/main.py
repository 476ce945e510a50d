"""The `martenjunction` command and its subcommands."""

import dataclasses
import sys

import cappa

import martenjunction
from martenjunction import errors
from martenjunction.cmd import check
from martenjunction.cmd import configure
from martenjunction.cmd import daemon
from martenjunction.cmd import inspect

# Exit codes: 0 done, 1 a check or a wait failed, 2 wrong settings or usage,
# 3 another operator was first, 4 the platform or a daemon does not answer.
EXIT_ERROR = 1


@cappa.command(
    name="martenjunction",
    help="Route language-model traffic by service class.",
)
@dataclasses.dataclass
class Martenjunction:
    """The command and its subcommands."""

    subcommand: cappa.Subcommands[
        daemon.Daemon
        | check.Check
        | check.Explain
        | configure.Apply
        | configure.Get
        | configure.Diff
        | configure.History
        | configure.Rollback
        | inspect.Dump
        | inspect.Drain
    ]


def main() -> None:
    """Runs the command; never returns normally."""
    try:
        cappa.invoke(Martenjunction, version=martenjunction.__version__)
    except errors.MartenjunctionError as error:
        print(f"martenjunction: {error}", file=sys.stderr)
        sys.exit(exit_code(error))
    except KeyboardInterrupt:
        sys.exit(130)
    sys.exit(0)


def exit_code(error: errors.MartenjunctionError) -> int:
    """Returns the exit code of an error."""
    for kind, code in _EXIT_CODES:
        if isinstance(error, kind):
            return code
    return EXIT_ERROR


_EXIT_CODES: tuple[tuple[type[errors.MartenjunctionError], int], ...] = (
    (errors.SettingsError, 2),
    (errors.PolicyError, 2),
    (configure.ConflictError, 3),
    (errors.PlatformError, 4),
    (inspect.NoAnswerError, 4),
)
