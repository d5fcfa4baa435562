"""Slow-start quota in the running program, between the decision module, the core and the fleet's node.

Owns the timer that updates the module's share of each budget, and the final check before the first byte is sent to an
engine in slow start. The amount of work is decided in `slow_start`; the engine and the query are chosen by the module.
Until the fleet's port is bound, nothing is sent to engines in slow start. Must be used from the event loop's thread.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from frostspindle import policy
from frostspindle.core import Attempt, EngineState, clock
from frostspindle.fleet.node import FleetNode
from frostspindle.fleet.service import monotonic
from frostspindle.fleet.slow_start import SlowStartBudgets, budget_factor, requests_at, work_to_request
from frostspindle.policy.slow_start import SLOW_START_SAFETY

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext
    from frostspindle.policy import engine_state

CHANNEL = 4  # reserved; slow-start quota moves by the messages for budgets in general
TICK_S = 0.02  # while an engine is in slow start
IDLE_TICK_S = 0.25  # otherwise
MAX_QUEUED = 64  # requests at the head of the queue that are considered for demand


class SlowStartCoordinator:
    """Slow-start quota of one process; a FleetChannel of the fleet's service."""

    channel = CHANNEL

    def __init__(self, program: ProgramContext) -> None:
        fleet = program.config.operator.fleet
        assert fleet is not None
        self.core = program.core
        self.telemetry = program.telemetry
        self.lease_ms = fleet.cold_lease_ms
        self.outside = fleet.cold_outside
        self.budgets: SlowStartBudgets | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._next_fence = self.core.may_start
        self.core.may_start = self.fence

    def on_started(self, now: float, node: FleetNode) -> None:
        """Create the accounts for engines in slow start on the fleet's node, and start the timer.

        Called once the port is bound.
        """
        settings = self.core.settings
        self.budgets = SlowStartBudgets(
            node, settings.slow_start_window_ms, settings.coordinators, self.outside, self.lease_ms, now, clock()
        )
        self.budgets.count = self.telemetry.count
        self._tick()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Count any message as undecodable, as none is defined on this channel."""
        self.telemetry.count("cold_undecodable")

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Do nothing, as leases expire by time, whatever the state of a member."""

    def close(self) -> None:
        """Stop the timer and allow no more sends to engines in slow start.

        Called before the fleet's port is closed, so that borrowed units can be returned.
        """
        self.budgets = None
        if self._timer is not None:
            self._timer.cancel()

    def fence(self, state: EngineState, attempt: Attempt) -> bool:
        """Return whether an attempt may send its first byte; spend quota if its engine is in slow start.

        To an engine in slow start, nothing may be sent before `on_started` or after `close`.
        """
        if self._next_fence is not None and not self._next_fence(state, attempt):
            return False
        unix_ms = clock()
        controller = self.core.controller
        engine = controller.engines.get(attempt.engine)
        if engine is None or attempt.is_finished or not engine.ready or not engine.in_slow_start(unix_ms):
            return True
        request = controller.requests.get(attempt.request.number)
        if request is None or self.budgets is None:
            self.telemetry.count("cold_stopped")
            return False
        return self.budgets.spend(
            monotonic(),
            state.name,
            started_ms(state),
            attempt.sent_ms,
            controller.slow_start.work_ms(request),
            self._budget_factor * controller.slow_start.budget_ms(engine, unix_ms),
        )

    @property
    def _budget_factor(self) -> float:
        controller = self.core.controller
        return budget_factor(
            controller.settings.coordinators, self.outside, controller.fractional_share, SLOW_START_SAFETY
        )

    def _tick(self) -> None:
        delay_s = IDLE_TICK_S
        try:
            if self.budgets is not None and self._update_shares(self.budgets):
                delay_s = TICK_S
        except Exception as error:  # noqa: BLE001 - the next tick starts over
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="warming")
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _update_shares(self, budgets: SlowStartBudgets) -> bool:
        """Pass changed shares of budgets to the module; return whether any engine is in slow start."""
        unix_ms = clock()
        now = monotonic()
        controller = self.core.controller
        budgets.tick(now)
        needs = controller.slow_start.needs(unix_ms)
        queued_work = self._queued_work() if needs else []
        updates = []
        for index, number in enumerate(sorted(needs)):
            state = self.core.engines.get(number)
            if state is None:
                continue
            engine = controller.engines[number]
            budget_work = self._budget_factor * controller.slow_start.budget_ms(engine, unix_ms)
            even_share = budget_work / controller.settings.coordinators
            wanted, smallest = work_to_request(queued_work, len(needs), even_share)
            alive = budgets.node.membership.alive
            requests_here = requests_at(controller.settings.number, budgets.node.name, alive, index, len(needs))
            share = self._budget_factor * budgets.usable_fraction(
                now,
                unix_ms,
                state.name,
                started_ms(state),
                budget_work,
                needs[number][0] / self._budget_factor,
                requests_here * wanted / budget_work,
                smallest / budget_work,
                TICK_S * 1e3,
            )
            if share != engine.slow_start_share:
                updates.append(_load_with_share(number, engine, share))
        if updates:
            self.core.update_worker_loads(tuple(updates))
        return bool(needs)

    def _queued_work(self) -> list[float]:
        """Return the work of the first queued requests, in ms."""
        controller = self.core.controller
        return [controller.slow_start.work_ms(request) for *_, request in controller.waiting_queue[:MAX_QUEUED]]

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port, empty while not running."""
        return self.budgets.figures(monotonic()) if self.budgets is not None else {}


def _load_with_share(number: int, engine: engine_state.EngineState, share: float) -> policy.WorkerLoad:
    """Return an update of an engine's share, with all other values as the module already has them."""
    return policy.WorkerLoad(number, engine.peer_threads, engine.peer_memory_mb, engine.ejected_by_peer, share, (), 0.0)


def started_ms(state: EngineState) -> float:
    """Return when the engine's process started, in Unix ms, according to the engine list.

    That time is the same at all coordinators, whatever they have observed since.
    """
    return state.started_unix_ms


def attach(program: ProgramContext) -> SlowStartCoordinator:
    """Create the coordinator of slow-start quota and register its channel.

    Must be called before the fleet starts.
    """
    coordinator = SlowStartCoordinator(program)
    program.fleet.channels.append(coordinator)
    return coordinator
