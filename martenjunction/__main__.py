"""Runs the command line with `python -m martenjunction`."""

from martenjunction.cmd import main

if __name__ == "__main__":
    main.main()
