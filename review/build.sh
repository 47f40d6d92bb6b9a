#!/bin/sh
# Checks that the stand-ins compile. They need only Python's standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q lib ./*/case.py
