"""Publication of the control page, by which the supervisor passes its decisions to the workers in shared memory.

To be used only in the supervisor's event loop.
"""

from __future__ import annotations

from collections.abc import Iterable

from frostspindle.core import clock
from frostspindle.cores.layout import ControlPageTooLongError
from frostspindle.cores.peer_workers import OrphanedLoad
from frostspindle.cores.shared_memory import ControlPage, SharedMemoryBoard
from frostspindle.telemetry import Telemetry

MAX_LOST_REQUESTS = 4096


class ControlPublisher:
    """The control page's content, the ids of lost requests, and whether there are unpublished changes."""

    def __init__(self, board: SharedMemoryBoard, telemetry: Telemetry) -> None:
        self.page = ControlPage()
        self._board = board
        self._telemetry = telemetry
        self._lost_requests: list[tuple[float, int]] = []  # expiry in ms of CLOCK_MONOTONIC, request id
        self._has_changes = False

    def publish(self) -> None:
        """Write the page; if it is too long, log and count the failure and keep the previous page in force."""
        self._has_changes = False
        self.page.lost = [request_id for _, request_id in self._lost_requests]
        try:
            self._board.publish(self.page)
        except ControlPageTooLongError as error:  # unpublished lease units are neither used nor regranted
            self._telemetry.count("control_full")
            self._telemetry.log("shared_memory_degraded", error=str(error))

    def publish_changes(self) -> None:
        """Write the page if it has changed since it was last written."""
        if self._has_changes:
            self.publish()

    def set_descriptor_quotas(self, quotas: dict[int, int]) -> None:
        """Set each slot's quota of descriptors, for the next publication."""
        if quotas != self.page.sockets:
            self.page.sockets = quotas
            self._has_changes = True

    def add_losses(self, loads: Iterable[OrphanedLoad], request_ids: Iterable[int], until_ms: float) -> None:
        """Add the orphaned loads and open requests of a dead worker, to be published with the next page.

        The requests expire at `until_ms` of CLOCK_MONOTONIC; only the newest MAX_LOST_REQUESTS are kept.
        """
        self.page.ghosts = [*self.page.ghosts, *loads]
        lost_requests = [*self._lost_requests, *((until_ms, request_id) for request_id in request_ids)]
        self._lost_requests = lost_requests[-MAX_LOST_REQUESTS:]

    def expire_losses(self, now: float) -> None:
        """Remove expired orphaned loads and lost requests; `now` in ms of CLOCK_MONOTONIC."""
        loads = [load for load in self.page.ghosts if load.until_ms > clock()]
        self._lost_requests = [
            (expires_ms, request_id) for expires_ms, request_id in self._lost_requests if expires_ms > now
        ]
        if len(loads) != len(self.page.ghosts) or len(self._lost_requests) != len(self.page.lost):
            self.page.ghosts = loads
            self._has_changes = True
