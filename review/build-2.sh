#!/bin/sh
# Builds the stand-ins of the second review: compiles them, as they are Python.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/kit_2 review/4 review/5
