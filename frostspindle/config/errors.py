"""The exception of this package, and how its one-line text is made."""

from __future__ import annotations


class ConfigError(Exception):
    """A fault in the configuration, as one line that names the key at fault."""


def one_line(error: Exception) -> str:
    """Return an error's text with each run of whitespace replaced by one blank."""
    return " ".join(str(error).split())
