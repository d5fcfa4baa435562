"""Cold engines in the fleet's emulator: starts of engines, a bus that tells each coordinator late, queries that wait.

Owns the engines' starts, each coordinator's list of them, its queries, and every payment at its true time. It must
never move a right by itself: what passes is what `fleet/slow_start.py` lets pass, or in plain runs each one's
plain share.
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
START, CORES, MULTIPLE = 0.3, 8.0, 4.0  # as the settings of lab/engines.py have them
LEASE_MS = 1_500.0


def whole(age_ms: float) -> float:
    """Return a cold engine's budget for one window, in core-ms, as the decision module has it; `age_ms`: time since
    its start."""
    grown = START + (1.0 - START) * (max(0.0, age_ms) / WARM_MS) ** 2
    return 0.5 * MULTIPLE * grown * 0.85 * CORES * WINDOW_MS


@dataclass(slots=True)
class Side:
    """One coordinator: its list of engines, its rights while it lives, its queries. `skew_ms`: of its Unix clock."""

    skew_ms: float
    lag_ms: float  # of its bus
    cold: SlowStartBudgets | None = None
    engines: dict[str, float] = field(default_factory=dict)  # when each began, as it has heard
    waiting: list[tuple[float, float]] = field(default_factory=list)  # core-ms, until
    plain: dict[str, deque[tuple[float, float]]] = field(default_factory=lambda: defaultdict(deque))


class ColdEmulator(Emulator):
    """The fleet's emulator with cold engines. `load`: the fleet's demand as a part of all engines' budgets while
    they are cold; the first coordinator wants `hot` times as much as each other; `plain`: each coordinator has its
    plain share of the budget instead of rights."""

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
        super().__init__(count, seed, script, seconds, demand=lambda n: 0.0, homes=homes)
        draw = self.random
        self.plain, self.sizes, self.hot, self.load, self.engines = plain, sizes, hot, load, engines
        self.sides = [Side(draw.uniform(-200.0, 200.0), draw.uniform(0.0, lag_ms)) for _ in range(count)]
        self.born: dict[str, float] = {}  # true: of each engine its newest start, ms
        self.paid: dict[tuple[str, float], list[float]] = defaultdict(list)  # by start: true times, one a unit
        self.arrived: dict[tuple[str, float], list[float]] = defaultdict(list)  # likewise, by the process that got them
        self.sent = [0] * count
        for n in range(count):
            self.network.at(draw.uniform(0.0, STEP_MS), n, "look")
        for e in range(engines):
            at = draw.uniform(0.0, every_s * 1e3)
            while at < seconds * 1e3:
                self.network.at(at, 0, f"engine {e}")
                for n, side in enumerate(self.sides):
                    self.network.at(at + side.lag_ms * draw.uniform(0.5, 1.5), n, f"bus {e} {at}")
                at += draw.uniform(1.0, 2.0) * every_s * 1e3

    def _act(self, number: int, process: Process, what: str) -> None:
        if what == "look":
            self.network.at(self.now + STEP_MS, number, "look")
            self._look(number, process)
        elif what.startswith("engine"):
            self.born[f"toy-{what.split()[1]}"] = self.now
        elif what.startswith("bus"):
            _, engine, at = what.split()
            self.sides[number].engines[f"toy-{engine}"] = 1.7e12 + float(at)
        else:
            super()._act(number, process, what)

    def _begin(self, number: int, process: Process) -> None:
        super()._begin(number, process)
        side = self.sides[number]
        side.waiting.clear()
        side.plain.clear()
        side.cold = SlowStartBudgets(
            process.node, WINDOW_MS, self.count, 0, LEASE_MS, self.clock(process), self.unix() + side.skew_ms
        )

    def _look(self, number: int, process: Process) -> None:
        """A turn of one coordinator: queries come, go out smallest first, or are given up."""
        side = self.sides[number]
        if process.node is None or self.network.paused[number] or side.cold is None:
            return
        now, unix = self.clock(process), self.unix() + side.skew_ms
        mean = sum(self.sizes) / 2.0
        weight = (self.hot if number == 0 else 1.0) / (self.count - 1 + self.hot)
        cold = [whole(unix - born) for born in side.engines.values() if unix - born < WARM_MS]
        rate = max(1e-6, self.load * sum(cold) / WINDOW_MS / mean * weight)  # queries a ms
        gap = self.random.expovariate(rate)
        while gap < STEP_MS:
            side.waiting.append((self.random.uniform(*self.sizes), self.now + WAIT_MS))
            gap += self.random.expovariate(rate)
        side.waiting = sorted(query for query in side.waiting if self.now < query[1])
        side.cold.tick(now)
        ages = {name: unix - born for name, born in side.engines.items() if unix - born < WARM_MS}
        for name, age in ages.items():
            budget, born = whole(age), side.engines[name]
            room = self._room(number, side, now, unix, name, born, budget, sum(w for w, _ in side.waiting) / len(ages))
            while side.waiting and side.waiting[0][0] <= room * budget:
                work = side.waiting[0][0]
                if not self.plain and not side.cold.spend(now, name, born, unix, work, budget):
                    break
                side.waiting.pop(0)
                room -= work / budget
                units = math.ceil(work * UNITS_PER_START / budget - 1e-9)
                self.sent[number] += units
                self.paid[name, born].extend([self.now] * units)
                self.arrived[name, self.born.get(name, 0.0)].extend([self.now] * units)
                side.plain[name].append((unix, work))

    def _room(
        self, number: int, side: Side, now: float, unix: float, name: str, born: float, budget: float, wished: float
    ) -> float:
        """Part of the budget that may go out now."""
        sends = side.plain[name]
        while sends and sends[0][0] < unix - WINDOW_MS:
            sends.popleft()
        spent = sum(work for _, work in sends) / budget
        if self.plain:
            return 1.0 / self.count - spent
        return (
            side.cold.usable_fraction(
                now, unix, name, born, budget, spent, wished / budget, sum(self.sizes) / 2.0 / budget, STEP_MS
            )
            - spent
        )

    def figures(self) -> dict[str, Any]:
        """Return the figures of the run: units over a start's budget in any window, and the part that was used of
        what cold engines can bear. In a plain run units are rounded up but not limited, so that rounding alone may
        exceed the budget here."""
        over = most = used = 0
        offered = 0.0
        for times in self.paid.values():
            more, peak = excess(times, UNITS_PER_START, WINDOW_MS)
            over, most = over + more, max(most, peak)
        for (_, born), times in self.paid.items():  # from 3 s after the start, that all have heard, to its end
            begins, ends = born - 1.7e12 + 3_000.0, min(born - 1.7e12 + WARM_MS, self.seconds * 1e3) - 300.0
            if ends > begins:
                offered += UNITS_PER_START * (ends - begins) / WINDOW_MS
                used += sum(begins <= at < ends for at in times)
        return {
            "nodes": self.count,
            "seed": self.seed,
            "plain": self.plain,
            "cold_overruns": over,
            "most_in_a_window": most,
            "units": UNITS_PER_START,
            "at_one_process": max(
                (excess(at, UNITS_PER_START, WINDOW_MS)[1] for at in self.arrived.values()), default=0
            ),
            "paid": sum(map(len, self.paid.values())),
            "use": round(used / offered, 4) if offered else None,
            "first": round(self.sent[0] / max(1, sum(self.sent)), 3),
            "bytes": self.bytes,
        }
