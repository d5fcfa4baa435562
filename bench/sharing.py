"""Measures what workers gain from sharing state: decision modules against model engines, in simulated time.

Four modules represent four workers with uneven shares of the load. Each engine divides its 8 cores evenly among its
running queries; one of six engines hangs for five seconds. The strategies differ in what the modules exchange every
20 ms:
  blind      nothing; each uses every engine as if it were the only worker
  divided    nothing; each has a fourth of every engine, as four coordinators would
  load       divided; running attempts of other workers influence the choice of engine
  suspect    divided; suspicions are shared
  both       divided; running attempts and suspicions are shared
  all        as both, and the newest load reports are shared, as on the workers' shared board
  one        a single module decides for all workers

    PYTHONPATH=. python bench/sharing.py [SEEDS] [LOAD]
"""

from __future__ import annotations

import dataclasses
import heapq
import math
import random
import sys
from statistics import mean
from typing import Any

from frostspindle import policy
from frostspindle.lab.engines import coordinator_config
from frostspindle.policy import AttemptOutcome, Controller, EndpointListKind, EngineEntry, ProgressKind, WorkerLoad
from frostspindle.policy.settings_parser import flatten, read_settings

WORKERS, ENGINES, CORES, STEP_MS, DURATION_MS = 4, 6, 8, 5.0, 20_000.0
WORKER_SHARES = (0.55, 0.15, 0.15, 0.15)
HANG = (0, 7_000.0, 12_000.0)  # engine, begin and end (ms)
STRATEGIES = ("blind", "divided", "load", "suspect", "both", "all", "one")


