"""Parses socket addresses, inherited descriptors and paths in settings."""

from __future__ import annotations

import ipaddress
import os
import stat

from frostspindle.config.errors import ConfigError

Address = tuple[str, int]
MAX_PORT = 65535


def address(text: str, key: str) -> Address:
    """Parse IP:PORT; host names are not resolved.

    Raise ConfigError, which names `key`, for any other form.
    """
    host, colon, port = text.rpartition(":")
    host = host.strip("[]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        number = -1
    if not colon or not 0 <= number <= MAX_PORT:
        raise ConfigError(f"{key}: not an address of the form IP:PORT: {text!r}")
    return host, number


def inherited_socket(text: str) -> int | None:
    """Return the descriptor of the open socket in LB_INHERITED_FD; None if empty. Raise ConfigError for others."""
    if not text:
        return None
    try:
        number = int(text)
        if stat.S_ISSOCK(os.fstat(number).st_mode):
            return number
    except (ValueError, OverflowError, OSError):
        pass
    raise ConfigError(f"LB_INHERITED_FD: not the number of an open socket: {text!r}")


def check_absolute_path(text: str, key: str) -> None:
    """Raise ConfigError, which names `key`, unless the path is absolute."""
    if not os.path.isabs(text):
        raise ConfigError(f"{key}: not an absolute path: {text!r}")
