#!/bin/sh
# Prepares the stand-ins of the cases, after the build line of the deploy file. They are Python files that need only the
# standard library and the project's own modules, so compiling them is all.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review frostspindle
