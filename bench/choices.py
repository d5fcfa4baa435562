"""The decision module alone, before and after a change: are its choices the same, and what does one cost?

    PYTHONPATH=. python bench/choices.py --base main [--engines 8,1000] [--open 100,10000] [--site plain]

A seeded world without sockets (arrivals, notes, reports, failures, silences, list changes, ordered loads, holds)
is played once against the module as it is at `--base`, read from git into a folder of its own. The events that it
met are then replayed to both modules, in slices that take turns; their actions are compared one by one. Owns the
world and the comparison. It must never decide anything, nor measure the world itself.
"""

from __future__ import annotations

import argparse
import cProfile
import dataclasses
import gc
import heapq
import importlib
import pstats
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from common import write_result

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, Idempotency

ROOT = Path(__file__).parent.parent
SITES = ("plain", "many", "priced", "stuck", "shed", "replaced", "replaced-many")


FORMER_PACKAGE = "pinstage"  # the package and class names of the module before it became frostspindle/policy
PACKAGE = "frostspindle/policy"
FORMER_NAMES = {
    "StartAttempt": "Send",
    "UpdatePriority": "Terms",
    "CancelAttempt": "Cancel",
    "RejectRequest": "Refuse",
    "FailRequest": "Fail",
    "RunHealthCheck": "Probe",
    "SetTimer": "Remind",
    "SubscribeEndpoints": "Watch",
    "WriteLog": "Log",
    "EndpointListUpdated": "EngineList",
    "RequestArrived": "Request",
    "ResponseStarted": "Started",
    "ProgressReported": "Note",
    "AttemptEnded": "Ended",
    "ClientDisconnected": "Left",
    "KeyOrderReached": "Turn",
    "TimerFired": "Due",
    "HealthCheckCompleted": "Probed",
    "WorkerLoad": "Peer",
    "WorkerLoadReported": "Peers",
}
CURRENT_NAMES = {former: current for current, former in FORMER_NAMES.items()}
ARRIVALS = ("Request", "RequestArrived")
FAILURES = (  # cumulative probability and outcome
    (0.004, AttemptOutcome.ERROR),
    (0.006, AttemptOutcome.RESET),
    (0.012, AttemptOutcome.OVERLOADED),
    (0.014, AttemptOutcome.CONNECT_FAILED),
    (0.016, AttemptOutcome.NOT_SENT),
)


class PolicyVersion:
    """One version of the decision module, imported under a separate package name.

    Records of both versions have the same fields in the same order, so they are built by position. Their classes are
    looked up by the current name.
    """

    def __init__(self, ref: str, name: str) -> None:
        """Import the module as of a git reference, or of the working tree for an empty one.

        Raise subprocess.CalledProcessError for an unknown reference.
        """
        self.name = name
        texts, package = read_working_tree() if not ref else read_revision(ref)
        folder = Path(tempfile.mkdtemp(prefix="choices-")) / name
        folder.mkdir()
        dotted = package.replace("/", ".")
        for file, text in texts.items():
            (folder / file).write_text(text.replace(f"from {dotted}", f"from {name}"))
        sys.path.insert(0, str(folder.parent))
        self.package = importlib.import_module(name)
        self.former = package == FORMER_PACKAGE
        self.records = importlib.import_module(f"{name}.interface") if self.former else self.package

    def record_class(self, name: str) -> Any:
        """Return the class of a record, by its current name."""
        return getattr(self.records, FORMER_NAMES.get(name, name) if self.former else name)

    def record_name(self, record: Any) -> str:
        """Return the current name of the class of an event or action."""
        name = type(record).__name__
        return CURRENT_NAMES.get(name, name) if self.former else name

    def convert(self, record: Any) -> Any:
        """Convert a record of any version to this version."""
        name = type(record).__name__
        return self.record_class(CURRENT_NAMES.get(name, name))(*record)

    def settings(self, name: str, **values: Any) -> Any:
        """Build ClassSettings or Settings from values by their current field names."""
        fields = dataclasses.fields(getattr(policy, name))
        last = max(number for number, field in enumerate(fields) if field.name in values)
        return self.record_class(name)(*(values.get(field.name, field.default) for field in fields[: last + 1]))