class Simulation:
    """One seeded run of a strategy: modules, clients and model engines in simulated time, in steps of STEP_MS."""

    def __init__(self, strategy: str, seed: int, load: float) -> None:
        self.strategy, self.rng, self.load = strategy, random.Random(seed), load
        base = read_settings(flatten(coordinator_config([])["settings"]))
        self.worker_count = 1 if strategy == "one" else WORKERS
        divided = WORKERS if strategy not in ("blind", "one") else 1
        self.modules = [
            Controller(
                dataclasses.replace(base, coordinators=divided, number=n if divided > 1 else 0, workers=divided),
                seed * 10 + n,
            )
            for n in range(self.worker_count)
        ]
        self.base, self.timers, self.sequence = base, list[tuple[float, int, int, Any]](), 0
        # For each engine, by worker and request: remaining work (ms), attempt number, start time.
        self.running: list[dict[tuple[int, int], list[float]]] = [{} for _ in range(ENGINES)]
        self.requests: dict[int, tuple[int, float, float]] = {}  # worker, arrived, work
        self.attempt_numbers: dict[int, int] = {}
        self.response_times_ms: list[float] = []
        self.arrived = self.within_objective = self.failed = self.attempts_to_hung = self.max_running = 0
        self.now = 1_000_000.0

    def deliver(self, worker: int, event: policy.Event) -> None:
        """Pass an event to a worker's module and execute the resulting actions."""
        for action in self.modules[worker].handle(self.now, event):
            self.execute(worker, action)

    def schedule(self, due_at_ms: float, worker: int, event: Any) -> None:
        """Schedule an event for a worker's module."""
        self.sequence += 1
        heapq.heappush(self.timers, (due_at_ms, self.sequence, worker, event))

    def execute(self, worker: int, action: policy.Action) -> None:
        """Execute an action: start or cancel an attempt, fail a request, set a timer, check health; ignore others."""
        if isinstance(action, policy.StartAttempt):
            attempt = self.attempt_numbers.get(action.request, -1) + 1
            self.attempt_numbers[action.request] = attempt
            work_ms = self.requests[action.request][2]
            self.running[action.engine][worker, action.request] = [work_ms, attempt, self.now]
            self.max_running = max(self.max_running, len(self.running[action.engine]))
            self.attempts_to_hung += action.engine == HANG[0] and self.is_hung()
        elif isinstance(action, policy.CancelAttempt):
            for engine in range(ENGINES):
                if (query := self.running[engine].pop((worker, action.request), None)) is not None:
                    self.schedule(
                        self.now,
                        worker,
                        policy.AttemptEnded(
                            action.request,
                            int(query[1]),
                            engine,
                            AttemptOutcome.CANCELLED,
                            self.now - query[2],
                            False,
                            0.0,
                            0.0,
                            (),
                        ),
                    )
        elif isinstance(action, (policy.RejectRequest, policy.FailRequest)):
            self.failed += 1
        elif isinstance(action, policy.SetTimer):
            self.schedule(action.due_at_ms, worker, policy.TimerFired(action.token))
        elif isinstance(action, policy.RunHealthCheck):
            is_hung = action.engine == HANG[0] and self.is_hung()
            self.schedule(
                self.now + (500.0 if is_hung else 1.0),
                worker,
                policy.HealthCheckCompleted(
                    action.engine, AttemptOutcome.TIMEOUT if is_hung else AttemptOutcome.OK, 1.0, ()
                ),
            )

    def is_hung(self) -> bool:
        """Return whether the engine HANG[0] hangs now."""
        return HANG[1] <= self.now - self.start_ms < HANG[2]

    def arrive(self) -> None:
        """Draw the requests of one step, for the load as a share of all cores; pass each to a worker's module."""
        requests_per_ms = self.load * ENGINES * CORES / 260.0  # 260 ms is the mean work of a query
        for _ in range(sum(self.rng.random() < requests_per_ms * STEP_MS / 8 for _ in range(8))):
            request = self.arrived = self.arrived + 1
            worker = 0 if self.strategy == "one" else self.rng.choices(range(WORKERS), WORKER_SHARES)[0]
            work_ms = min(4000.0, self.rng.lognormvariate(math.log(160.0), 1.0))
            self.requests[request] = (worker, self.now, work_ms)
            cost_estimate_ms = work_ms * self.rng.lognormvariate(0.0, 0.3)
            self.deliver(worker, policy.RequestArrived(request, 0, 0, 0, 7500.0, cost_estimate_ms, 64.0, 0.0))

    def serve(self) -> None:
        """Run all attempts for one step; end the completed ones, report progress of others about every 500 ms."""
        for engine, running in enumerate(self.running):
            if not running or (engine == HANG[0] and self.is_hung()):
                continue
            progress_ms = STEP_MS * min(1.0, CORES / len(running))
            for (worker, request), query in list(running.items()):
                query[0] -= progress_ms
                if query[0] <= 0:
                    del running[worker, request]
                    _, arrived, _ = self.requests[request]
                    self.response_times_ms.append(self.now - arrived)
                    self.within_objective += self.now - arrived <= 1500.0
                    load = min(1.0, len(running) / CORES)
                    self.deliver(
                        worker,
                        policy.AttemptEnded(
                            request,
                            int(query[1]),
                            engine,
                            AttemptOutcome.OK,
                            self.now - query[2],
                            True,
                            0.0,
                            0.0,
                            (load, 0.0, load / 4),
                        ),
                    )
                elif int(self.now - query[2]) % 500 < STEP_MS:
                    progress = 1.0 - query[0] / self.requests[request][2]
                    self.deliver(
                        worker,
                        policy.ProgressReported(
                            request, int(query[1]), engine, ProgressKind.PROGRESS, max(0.01, progress)
                        ),
                    )

    def share(self) -> None:
        """Report to each module the state of the others that the strategy shares, as the worker link does."""
        if self.strategy in ("blind", "divided", "one"):
            return
        for worker in range(self.worker_count):
            loads = []
            for engine in range(ENGINES):
                others = [module.engines[engine] for n, module in enumerate(self.modules) if n != worker]
                newest = max(others, key=lambda entry: entry.load_report_at_ms)
                has_report = self.strategy == "all" and math.isfinite(newest.load_report_at_ms)
                loads.append(
                    WorkerLoad(
                        engine,
                        sum(entry.threads for entry in others) if self.strategy != "suspect" else 0,
                        sum(entry.granted_mb for entry in others),
                        self.strategy != "load"
                        and any(entry.ejected and not entry.ejected_by_peer for entry in others),
                        0.25,
                        (0.5, 0.0, newest.other_memory_ratio) if has_report else (),
                        self.now - newest.load_report_at_ms if has_report else 0.0,
                    )
                )
            self.deliver(worker, policy.WorkerLoadReported(tuple(loads)))

    def run(self) -> dict[str, float]:
        """Run for DURATION_MS; return the shares answered within 1.5 s and failed, and the response times (ms).

        Also return the number of attempts sent to the engine while it hung, and the most concurrent attempts at one
        engine.
        """
        self.start_ms = self.now
        for worker in range(self.worker_count):
            self.deliver(
                worker,
                policy.EndpointListUpdated(
                    EndpointListKind.CACHED, 1, tuple(EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0) for n in range(ENGINES))
                ),
            )
        step = 0
        while self.now - self.start_ms < DURATION_MS:
            self.now, step = self.now + STEP_MS, step + 1
            while self.timers and self.timers[0][0] <= self.now:
                _, _, worker, event = heapq.heappop(self.timers)
                self.deliver(worker, event)
            self.arrive()
            self.serve()
            if step % 4 == 0:
                self.share()
        response_times_ms = sorted(self.response_times_ms)
        return {
            "in aim": self.within_objective / self.arrived,
            "p50": response_times_ms[len(response_times_ms) // 2],
            "p99": response_times_ms[int(0.99 * len(response_times_ms))],
            "given up": self.failed / self.arrived,
            "to the hung": self.attempts_to_hung,
            "most at one": self.max_running,
        }


def main() -> None:
    """Run all strategies over the seeds and print a table of the means."""
    seeds, load = int((sys.argv[1:] or ["6"])[0]), float((sys.argv[2:] or ["0.75"])[0])
    print(f"{'way':<10}{'in aim':>8}{'p50 ms':>8}{'p99 ms':>8}{'given up':>10}{'to the hung':>13}{'most at one':>13}")
    for strategy in STRATEGIES:
        rows = [Simulation(strategy, seed, load).run() for seed in range(seeds)]
        row = {key: mean(run[key] for run in rows) for key in rows[0]}
        print(
            f"{strategy:<10}{row['in aim']:>8.3f}{row['p50']:>8.0f}{row['p99']:>8.0f}{row['given up']:>10.3f}"
            f"{row['to the hung']:>13.1f}{row['most at one']:>13.1f}"
        )


if __name__ == "__main__":
    main()
