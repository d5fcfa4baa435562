"""Order by key among processes, tied to one process's core: polling, timers and the folder of cell files.

Owns this process's cell file, the queue positions of its requests, and the polling of other processes for those that
wait. Requests that keep no order are never delayed, and nothing is decided here: the core is notified that a request
reached the head of its queue, and the decision module chooses what to do with it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from frostspindle.core import Core, clock
from frostspindle.order.key_queue import KeyQueue
from frostspindle.order.shared_cells import SharedCellFolder
from frostspindle.pools import UNPOLLED_QUERY_EXPIRY_MS
from frostspindle.telemetry import Telemetry

POLL_INTERVAL_S = 0.02  # between two looks at other processes' positions while any request waits


class KeyOrderService:
    """Keeps the order of keys among processes for one core, as its `key_order`; runs in the event loop's thread."""

    def __init__(self, folder: Path, core: Core, telemetry: Telemetry) -> None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.core: Core = core
        self.telemetry: Telemetry = telemetry
        self.cell_folder = SharedCellFolder(
            folder, lambda: time.monotonic() * 1000.0, UNPOLLED_QUERY_EXPIRY_MS + core.settings.key_order_pause_ms
        )
        own_file = self.cell_folder.own_file
        self.queue = KeyQueue(own_file.owner, own_file, self.cell_folder.positions)
        self._poll_timer: asyncio.TimerHandle | None = None
        # Requests that are answered while their key rests, and the end of that pause.
        self._pause_timers: dict[int, asyncio.TimerHandle] = {}
        core.key_order = self

    def enter(self, number: int, key: int) -> bool | None:
        """Draw a position for a request: True if it is at the head, False if it has to wait, None without a free cell.

        While any request waits, other processes' positions are polled; Core.key_order_reached reports the head.
        """
        at_head = self.queue.enter(number, key, int(clock() * 1000.0))
        if at_head is False:
            self.telemetry.count("turns_waited")
            if self._poll_timer is None:
                self._schedule_poll()
        elif at_head is None:
            self.telemetry.count("turns_full")
        return at_head

    def enter_open_requests(self) -> None:
        """Draw positions for requests that were taken while there was no order, so that other processes see them."""
        for number, entry in self.core.ledger.entries.items():
            request = entry.request
            if not request.key:
                continue
            at_head = self.queue.enter(number, request.key, int(request.received_ms * 1000.0))
            if at_head is False and self._poll_timer is None:
                self._schedule_poll()

    def on_request_finished(self, number: int) -> None:
        """Free the position, but not while its key rests here: other processes would not know of that pause."""
        if number in self._pause_timers:
            return
        rests_until_ms = self.core.controller.key_order.cooldowns.get(self.queue.key_of(number), 0.0)
        pause_left_ms = rests_until_ms - clock()
        if pause_left_ms > 0.0:
            loop = asyncio.get_running_loop()
            self._pause_timers[number] = loop.call_later(pause_left_ms / 1000.0, self._on_pause_over, number)
        else:
            self.queue.leave(number)

    def close(self) -> None:
        """Detach from the core, cancel the timers and close the cell files; the own one stays if a request is open."""
        self.core.key_order = None  # first: a request that ends from now on has no cell any more
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        for timer in self._pause_timers.values():
            timer.cancel()
        self.cell_folder.close(clean=not self.queue.entry_count)

    def _schedule_poll(self) -> None:
        self._poll_timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        for number in self.queue.pop_ready():
            self.core.key_order_reached(number)
        if self.queue.waiting_count:
            self._schedule_poll()

    def _on_pause_over(self, number: int) -> None:
        del self._pause_timers[number]
        self.queue.leave(number)
