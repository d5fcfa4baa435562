"""The error of this package, and the one line that it consists of."""

from __future__ import annotations


class ConfigError(Exception):
    """A fault in the configuration, as one line that names the key at fault."""


def one_line(error: Exception) -> str:
    """Return an error's text with line breaks and runs of blanks turned into single blanks."""
    return " ".join(str(error).split())
