"""Listening sockets of the supervisor: bound before the workers start, inherited by them.

The supervisor accepts no connection itself. The HTTP listener may instead be inherited from the process that started
the supervisor, as a descriptor number.
"""

from __future__ import annotations

import os
import socket

from frostspindle import config as configuration
from frostspindle.config import Config
from frostspindle.net.http.listener import BACKLOG
from frostspindle.net.tds.front import BACKLOG as TDS_BACKLOG


class ListeningSockets:
    """The listeners for HTTP and TDS clients; those that are not configured are None."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self.http: socket.socket | None = None
        self.tds: socket.socket | None = None

    def bind(self) -> None:
        """Bind the listeners; OSError, its text naming the setting, if an address can't be bound."""
        is_http_inherited = self._config.inherited is not None
        if not is_http_inherited:
            host, port = self._config.listen
            self.http = _create_server(host, port, "LB_LISTEN", BACKLOG)
        tds = self._config.operator.tds
        if tds:
            host, port = configuration.address(tds.listen, "tds.listen")
            # In an upgrade the process before still listens there.
            self.tds = _create_server(host, port, "tds.listen", TDS_BACKLOG, reuse_port=is_http_inherited)

    @property
    def http_fd(self) -> int:
        """Descriptor of the HTTP listener, bound or inherited."""
        if self.http is not None:
            return self.http.fileno()
        assert self._config.inherited is not None
        return self._config.inherited

    @property
    def http_port(self) -> int:
        """TCP port of the HTTP listener, bound or inherited."""
        if self.http is not None:
            return int(self.http.getsockname()[1])
        with socket.socket(fileno=os.dup(self._config.inherited or 0)) as duplicate:
            return int(duplicate.getsockname()[1])

    @property
    def tds_port(self) -> int | None:
        """TCP port of the TDS listener; None if there is none."""
        return self.tds.getsockname()[1] if self.tds else None


def _create_server(host: str, port: int, setting: str, backlog: int, reuse_port: bool = False) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=backlog, reuse_port=reuse_port)
    except OSError as error:
        raise OSError(f"{setting}: {error}") from None
