#!/usr/bin/env bash
# Installs the requirements, lints and runs the tests. Needs no other folder. Only tests listed in KNOWN-RED.txt, if it exists, may fail.
set -euo pipefail
cd "$(dirname "$0")/.."
venv=${VENV:-.venv}
test -x "$venv/bin/python" || python3 -m venv "$venv"
"$venv/bin/pip" -q --disable-pip-version-check install -r requirements.txt -r requirements-dev.txt
"$venv/bin/pip" -q --disable-pip-version-check install --no-deps -r requirements-nodeps.txt
"$venv/bin/ruff" check .
"$venv/bin/ruff" format --check .
# Test files run in a few processes, as most tests wait for sockets and timers; a sequential run took over five minutes.
exec "$venv/bin/python" -m pytest -q -p scripts.known_red -n 4 --dist loadfile "$@"
