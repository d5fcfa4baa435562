"""Addresses and descriptors of sockets, as settings give them."""

from __future__ import annotations

import ipaddress
import os
import stat

from frostspindle.config.errors import ConfigError

Address = tuple[str, int]
MAX_PORT = 65535


def address(text: str, key: str) -> Address:
    """Parse HOST:PORT with a literal IP address, loopback or other; names are not resolved.

    Raises ConfigError, which names `key`, for any other form.
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
    """Return the number of an open socket that LB_INHERITED_FD gives; None if it is empty, else ConfigError."""
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
