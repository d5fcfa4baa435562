"""Draws the plan of a run from its seed alone: topology, engine faults, signals and their times. No I/O."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass, replace
from enum import StrEnum

from frostspindle.lab.crowd import CrowdKind

ENGINES = 4
CLIENTS = 16
KEYS = 3
SOCKETS = 300  # descriptor limit of the coordinator; two workers need 128 each
# All classes of a run have one deadline, the longest of the deployment; seeds cycle through these ranges for it.
DEADLINE_RANGES_S = ((3.0, 3.0), (0.4, 1.0), (1.0, 3.0), (3.0, 12.0))
# The platform sends SIGKILL no earlier than this after SIGTERM: the longest deadline, at most 3 s, plus 0.7 s.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_GRACE_S = 0.7
START_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
MIN_SERVING_S = 2.5
MAX_SERVING_S = 3.5
CLOCK_STEPS_S = (3.0, -3.0, 60.0, -60.0, 3600.0, -3600.0)
CLOCK_STEP_PERIOD = 2  # one of this many seeds has steps of the wall clock
MAX_CLOCK_STEPS = 3
SOCKET_FAULT_PERIOD = 4  # one of this many seeds has failing system calls on sockets
DRAIN_SPAN_S = 2.0  # clock steps occur until this long after SIGTERM
OUTAGE_PERIOD = 4  # one of this many seeds has an outage
MIN_OUTAGE_S = 1.1  # longer than a request is held before it is answered with a path
MAX_OUTAGE_S = 1.8
CROWD_PERIOD = 3  # one of this many series of three seeds has a crowd, in each topology
CROWD_CONNECTIONS = 200  # more than a coordinator with so few descriptors accepts
FLOODS = {  # with so many connections
    CrowdKind.PING_FLOOD: 3,
    CrowdKind.POST_FLOOD: 3,
    CrowdKind.UNREAD_FLOOD: 30,
    CrowdKind.INVALID_FLOOD: 10,
}
CROWD_KINDS = tuple(kind for kind in CrowdKind if not kind.startswith("tds"))
CROWD_SERVING_S = 1.5  # by which a run with a crowd serves longer, as fewer requests come through in its time
CROWD_MEMORY_MB = 80.0  # of the coordinator, in a run with a crowd; two workers need 40 each
LIST_FAULT_PERIOD = 4  # one of this many seeds has faults of the endpoint list, and each from LIST_FAULT_SEEDS on
LIST_FAULT_SEEDS = 10_000
LIST_FAULTS = (2, 4)
LATE_POST_SEEDS = 20_000  # each seed from here on has POSTs that are delivered late
LATE_POSTS = (1, 3)
POST_DELAYS_S = (0.6, 1.6)  # longer than a call's timeout
VERY_LATE_POST_SEEDS = 30_000  # from here on POSTs may be delivered after their query was given up
MAX_POST_DELAY_S = 4.0
LATE_LIST_RATE = 0.7
MAX_LIST_DELAY_S = 3.0
SERIES_PERIOD = 2  # one of this many seeds has a series of signals
SERIES_LENGTHS = (4, 12)
MAX_SERIES_INTERVAL_S = 0.01


class Topology(StrEnum):
    """How the coordinator runs: as which processes."""

    SINGLE = "single"
    UPGRADE = "upgrade"  # a second process takes over an inherited listening socket
    WORKERS = "workers"  # a supervisor with two workers


class FaultKind(StrEnum):
    """A temporary fault of an engine."""

    SLOW = "slow"
    HUNG = "hung"  # accepts connections and calls, and never responds
    RESET = "reset"  # resets connections with open requests; the queries run on
    DRAIN = "drain"  # announced on the event bus; refuses new connections, serves the open ones, then ends
    CRASH = "crash"  # the process dies, refuses connections for a while and restarts without its queries
    DUPLICATE = "duplicate"  # sends some responses twice
    SHED = "shed"  # refuses queries and states that they never ran
    RESTART = "restart"  # the process dies and another one starts at once at its address
    REPLACE = "replace"  # the same, but the new process is that of another engine
    DRAIN_RESET = "drain reset"  # as DRAIN, and resets its connections; the queries run on
    EARLY_GONE = "early gone"  # listed as gone while its process still runs; then it ends and restarts
    EARLY_RESTART = "early restart"  # a restart is listed before the process ends
    BAN = "ban"  # operators take it out and back in; the process is not touched
    LATE_POST = "late post"  # the network holds POSTs back for longer than their timeout, and then delivers them


ABSENCES = {
    FaultKind.DRAIN,
    FaultKind.CRASH,
    FaultKind.RESTART,
    FaultKind.REPLACE,
    FaultKind.DRAIN_RESET,
    FaultKind.EARLY_GONE,
    FaultKind.EARLY_RESTART,
}
# Faults that concern the endpoint list are drawn apart, so that the plans of earlier seeds stay as they are.
LIST_FAULT_KINDS = (
    FaultKind.RESTART,
    FaultKind.REPLACE,
    FaultKind.DRAIN_RESET,
    FaultKind.EARLY_GONE,
    FaultKind.EARLY_RESTART,
    FaultKind.BAN,
)
USUAL_KINDS = tuple(kind for kind in FaultKind if kind not in (*LIST_FAULT_KINDS, FaultKind.LATE_POST))


@dataclass(frozen=True, slots=True)
class EngineFault:
    """A fault of one engine that starts `at_s` after readiness and lasts `length_s`."""

    at_s: float
    length_s: float
    engine: int
    kind: FaultKind
    listed_after_s: float = 0.0  # how late the endpoint list tells what has happened
    held_s: float = 0.0  # for which POSTs are held back


@dataclass(frozen=True, slots=True)
class Outage:
    """All engines drain `at_s` after readiness and restart `length_s` later; requests wait meanwhile."""

    at_s: float
    length_s: float


@dataclass(frozen=True, slots=True)
class ClockStep:
    """A step of the processes' wall clock, `at_s` after readiness."""

    at_s: float
    seconds: float


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal to the coordinator, `at_s` after a reference event."""

    at_s: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class PlannedCrowd:
    """A crowd of clients that send partial or unwanted input, from readiness on."""

    kind: CrowdKind
    connections: int


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The complete plan of a run."""

    seed: int
    topology: Topology
    has_idle_clients: bool
    class_deadline_s: float
    serving_s: float  # from readiness to SIGTERM, in an upgrade of the first process
    faults: tuple[EngineFault, ...]
    outage: Outage | None
    clock_steps: tuple[ClockStep, ...]
    has_socket_faults: bool
    crowd: PlannedCrowd | None
    has_list_faults: bool
    start_signals: tuple[TimedSignal, ...]  # times after the start of the process
    serving_signals: tuple[TimedSignal, ...]  # times after readiness
    drain_signals: tuple[TimedSignal, ...]  # times after SIGTERM

    @property
    def kill_after_s(self) -> float:
        """Return the time from SIGTERM to SIGKILL."""
        return min(self.class_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_GRACE_S


def make_plan(seed: int) -> SoakPlan:
    """Draw the plan of a seed; topologies and idle clients cycle with the seed, so that few seeds cover them."""
    rng = random.Random(f"soak {seed}")
    topology = (Topology.SINGLE, Topology.UPGRADE, Topology.WORKERS)[seed % 3]
    serving_s = rng.uniform(MIN_SERVING_S, MAX_SERVING_S)
    outage = _draw_outage(seed, serving_s)
    crowd = _draw_crowd(seed)
    faults = _draw_faults(rng, serving_s)
    if _has_list_faults(seed):
        faults = _with_list_faults(seed, serving_s, faults)
    if seed >= LATE_POST_SEEDS:
        faults = _with_late_posts(seed, serving_s, faults)
    return SoakPlan(
        seed=seed,
        topology=topology,
        has_idle_clients=seed // 3 % 3 == 1,
        class_deadline_s=_draw_deadline_s(seed),
        serving_s=serving_s + (CROWD_SERVING_S if crowd is not None else 0.0),
        faults=_drop_absences_within(outage, faults),
        outage=outage,
        clock_steps=_draw_clock_steps(seed, serving_s),
        has_socket_faults=seed % SOCKET_FAULT_PERIOD == 1,
        crowd=crowd,
        has_list_faults=_has_list_faults(seed),
        start_signals=_draw_signals(rng, START_SIGNALS, 3, 0.3),
        serving_signals=_with_series(seed, "serving", serving_s, _draw_signals(rng, START_SIGNALS, 4, serving_s)),
        drain_signals=_with_series(
            seed, "drain", 1.5, _draw_signals(rng, (*START_SIGNALS, signal.SIGTERM), 4, 1.5), signal.SIGTERM
        ),
    )


def _draw_crowd(seed: int) -> PlannedCrowd | None:
    if seed // 3 % CROWD_PERIOD != CROWD_PERIOD - 1:
        return None
    kind = random.Random(f"soak crowd {seed}").choice(CROWD_KINDS)
    return PlannedCrowd(kind, FLOODS.get(kind, CROWD_CONNECTIONS))


def _with_series(
    seed: int, phase: str, within_s: float, signals: tuple[TimedSignal, ...], *more: signal.Signals
) -> tuple[TimedSignal, ...]:
    """Add a quick series of signals at one moment of a phase, in some seeds."""
    rng = random.Random(f"soak series {seed} {phase}")
    if seed % SERIES_PERIOD:
        return signals
    at_s = rng.uniform(0.0, within_s)
    series = []
    for _ in range(rng.randint(*SERIES_LENGTHS)):
        series.append(TimedSignal(at_s, rng.choice((*START_SIGNALS, *more))))
        at_s += rng.uniform(0.0, MAX_SERIES_INTERVAL_S)
    return tuple(sorted((*signals, *series), key=lambda timed: timed.at_s))


def _draw_faults(rng: random.Random, serving_s: float) -> tuple[EngineFault, ...]:
    """Draw three to six faults, some of which reach into the drain; the first engine is never absent."""
    faults: list[EngineFault] = []
    for _ in range(rng.randint(3, 6)):
        kind = rng.choice(USUAL_KINDS)
        engine = rng.randrange(1, ENGINES) if kind in ABSENCES else rng.randrange(ENGINES)
        at_s = rng.uniform(0.1, serving_s + 0.5)
        fault = EngineFault(at_s, rng.uniform(0.2, 4.0), engine, kind)
        if not any(_absences_overlap(fault, other) for other in faults):
            faults.append(fault)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _has_list_faults(seed: int) -> bool:
    return seed % LIST_FAULT_PERIOD == 0 or seed >= LIST_FAULT_SEEDS


def _with_list_faults(seed: int, serving_s: float, faults: tuple[EngineFault, ...]) -> tuple[EngineFault, ...]:
    """Let the list tell some of the faults late, and add faults that concern it."""
    rng = random.Random(f"soak lists {seed}")
    all_faults = [replace(fault, listed_after_s=_draw_list_delay_s(rng)) for fault in faults]
    for _ in range(rng.randint(*LIST_FAULTS)):
        kind = rng.choice(LIST_FAULT_KINDS)
        at_s = rng.uniform(0.1, serving_s)
        fault = EngineFault(at_s, rng.uniform(0.2, 2.0), rng.randrange(1, ENGINES), kind, _draw_list_delay_s(rng))
        if not any(_absences_overlap(fault, other) for other in all_faults):
            all_faults.append(fault)
    return tuple(sorted(all_faults, key=lambda fault: fault.at_s))


def _with_late_posts(seed: int, serving_s: float, faults: tuple[EngineFault, ...]) -> tuple[EngineFault, ...]:
    """Add times in which POSTs to an engine are delivered late."""
    rng = random.Random(f"soak late posts {seed}")
    shortest_s, longest_s = POST_DELAYS_S
    if seed >= VERY_LATE_POST_SEEDS:
        longest_s = MAX_POST_DELAY_S
    late = [
        EngineFault(
            rng.uniform(0.1, serving_s),
            rng.uniform(0.2, 1.0),
            rng.randrange(1, ENGINES),
            FaultKind.LATE_POST,
            held_s=rng.uniform(shortest_s, longest_s),
        )
        for _ in range(rng.randint(*LATE_POSTS))
    ]
    return tuple(sorted((*faults, *late), key=lambda fault: fault.at_s))


def _draw_list_delay_s(rng: random.Random) -> float:
    return rng.uniform(0.0, MAX_LIST_DELAY_S) if rng.random() < LATE_LIST_RATE else 0.0


def _draw_deadline_s(seed: int) -> float:
    # The range changes every five seeds, so that each topology, with and without idle clients, meets each range.
    shortest_s, longest_s = DEADLINE_RANGES_S[seed // 5 % len(DEADLINE_RANGES_S)]
    return round(random.Random(f"soak deadline {seed}").uniform(shortest_s, longest_s), 3)


def _draw_clock_steps(seed: int, serving_s: float) -> tuple[ClockStep, ...]:
    if seed % CLOCK_STEP_PERIOD:
        return ()
    rng = random.Random(f"soak clock {seed}")
    steps = [
        ClockStep(rng.uniform(0.0, serving_s + DRAIN_SPAN_S), rng.choice(CLOCK_STEPS_S))
        for _ in range(rng.randint(1, MAX_CLOCK_STEPS))
    ]
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw_outage(seed: int, serving_s: float) -> Outage | None:
    if seed % OUTAGE_PERIOD != OUTAGE_PERIOD - 1:
        return None
    rng = random.Random(f"soak outage {seed}")
    return Outage(rng.uniform(0.2, serving_s - 1.0), rng.uniform(MIN_OUTAGE_S, MAX_OUTAGE_S))


def _drop_absences_within(outage: Outage | None, faults: tuple[EngineFault, ...]) -> tuple[EngineFault, ...]:
    """Drop the drains and crashes that overlap the outage: the end of one would restart the engine within the other."""
    if outage is None:
        return faults
    ends_at_s = outage.at_s + outage.length_s
    return tuple(
        fault
        for fault in faults
        if fault.kind not in ABSENCES or fault.at_s > ends_at_s or fault.at_s + fault.length_s < outage.at_s
    )


def _absences_overlap(fault: EngineFault, other: EngineFault) -> bool:
    """Return whether both make the same engine absent at once: the end of one would restart it within the other."""
    if fault.engine != other.engine or not {fault.kind, other.kind} <= ABSENCES:
        return False
    return fault.at_s <= other.at_s + other.length_s and other.at_s <= fault.at_s + fault.length_s


def _draw_signals(
    rng: random.Random, numbers: tuple[signal.Signals, ...], max_count: int, within_s: float
) -> tuple[TimedSignal, ...]:
    signals = [TimedSignal(rng.uniform(0.0, within_s), rng.choice(numbers)) for _ in range(rng.randint(0, max_count))]
    return tuple(sorted(signals, key=lambda timed: timed.at_s))
