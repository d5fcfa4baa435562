"""Compares strategies that divide a cold engine's slow-start budget among processes without communication.

Simulates seeded ramps. An engine starts and warms up; each process discovers it after an individual delay, has Poisson
arrivals at an individual rate, and checks with the decision module (`SlowStart.allows`) whether a queued request may be
sent there. Other strategies replace its `SlowStart.remaining_ms`. Work is lognormal; the module knows only an estimate.
At every send, the true work of the last window is compared with N + 2 x root of N + 2 (N < 30: N + 3 x root of N + 3),
in requests of mean work.

Strategies: shares   equal shares
            draws    random turns, drawn independently by each process
            turns    the module's: turns of a few processes and of one in alternate windows, by rank and time; equal
                     shares if a share holds a query
            carried  equal shares; unused budget is carried over, up to two small queries
            places   as turns, but in an order given by a hash of engine, window and rank
            paced    as turns, but each send reserves a time slot within the turn

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

from bench.common import write_result
from frostspindle import policy
from frostspindle.policy import ClassSettings, Controller, EndpointListKind, EngineEntry, Idempotency
from frostspindle.policy.controller import EXAMINE_MS
from frostspindle.policy.slow_start import SLOW_START_SAFETY

WARM_MS, WINDOW_MS, OVERLOAD_RATIO, START_CAPACITY, ENGINE_CORES = 6_000.0, 1_000.0, 4.0, 0.3, 8.0
MAX_DISCOVERY_DELAY_MS, CLIENT_TIMEOUT_MS, DOWN_MS = 7_000.0, 400.0, 300.0
# Standard deviations of the logarithms of work, of estimates and of the processes' arrival rates.
WORK_SIGMA, ESTIMATE_SIGMA, RATE_SIGMA = 1.0, 0.3, 0.8
SMALL_SHARE, SMALL_MEAN_RATIO = 0.8, 0.4  # share of small requests; their mean work relative to that of all
# Total arrival rate as a multiple of a warm engine's budget, and its lower bound for each process.
DEMAND_RATIO, MIN_RATE_PER_PROCESS_PER_S = 1.5, 0.5
# Budget of a warm engine for one window, as the decision module computes it.
WARM_BUDGET_MS = 0.85 * ENGINE_CORES * WINDOW_MS * OVERLOAD_RATIO
STRATEGIES = ("shares", "draws", "turns", "carried", "places", "paced")


def settings(count: int, number: int, mean: float) -> policy.Settings:
    """Return the settings of process `number` of `count`, with a small and a large class of requests.

    The mean work of all requests is `mean` ms; SMALL_SHARE of them are small.
    """
    small = SMALL_MEAN_RATIO * mean
    large = (mean - SMALL_SHARE * small) / (1.0 - SMALL_SHARE)
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
        kind_cores=(ENGINE_CORES,),
        slow_start_capacity=START_CAPACITY,
        slow_start_duration_ms=WARM_MS,
        slow_start_overload_ratio=OVERLOAD_RATIO,
        slow_start_window_ms=WINDOW_MS,
    )


def allowance(age: float, mean: float) -> tuple[float, float]:
    """Return the base N of a window at an engine `age` ms after its start, and N plus the statistical tolerance.

    Both are in requests of mean work, for the most cautious ramp, as in the decision module.
    """
    capacity = START_CAPACITY + (1.0 - START_CAPACITY) * min(1.0, age / WARM_MS) ** 2
    base = OVERLOAD_RATIO * ENGINE_CORES * capacity * WINDOW_MS / mean
    root = math.sqrt(base)
    return base, base + (2.0 * root + 2.0 if base >= 30.0 else 3.0 * root + 3.0)


class Process:
    """One process: the decision module that enforces slow start, and a queue of waiting requests, smallest first."""

    def __init__(self, strategy: str, count: int, number: int, mean: float, now: float) -> None:
        self.strategy, self.seed = strategy, 0
        self.controller = Controller(settings(count, number, mean), number)
        self.controller.handle(now, policy.EndpointListUpdated(EndpointListKind.FULL, 1, ()))  # starts the controller
        self.queue = list[tuple[float, int, SimpleNamespace]]()
        if strategy != "turns":
            remaining_ms = functools.partial(getattr(self, f"_{strategy}"))
            self.controller.slow_start.remaining_ms = remaining_ms  # type: ignore[method-assign]
        self.tokens, self.tokens_at_ms, self.free_at_ms = dict[int, float](), dict[int, float](), dict[int, float]()

    def update_endpoint(self, now: float, entry: EngineEntry) -> None:
        """Report a change of the endpoint list to the controller."""
        self.controller.handle(now, policy.EndpointListUpdated(EndpointListKind.DELTA, 1, (entry,)))

    def release_requests(self, now: float, number: int) -> list[SimpleNamespace]:
        """Remove and return the queued requests that may be sent to the engine now; drop expired ones."""
        engine = self.controller.engines.get(number)
        if engine is None or not engine.in_slow_start(now):
            return []
        released = []
        while self.queue:
            job = self.queue[0][2]
            if job.expires_at_ms <= now:
                heapq.heappop(self.queue)
            elif self.controller.slow_start.allows(job, engine, now):
                heapq.heappop(self.queue)
                work_ms = self.controller.slow_start.work_ms(job)
                engine.slow_start_sends.add(now, work_ms)
                self.tokens[number] = self.tokens.get(number, 0.0) - work_ms
                if self.strategy == "paced":
                    self.free_at_ms[number] = now + work_ms / self._work_per_ms
                released.append(job)
            else:
                break
        return released

    # The other strategies: replacements of `SlowStart.remaining_ms`.

    def _budget_ms(self, engine: object, now: float) -> float:
        controller = self.controller
        return controller.slow_start.budget_ms(engine, now) / SLOW_START_SAFETY[controller.fractional_share]  # type: ignore[arg-type]

    def _sent_ms(self, engine: object, now: float) -> float:
        return engine.slow_start_sends.total(now - WINDOW_MS)  # type: ignore[attr-defined,no-any-return]

    def _shares(self, engine: object, now: float) -> float:
        budget_ms = SLOW_START_SAFETY[0] * self._budget_ms(engine, now)
        return budget_ms / self.controller.settings.coordinators - self._sent_ms(engine, now)

    def _carried(self, engine: object, now: float) -> float:
        controller, engine_id = self.controller, engine.id  # type: ignore[attr-defined]
        share_ms = SLOW_START_SAFETY[0] * self._budget_ms(engine, now) / controller.settings.coordinators
        max_tokens = max(share_ms, 2.0 * min(controller.estimates.mean_costs_ms))
        tokens = (
            self.tokens.get(engine_id, share_ms) + share_ms * (now - self.tokens_at_ms.get(engine_id, now)) / WINDOW_MS
        )
        self.tokens[engine_id], self.tokens_at_ms[engine_id] = min(max_tokens, tokens), now
        return self.tokens[engine_id]

    def _remaining_in_turn(self, engine: object, now: float, has_turn: Callable[[int, int, int], bool]) -> float:
        controller, engine_id = self.controller, engine.id  # type: ignore[attr-defined]
        if not controller.fractional_share:
            return self._shares(engine, now)
        budget_ms, count = SLOW_START_SAFETY[1] * self._budget_ms(engine, now), controller.settings.coordinators
        slot = int(now / WINDOW_MS) + engine_id
        turn_size = 1 if slot % 2 else min(count // 2, int(budget_ms / min(controller.estimates.mean_costs_ms)))
        if turn_size < 1 or not has_turn(slot, turn_size, engine_id):
            return -math.inf
        return budget_ms / max(1.0, turn_size / 2.0) - self._sent_ms(engine, now)

    def _draws(self, engine: object, now: float) -> float:
        count, own_number = self.controller.settings.coordinators, self.controller.settings.number
        return self._remaining_in_turn(
            engine,
            now,
            lambda slot, turn_size, engine_id: (
                random.Random(f"{self.seed} {slot} {engine_id} {own_number}").random() < turn_size / count
            ),
        )

    def _places(self, engine: object, now: float) -> float:
        count, own_number = self.controller.settings.coordinators, self.controller.settings.number
        return self._remaining_in_turn(
            engine, now, lambda slot, turn_size, engine_id: own_number in turn_order(slot, engine_id, count)[:turn_size]
        )

    def _paced(self, engine: object, now: float) -> float:
        """Each send reserves time in proportion to its work; a window's reservations may exceed it by one request."""
        controller, engine_id = self.controller, engine.id  # type: ignore[attr-defined]
        count, slot = controller.settings.coordinators, int(now / WINDOW_MS) + engine_id
        budget_ms = PACED_SAFETY * self._budget_ms(engine, now)
        turn_size = (
            1 if slot % 2 else max(1, min(count // 2, int(budget_ms / controller.estimates.mean_costs_ms[0] / 3)))
        )
        turn_size = turn_size if controller.fractional_share else count
        if controller.fractional_share and (slot // 2 * turn_size + controller.settings.number) % count >= turn_size:
            return -math.inf
        self._work_per_ms = budget_ms / turn_size / WINDOW_MS
        if now < self.free_at_ms.get(engine_id, -math.inf):
            return 0.0
        return self._work_per_ms * (WINDOW_MS - now % WINDOW_MS if controller.fractional_share else WINDOW_MS)


PACED_SAFETY = 0.9


@functools.lru_cache(maxsize=64)
def turn_order(slot: int, engine: int, count: int) -> list[int]:
    """Return the coordinators in the pseudo-random order in which they have a turn at the engine in that window."""
    return sorted(range(count), key=lambda number: random.Random(f"{slot} {engine} {number}").random())


@dataclass
class Ramp:
    """Sends to one engine: their times, and the cumulative true work in requests of mean work."""

    sent_at_ms: list[float] = field(default_factory=list)
    work: list[float] = field(default_factory=list)
    cumulative_work: list[float] = field(default_factory=lambda: [0.0])

    def add(self, now: float, work: float) -> float:
        """Record a send and return the work of the window that ends now."""
        self.sent_at_ms.append(now)
        self.cumulative_work.append(self.cumulative_work[-1] + work)
        return self.cumulative_work[-1] - self.cumulative_work[bisect_left(self.sent_at_ms, now - WINDOW_MS)]


class Fleet:
    """The processes of one strategy; ramps run one after another on one timeline, so that modules are reused."""

    def __init__(
        self, strategy: str, count: int, mean: float, hints: bool, restarts: float, engines: int, min_rate_per_s: float
    ) -> None:
        self.strategy, self.count, self.mean, self.hints, self.restarts = strategy, count, mean, hints, restarts
        self.engine_count = engines
        self.now, self.first_engine = 1_700_000_000_000.0, 1
        self.rate = max(
            DEMAND_RATIO * engines * allowance(WARM_MS, mean)[0] / WINDOW_MS, min_rate_per_s * count / 1_000.0
        )
        self.processes = [self._process(number, self.now - 60_000.0) for number in range(count)]

    def _process(self, number: int, now: float) -> Process:
        return Process(self.strategy, self.count, number, self.mean, now)

    def ramp(self, seed: int) -> tuple[float, float]:
        """Run one ramp; return the worst excess over the allowance, relative to it, and the used share of N."""
        rng, start_ms, engine_ids = (
            random.Random(seed),
            self.now,
            range(self.first_engine, self.first_engine + self.engine_count),
        )
        self.now, self.first_engine = start_ms + 60_000.0, self.first_engine + self.engine_count + 1
        rate_weights = [math.exp(rng.gauss(0.0, RATE_SIGMA)) for _ in self.processes]
        events, started_at_ms = self._arrivals(rng, start_ms, rate_weights), dict[int, float]()
        for process in self.processes:
            process.seed = seed * 1_000 + process.controller.settings.number
            process.queue, process.controller.state.engines = [], {}
            process.controller.last_event_at_ms = start_ms
        for engine_id in engine_ids:
            started_at_ms[engine_id] = start_ms + rng.random() * WINDOW_MS * (self.engine_count > 1)
            for index in range(self.count):  # 80% within a tenth of the maximum delay
                delay_ms = MAX_DISCOVERY_DELAY_MS * (rng.random() if rng.random() < 0.2 else 0.1 * rng.random())
                heapq.heappush(events, (started_at_ms[engine_id] + delay_ms, -1, index, engine_id))
        if self.restarts:
            restart_at_ms = start_ms + rng.uniform(0.3, 0.9) * WARM_MS
            for index in rng.sample(range(self.count), max(1, round(self.restarts * self.count))):
                heapq.heappush(events, (restart_at_ms + rng.random() * WINDOW_MS, -2, index, 0))
        return self._run(events, started_at_ms, rng, start_ms + WARM_MS)

    def _arrivals(
        self, rng: random.Random, start_ms: float, rate_weights: list[float]
    ) -> list[tuple[float, int, int, int]]:
        events, arrives_at_ms, order = list[tuple[float, int, int, int]](), start_ms, 0
        processes = rng.choices(range(self.count), rate_weights, k=int(3.0 * self.rate * WARM_MS) + 100)
        while (arrives_at_ms := arrives_at_ms + rng.expovariate(self.rate)) < start_ms + WARM_MS and order < len(
            processes
        ):
            events.append((arrives_at_ms, order, processes[order], 0))
            order += 1
        return events  # sorted by time, hence a valid heap

    def _run(
        self,
        events: list[tuple[float, int, int, int]],
        started_at_ms: dict[int, float],
        rng: random.Random,
        end_ms: float,
    ) -> tuple[float, float]:
        ramps, worst_excess, examined_at_ms = (
            {number: Ramp() for number in started_at_ms},
            -math.inf,
            dict[int, float](),
        )
        down_until_ms, order, discovered = dict[int, float](), 1_000_000, list[tuple[int, int]]()
        while events:
            now, kind, index, number = heapq.heappop(events)
            if now >= end_ms:
                break
            process = self.processes[index]
            if kind == -2:
                self.processes[index] = process = self._process(index, now + DOWN_MS)
                down_until_ms[index] = now + DOWN_MS
                for engine_id in [known_id for known_by, known_id in discovered if known_by == index]:
                    heapq.heappush(events, (now + DOWN_MS, -1, index, engine_id))
                continue
            if now < down_until_ms.get(index, 0.0):
                continue
            if kind == -1:
                discovered.append((index, number))
                process.update_endpoint(now, EngineEntry(number, 0, 0, 0, 1, 1.0, started_at_ms[number]))
            elif kind < 1_000_000:
                heapq.heappush(process.queue, self._request(rng, now, kind))
            else:
                examined_at_ms.pop(index, None)
            for engine_id in started_at_ms:
                for job in process.release_requests(now, engine_id):
                    base, allowed = allowance(now - started_at_ms[engine_id], self.mean)
                    worst_excess = max(worst_excess, ramps[engine_id].add(now, job.work) / allowed - 1.0)
            if process.queue and index not in examined_at_ms:
                examined_at_ms[index], order = now, order + 1
                heapq.heappush(events, (now + EXAMINE_MS, order, index, 0))
        steps = [allowance(age, self.mean)[0] / WINDOW_MS for age in range(0, int(WARM_MS), 10)]
        offered = sum(10.0 * step for step in steps)
        used = fmean(ramp.cumulative_work[-1] / offered for ramp in ramps.values())
        return worst_excess, used

    def _request(self, rng: random.Random, now: float, order: int) -> tuple[float, int, SimpleNamespace]:
        cls = int(rng.random() >= SMALL_SHARE)
        settings = self.processes[0].controller.settings.classes[cls]
        mean_ms = settings.latency_objective_ms * settings.threads / 2.0
        work_ms = mean_ms * math.exp(rng.gauss(-(WORK_SIGMA**2) / 2.0, WORK_SIGMA))
        estimate_ms = work_ms * math.exp(rng.gauss(0.0, ESTIMATE_SIGMA)) if self.hints else mean_ms
        job = SimpleNamespace(
            cost_ms=estimate_ms,
            cost_estimate_ms=estimate_ms if self.hints else 0.0,
            cls=cls,
            attempts=(),
            expires_at_ms=now + CLIENT_TIMEOUT_MS,
            work=work_ms / self.mean,
        )
        return estimate_ms, order, job


def measure(strategy: str, count: int, seeds: int, args: argparse.Namespace) -> dict[str, float | int | str]:
    """Run a number of seeded ramps of one strategy.

    Return the share of runs in which a window's work exceeded its allowance, the most work in a window as a multiple of
    its allowance, and the mean used share of N.
    """
    fleet = Fleet(strategy, count, args.mean, not args.no_hints, args.restarts, args.engines, args.each)
    runs = [fleet.ramp(seed) for seed in range(1, seeds + 1)]
    return {
        "way": strategy,
        "processes": count,
        "seeds": seeds,
        "over": sum(worst > 0.0 for worst, _ in runs) / seeds,
        "worst": round(1.0 + max(worst for worst, _ in runs), 3),
        "used": round(fmean(used for _, used in runs), 3),
    }


def main() -> None:
    """Measure each strategy with each count of processes and print one JSON object."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=1_000)
    parser.add_argument("--counts", default="1,3,30,200")
    parser.add_argument("--ways", default=",".join(STRATEGIES))
    parser.add_argument("--restarts", type=float, default=0.0)
    parser.add_argument("--mean", type=float, default=1_000.0)
    parser.add_argument("--engines", type=int, default=1)
    parser.add_argument("--each", type=float, default=MIN_RATE_PER_PROCESS_PER_S)
    parser.add_argument("--no-hints", action="store_true")
    parser.add_argument("--json")
    args = parser.parse_args()
    rows = [
        measure(strategy, int(count), args.seeds, args)
        for count in args.counts.split(",")
        for strategy in args.ways.split(",")
    ]
    write_result(
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
