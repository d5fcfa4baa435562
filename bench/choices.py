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

from common import tell

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, Idempotency

ROOT = Path(__file__).parent.parent
SITES = ("plain", "many", "priced", "stuck", "shed", "replaced", "replaced-many")


FORMER_PACKAGE = "pinstage"  # the module's place and names before it became frostspindle/policy
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


class PolicyVersion:
    """One version of the decision module, imported as a package of a name of its own.

    Records of both versions have the same fields in the same order: they are built by position, and looked up by the
    current name of their class.
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

    def settings(self, name: str, **values: Any) -> Any:
        """Build ClassSettings or Settings from values by their current field names."""
        fields = dataclasses.fields(getattr(policy, name))
        last = max(number for number, field in enumerate(fields) if field.name in values)
        return self.record_class(name)(*(values.get(field.name, field.default) for field in fields[: last + 1]))


def read_working_tree() -> tuple[dict[str, str], str]:
    """Return the texts of the working tree's decision module by file name, and its package's folder."""
    return {path.name: path.read_text() for path in (ROOT / PACKAGE).glob("*.py")}, PACKAGE


def read_revision(ref: str) -> tuple[dict[str, str], str]:
    """Return the texts of the decision module at a git reference by file name, and its package's folder there."""
    package = PACKAGE if git("ls-tree", ref, f"{PACKAGE}/") else FORMER_PACKAGE
    names = git("ls-tree", "--name-only", f"{ref}:{package}").split()
    return {name: git("show", f"{ref}:{package}/{name}") for name in names if name.endswith(".py")}, package


def git(*arguments: str) -> str:
    """Return the output of a git command; raise subprocess.CalledProcessError where it fails."""
    return subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True, text=True).stdout


