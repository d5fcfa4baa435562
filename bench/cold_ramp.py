"""Ways in which processes share a cold engine's budget without communication: simulated ramps, many seeds.

An engine starts and warms up; each process hears of it late by a time of its own, gets Poisson arrivals at a rate of
its own, and asks the real decision module (`_cold_allowed`), or one of the other ways put in place of its `_cold_left`,
whether a held request may go there. Work is lognormal and known by an estimate only. At every send the true work of the
last window is compared with N + 2 x root of N + 2 (N < 30: N + 3 x root of N + 3), in requests of mean work.

Ways: shares   an equal part each
      draws    a random turn, independently of the others
      turns    the module's: turns of a few and of one in alternate windows, by rank and time; shares where one
               holds a query
      carried  an equal part each, and what was not used in earlier windows up to two small queries
      places   as turns, but a hash of engine, window and rank decides whose they are
      paced    as turns, but each send books its part of the timeline, all of it within the turn

    PYTHONPATH=. python bench/cold_ramp.py [--seeds N] [--counts 1,3,30,200] [--ways turns,...] [--restarts PART]
        [--mean MS] [--no-hints] [--engines N] [--json FILE]
"""

from __future__ import annotations

import argparse
import functools
import heapq
import math
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import fmean
from types import SimpleNamespace

from bench.common import tell
from frostspindle import policy
from frostspindle.policy import ClassSettings, Controller, EndpointListKind, EngineEntry, Idempotency
from frostspindle.policy.controller import EXAMINE_MS
from frostspindle.policy.slow_start import SLOW_START_SAFETY

WARM_MS, WINDOW_MS, MULTIPLE, START, CORES = 6_000.0, 1_000.0, 4.0, 0.3, 8.0
LATE_MS, PATIENCE_MS, DOWN_MS = 7_000.0, 400.0, 300.0
SPREAD, UNSURE, UNEVEN = 1.0, 0.3, 0.8  # standard deviations of logs: work, estimates, rates of processes
SMALL_PART, SMALL_SIZE = 0.8, 0.4  # so many are of the small class; its mean work, in parts of all requests' mean
DEMAND, EACH_PER_S = 1.5, 0.5  # all arrivals: so many times what a warm engine may be sent; at least, of a process
FULL = 0.85 * CORES * WINDOW_MS * MULTIPLE  # as the module takes it, warm
WAYS = ("shares", "draws", "turns", "carried", "places", "paced")


def settings(count: int, number: int, mean: float) -> policy.Settings:
    """Return the settings of dispatcher `number` of `count`, with a small and a large class of requests.

    Their mean works are such that all requests' mean is `mean` ms, with SMALL_PART of them small.
    """
    small = SMALL_SIZE * mean
    large = (mean - SMALL_PART * small) / (1.0 - SMALL_PART)
    classes = [
        ClassSettings(
            latency_objective_ms=2.0 * cost / threads,
            deadline_ms=60_000.0,
            idempotency=Idempotency.IDEMPOTENT,
            threads=threads,
        )
        for cost, threads in ((small, 1), (large, 3))
    ]
    return policy.Settings(
        classes=tuple(classes),
        coordinators=count,
        number=number,
        kind_cores=(CORES,),
        slow_start_capacity=START,
        slow_start_duration_ms=WARM_MS,
        slow_start_overload_ratio=MULTIPLE,
        slow_start_window_ms=WINDOW_MS,
    )


def allowance(age: float, mean: float) -> tuple[float, float]:
    """Return the base N of a window at an engine `age` ms after its start, and N with what the rule adds for chance.

    Both are in requests of mean work, by the most cautious ramp, as the decision module takes it.
    """
    part = START + (1.0 - START) * min(1.0, age / WARM_MS) ** 2
    n = MULTIPLE * CORES * part * WINDOW_MS / mean
    root = math.sqrt(n)
    return n, n + (2.0 * root + 2.0 if n >= 30.0 else 3.0 * root + 3.0)


