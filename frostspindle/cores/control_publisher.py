"""Publication of the control page: the supervisor's decisions, as all workers read them from shared memory.

Owns the page's content and the ids of requests lost with their workers. For the supervisor's event loop only.
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
    """The control page's content, and whether it differs from what was published last."""

    def __init__(self, board: SharedMemoryBoard, telemetry: Telemetry) -> None:
        self.page = ControlPage()
        self._board = board
        self._telemetry = telemetry
        self._lost_requests: list[tuple[float, int]] = []  # until when (ms of CLOCK_MONOTONIC), id
        self._is_changed = False

    def publish(self) -> None:
        """Write the page; one that is too long is logged and counted, and the page before stays in force."""
        self._is_changed = False
        self.page.lost = [request_id for _, request_id in self._lost_requests]
        try:
            self._board.publish(self.page)
        except ControlPageTooLongError as error:  # unpublished lease units are neither used nor given to others
            self._telemetry.count("control_full")
            self._telemetry.log("shared_memory_degraded", error=str(error))

    def publish_changes(self) -> None:
        """Write the page if it has changed since it was written last."""
        if self._is_changed:
            self.publish()

    def set_descriptor_quotas(self, quotas: dict[int, int]) -> None:
        """Set each slot's quota of descriptors, for the next publication."""
        if quotas != self.page.sockets:
            self.page.sockets = quotas
            self._is_changed = True

    def add_losses(self, loads: Iterable[OrphanedLoad], request_ids: Iterable[int], until_ms: float) -> None:
        """Add what a dead worker left: its load at engines, and its open requests, until a time of CLOCK_MONOTONIC.

        Of the requests the newest MAX_LOST_REQUESTS are kept.
        """
        self.page.ghosts = [*self.page.ghosts, *loads]
        lost_requests = [*self._lost_requests, *((until_ms, request_id) for request_id in request_ids)]
        self._lost_requests = lost_requests[-MAX_LOST_REQUESTS:]

    def expire_losses(self, now: float) -> None:
        """Drop orphaned loads and lost requests whose time is over; `now` in ms of CLOCK_MONOTONIC."""
        loads = [load for load in self.page.ghosts if load.until_ms > clock()]
        self._lost_requests = [(until, request_id) for until, request_id in self._lost_requests if until > now]
        if len(loads) != len(self.page.ghosts) or len(self._lost_requests) != len(self.page.lost):
            self.page.ghosts = loads
            self._is_changed = True
