"""Emulator of a fleet: the real nodes, which do no I/O, on a simulated network and simulated clocks.

It kills, restarts without state, stops and continues processes, gives each its own clock and demand, and measures the
run. `network` delays and delivers messages. The same arguments give the same run. Figures use only what a real fleet
could show, with exceptions that are documented (`overspend` counts each unit at its true time).
"""

from __future__ import annotations

import gc
import random
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from frostspindle.fleet.node import Budget, FleetNode, FleetSettings
from frostspindle.lab.faults.script import Script
from frostspindle.lab.network import Network

CHAIN_LENGTH = 512  # incarnations of one process
BUDGET = "shared"
ROUNDING_MS = 1e-5  # rounding must not fire a timer early by the process's own clock
JOINING_S = 15.0  # its bytes are counted separately: every member learns of every other
MAX_COMPARED_NODES = 50
SETTLING_RATIO = 0.05  # part of the run after the first cooldown that is not measured: rights are still spreading


@dataclass(slots=True)
class Process:
    """One coordinator: its node while the process runs, and its clock."""

    name: str
    rate: float
    offset: float
    demand: float  # units per second
    node: FleetNode | None = None
    starts: int = 0
    next_tick_at: float = 0.0  # true ms of its next tick; earlier entries in the queue are ignored
    demand_since: float = 0.0
    previous_counters: dict[str, int] = field(default_factory=dict)  # counters of its earlier incarnations


