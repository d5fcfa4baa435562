"""Listening sockets, which the supervisor binds before the workers start and the workers inherit.

The supervisor itself accepts no connections. The HTTP listener may be a descriptor inherited from the process that
started the supervisor.
"""

from __future__ import annotations

import os
import socket

from frostspindle import config as configuration
from frostspindle.config import Config
from frostspindle.net.http.listener import BACKLOG
from frostspindle.net.tds.front import BACKLOG as TDS_BACKLOG


class ListeningSockets:
    """The listeners for HTTP and TDS clients; None for one that is not configured, or, for HTTP, inherited."""

    def __init__(self, config: Config) -> None:
        self._config = config
        self.http: socket.socket | None = None
        self.tds: socket.socket | None = None

    def bind(self) -> None:
        """Bind the listeners; raise OSError, whose text names the setting, if an address can't be bound."""
        is_http_inherited = self._config.inherited is not None
        if not is_http_inherited:
            host, port = self._config.listen
            self.http = _create_server(host, port, "LB_LISTEN", BACKLOG)
        tds = self._config.operator.tds
        if tds:
            host, port = configuration.address(tds.listen, "tds.listen")
            # During an upgrade the old process still listens on this address.
            self.tds = _create_server(host, port, "tds.listen", TDS_BACKLOG, reuse_port=is_http_inherited)

    @property
    def http_fd(self) -> int:
        """Descriptor of the HTTP listener, whether bound or inherited."""
        if self.http is not None:
            return self.http.fileno()
        assert self._config.inherited is not None
        return self._config.inherited

    @property
    def http_port(self) -> int:
        """TCP port of the HTTP listener, whether bound or inherited."""
        if self.http is not None:
            return int(self.http.getsockname()[1])
        with socket.socket(fileno=os.dup(self._config.inherited or 0)) as duplicate:
            return int(duplicate.getsockname()[1])

    @property
    def tds_port(self) -> int | None:
        """TCP port of the TDS listener; None if TDS is not configured."""
        return self.tds.getsockname()[1] if self.tds else None


def _create_server(host: str, port: int, setting: str, backlog: int, reuse_port: bool = False) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=backlog, reuse_port=reuse_port)
    except OSError as error:
        raise OSError(f"{setting}: {error}") from None
