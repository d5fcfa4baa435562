"""A worker's view of the control page that the supervisor publishes in shared memory."""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.cores.shared_memory import ControlPage, SharedMemoryBoard
from frostspindle.telemetry import Telemetry


class ControlReader:
    """The newest control page that was read; `on_change` is called with the page before, once a newer one is in place.

    For the worker's event loop only.
    """

    def __init__(
        self, board: SharedMemoryBoard, on_change: Callable[[ControlPage], None], telemetry: Telemetry
    ) -> None:
        self.page = ControlPage()
        self.version = 0
        self.lost_requests: frozenset[int] = frozenset()  # ids of requests that ended with their worker
        self._board = board
        self._on_change = on_change
        self._telemetry = telemetry

    def refresh(self) -> bool:
        """Read and apply the newest control page; False, counted as `board_torn`, if it could not be read."""
        if self._board.version == self.version:
            return True
        control = self._board.read_control()
        if control is None:
            self._telemetry.count("board_torn")
            return False
        former_page = self.page
        self.version, self.page = control
        self.lost_requests = frozenset(self.page.lost)
        self._on_change(former_page)
        return True
