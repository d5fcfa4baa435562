"""Shares the event loop among connections with input to parse, so that no client delays the others for long.

Each turn of the event loop has TURN_BUDGET_S for short input as it is read, and as much for input that waits. A
connection takes a small step at a time and goes to the end of the line. Short input of a client without an open call
goes first: it is usually one whole request. Then comes input that may be a request which keeps an order, as later
requests of its key wait for it. Other long input has LONG_BUDGET_S of a turn, and a step at least.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

TURN_BUDGET_S = 0.002  # of each turn of the event loop, twice
LONG_BUDGET_S = 0.001  # of each turn, within the above


class BacklogConnection(Protocol):
    """A connection with input that is not parsed yet."""

    @property
    def has_short_input(self) -> bool:
        """Whether its input is short, and its client waits for no answer."""

    @property
    def may_be_ordered(self) -> bool:
        """Whether its input may hold a request that keeps an order, and its client waits for no answer."""

    def process_input(self) -> None:
        """Parse some input, and add the connection to the scheduler again if there is more."""


class InputScheduler:
    """The connections that wait for a step, in order. `turn` returns the number of the event loop's turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, turn: Callable[[], int]) -> None:
        self._loop = loop
        self._turn = turn
        self._short: dict[BacklogConnection, None] = {}
        self._ordered: dict[BacklogConnection, None] = {}
        self._long: dict[BacklogConnection, None] = {}
        self._is_scheduled = False
        self._budget_turn = -1
        self._used_s = 0.0  # in the turn `_budget_turn`, by input as it is read

    def run_now(self, connection: BacklogConnection) -> bool:
        """Let a connection that has read short input take a step now; return False if this turn's time is used up."""
        if not connection.has_short_input:
            return False
        turn = self._turn()
        if turn != self._budget_turn:
            self._budget_turn = turn
            self._used_s = 0.0
        if self._used_s >= TURN_BUDGET_S:
            return False
        began_s = self._loop.time()
        connection.process_input()
        self._used_s += self._loop.time() - began_s
        return True

    def add(self, connection: BacklogConnection) -> None:
        """Let a connection take a step in a later turn."""
        line = self._line(connection)
        for other in (self._short, self._ordered, self._long):
            if other is not line:
                other.pop(connection, None)
        line[connection] = None
        self._schedule()

    def _line(self, connection: BacklogConnection) -> dict[BacklogConnection, None]:
        if connection.has_short_input:
            return self._short
        return self._ordered if connection.may_be_ordered else self._long

    def discard(self, connection: BacklogConnection) -> None:
        """Forget a connection that has ended."""
        self._short.pop(connection, None)
        self._ordered.pop(connection, None)
        self._long.pop(connection, None)

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        began_s = self._loop.time()
        try:
            self._run(self._short, began_s + TURN_BUDGET_S)
            self._run(self._ordered, began_s + TURN_BUDGET_S)
            self._run(self._long, began_s + LONG_BUDGET_S)
        finally:
            if self._short or self._ordered or self._long:
                self._schedule()

    def _run(self, waiting: dict[BacklogConnection, None], until_s: float) -> None:
        """Let connections take steps in turn until a time, and one at least."""
        while waiting:
            connection = next(iter(waiting))
            del waiting[connection]
            connection.process_input()
            if self._loop.time() >= until_s:
                return