def read_working_tree() -> tuple[dict[str, str], str]:
    """Return the sources of the decision module in the working tree by file name, and the package folder."""
    return {path.name: path.read_text() for path in (ROOT / PACKAGE).glob("*.py")}, PACKAGE


def read_revision(ref: str) -> tuple[dict[str, str], str]:
    """Return the sources of the decision module at a git reference by file name, and the package folder there."""
    package = PACKAGE if git("ls-tree", ref, f"{PACKAGE}/") else FORMER_PACKAGE
    names = git("ls-tree", "--name-only", f"{ref}:{package}").split()
    return {name: git("show", f"{ref}:{package}/{name}") for name in names if name.endswith(".py")}, package


def git(*arguments: str) -> str:
    """Return the output of a git command; raise subprocess.CalledProcessError if it fails."""
    return subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True).stdout


CLASSES: tuple[dict[str, Any], ...] = (
    {
        "latency_objective_ms": 1000,
        "deadline_ms": 5000,
        "objective_stretch": 1.5,
        "idempotency": Idempotency.IDEMPOTENT,
    },
    {
        "latency_objective_ms": 2000,
        "deadline_ms": 20000,
        "objective_stretch": 2.5,
        "late_value_ratio": 0.4,
        "priority_weight": 6,
        "threads": 2,
        "idempotency": Idempotency.IDEMPOTENT,
        "blocked_by_loads": True,
    },
    {
        "latency_objective_ms": 3000,
        "deadline_ms": 25000,
        "late_value_ratio": 0.5,
        "priority_weight": 3,
        "threads": 2,
        "is_load": True,
        "in_order": True,
        "idempotency": Idempotency.NON_IDEMPOTENT,
    },
    {
        "latency_objective_ms": 3000,
        "deadline_ms": 25000,
        "threads": 2,
        "idempotency": Idempotency.WITH_KEY,
        "idempotency_window_ms": 5000,
        "dedup_scope": "zone",
    },
)


def settings(version: PolicyVersion, site: str) -> Any:
    """Return the settings of a scenario; an unknown name gives those of `plain`.

    Names with `many` configure one of 40 coordinators, each with a small part of the load; `priced` sets penalties
    for new connections and other zones. The others differ only in the load: `stuck` has many ordered loads of one
    group, `shed` exceeds the limit of open requests at each arrival, `replaced` replaces all engines by cold ones with
    new ids at every thousandth request.
    """
    is_small_fleet = "many" not in site
    return version.settings(
        "Settings",
        classes=tuple(version.settings("ClassSettings", **values) for values in CLASSES),
        coordinators=1 if is_small_fleet else 40,
        number=0 if is_small_fleet else 7,
        kind_cores=(8.0, 8.0),
        kind_memory_mb=(16384.0, 16384.0),
        max_grant_ratio=0.4,
        grants=True,
        priorities=True,
        reports_cost=True,
        progress_interval_ms=400.0,
        memory_shortage_mode="wait" if is_small_fleet else "page",
        load_report_columns=("concurrent", "x0"),
        load_reports_in_responses=True,
        may_cancel=True,
        retry_after=True,
        max_retry_after_ms=5000.0,
        max_attempts=4,
        slow_start_capacity=0.33,
        slow_start_duration_ms=15000.0,
        slow_start_overload_ratio=3.0,
        key_order_pause_ms=500.0,
        retry_budget_min=20.0,
        retry_budget_ratio=0.1,
        retry_budget_window_ms=5000.0,
        zone=0,
        connection_idle_ms=15000.0,
        handshake_penalty=0.08 if site == "priced" else 0.0,
        cross_zone_penalty=0.02 if site == "priced" else 0.0,
    )