def settings(version: PolicyVersion, site: str) -> Any:
    """Return the settings of a site; an unknown name gives those of `plain`.

    Names with `many` are for one of 40 coordinators, each with a small part of the load; `priced` has prices for new
    connections and other zones. The others differ in the load alone: `stuck` has many ordered loads of one group,
    `shed` more open requests than are allowed at each arrival, `replaced` all engines replaced by cold ones with new
    ids at every thousandth request.
    """
    few = "many" not in site
    classes = (
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
    return version.settings(
        "Settings",
        classes=tuple(version.settings("ClassSettings", **values) for values in classes),
        coordinators=1 if few else 40,
        number=0 if few else 7,
        kind_cores=(8.0, 8.0),
        kind_memory_mb=(16384.0, 16384.0),
        max_grant_ratio=0.4,
        grants=True,
        priorities=True,
        reports_cost=True,
        progress_interval_ms=400.0,
        memory_shortage_mode="wait" if few else "page",
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
    """Return a controller of that version for the site; at `shed` it may have 90% of `target` requests open."""
    out = version.package.Controller(settings(version, site), seed)
    if site == "shed":
        setattr(out, "most_open" if version.former else "max_open_requests", int(0.9 * target))
    return out


class World:
    """Clients, engines and timers around one controller, in simulated time (ms); records the events it was given."""

    def __init__(self, version: PolicyVersion, site: str, engines: int, target: int, seed: int, calm: bool) -> None:
        self.version = version
        self.c, self.draw = controller(version, site, seed, target), random.Random(seed)
        self.site, self.count, self.target, self.calm = site, engines, target, calm
        self.now, self.met, self.clock, self.serial = 1_000_000.0, list[tuple[float, Any]](), list[Any](), 0
        self.open, self.answered = dict[int, Any](), 0  # requests; what came to a good end
        self.out = dict[tuple[int, int], int]()
        self.tries = dict[int, int]()
        self.entries = {
            n: version.record_class("EngineEntry")(n, n % 3, n % 2, n % 7, 1, 1.0, 0.0) for n in range(1, engines + 1)
        }
        self.hung = set[int]()
        # What became of it: good answers' times, sends, sends to another zone, those that opened a connection.
        self.began, self.took, self.sends, self.far, self.opened = dict[int, float](), 0.0, 0, 0, 0
        self.idle = dict[int, list[float]]()
        self.at(0.0, "list", EndpointListKind.FULL, tuple(self.entries.values()))

    def at(self, after: float, *what: Any) -> None:
        """Schedule a call of the method `do_` + the first of `what`, with the rest as arguments, in `after` ms."""
        self.serial += 1
        heapq.heappush(self.clock, (self.now + after, self.serial, what))

    def feed(self, name: str, *fields: Any) -> None:
        """Record an event of that class, give it to the controller and carry out its actions."""
        event = self.version.record_class(name)(*fields)
        self.met.append((self.now, event))
        for action in self.c.handle(self.now, event):
            name = self.version.record_name(action)
            if name == "StartAttempt":
                self.sent(action)
            elif name == "CancelAttempt" and (action.request, action.attempt) in self.out:
                self.at(1.0, "end", action.request, action.attempt, AttemptOutcome.CANCELLED)
            elif name in ("RejectRequest", "FailRequest"):
                self.open.pop(action.request, None)
            elif name == "SetTimer":
                self.at(max(0.0, action.due_at_ms - self.now), "due", action.token)

    def sent(self, action: Any) -> None:
        """Start an attempt: draw its outcome and time (ms), and schedule its end and, for a long one, a progress note.

        An attempt at a hung engine ends by its timeout. Unless calm, 1.6% fail, in one of five ways.
        """
        request = self.open[action.request]
        number = self.tries.get(action.request, 0)
        self.tries[action.request] = number + 1
        self.out[(action.request, number)] = action.engine
        idle = [at for at in self.idle.get(action.engine, ()) if self.now - at < 15_000.0]
        self.sends, self.opened, self.idle[action.engine] = self.sends + 1, self.opened + (not idle), idle[:-1]
        self.far += action.engine in self.entries and self.entries[action.engine].zone != 0
        luck = self.draw.random()
        verdict = AttemptOutcome.OK
        if not self.calm:
            verdict = (
                AttemptOutcome.ERROR
                if luck < 0.004
                else AttemptOutcome.RESET
                if luck < 0.006
                else AttemptOutcome.OVERLOADED
                if luck < 0.012
                else AttemptOutcome.CONNECT_FAILED
                if luck < 0.014
                else AttemptOutcome.NOT_SENT
                if luck < 0.016
                else verdict
            )
        took = (request.cost_ms or 150.0) / 2 * self.draw.uniform(0.8, 2.0)
        if action.engine in self.hung:
            verdict, took = AttemptOutcome.TIMEOUT, action.timeout_ms or 30_000.0
        elif verdict != AttemptOutcome.OK:
            took = 5.0
        elif took > 500.0:
            self.at(took / 2, "note", action.request, number, 0.5)
        self.at(min(took, action.timeout_ms or took), "end", action.request, number, verdict)

    def step(self) -> None:
        """Advance to the next scheduled call and make it."""
        self.now, _, what = heapq.heappop(self.clock)
        getattr(self, f"do_{what[0]}")(*what[1:])

    def do_list(self, how: int, entries: tuple[Any, ...]) -> None:
        """Give the controller an engine list of that kind."""
        self.feed("EndpointListUpdated", how, 1, entries)

    def do_due(self, token: int) -> None:
        """Give the controller the expiry of a timer of its own."""
        self.feed("TimerFired", token)

    def do_note(self, request: int, number: int, value: float) -> None:
        """Give the controller a progress note on an attempt, if it is still running."""
        if (engine := self.out.get((request, number))) is not None:
            self.feed("ProgressReported", request, number, engine, 1, value)

    def do_end(self, request: int, number: int, verdict: int) -> None:
        """End an attempt, if it is still running, and tell the controller.

        A good response ends the request too and comes with its true cost, memory and a load report.
        """
        if (engine := self.out.pop((request, number), None)) is None:
            return
        good = verdict == AttemptOutcome.OK
        self.idle.setdefault(engine, []).append(self.now)
        known = self.open.pop(request, None) if good else self.open.get(request)
        if known is not None and good:
            self.answered, self.took = self.answered + 1, self.took + self.now - self.began[request]
        cost = (known.cost_ms or 150.0) * self.draw.uniform(0.7, 1.4) if known and good else 0.0
        report = (self.draw.uniform(0.0, 20.0), self.draw.uniform(0.0, 0.6)) if good else ()
        last = known is None or good
        self.feed("AttemptEnded", request, number, engine, verdict, cost / 2 or 5.0, last, cost, 0.3 * cost, report)

    def arrive(self, number: int) -> None:
        """Draw a request of that number and give it to the controller.

        Costs are Pareto distributed, up to a minute; one request in ten has no estimate of it. At `stuck` four of five
        are ordered loads of one group.
        """
        luck = self.draw.random()
        cls = 0 if luck < 0.7 else 1 if luck < 0.85 else 2 if luck < 0.93 else 3
        cost = min(60_000.0, (60.0, 400.0, 300.0, 200.0)[cls] * self.draw.paretovariate(1.2))
        key = self.draw.randrange(1, 50 + self.target // 8) if cls == 2 else 0
        group = self.draw.randrange(-1, 40)
        if self.site == "stuck" and luck < 0.8:
            cls, key, group = 2, number, 5
        left = (5000.0, 20_000.0, 25_000.0, 25_000.0)[cls] * (20.0 if self.target >= 10_000 else 1.0)
        estimate = cost if luck * 1000 % 1 < 0.9 else 0.0
        fields = (number, cls, 0, key, left, estimate, cost * 0.3, float(group))
        self.open[number], self.began[number] = self.version.record_class("RequestArrived")(*fields), self.now
        self.feed("RequestArrived", *fields)

    def trouble(self) -> None:
        """Draw one event: a list change or restart, an engine's hang or recovery, a client that leaves, or none."""
        luck = self.draw.random()
        engine = self.draw.choice(list(self.entries))
        old = self.entries[engine]
        if luck < 0.2:
            self.entries[engine] = old._replace(health=self.draw.choice((0, 1, 2)), since_ms=self.now)
            self.feed("EndpointListUpdated", EndpointListKind.DELTA, 1, (self.entries[engine],))
        elif luck < 0.6:
            back = [e._replace(health=1) for e in self.entries.values() if e.health != 1]
            self.entries.update((e.engine, e) for e in back)
            self.feed("EndpointListUpdated", EndpointListKind.DELTA, 1, tuple(back))
        elif luck < 0.65 and len(self.hung) < self.count // 4:
            self.hung.add(engine)
        elif luck < 0.75 and self.hung:
            self.hung.pop()
        elif self.open:
            request = next(iter(self.open))
            self.open.pop(request)
            self.feed("ClientDisconnected", request)

    def outcome(self) -> dict[str, float]:
        """Return counts, the mean time to a good response (ms), and parts of sends to other zones or unconnected."""
        return {
            "answered": self.answered,
            "mean_ms": round(self.took / max(1, self.answered), 1),
            "sends": self.sends,
            "far": round(self.far / max(1, self.sends), 3),
            "opened": round(self.opened / max(1, self.sends), 3),
        }

    def replace(self) -> None:
        """Replace all engines by cold ones with new ids; running attempts end with a reset 1 ms later."""
        first = max(self.entries) + 1
        self.entries = {
            first + n: entry._replace(engine=first + n, since_ms=self.now)
            for n, entry in enumerate(self.entries.values())
        }
        self.feed("EndpointListUpdated", EndpointListKind.FULL, 1, tuple(self.entries.values()))
        for request, number in self.out:
            self.at(1.0, "end", request, number, AttemptOutcome.RESET)

    def play(self, requests: int) -> list[tuple[float, Any]]:
        """Run that many requests, with `target` open at a time, after as many to get there; return all events."""
        number = 0
        while number < requests + self.target:
            if len(self.open) < self.target:
                number += 1
                self.now += 0.01
                self.arrive(number)
                if "replaced" in self.site and number % 1000 == 0:
                    self.replace()
                if not self.calm and number % 200 == 0:
                    self.trouble()
            else:
                self.step()
        return self.met


def told(version: PolicyVersion, action: Any) -> tuple[Any, ...]:
    """Return an action as a tuple to compare: the current name of its class, and its fields to the last digit."""
    return (version.record_name(action), *action)


def replay(
    worlds: dict[str, list[tuple[float, Any]]],
    packages: dict[str, PolicyVersion],
    site: str,
    seed: int,
    target: int,
    profile: bool,
) -> tuple[dict[str, float], int, int | None]:
    """Replay each module's events to it, in slices that take turns.

    Return CPU microseconds a request of each module once the target number is open, the count of equal actions before
    the first difference, and the index at which the first slice that differs begins, None if none does. With `profile`
    the new module's profile goes to stderr.
    """
    sides = {}
    for name, met in worlds.items():
        version = packages[name]
        sides[name] = (
            controller(version, site, seed, target),
            [
                (now, version.record_class(CURRENT_NAMES.get(type(event).__name__, type(event).__name__))(*event))
                for now, event in met
            ],
        )
    spent, counts, actions, width = dict.fromkeys(sides, 0), dict.fromkeys(sides, 0), dict[str, list[Any]](), 200
    same, differs, profiler = 0, None, cProfile.Profile()
    filled = {
        name: next(i for i, (_, e) in enumerate(met) if type(e).__name__ in ARRIVALS and e.request >= target)
        for name, met in worlds.items()
    }
    gc.collect()
    gc.disable()  # what the world keeps is of no interest
    for at in range(0, max(map(len, worlds.values())), width):
        for name in list(sides) if at // width % 2 else list(sides)[::-1]:
            module, events = sides[name]
            slice_, handle = events[at : at + width], module.handle
            if profile and name == "new_policy" and at >= filled[name]:
                profiler.enable()
            began = time.thread_time_ns()
            actions[name] = [handle(now, event) for now, event in slice_]
            took = time.thread_time_ns() - began
            profiler.disable()
            if at >= filled[name]:
                spent[name] += took
                counts[name] += sum(type(e).__name__ in ARRIVALS for _, e in slice_)
        both = [[told(packages[name], a) for acts in actions[name] for a in acts] for name in sides]
        if differs is None and both[0] != both[1]:
            differs = at
        same += len(both[0]) * (differs is None)
    gc.enable()
    if profile:
        pstats.Stats(profiler, stream=sys.stderr).sort_stats("tottime").print_stats(22)
    return {name: value / 1000.0 / max(1, counts[name]) for name, value in spent.items()}, same, differs


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
    """Replay the base module's run to both; if their choices differ, time the new module in a run of its own."""
    base, new = packages
    world = World(packages[base], site, engines, target, seed, calm)
    met = world.play(requests)
    us, same, differs = replay({base: met, new: met}, packages, site, seed, target, profile)
    out = {
        "site": site,
        "engines": engines,
        "open": target,
        "calm": calm,
        "seed": seed,
        "events": len(met),
        "actions_equal": same,
        "differs_at_event": differs,
    }
    if differs is not None:
        own = World(packages[new], site, engines, target, seed, calm)
        us, *_ = replay({base: met, new: own.play(requests)}, packages, site, seed, target, False)
        out |= {
            f"{key}_{name[:4].strip('_')}": value
            for name, side in ((base, world), (new, own))
            for key, value in side.outcome().items()
        }
    return out | {
        "us_a_request_base": round(us[base], 1),
        "us_a_request_new": round(us[new], 1),
        "new_over_base": round(us[new] / us[base], 3),
    }


def main() -> None:
    """Compare both modules at each site, number of open requests and of engines, and seed; print one JSON object."""
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
    tell({"base": args.base, "choices": verdict, "rows": rows}, args.json)


if __name__ == "__main__":
    main()
