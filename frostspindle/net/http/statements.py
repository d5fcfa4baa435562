"""Finds the schema of the tables that a statement accesses.

Only the schema name is parsed; statements are not changed, and no statement raises an exception. Results are names and
numbers only, never the statement's text. No I/O and no clock.
"""

from __future__ import annotations

import re

# Strings and comments match first, so that names in them are skipped.
_SQL = re.compile(r"""'(?:[^']|'')*'|--[^\n]*|/\*.*?(?:\*/|\Z)|["\[`]?\b([A-Za-z]\w*?)_(\d+)["\]`]?\s*\.""", re.S)


def _schema(statement: str) -> re.Match[str] | None:
    """Return the match of the first schema that the statement reads or writes, other than `staging`."""
    for match in _SQL.finditer(statement):
        name = match.group(1)
        if name and name.lower() != "staging":
            return match
    return None


def table_group(statement: str) -> int:
    """Return the number after the underscore of the statement's first schema name, modulo 2^24; -1 if none."""
    match = _schema(statement)
    return int(match.group(2)[:18]) % (1 << 24) if match else -1


def schema(statement: str) -> str:
    """Return the statement's first schema name with its number; empty if there is none."""
    match = _schema(statement)
    return f"{match.group(1)}_{match.group(2)}" if match else ""
