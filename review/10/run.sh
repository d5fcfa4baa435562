#!/bin/sh
# Plays this case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=review .venv/bin/python review/10/case.py