class Emulator:
    """One run. True time is in ms from 0; each process has its own clock."""

    def __init__(
        self,
        count: int,
        seed: int,
        script: Script,
        seconds: float = 60.0,
        units: int = 0,
        window_ms: float = 1_000.0,
        demand: Callable[[int], float] | None = None,
        homes: int = 0,
        base_ms: float = 0.5,
        join_s: float = 0.0,
        settings: dict[str, Any] | None = None,
        joined: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.count, self.seed, self.script, self.seconds = count, seed, script, seconds
        self.units = units or 20 * count
        self.window_ms = window_ms
        self.network = Network(count, script, seed + 1, base_ms, up=False)
        homes = min(count, homes or 64)
        # Addresses serve only as names: a process keeps its address over restarts.
        self.addresses = [(f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}", 4_000) for n in range(count)]
        self.numbers = {address: n for n, address in enumerate(self.addresses)}
        width = len(str(count - 1))
        names = [f"c{n:0{width}d}" for n in range(count)]
        self.numbers_by_name = {name: n for n, name in enumerate(names)}
        self.settings = FleetSettings(
            dict(zip(names[:homes], self.addresses, strict=False)),
            (Budget(BUDGET, self.units, window_ms),),
            chain_length=CHAIN_LENGTH,
            **(settings or {}),
        )
        clocks = dict(script.clocks)
        demand = demand or (lambda n: self.units / window_ms * 1_000.0 * 0.02)
        self.processes = [
            Process(names[n], clocks.get(n, 1.0), self.random.uniform(0.0, 1e7), demand(n)) for n in range(count)
        ]
        self.now = 0.0
        self.spends: list[tuple[float, int]] = []  # true time, node; one unit each
        self.bytes = self.messages = 0
        self.joining_bytes = 0  # part of `bytes` sent in the first JOINING_S
        self.false_suspicions = 0
        self.detected: dict[int, list[float]] = {}  # by killed node: ms until each other node declared it dead
        self.killed_at: dict[int, float] = {}
        self.agreed_at: float | None = None
        self.on_step: Callable[[Emulator], None] | None = None  # every 100 ms of true time
        for n in range(count):
            if joined:  # all have started before and know each other
                self._begin(n, self.processes[n])
            else:
                self.network.at(self.random.uniform(0.0, join_s * 1_000.0), n, "start")
        if joined:
            claims = [node.membership.me for node in self.live()]
            for process in self.processes:
                assert process.node is not None
                process.node.membership.add_known(self.clock(process), claims)

    # Time.

    @property
    def events(self) -> int:
        """Number of deliveries so far, including messages to processes that are down."""
        return self.network.events

    def clock(self, process: Process, at: float | None = None) -> float:
        """Return the process's own monotonic clock in ms, now or at the true time `at`."""
        return process.offset + (self.now if at is None else at) * process.rate

    def unix(self) -> float:
        """Return Unix time in ms, the same for all processes; only counts per window depend on it."""
        return 1.7e12 + self.now

    def run(self) -> None:
        """Simulate the run of `seconds` seconds.

        The garbage collector is off meanwhile, which is safe because the objects created here form no reference cycles.
        """
        collects = gc.isenabled()
        gc.disable()
        try:
            self._run(self.seconds * 1_000.0)
        finally:
            if collects:
                gc.enable()

    def _run(self, until: float) -> None:
        step = 0.0
        processes, paused, addresses, schedule = self.processes, self.network.paused, self.addresses, self.network.at
        send, use_budget = self._send, self._use_budget
        for time_ms, number, event in self.network.deliver(until):
            while step <= time_ms:
                self.now = max(self.now, step)
                step += 100.0
                if self.on_step is not None:
                    self.on_step(self)
            self.now = time_ms
            process = processes[number]
            node = process.node
            if event.__class__ is tuple:  # a datagram: source, bytes
                assert node is not None  # the network delivers none to a process that is down
                if replies := node.receive(process.offset + time_ms * process.rate, addresses[event[0]], event[1]):
                    send(number, replies)
                if (due := (node.due() - process.offset) / process.rate + ROUNDING_MS) < process.next_tick_at:
                    process.next_tick_at = due if due > time_ms else time_ms
                    schedule(due, number, "tick")
            elif event == "want":
                use_budget(number, process)
            elif event == "tick":
                if node is not None and not paused[number] and time_ms >= process.next_tick_at:
                    if replies := node.tick(process.offset + time_ms * process.rate, self.unix()):
                        send(number, replies)
                    self._schedule_tick(number, process, True)
            else:
                self._act(number, process, event)
        self.now = until

    def _act(self, number: int, process: Process, action: str) -> None:
        if action == "kill":
            if process.node is not None:
                self.false_suspicions += process.node.membership.false_suspicions
                process.node = None
                self.killed_at[number] = self.now
        elif action == "start":
            if process.node is None:
                self._begin(number, process)
        elif action == "cont" and process.node is not None:  # the timers of a continued process are due
            process.next_tick_at = self.now
            self.network.at(self.now, number, "tick")

    def _begin(self, number: int, process: Process) -> None:
        process.starts += 1
        secret = self.random.randbytes(16)
        epoch = int(self.unix() * 1_000) + process.starts
        process.node = node = FleetNode(
            process.name, self.addresses[number], epoch, secret, self.settings, self.clock(process)
        )
        self.network.up[number] = True

        def on_log(event: str, **fields: Any) -> None:
            if event == "fleet_member":
                self._on_member_state(fields["member"], fields["state"])

        node.log = on_log
        self._schedule_tick(number, process, True)
        if process.starts == 1 and process.demand > 0:
            process.demand_since = self.now
            self.network.at(self.now + self._draw_demand_interval_ms(process), number, "want")

    def _on_member_state(self, member: str, state: str) -> None:
        number = self.numbers_by_name.get(member, -1)  # -1: no process has this name
        if state == "dead" and number in self.killed_at and self.processes[number].node is None:
            self.detected.setdefault(number, []).append(self.now - self.killed_at[number])

    def _schedule_tick(self, number: int, process: Process, replace: bool = False) -> None:
        assert process.node is not None
        due = (process.node.due() - process.offset) / process.rate + ROUNDING_MS
        if replace or due < process.next_tick_at:
            process.next_tick_at = max(due, self.now)
            self.network.at(due, number, "tick")

    def _draw_demand_interval_ms(self, process: Process) -> float:
        return self.random.expovariate(process.demand / 1_000.0)

    def _use_budget(self, number: int, process: Process) -> None:
        now, node = self.now, process.node
        if process.demand > 0:
            self.network.at(now + self._draw_demand_interval_ms(process), number, "want")
        if (
            node is not None
            and not self.network.paused[number]
            and node.spend(process.offset + now * process.rate, self.unix(), BUDGET)
        ):
            self.spends.append((now, number))

    def _send(self, number: int, datagrams: list[Any]) -> None:
        size = accepted = 0
        send, numbers = self.network.send, self.numbers
        for address, data in datagrams:
            target = numbers.get(address)
            if target is None or send(number, target, data):  # a socket accepts unknown addresses too
                accepted += 1
                size += len(data)
        self.messages += accepted
        self.bytes += size
        if self.now < JOINING_S * 1_000.0:
            self.joining_bytes += size

    # Figures.

    def live(self) -> list[FleetNode]:
        """Return the nodes of all processes that are not killed, including stopped ones."""
        return [p.node for p in self.processes if p.node is not None]

    def sums_agree(self) -> bool:
        """Return whether all running processes have the same sums.

        In a large fleet only a sample of MAX_COMPARED_NODES is compared, the same one throughout a run.
        """
        live = self.live()
        if len(live) > MAX_COMPARED_NODES:
            live = random.Random(self.seed).sample(live, MAX_COMPARED_NODES)
        return len({tuple(sorted(node.counters.sums().items())) for node in live}) == 1


def excess(times: list[float], units: int, window_ms: float) -> tuple[int, int]:
    """Return the number of units spent over the budget, and the greatest number of units in any sliding window.

    `times`: true times of the units in ms, sorted. A unit is over the budget if the window that ends with it already
    held `units` units.
    """
    overspend = peak_units = 0
    for index, time_ms in enumerate(times):
        in_window = index + 1 - bisect_left(times, time_ms - window_ms + 1e-6)
        peak_units = max(peak_units, in_window)
        overspend += in_window > units
    return overspend, peak_units


def measure(emulator: Emulator) -> dict[str, Any]:
    """Return the figures of a run.

    `utilisation` and `demand_over_budget` leave out the beginning, in which rights are in cooldown and spread;
    `converge_s` and `detect_s` are in seconds.
    """
    run = emulator
    times = [at for at, _ in run.spends]
    over, most = excess(times, run.units, run.window_ms)
    settings = run.settings
    cooldown_ms = settings.lease_ms * (1 + settings.drift) / (1 - settings.drift) + run.window_ms * (1 + settings.drift)
    begin = cooldown_ms + SETTLING_RATIO * run.seconds * 1_000.0 + 1_000.0
    span = max(0.0, run.seconds * 1_000.0 - begin)
    spent_units = sum(at >= begin for at in times)
    wanted_units = sum(p.demand for p in run.processes) * span / 1_000.0
    budget = run.units * span / run.window_ms
    detected = sorted(at for delays in run.detected.values() for at in delays)
    live = run.live()
    return {
        "nodes": run.count,
        "seed": run.seed,
        "seconds": run.seconds,
        "units": run.units,
        "window_ms": run.window_ms,
        "overspend": over,
        "most_in_a_window": most,
        "spent": len(times),
        "utilisation": round(spent_units / min(budget, wanted_units), 4) if min(budget, wanted_units) > 0 else None,
        "demand_over_budget": round(wanted_units / budget, 3) if budget else None,
        "converge_s": run.agreed_at,
        "false_suspicions": run.false_suspicions + sum(node.membership.false_suspicions for node in live),
        "detect_s": {"p50": round(detected[len(detected) // 2] / 1e3, 2), "max": round(detected[-1] / 1e3, 2)}
        if detected
        else None,
        "bytes_per_node_s": round((run.bytes - run.joining_bytes) / run.count / (run.seconds - JOINING_S), 1)
        if run.seconds > JOINING_S
        else None,
        "joining_bytes_per_node": round(run.joining_bytes / run.count),
        "messages": run.messages,
        "events": run.events,
        "members": {
            "least": min((n.membership.size for n in live), default=0),
            "most": max((n.membership.size for n in live), default=0),
        },
        "counted": dict(sorted(sum((n.counted for n in live), start=type(live[0].counted)()).items())) if live else {},
    }


def settle(emulator: Emulator, every_ms: float = 500.0, after_s: float = 0.0) -> None:
    """Set `on_step` to stop all demand after the script's last fault and to measure convergence.

    Demand ends at the last heal or act of the script, but not before `after_s`; `agreed_at` is then set to the
    seconds until all running processes have the same sums. They are compared every `every_ms`.
    """
    healed = max([emulator.script.healed_at, after_s, *(act.at for act in emulator.script.acts)]) * 1_000.0
    last_check = 0.0

    def on_step(run: Emulator) -> None:
        nonlocal last_check
        if run.now < healed or run.agreed_at is not None or run.now - last_check < every_ms:
            return
        last_check = run.now
        for process in run.processes:
            process.demand = 0.0
        if run.now > healed and run.sums_agree():
            run.agreed_at = round((run.now - healed) / 1_000.0, 2)

    emulator.on_step = on_step
