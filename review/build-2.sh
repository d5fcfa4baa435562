#!/bin/sh
# Builds what the cases 6 to 10 start, after the build of the deploy file: compiles their stand-ins.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/kit_2.py
for folder in 6 7 8 9 10; do
    if test -d "review/$folder"; then
        .venv/bin/python -m compileall -q "review/$folder"
    fi
done
