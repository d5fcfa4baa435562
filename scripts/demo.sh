#!/usr/bin/env bash
# Sets up and runs the demo: toy engines, event bus and a coordinator of two workers. Ctrl-C stops all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
venv=${VENV:-.venv}
test -x "$venv/bin/python" || python3 -m venv "$venv"
"$venv/bin/pip" -q --disable-pip-version-check install -r requirements.txt
exec "$venv/bin/python" -m frostspindle demo "$@"