def controller(version: PolicyVersion, site: str, seed: int, target: int) -> Any:
    """Return a controller of that version for the scenario; `shed` limits it to 90% of `target` open requests."""
    result = version.package.Controller(settings(version, site), seed)
    if site == "shed":
        setattr(result, "most_open" if hasattr(result, "most_open") else "max_open_requests", int(0.9 * target))
    return result


class Simulation:
    """Clients, engines and timers around one controller, in simulated time (ms); records the events it receives."""

    def __init__(self, version: PolicyVersion, site: str, engines: int, target: int, seed: int, calm: bool) -> None:
        self.version = version
        self.controller = controller(version, site, seed, target)
        self.rng = random.Random(seed)
        self.site = site
        self.engine_count = engines
        self.target = target  # concurrently open requests
        self.calm = calm

        self.now = 1_000_000.0
        self.scheduled = list[Any]()  # heap of due time, sequence number and call
        self.sequence = 0
        self.events = list[tuple[float, Any]]()  # all events given to the controller, with their times

        self.open = dict[int, Any]()  # requests by number
        self.running = dict[tuple[int, int], int]()  # engines by request and attempt
        self.attempt_counts = dict[int, int]()
        self.endpoints = {
            n: version.record_class("EngineEntry")(n, n % 3, n % 2, n % 7, 1, 1.0, 0.0) for n in range(1, engines + 1)
        }
        self.hung = set[int]()
        self.idle = dict[int, list[float]]()  # by engine: when each idle connection was last used

        # Results.
        self.arrived_at_ms = dict[int, float]()
        self.answered_requests = 0
        self.total_response_ms = 0.0  # sum over successful responses
        self.attempts_started = 0
        self.cross_zone_attempts = 0  # attempts at engines of another zone
        self.connections_opened = 0  # attempts that needed a new connection
        self.schedule(0.0, "list", EndpointListKind.FULL, tuple(self.endpoints.values()))

    def schedule(self, delay_ms: float, *call: Any) -> None:
        """Schedule a call in `delay_ms`: the first item names the method after `do_`, the others are its arguments."""
        self.sequence += 1
        heapq.heappush(self.scheduled, (self.now + delay_ms, self.sequence, call))

    def feed(self, name: str, *fields: Any) -> None:
        """Record an event of that class, pass it to the controller and execute the resulting actions."""
        event = self.version.record_class(name)(*fields)
        self.events.append((self.now, event))
        for action in self.controller.handle(self.now, event):
            name = self.version.record_name(action)
            if name == "StartAttempt":
                self.start_attempt(action)
            elif name == "CancelAttempt" and (action.request, action.attempt) in self.running:
                self.schedule(1.0, "end", action.request, action.attempt, AttemptOutcome.CANCELLED)
            elif name in ("RejectRequest", "FailRequest"):
                self.open.pop(action.request, None)
            elif name == "SetTimer":
                self.schedule(max(0.0, action.due_at_ms - self.now), "due", action.token)

    def start_attempt(self, action: Any) -> None:
        """Start an attempt: draw its outcome and duration, and schedule its end.

        An attempt of over 500 ms also reports progress halfway. An attempt at a hung engine ends by its timeout. Unless
        `calm` is set, 1.6% of the others fail, in one of five ways.
        """
        request = self.open[action.request]
        number = self.attempt_counts.get(action.request, 0)
        self.attempt_counts[action.request] = number + 1
        self.running[(action.request, number)] = action.engine
        idle = [used_at_ms for used_at_ms in self.idle.get(action.engine, ()) if self.now - used_at_ms < 15_000.0]
        self.attempts_started += 1
        self.connections_opened += not idle
        self.idle[action.engine] = idle[:-1]
        self.cross_zone_attempts += action.engine in self.endpoints and self.endpoints[action.engine].zone != 0
        outcome = self.draw_outcome()
        duration_ms = (request.cost_ms or 150.0) / 2 * self.rng.uniform(0.8, 2.0)
        if action.engine in self.hung:
            outcome = AttemptOutcome.TIMEOUT
            duration_ms = action.timeout_ms or 30_000.0
        elif outcome != AttemptOutcome.OK:
            duration_ms = 5.0
        elif duration_ms > 500.0:
            self.schedule(duration_ms / 2, "note", action.request, number, 0.5)
        self.schedule(min(duration_ms, action.timeout_ms or duration_ms), "end", action.request, number, outcome)

    def draw_outcome(self) -> AttemptOutcome:
        """Draw the outcome of an attempt at a responsive engine."""
        sample = self.rng.random()
        for limit, outcome in () if self.calm else FAILURES:
            if sample < limit:
                return outcome
        return AttemptOutcome.OK

    def step(self) -> None:
        """Advance the time to the next scheduled call and execute it."""
        self.now, _, call = heapq.heappop(self.scheduled)
        getattr(self, f"do_{call[0]}")(*call[1:])

    def do_list(self, kind: int, entries: tuple[Any, ...]) -> None:
        """Pass an endpoint list of that kind to the controller."""
        self.feed("EndpointListUpdated", kind, 1, entries)

    def do_due(self, token: int) -> None:
        """Report the expiry of a timer to the controller that set it."""
        self.feed("TimerFired", token)

    def do_note(self, request: int, number: int, value: float) -> None:
        """Report progress of an attempt to the controller, if the attempt is still running."""
        if (engine := self.running.get((request, number))) is not None:
            self.feed("ProgressReported", request, number, engine, 1, value)

    def do_end(self, request: int, number: int, outcome: int) -> None:
        """End an attempt, if it is still running, and notify the controller.

        A successful response also ends the request and carries its true cost, its memory and a load report.
        """
        if (engine := self.running.pop((request, number), None)) is None:
            return
        succeeded = outcome == AttemptOutcome.OK
        self.idle.setdefault(engine, []).append(self.now)
        request_record = self.open.pop(request, None) if succeeded else self.open.get(request)
        if request_record is not None and succeeded:
            self.answered_requests, self.total_response_ms = (
                self.answered_requests + 1,
                self.total_response_ms + self.now - self.arrived_at_ms[request],
            )
        cost = (request_record.cost_ms or 150.0) * self.rng.uniform(0.7, 1.4) if request_record and succeeded else 0.0
        report = (self.rng.uniform(0.0, 20.0), self.rng.uniform(0.0, 0.6)) if succeeded else ()
        is_final = request_record is None or succeeded
        self.feed("AttemptEnded", request, number, engine, outcome, cost / 2 or 5.0, is_final, cost, 0.3 * cost, report)

    def arrive(self, number: int) -> None:
        """Draw a request with that number and pass it to the controller.

        Costs are Pareto distributed, up to a minute; one request in ten has no cost estimate. In `stuck`, four of five
        requests are ordered loads of one group.
        """
        sample = self.rng.random()
        cls = 0 if sample < 0.7 else 1 if sample < 0.85 else 2 if sample < 0.93 else 3
        cost = min(60_000.0, (60.0, 400.0, 300.0, 200.0)[cls] * self.rng.paretovariate(1.2))
        key = self.rng.randrange(1, 50 + self.target // 8) if cls == 2 else 0
        group = self.rng.randrange(-1, 40)
        if self.site == "stuck" and sample < 0.8:
            cls, key, group = 2, number, 5
        remaining_ms = (5000.0, 20_000.0, 25_000.0, 25_000.0)[cls] * (20.0 if self.target >= 10_000 else 1.0)
        estimate = cost if sample * 1000 % 1 < 0.9 else 0.0
        fields = (number, cls, 0, key, remaining_ms, estimate, cost * 0.3, float(group))
        self.open[number], self.arrived_at_ms[number] = self.version.record_class("RequestArrived")(*fields), self.now
        self.feed("RequestArrived", *fields)

    def inject_disturbance(self) -> None:
        """Draw a list change or restart, the hang or recovery of an engine, the disconnection of a client, or none."""
        sample = self.rng.random()
        engine = self.rng.choice(list(self.endpoints))
        entry = self.endpoints[engine]
        if sample < 0.2:
            self.endpoints[engine] = entry._replace(health=self.rng.choice((0, 1, 2)), since_ms=self.now)
            self.feed("EndpointListUpdated", EndpointListKind.DELTA, 1, (self.endpoints[engine],))
        elif sample < 0.6:
            restored = [e._replace(health=1) for e in self.endpoints.values() if e.health != 1]
            self.endpoints.update((e.engine, e) for e in restored)
            self.feed("EndpointListUpdated", EndpointListKind.DELTA, 1, tuple(restored))
        elif sample < 0.65 and len(self.hung) < self.engine_count // 4:
            self.hung.add(engine)
        elif sample < 0.75 and self.hung:
            self.hung.pop()
        elif self.open:
            request = next(iter(self.open))
            self.open.pop(request)
            self.feed("ClientDisconnected", request)

    def outcome(self) -> dict[str, float]:
        """Return counts, the mean response time (ms), and the shares of cross-zone attempts and new connections."""
        return {
            "answered": self.answered_requests,
            "mean_ms": round(self.total_response_ms / max(1, self.answered_requests), 1),
            "sends": self.attempts_started,
            "far": round(self.cross_zone_attempts / max(1, self.attempts_started), 3),
            "opened": round(self.connections_opened / max(1, self.attempts_started), 3),
        }

    def replace(self) -> None:
        """Replace all engines by cold ones with new ids; running attempts end with a reset 1 ms later."""
        first = max(self.endpoints) + 1
        self.endpoints = {
            first + n: entry._replace(engine=first + n, since_ms=self.now)
            for n, entry in enumerate(self.endpoints.values())
        }
        self.feed("EndpointListUpdated", EndpointListKind.FULL, 1, tuple(self.endpoints.values()))
        for request, number in self.running:
            self.schedule(1.0, "end", request, number, AttemptOutcome.RESET)

    def play(self, requests: int) -> list[tuple[float, Any]]:
        """Run that many requests with `target` open, after a warm-up of `target` requests; return all events."""
        number = 0
        while number < requests + self.target:
            if len(self.open) < self.target:
                number += 1
                self.now += 0.01
                self.arrive(number)
                if "replaced" in self.site and number % 1000 == 0:
                    self.replace()
                if not self.calm and number % 200 == 0:
                    self.inject_disturbance()
            else:
                self.step()
        return self.events


def comparable(version: PolicyVersion, action: Any) -> tuple[Any, ...]:
    """Return an action as a comparable tuple: the current name of its class, and its exact field values."""
    return (version.record_name(action), *action)


def replay(
    worlds: dict[str, list[tuple[float, Any]]],
    packages: dict[str, PolicyVersion],
    site: str,
    seed: int,
    target: int,
    profile: bool,
) -> tuple[dict[str, float], int, int | None]:
    """Replay each module's events to it, alternating between the modules slice by slice.

    Return the CPU microseconds per request of each module once the target number is open, the count of equal actions
    before the first difference, and the index where the first differing slice begins, or None. With `profile`, print
    the profile of the new module to stderr.
    """
    sides = {
        name: (
            controller(packages[name], site, seed, target),
            [(now, packages[name].convert(event)) for now, event in met],
        )
        for name, met in worlds.items()
    }
    spent_ns, request_counts, actions, slice_length = (
        dict.fromkeys(sides, 0),
        dict.fromkeys(sides, 0),
        dict[str, list[Any]](),
        200,
    )
    equal_actions, first_difference, profiler = 0, None, cProfile.Profile()
    first_measured = {
        name: next(
            index
            for index, (_, event) in enumerate(met)
            if type(event).__name__ in ARRIVALS and event.request >= target
        )
        for name, met in worlds.items()
    }
    gc.collect()
    gc.disable()  # collections of the simulation's objects would distort the timings
    for start in range(0, max(map(len, worlds.values())), slice_length):
        for name in list(sides) if start // slice_length % 2 else list(sides)[::-1]:
            module, events = sides[name]
            slice_, handle = events[start : start + slice_length], module.handle
            if profile and name == "new_policy" and start >= first_measured[name]:
                profiler.enable()
            started_ns = time.thread_time_ns()
            actions[name] = [handle(now, event) for now, event in slice_]
            elapsed_ns = time.thread_time_ns() - started_ns
            profiler.disable()
            if start >= first_measured[name]:
                spent_ns[name] += elapsed_ns
                request_counts[name] += sum(type(event).__name__ in ARRIVALS for _, event in slice_)
        compared = [
            [comparable(packages[name], action) for slice_actions in actions[name] for action in slice_actions]
            for name in sides
        ]
        if first_difference is None and compared[0] != compared[1]:
            first_difference = start
        equal_actions += len(compared[0]) * (first_difference is None)
    gc.enable()
    if profile:
        pstats.Stats(profiler, stream=sys.stderr).sort_stats("tottime").print_stats(22)
    return (
        {name: value / 1000.0 / max(1, request_counts[name]) for name, value in spent_ns.items()},
        equal_actions,
        first_difference,
    )


def compare(
    packages: dict[str, PolicyVersion],
    site: str,
    engines: int,
    target: int,
    seed: int,
    requests: int,
    calm: bool,
    profile: bool,
) -> dict[str, Any]:
    """Replay the base module's run to both; if their actions differ, time the new module in a separate run."""
    base, new = packages
    world = Simulation(packages[base], site, engines, target, seed, calm)
    events = world.play(requests)
    cpu_us, equal_actions, first_difference = replay({base: events, new: events}, packages, site, seed, target, profile)
    result = {
        "site": site,
        "engines": engines,
        "open": target,
        "calm": calm,
        "seed": seed,
        "events": len(events),
        "actions_equal": equal_actions,
        "differs_at_event": first_difference,
    }
    if first_difference is not None:
        new_world = Simulation(packages[new], site, engines, target, seed, calm)
        cpu_us, *_ = replay({base: events, new: new_world.play(requests)}, packages, site, seed, target, False)
        result |= {
            f"{key}_{name[:4].strip('_')}": value
            for name, side in ((base, world), (new, new_world))
            for key, value in side.outcome().items()
        }
    return result | {
        "us_a_request_base": round(cpu_us[base], 1),
        "us_a_request_new": round(cpu_us[new], 1),
        "new_over_base": round(cpu_us[new] / cpu_us[base], 3),
    }


def main() -> None:
    """Compare both modules for each scenario, number of requests, engines and seed; print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--base", default="main", help="git reference to compare with")
    parser.add_argument("--engines", default="4,8,32,96,300,1000")
    parser.add_argument("--open", default="100,1000,10000")
    parser.add_argument("--site", default=",".join(SITES))
    parser.add_argument("--requests", type=int, default=3000)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="no failures, no changes of the list")
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--json")
    args = parser.parse_args()
    packages = {"base_policy": PolicyVersion(args.base, "base_policy"), "new_policy": PolicyVersion("", "new_policy")}
    rows = []
    for site in args.site.split(","):
        for target in map(int, args.open.split(",")):
            for engines in map(int, args.engines.split(",")):
                for seed in range(1, args.seeds + 1):
                    rows.append(compare(packages, site, engines, target, seed, args.requests, args.calm, args.profile))
                    print(rows[-1], file=sys.stderr, flush=True)
    differing = sum(row["differs_at_event"] is not None for row in rows)
    verdict = "same" if not differing else f"{differing} of {len(rows)} runs differ"
    write_result({"base": args.base, "choices": verdict, "rows": rows}, args.json)


if __name__ == "__main__":
    main()
