"""How much workers gain from sharing knowledge: decision modules against model engines, in simulated time.

Four modules stand for four workers that get uneven parts of the load. Engines share 8 cores evenly among what runs;
one of six hangs for five seconds. The ways differ in what the modules hear of each other every 20 ms:
  blind      nothing; each uses every engine as if it were alone
  divided    nothing; each has a fourth of every engine, as four coordinators would
  load       divided, and the others' running attempts influence the choice of engine
  suspect    divided, and suspicion is shared
  both       divided, load and suspicion
  all        and the newest load reports (all that the workers' shared board has)
  one        a single module that decides for all

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

WORKERS, ENGINES, CORES, STEP, LENGTH = 4, 6, 8, 5.0, 20_000.0
PARTS = (0.55, 0.15, 0.15, 0.15)
HANGS = (0, 7_000.0, 12_000.0)  # which engine, from, to
WAYS = ("blind", "divided", "load", "suspect", "both", "all", "one")


class World:
    """One seeded run of a way: modules, clients and model engines in simulated time (ms), in steps of STEP."""

    def __init__(self, way: str, seed: int, load: float) -> None:
        self.way, self.draw, self.load = way, random.Random(seed), load
        base = read_settings(flatten(coordinator_config([])["settings"]))
        self.count = 1 if way == "one" else WORKERS
        divided = WORKERS if way not in ("blind", "one") else 1
        self.modules = [
            Controller(
                dataclasses.replace(base, coordinators=divided, number=n if divided > 1 else 0, workers=divided),
                seed * 10 + n,
            )
            for n in range(self.count)
        ]
        self.base, self.timers, self.order = base, list[tuple[float, int, int, Any]](), 0
        # By worker and request: work left, attempt, when it was sent.
        self.running: list[dict[tuple[int, int], list[float]]] = [{} for _ in range(ENGINES)]
        self.asks: dict[int, tuple[int, float, float]] = {}  # worker, arrived, work
        self.tries: dict[int, int] = {}
        self.took: list[float] = []
        self.asked = self.in_aim = self.lost = self.to_hung = self.most = 0
        self.now = 1_000_000.0

    def tell(self, worker: int, event: policy.Event) -> None:
        """Give an event to a worker's module and carry out its actions."""
        for action in self.modules[worker].handle(self.now, event):
            self.do(worker, action)

    def at(self, due: float, worker: int, what: Any) -> None:
        """Schedule an event for a worker's module at a time (ms)."""
        self.order += 1
        heapq.heappush(self.timers, (due, self.order, worker, what))

    def do(self, worker: int, action: policy.Action) -> None:
        """Carry out an action: send, cancel, final answer without a result, timer or health check; ignore others."""
        if isinstance(action, policy.StartAttempt):
            attempt = self.tries.get(action.request, -1) + 1
            self.tries[action.request] = attempt
            work = self.asks[action.request][2]
            self.running[action.engine][worker, action.request] = [work, attempt, self.now]
            self.most = max(self.most, len(self.running[action.engine]))
            self.to_hung += action.engine == HANGS[0] and self.hung()
        elif isinstance(action, policy.CancelAttempt):
            for engine in range(ENGINES):
                if (query := self.running[engine].pop((worker, action.request), None)) is not None:
                    self.at(
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
            self.lost += 1
        elif isinstance(action, policy.SetTimer):
            self.at(action.due_at_ms, worker, policy.TimerFired(action.token))
        elif isinstance(action, policy.RunHealthCheck):
            silent = action.engine == HANGS[0] and self.hung()
            self.at(
                self.now + (500.0 if silent else 1.0),
                worker,
                policy.HealthCheckCompleted(
                    action.engine, AttemptOutcome.TIMEOUT if silent else AttemptOutcome.OK, 1.0, ()
                ),
            )

    def hung(self) -> bool:
        """Tell whether the engine HANGS[0] hangs now."""
        return HANGS[1] <= self.now - self.start < HANGS[2]

    def arrive(self) -> None:
        """Draw the requests of one step, by the load as a part of all cores, and give each to a worker's module."""
        rate = self.load * ENGINES * CORES / 260.0  # queries a millisecond at that mean work
        for _ in range(sum(self.draw.random() < rate * STEP / 8 for _ in range(8))):
            request = self.asked = self.asked + 1
            worker = 0 if self.way == "one" else self.draw.choices(range(WORKERS), PARTS)[0]
            work = min(4000.0, self.draw.lognormvariate(math.log(160.0), 1.0))
            self.asks[request] = (worker, self.now, work)
            hint = work * self.draw.lognormvariate(0.0, 0.3)
            self.tell(worker, policy.RequestArrived(request, 0, 0, 0, 7500.0, hint, 64.0, 0.0))

    def serve(self) -> None:
        """Run all attempts for one step; end those that are done, and note progress of others about every 500 ms."""
        for engine, running in enumerate(self.running):
            if not running or (engine == HANGS[0] and self.hung()):
                continue
            pace = STEP * min(1.0, CORES / len(running))
            for (worker, request), query in list(running.items()):
                query[0] -= pace
                if query[0] <= 0:
                    del running[worker, request]
                    _, arrived, _ = self.asks[request]
                    self.took.append(self.now - arrived)
                    self.in_aim += self.now - arrived <= 1500.0
                    busy = min(1.0, len(running) / CORES)
                    self.tell(
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
                            (busy, 0.0, busy / 4),
                        ),
                    )
                elif int(self.now - query[2]) % 500 < STEP:
                    done = 1.0 - query[0] / self.asks[request][2]
                    self.tell(
                        worker,
                        policy.ProgressReported(request, int(query[1]), engine, ProgressKind.PROGRESS, max(0.01, done)),
                    )

    def share(self) -> None:
        """Give each module the state of the others as far as this way shares it, in the form that link.py gives it."""
        if self.way in ("blind", "divided", "one"):
            return
        for me in range(self.count):
            words = []
            for engine in range(ENGINES):
                others = [m.engines[engine] for n, m in enumerate(self.modules) if n != me]
                newest = max(others, key=lambda e: e.load_report_at_ms)
                report = self.way == "all" and math.isfinite(newest.load_report_at_ms)
                words.append(
                    WorkerLoad(
                        engine,
                        sum(e.threads for e in others) if self.way != "suspect" else 0,
                        sum(e.granted_mb for e in others),
                        self.way != "load" and any(e.ejected and not e.ejected_by_peer for e in others),
                        0.25,
                        (0.5, 0.0, newest.other_memory_ratio) if report else (),
                        self.now - newest.load_report_at_ms if report else 0.0,
                    )
                )
            self.tell(me, policy.WorkerLoadReported(tuple(words)))

    def run(self) -> dict[str, float]:
        """Run for LENGTH ms and return the parts answered within 1.5 s and given up, and the response times (ms).

        Also how many attempts went to the hung engine meanwhile, and the most that ran at one engine.
        """
        self.start = self.now
        for worker in range(self.count):
            self.tell(
                worker,
                policy.EndpointListUpdated(
                    EndpointListKind.CACHED, 1, tuple(EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0) for n in range(ENGINES))
                ),
            )
        step = 0
        while self.now - self.start < LENGTH:
            self.now, step = self.now + STEP, step + 1
            while self.timers and self.timers[0][0] <= self.now:
                _, _, worker, event = heapq.heappop(self.timers)
                self.tell(worker, event)
            self.arrive()
            self.serve()
            if step % 4 == 0:
                self.share()
        took = sorted(self.took)
        return {
            "in aim": self.in_aim / self.asked,
            "p50": took[len(took) // 2],
            "p99": took[int(0.99 * len(took))],
            "given up": self.lost / self.asked,
            "to the hung": self.to_hung,
            "most at one": self.most,
        }


def main() -> None:
    """Run all ways over the seeds and print a table of the means."""
    seeds, load = int((sys.argv[1:] or ["6"])[0]), float((sys.argv[2:] or ["0.75"])[0])
    print(f"{'way':<10}{'in aim':>8}{'p50 ms':>8}{'p99 ms':>8}{'given up':>10}{'to the hung':>13}{'most at one':>13}")
    for way in WAYS:
        rows = [World(way, seed, load).run() for seed in range(seeds)]
        row = {key: mean(r[key] for r in rows) for key in rows[0]}
        print(
            f"{way:<10}{row['in aim']:>8.3f}{row['p50']:>8.0f}{row['p99']:>8.0f}{row['given up']:>10.3f}"
            f"{row['to the hung']:>13.1f}{row['most at one']:>13.1f}"
        )


if __name__ == "__main__":
    main()
