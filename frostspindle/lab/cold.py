"""Cold engines in the fleet's emulator: engine starts, a bus with a delay per coordinator, and queued queries.

It records every payment at its true time. `fleet/slow_start.py` alone moves rights and limits what is sent; in plain
runs each coordinator's limit is an equal share of the budget.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from frostspindle.fleet.slow_start import UNITS_PER_START, SlowStartBudgets
from frostspindle.lab.faults.script import Script
from frostspindle.lab.fleet import Emulator, Process, excess

STEP_MS, WARM_MS, WINDOW_MS, WAIT_MS = 20.0, 15_000.0, 1_000.0, 2_000.0
START, CORES, MULTIPLE = 0.3, 8.0, 4.0  # as in the settings of lab/engines.py
LEASE_MS = 1_500.0


def budget_ms(age_ms: float) -> float:
    """Return a cold engine's budget for one window in core-ms, computed as in the decision module.

    `age_ms`: time since the engine's start.
    """
    grown = START + (1.0 - START) * (max(0.0, age_ms) / WARM_MS) ** 2
    return 0.5 * MULTIPLE * grown * 0.85 * CORES * WINDOW_MS


@dataclass(slots=True)
class CoordinatorState:
    """One coordinator: its list of engines, its budgets while its process runs, and its queries."""

    skew_ms: float  # of its Unix clock
    lag_ms: float  # of its bus
    cold: SlowStartBudgets | None = None
    engines: dict[str, float] = field(default_factory=dict)  # starts, as announced by the bus
    waiting: list[tuple[float, float]] = field(default_factory=list)  # core-ms, deadline
    plain: dict[str, deque[tuple[float, float]]] = field(default_factory=lambda: defaultdict(deque))


class ColdEmulator(Emulator):
    """The fleet's emulator with cold engines.

    `load`: demand of the fleet as a part of the budgets of all cold engines; `hot`: factor of the first coordinator's
    demand over each other's; `plain`: coordinators have equal shares of the budget instead of rights.
    """

    def __init__(
        self,
        count: int,
        seed: int,
        script: Script,
        seconds: float,
        engines: int = 2,
        load: float = 2.0,
        hot: float = 10.0,
        every_s: float = 20.0,
        lag_ms: float = 200.0,
        sizes: tuple[float, float] = (20.0, 200.0),
        plain: bool = False,
        homes: int = 0,
    ) -> None:
        super().__init__(count, seed, script, seconds, demand=lambda number: 0.0, homes=homes)
        rng = self.random
        self.plain, self.sizes, self.hot, self.load, self.engines = plain, sizes, hot, load, engines
        self.states = [CoordinatorState(rng.uniform(-200.0, 200.0), rng.uniform(0.0, lag_ms)) for _ in range(count)]
        self.started_at: dict[str, float] = {}  # by engine: true time of its latest start, ms
        # By engine and its start as the payer knows it: true time of each paid unit.
        self.payments: dict[tuple[str, float], list[float]] = defaultdict(list)
        self.arrived: dict[tuple[str, float], list[float]] = defaultdict(list)  # by true start: the same
        self.sent = [0] * count
        for number in range(count):
            self.network.at(rng.uniform(0.0, STEP_MS), number, "look")
        for engine in range(engines):
            start_ms = rng.uniform(0.0, every_s * 1e3)
            while start_ms < seconds * 1e3:
                self.network.at(start_ms, 0, f"engine {engine}")
                for number, state in enumerate(self.states):
                    self.network.at(start_ms + state.lag_ms * rng.uniform(0.5, 1.5), number, f"bus {engine} {start_ms}")
                start_ms += rng.uniform(1.0, 2.0) * every_s * 1e3

    def _act(self, number: int, process: Process, action: str) -> None:
        if action == "look":
            self.network.at(self.now + STEP_MS, number, "look")
            self._step(number, process)
        elif action.startswith("engine"):
            self.started_at[f"toy-{action.split()[1]}"] = self.now
        elif action.startswith("bus"):
            _, engine, start_ms = action.split()
            self.states[number].engines[f"toy-{engine}"] = 1.7e12 + float(start_ms)
        else:
            super()._act(number, process, action)

    def _begin(self, number: int, process: Process) -> None:
        super()._begin(number, process)
        state = self.states[number]
        state.waiting.clear()
        state.plain.clear()
        state.cold = SlowStartBudgets(
            process.node, WINDOW_MS, self.count, 0, LEASE_MS, self.clock(process), self.unix() + state.skew_ms
        )

    def _step(self, number: int, process: Process) -> None:
        """Run one step of a coordinator: queries arrive, are sent smallest first, or time out."""
        state = self.states[number]
        if process.node is None or self.network.paused[number] or state.cold is None:
            return
        now, unix = self.clock(process), self.unix() + state.skew_ms
        mean_work = sum(self.sizes) / 2.0
        weight = (self.hot if number == 0 else 1.0) / (self.count - 1 + self.hot)
        cold = [budget_ms(unix - started_ms) for started_ms in state.engines.values() if unix - started_ms < WARM_MS]
        rate = max(1e-6, self.load * sum(cold) / WINDOW_MS / mean_work * weight)  # queries per ms
        arrival_ms = self.random.expovariate(rate)
        while arrival_ms < STEP_MS:
            state.waiting.append((self.random.uniform(*self.sizes), self.now + WAIT_MS))
            arrival_ms += self.random.expovariate(rate)
        state.waiting = sorted(query for query in state.waiting if self.now < query[1])
        state.cold.tick(now)
        ages = {name: unix - started_ms for name, started_ms in state.engines.items() if unix - started_ms < WARM_MS}
        for name, age in ages.items():
            budget, started_ms = budget_ms(age), state.engines[name]
            sendable = self._sendable_fraction(
                number,
                state,
                now,
                unix,
                name,
                started_ms,
                budget,
                sum(query_work for query_work, _ in state.waiting) / len(ages),
            )
            while state.waiting and state.waiting[0][0] <= sendable * budget:
                work = state.waiting[0][0]
                if not self.plain and not state.cold.spend(now, name, started_ms, unix, work, budget):
                    break
                state.waiting.pop(0)
                sendable -= work / budget
                units = math.ceil(work * UNITS_PER_START / budget - 1e-9)
                self.sent[number] += units
                self.payments[name, started_ms].extend([self.now] * units)
                self.arrived[name, self.started_at.get(name, 0.0)].extend([self.now] * units)
                state.plain[name].append((unix, work))

    def _sendable_fraction(
        self,
        number: int,
        state: CoordinatorState,
        now: float,
        unix: float,
        name: str,
        started_ms: float,
        budget: float,
        wanted: float,
    ) -> float:
        """Return the part of the budget that may be sent now."""
        sends = state.plain[name]
        while sends and sends[0][0] < unix - WINDOW_MS:
            sends.popleft()
        spent = sum(work for _, work in sends) / budget
        if self.plain:
            return 1.0 / self.count - spent
        return (
            state.cold.usable_fraction(
                now, unix, name, started_ms, budget, spent, wanted / budget, sum(self.sizes) / 2.0 / budget, STEP_MS
            )
            - spent
        )

    def figures(self) -> dict[str, Any]:
        """Return the figures of the run, among them units over a start's budget in any window and the utilisation.

        In a plain run units are rounded up but not limited, so that rounding alone may exceed the budget.
        """
        overruns = max_units = used_units = 0
        offered_units = 0.0
        for times in self.payments.values():
            excess_units, peak_units = excess(times, UNITS_PER_START, WINDOW_MS)
            overruns, max_units = overruns + excess_units, max(max_units, peak_units)
        for (_, started_ms), times in self.payments.items():  # from 3 s after the start, when all know of it
            begin, end = started_ms - 1.7e12 + 3_000.0, min(started_ms - 1.7e12 + WARM_MS, self.seconds * 1e3) - 300.0
            if end > begin:
                offered_units += UNITS_PER_START * (end - begin) / WINDOW_MS
                used_units += sum(begin <= paid_at < end for paid_at in times)
        return {
            "nodes": self.count,
            "seed": self.seed,
            "plain": self.plain,
            "cold_overruns": overruns,
            "most_in_a_window": max_units,
            "units": UNITS_PER_START,
            "at_one_process": max(
                (excess(paid_at, UNITS_PER_START, WINDOW_MS)[1] for paid_at in self.arrived.values()), default=0
            ),
            "paid": sum(map(len, self.payments.values())),
            "use": round(used_units / offered_units, 4) if offered_units else None,
            "first": round(self.sent[0] / max(1, sum(self.sent)), 3),
            "bytes": self.bytes,
        }
