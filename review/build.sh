#!/bin/sh
# Builds the stand-ins: Python files of the standard library only.
cd "$(dirname "$0")" && python3 -m compileall -q standins.py 1 2 3
