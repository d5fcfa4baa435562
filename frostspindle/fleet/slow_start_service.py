"""Cold engines' rights in the running program: between the decision module, the core's fence and the fleet's node.

Owns the timer that tells the module its part of each cold engine's budget, and the last word before a first byte to
one. It must never decide how much anybody may send (`cold.py` does), nor which engine or query (the module does), and
where the fleet's port is not ours yet, nothing passes to a cold engine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from frostspindle import policy
from frostspindle.core import Attempt, EngineState, clock
from frostspindle.fleet.node import FleetNode
from frostspindle.fleet.service import monotonic
from frostspindle.fleet.slow_start import SlowStartBudgets, exact, gathers, wished
from frostspindle.policy.controller import COLD_SAFETY

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

CHANNEL = 4  # kept for it: its rights move by the messages that all budgets' do
TICK_S, IDLE_S = 0.02, 0.25  # with an engine cold, and without
WAITING = 64  # of those that are held, the first so many are looked at


class SlowStartCoordinator:
    """One process's side of cold engines' rights; a Part of the fleet's Service."""

    channel = CHANNEL

    def __init__(self, program: ProgramContext) -> None:
        fleet = program.config.operator.fleet
        assert fleet is not None
        self.core, self.telemetry, self.lease_ms, self.outside = (
            program.core,
            program.telemetry,
            fleet.cold_lease_ms,
            fleet.cold_outside,
        )
        self.cold: SlowStartBudgets | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._passed, self.core.may_start = self.core.may_start, self.fence

    def begin(self, now: float, node: FleetNode) -> None:
        """Create the accounts of cold engines on the fleet's node and start the timer.

        Called once the port is ours.
        """
        settings = self.core.settings
        self.cold = SlowStartBudgets(
            node, settings.slow_start_window_ms, settings.coordinators, self.outside, self.lease_ms, now, clock()
        )
        self.cold.count = self.telemetry.count
        self._tick()

    def hear(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Count a message on this channel as undecodable: none is defined, as cold engines' rights use the messages of
        all budgets.
        """
        self.telemetry.count("cold_undecodable")

    def member(self, now: float, name: str, state: str) -> None:
        """Do nothing: rights end by time, whatever is believed of a member."""

    def close(self) -> None:
        """Stop the timer and pay nothing any more.

        Called before the fleet's port is closed, so that what is borrowed can be returned.
        """
        self.cold = None
        if self._timer is not None:
            self._timer.cancel()

    def fence(self, state: EngineState, attempt: Attempt) -> bool:
        """Return whether an attempt may send its first byte.

        To a cold engine only against rights, and never before `begin` or after `close`.
        """
        if self._passed is not None and not self._passed(state, attempt):
            return False
        now, controller = clock(), self.core.controller
        believed = controller.engines.get(attempt.engine)
        if believed is None or attempt.is_finished or not believed.ready or not believed.cold(now):
            return True
        job = controller.jobs.get(attempt.request.number)
        if job is None or self.cold is None:
            self.telemetry.count("cold_stopped")
            return False
        return self.cold.pay(
            monotonic(),
            state.name,
            born(state),
            attempt.sent_ms,
            controller.cold_work(job),
            self._times * controller.cold_budget(believed, now),
        )

    @property
    def _times(self) -> float:
        controller = self.core.controller
        return exact(controller.s.coordinators, self.outside, controller.sparse, COLD_SAFETY)

    def _tick(self) -> None:
        wait_s = IDLE_S
        try:
            if self._step():
                wait_s = TICK_S
        except Exception as error:  # noqa: BLE001 - the next tick looks at all again
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of="warming")
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _step(self) -> bool:
        """Tell the module its parts that have changed; whether any engine is cold."""
        if (cold := self.cold) is None:
            return False
        now, mono, controller = clock(), monotonic(), self.core.controller
        cold.tick(mono)
        words, times = [], self._times
        needs = controller.cold_need(now)
        works = [controller.cold_work(job) for *_, job in controller.held[:WAITING]] if needs else []
        for place, number in enumerate(sorted(needs)):
            state, believed = self.core.engines.get(number), controller.engines[number]
            if state is not None:
                whole = times * controller.cold_budget(believed, now)
                wish, least = wished(works, len(needs), whole / controller.s.coordinators)
                here = gathers(controller.s.number, cold.node.name, cold.node.members.alive, place, len(needs))
                part = times * cold.look(
                    mono,
                    now,
                    state.name,
                    born(state),
                    whole,
                    needs[number][0] / times,
                    here * wish / whole,
                    least / whole,
                    TICK_S * 1e3,
                )
                if part != believed.part:
                    words.append(
                        policy.WorkerLoad(
                            number, believed.peers, believed.peers_memory, believed.hearsay, part, (), 0.0
                        )
                    )
        if words:
            self.core.update_worker_loads(tuple(words))
        return bool(needs)

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port; empty while not running."""
        return self.cold.figures(monotonic()) if self.cold is not None else {}


def born(state: EngineState) -> float:
    """Return when the engine's process started, Unix ms, as the engine list has it: the same at all coordinators,
    whatever they have believed since.
    """
    return (state.listed_entry or state.entry).since_ms


def attach(program: ProgramContext) -> SlowStartCoordinator:
    """Create and register the part, if the operator has cold engines' budgets shared.

    Must be called before the fleet starts.
    """
    warming = SlowStartCoordinator(program)
    program.fleet.parts.append(warming)
    return warming