class Process:
    """One dispatcher: the real module for a cold engine's budget, and a queue of held requests, smallest first."""

    def __init__(self, way: str, count: int, number: int, mean: float, now: float) -> None:
        self.way, self.seed = way, 0
        self.controller = Controller(settings(count, number, mean), number)
        self.controller.handle(now, policy.EndpointListUpdated(EndpointListKind.FULL, 1, ()))  # its start
        self.held = list[tuple[float, int, SimpleNamespace]]()
        if way != "turns":
            remaining_ms = functools.partial(getattr(self, f"_{way}"))
            self.controller.slow_start.remaining_ms = remaining_ms  # type: ignore[method-assign]
        self.tokens, self.tokens_at, self.free_at = dict[int, float](), dict[int, float](), dict[int, float]()

    def hear(self, now: float, entry: EngineEntry) -> None:
        """Tell the controller of a change of the engine list."""
        self.controller.handle(now, policy.EndpointListUpdated(EndpointListKind.DELTA, 1, (entry,)))

    def take(self, now: float, number: int) -> list[SimpleNamespace]:
        """Remove and return the held requests that may go to the engine now; drop those whose client has left."""
        engine = self.controller.engines.get(number)
        if engine is None or not engine.in_slow_start(now):
            return []
        out = []
        while self.held:
            job = self.held[0][2]
            if job.gone <= now:
                heapq.heappop(self.held)
            elif self.controller.slow_start.allows(job, engine, now):
                heapq.heappop(self.held)
                work = self.controller.slow_start.work_ms(job)
                engine.slow_start_sends.add(now, work)
                self.tokens[number] = self.tokens.get(number, 0.0) - work
                if self.way == "paced":
                    self.free_at[number] = now + work / self._pace
                out.append(job)
            else:
                break
        return out

    # The other ways: what is left for one more request, as `SlowStart.remaining_ms`.

    def _whole(self, engine: object, now: float) -> float:
        c = self.controller
        return c.slow_start.budget_ms(engine, now) / SLOW_START_SAFETY[c.fractional_share]  # type: ignore[arg-type]

    def _spent(self, engine: object, now: float) -> float:
        return engine.slow_start_sends.total(now - WINDOW_MS)  # type: ignore[attr-defined,no-any-return]

    def _shares(self, engine: object, now: float) -> float:
        whole = SLOW_START_SAFETY[0] * self._whole(engine, now)
        return whole / self.controller.settings.coordinators - self._spent(engine, now)

    def _carried(self, engine: object, now: float) -> float:
        c, number = self.controller, engine.id  # type: ignore[attr-defined]
        rate = SLOW_START_SAFETY[0] * self._whole(engine, now) / c.settings.coordinators
        most = max(rate, 2.0 * min(c.estimates.mean_costs_ms))
        had = self.tokens.get(number, rate) + rate * (now - self.tokens_at.get(number, now)) / WINDOW_MS
        self.tokens[number], self.tokens_at[number] = min(most, had), now
        return self.tokens[number]

    def _turn(self, engine: object, now: float, mine: Callable[[int, int, int], bool]) -> float:
        c, number = self.controller, engine.id  # type: ignore[attr-defined]
        if not c.fractional_share:
            return self._shares(engine, now)
        budget, count = SLOW_START_SAFETY[1] * self._whole(engine, now), c.settings.coordinators
        slot = int(now / WINDOW_MS) + number
        few = 1 if slot % 2 else min(count // 2, int(budget / min(c.estimates.mean_costs_ms)))
        if few < 1 or not mine(slot, few, number):
            return -math.inf
        return budget / max(1.0, few / 2.0) - self._spent(engine, now)

    def _draws(self, engine: object, now: float) -> float:
        count, own = self.controller.settings.coordinators, self.controller.settings.number
        return self._turn(
            engine,
            now,
            lambda slot, few, number: random.Random(f"{self.seed} {slot} {number} {own}").random() < few / count,
        )

    def _places(self, engine: object, now: float) -> float:
        count, own = self.controller.settings.coordinators, self.controller.settings.number
        return self._turn(engine, now, lambda slot, few, number: own in places(slot, number, count)[:few])

    def _paced(self, engine: object, now: float) -> float:
        """A send takes its part of its turn's time; windows hold the booked time of one window, and one request."""
        c, number = self.controller, engine.id  # type: ignore[attr-defined]
        count, slot = c.settings.coordinators, int(now / WINDOW_MS) + number
        whole = PACED * self._whole(engine, now)
        few = 1 if slot % 2 else max(1, min(count // 2, int(whole / c.estimates.mean_costs_ms[0] / 3)))
        few = few if c.fractional_share else count
        if c.fractional_share and (slot // 2 * few + c.settings.number) % count >= few:
            return -math.inf
        self._pace = whole / few / WINDOW_MS
        if now < self.free_at.get(number, -math.inf):
            return 0.0
        return self._pace * (WINDOW_MS - now % WINDOW_MS if c.fractional_share else WINDOW_MS)


PACED = 0.9


@functools.lru_cache(maxsize=64)
def places(slot: int, engine: int, count: int) -> list[int]:
    """Return the coordinators in the pseudo-random order in which they have a turn at the engine in that window."""
    return sorted(range(count), key=lambda number: random.Random(f"{slot} {engine} {number}").random())


@dataclass
class Ramp:
    """What came to one engine: times and true work in requests of mean work."""

    at: list[float] = field(default_factory=list)
    work: list[float] = field(default_factory=list)
    sums: list[float] = field(default_factory=lambda: [0.0])

    def add(self, now: float, work: float) -> float:
        """The work of the window that ends now."""
        self.at.append(now)
        self.sums.append(self.sums[-1] + work)
        return self.sums[-1] - self.sums[bisect_left(self.at, now - WINDOW_MS)]


class Fleet:
    """The processes of one way and count; a ramp follows the other on one timeline, so that modules are kept."""

    def __init__(
        self, way: str, count: int, mean: float, hints: bool, restarts: float, engines: int, each: float
    ) -> None:
        self.way, self.count, self.mean, self.hints, self.restarts = way, count, mean, hints, restarts
        self.engines = engines
        self.now, self.first = 1_700_000_000_000.0, 1
        self.rate = max(DEMAND * engines * allowance(WARM_MS, mean)[0] / WINDOW_MS, each * count / 1_000.0)
        self.processes = [self._process(number, self.now - 60_000.0) for number in range(count)]

    def _process(self, number: int, now: float) -> Process:
        return Process(self.way, self.count, number, self.mean, now)

    def ramp(self, seed: int) -> tuple[float, float]:
        """Return the worst excess over the allowance, as a part of it, and the part of N that was used."""
        draw, start, numbers = random.Random(seed), self.now, range(self.first, self.first + self.engines)
        self.now, self.first = start + 60_000.0, self.first + self.engines + 1
        uneven = [math.exp(draw.gauss(0.0, UNEVEN)) for _ in self.processes]
        events, born = self._arrivals(draw, start, uneven), dict[int, float]()
        for process in self.processes:
            process.seed = seed * 1_000 + process.controller.settings.number
            process.held, process.controller.state.engines = [], {}
            process.controller.last_event_at_ms = start
        for number in numbers:
            born[number] = start + draw.random() * WINDOW_MS * (self.engines > 1)
            for place in range(self.count):  # most hear of it soon, some as late as they may
                late = LATE_MS * (draw.random() if draw.random() < 0.2 else 0.1 * draw.random())
                heapq.heappush(events, (born[number] + late, -1, place, number))
        if self.restarts:
            at = start + draw.uniform(0.3, 0.9) * WARM_MS
            for place in draw.sample(range(self.count), max(1, round(self.restarts * self.count))):
                heapq.heappush(events, (at + draw.random() * WINDOW_MS, -2, place, 0))
        return self._run(events, born, draw, start + WARM_MS)

    def _arrivals(self, draw: random.Random, start: float, uneven: list[float]) -> list[tuple[float, int, int, int]]:
        events, at, order = list[tuple[float, int, int, int]](), start, 0
        places_of = draw.choices(range(self.count), uneven, k=int(3.0 * self.rate * WARM_MS) + 100)
        while (at := at + draw.expovariate(self.rate)) < start + WARM_MS and order < len(places_of):
            events.append((at, order, places_of[order], 0))
            order += 1
        return events  # in order, which is a heap

    def _run(
        self, events: list[tuple[float, int, int, int]], born: dict[int, float], draw: random.Random, end: float
    ) -> tuple[float, float]:
        ramps, worst, looked = {number: Ramp() for number in born}, -math.inf, dict[int, float]()
        down, order, heard = dict[int, float](), 1_000_000, list[tuple[int, int]]()
        while events:
            now, what, place, number = heapq.heappop(events)
            if now >= end:
                break
            process = self.processes[place]
            if what == -2:
                self.processes[place] = process = self._process(place, now + DOWN_MS)
                down[place] = now + DOWN_MS
                for known in [n for p, n in heard if p == place]:
                    heapq.heappush(events, (now + DOWN_MS, -1, place, known))
                continue
            if now < down.get(place, 0.0):
                continue
            if what == -1:
                heard.append((place, number))
                process.hear(now, EngineEntry(number, 0, 0, 0, 1, 1.0, born[number]))
            elif what < 1_000_000:
                heapq.heappush(process.held, self._request(draw, now, what))
            else:
                looked.pop(place, None)
            for known in born:
                for job in process.take(now, known):
                    n, most = allowance(now - born[known], self.mean)
                    worst = max(worst, ramps[known].add(now, job.work) / most - 1.0)
            if process.held and place not in looked:
                looked[place], order = now, order + 1
                heapq.heappush(events, (now + EXAMINE_MS, order, place, 0))
        steps = [allowance(age, self.mean)[0] / WINDOW_MS for age in range(0, int(WARM_MS), 10)]
        offered = sum(10.0 * step for step in steps)
        used = fmean(ramp.sums[-1] / offered for ramp in ramps.values())
        return worst, used

    def _request(self, draw: random.Random, now: float, order: int) -> tuple[float, int, SimpleNamespace]:
        cls = int(draw.random() >= SMALL_PART)
        mean = self.processes[0].controller.settings.classes[cls]
        usual = mean.latency_objective_ms * mean.threads / 2.0
        work = usual * math.exp(draw.gauss(-(SPREAD**2) / 2.0, SPREAD))
        cost = work * math.exp(draw.gauss(0.0, UNSURE)) if self.hints else usual
        job = SimpleNamespace(
            cost_ms=cost,
            cost_estimate_ms=cost if self.hints else 0.0,
            cls=cls,
            attempts=(),
            gone=now + PATIENCE_MS,
            work=work / self.mean,
        )
        return cost, order, job


def measure(way: str, count: int, seeds: int, args: argparse.Namespace) -> dict[str, float | int | str]:
    """Run a number of seeded ramps of one way to share.

    Return the part of runs in which a window's work exceeded the allowance, the most work in a window as a multiple of
    its allowance, and the mean part of N that was used.
    """
    fleet = Fleet(way, count, args.mean, not args.no_hints, args.restarts, args.engines, args.each)
    runs = [fleet.ramp(seed) for seed in range(1, seeds + 1)]
    return {
        "way": way,
        "processes": count,
        "seeds": seeds,
        "over": sum(worst > 0.0 for worst, _ in runs) / seeds,
        "worst": round(1.0 + max(worst for worst, _ in runs), 3),
        "used": round(fmean(used for _, used in runs), 3),
    }


def main() -> None:
    """Measure each way at each count of processes and print one JSON object."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1_000)
    parser.add_argument("--counts", default="1,3,30,200")
    parser.add_argument("--ways", default=",".join(WAYS))
    parser.add_argument("--restarts", type=float, default=0.0)
    parser.add_argument("--mean", type=float, default=1_000.0)
    parser.add_argument("--engines", type=int, default=1)
    parser.add_argument("--each", type=float, default=EACH_PER_S)
    parser.add_argument("--no-hints", action="store_true")
    parser.add_argument("--json")
    args = parser.parse_args()
    rows = [
        measure(way, int(count), args.seeds, args) for count in args.counts.split(",") for way in args.ways.split(",")
    ]
    tell(
        {
            "seeds": args.seeds,
            "restarts": args.restarts,
            "mean_ms": args.mean,
            "hints": not args.no_hints,
            "engines": args.engines,
            "each_per_s": args.each,
            "rows": rows,
        },
        args.json,
    )


if __name__ == "__main__":
    main()
