"""Divides file descriptors between clients and engines, and between two processes during an upgrade.

Sets the limits that follow from their number: the connections of the HTTP front and driver, and the open requests.
"""

from __future__ import annotations

from frostspindle.core import Core
from frostspindle.handover import open_request_limit
from frostspindle.net.engines import HttpEngines
from frostspindle.net.platform import HttpFront

OPEN_REQUEST_SHARE = 0.29  # of all descriptors; with more, requests get no connection to an engine
MIN_OPEN_REQUESTS = 16


class DescriptorSharing:
    """The limits of one process, which change as another process of the coordinator starts or ends."""

    def __init__(self, sockets: int, core: Core, front: HttpFront, driver: HttpEngines) -> None:
        self.sockets = sockets
        self.agreed_open_limit: int | None = None  # on open requests, from the agreed settings
        self._core = core
        self._front = front
        self._driver = driver

    def resize(self, sockets: int, is_sharing: bool) -> None:
        """Set the number of descriptors; connections over the new limits are closed as they become idle."""
        self.sockets = sockets
        self._front.sockets = sockets
        self._driver.sockets = sockets
        self._core.max_open_requests = sockets // 2
        self.limit_connections(is_sharing)

    def limit_connections(self, is_sharing: bool) -> None:
        """Apply the limits on connections; `is_sharing` means that another process is running."""
        self._front.share_descriptors(is_sharing)
        self._driver.share_descriptors(is_sharing)

    def limit_open_requests(self, is_sharing: bool, open_elsewhere: int | None, is_stopping: bool) -> None:
        """Apply the limit on open requests.

        `open_elsewhere` is the number of requests open in the other process, None if unknown; `is_stopping` means that
        this process is the one shutting down.
        """
        limit = int(self.sockets * OPEN_REQUEST_SHARE)
        if is_sharing:
            limit = open_request_limit(limit, open_elsewhere, is_stopping)
        if self.agreed_open_limit is not None:
            limit = min(limit, self.agreed_open_limit)
        self._core.set_open_limit(max(MIN_OPEN_REQUESTS, limit))
