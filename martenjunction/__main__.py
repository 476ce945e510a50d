"""Runs the command line with `python -m martenjunction`."""

from martenjunction.cmd import entry

if __name__ == "__main__":
    entry.main()
