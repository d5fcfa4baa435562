"""Order among processes, tied to one process's core.

Owns the folder's sheet of this process, the places of its requests, and how often it is looked whether the turn of one
that waits has come. It must never hold up a request that keeps no order, and never decide about one: the core is told
that a turn has come, the decision module what it is worth.
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

LOOK_S = 0.02  # so often it is looked for those that wait


class KeyOrderService:
    """Keeps the order of keys among processes for one core, as its `turns`."""

    def __init__(self, folder: Path, core: Core, telemetry: Telemetry) -> None:
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.core, self.telemetry = core, telemetry
        self.sheets = SharedCellFolder(
            folder, lambda: time.monotonic() * 1000.0, UNPOLLED_QUERY_EXPIRY_MS + core.settings.key_order_pause_ms
        )
        self.turns = KeyQueue(self.sheets.own.owner, self.sheets.own, self.sheets.places)
        self._timer: asyncio.TimerHandle | None = None
        self._resting: dict[int, asyncio.TimerHandle] = {}  # requests that are over, of keys that rest
        core.key_order = self

    def enter(self, number: int, key: int) -> bool | None:
        """Draw a place for a request: True if its turn has come, False if it has to wait, None if no cell is free.

        While any request waits, other processes' places are read every LOOK_S; Core.key_order_reached reports a turn.
        """
        turn = self.turns.enter(number, key, int(clock() * 1000.0))
        if turn is False:
            self.telemetry.count("turns_waited")
            if self._timer is None:
                self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)
        elif turn is None:
            self.telemetry.count("turns_full")
        return turn

    def over(self, number: int) -> None:
        """Free the place, but not while its key rests here: the other processes do not hear of that otherwise."""
        if number in self._resting:
            return
        until = self.core.controller.rest_until.get(self.turns.key(number), 0.0)
        if (left_ms := until - clock()) > 0.0:
            self._resting[number] = asyncio.get_running_loop().call_later(left_ms / 1000.0, self._rested, number)
        else:
            self.turns.over(number)

    def _rested(self, number: int) -> None:
        del self._resting[number]
        self.turns.over(number)

    def _look(self) -> None:
        self._timer = None
        for number in self.turns.due():
            self.core.key_order_reached(number)
        if self.turns.waiting:
            self._timer = asyncio.get_running_loop().call_later(LOOK_S, self._look)

    def close(self) -> None:
        """Detach from the core, cancel the timers and close the sheets; the own file stays if a request is open."""
        self.core.key_order = None  # what ends from now on has no sheet any more
        for timer in (self._timer, *self._resting.values()):
            if timer is not None:
                timer.cancel()
        self.sheets.close(clean=not self.turns.open)
