"""A worker's view of the control page that the supervisor publishes in shared memory."""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.cores.shared_memory import ControlPage, SharedMemoryBoard
from frostspindle.telemetry import Telemetry


class ControlReader:
    """The newest control page that was read.

    After each change of `page`, `on_change` is called with the previous page. To be used only in the worker's event
    loop.
    """

    def __init__(
        self, board: SharedMemoryBoard, on_change: Callable[[ControlPage], None], telemetry: Telemetry
    ) -> None:
        self.page = ControlPage()
        self.version = 0
        self.lost_requests: frozenset[int] = frozenset()  # ids of requests that were open when their worker died
        self._board = board
        self._on_change = on_change
        self._telemetry = telemetry

    def refresh(self) -> bool:
        """Read and apply the newest control page; return False, counted as `board_torn`, if it can't be read."""
        if self._board.version == self.version:
            return True
        control = self._board.read_control()
        if control is None:
            self._telemetry.count("board_torn")
            return False
        previous_page = self.page
        self.version, self.page = control
        self.lost_requests = frozenset(self.page.lost)
        self._on_change(previous_page)
        return True
