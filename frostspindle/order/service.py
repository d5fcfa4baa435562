"""Ordering by key across the processes of a coordinator: connects the key queue to the core of this process.

Manages this process's cell file and the queue positions of its requests, and polls the positions of other processes
while requests wait. Requests without an ordering key are never delayed. The service only notifies the core that a
request reached the head of its queue; the decision module decides when to send it.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from frostspindle.core import ArrivalClock, ClientRequest, Core, clock
from frostspindle.order.arrivals import ArrivalOrder, nothing_elsewhere
from frostspindle.order.input_marks import InputMarks
from frostspindle.order.key_queue import KeyQueue
from frostspindle.order.shared_cells import SharedCellFolder
from frostspindle.query_lifetime import UNPOLLED_QUERY_EXPIRY_MS
from frostspindle.telemetry import Telemetry

POLL_INTERVAL_S = 0.02  # between two reads of other processes' positions while any request waits


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


class KeyOrderService:
    """Implements core.KeyOrder for one core; runs in the event loop's thread."""

    def __init__(self, folder: Path, core: Core, telemetry: Telemetry) -> None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.core: Core = core
        self.telemetry: Telemetry = telemetry
        self.cell_folder = SharedCellFolder(
            folder, _monotonic_ms, UNPOLLED_QUERY_EXPIRY_MS + core.settings.key_order_pause_ms
        )
        own_file = self.cell_folder.own_file
        self._marks = InputMarks(folder, _monotonic_ms)
        self.queue = KeyQueue(own_file.owner, own_file, self.cell_folder.positions)
        self._shared_arrivals: ArrivalOrder | None = None
        self._poll_timer: asyncio.TimerHandle | None = None
        # By request that is finished but whose key is in its pause: the timer for the end of the pause.
        self._pause_timers: dict[int, asyncio.TimerHandle] = {}
        core.key_order = self

    def enter(self, request: ClientRequest) -> bool | None:
        """Queue a request: True if it is at the head, False if it has to wait, None if there is no free cell.

        While any request waits, other processes' positions are polled. Core.key_order_reached is called when a waiting
        request reaches the head.
        """
        at_head = self.queue.enter(request.number, request.key, int(clock() * 1000.0), request.class_keys)
        if at_head is False:
            self.telemetry.count("turns_waited")
            if self._poll_timer is None:
                self._schedule_poll()
        elif at_head is None:
            self.telemetry.count("turns_full")
        return at_head

    def enter_open_requests(self) -> None:
        """Queue requests that were accepted before this service started, so that other processes see them."""
        for number, entry in self.core.ledger.entries.items():
            request = entry.request
            if not request.key:
                continue
            at_head = self.queue.enter(number, request.key, int(request.received_ms * 1000.0), request.class_keys)
            if at_head is False and self._poll_timer is None:
                self._schedule_poll()

    def on_request_finished(self, number: int) -> None:
        """Remove a request from its queue, after the pause of its key if one is running.

        Other processes don't know of the pause, so they would send the key's next request too early.
        """
        if number in self._pause_timers:
            return
        pause_ends_at_ms = self.core.controller.key_order.cooldowns.get(self.queue.key_of(number), 0.0)
        pause_left_ms = pause_ends_at_ms - clock()
        if pause_left_ms > 0.0:
            loop = asyncio.get_running_loop()
            self._pause_timers[number] = loop.call_later(pause_left_ms / 1000.0, self._on_pause_over, number)
        else:
            self.queue.leave(number)

    def share_input(self, arrivals: ArrivalOrder) -> None:
        """Let requests wait for earlier input of other processes, which accept clients on the same socket."""
        arrival_clock = ArrivalClock.of(asyncio.get_running_loop())
        arrivals.may_be_unparsed_elsewhere = self._marks.may_hold_earlier
        arrival_clock.on_poll = lambda: self._marks.write(arrivals.earliest_ms())
        arrival_clock.on_found = lambda: self._marks.write(min(arrivals.earliest_ms(), arrival_clock.found_since_ms))
        self._shared_arrivals = arrivals

    def _unshare_input(self) -> None:
        if self._shared_arrivals is not None:
            arrival_clock = ArrivalClock.of(asyncio.get_running_loop())
            arrival_clock.on_poll = arrival_clock.on_found = None
            self._shared_arrivals.may_be_unparsed_elsewhere = nothing_elsewhere
            self._shared_arrivals = None

    def close(self) -> None:
        """Detach from the core, cancel timers and close all cell files.

        This process's file stays in the folder if it has positions left.
        """
        self._unshare_input()
        self._marks.close()
        self.core.key_order = None  # first, so that requests that finish from now on don't access the cells
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
