"""Plays a run of the soak: starts all processes and stand-ins, executes the plan, and returns the violations."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from frostspindle.lab.engines import Bus, host_entry
from frostspindle.lab.soak.checker import Records, Violation, find_violations
from frostspindle.lab.soak.clients import Client, ConnectionGate, IdleClient, KeyPacer
from frostspindle.lab.soak.crowd import SoakCrowd
from frostspindle.lab.soak.engines import FaultyEngine
from frostspindle.lab.soak.fault_player import FaultPlayer
from frostspindle.lab.soak.lag import LagWatch
from frostspindle.lab.soak.plan import (
    CLIENTS,
    ENGINES,
    SOCKETS,
    EngineFault,
    FaultKind,
    Outage,
    SoakPlan,
    TimedSignal,
    Topology,
    make_plan,
)
from frostspindle.lab.soak.processes import SoakProcess, write_files
from frostspindle.lab.soak.stepped_clock import SteppedClock
from frostspindle.operator_client import FiguresUnavailableError, call_operator

NEW_CONNECTIONS_AFTER_SIGTERM_S = 0.4  # the platform opens no more connections after this
LAST_ACCEPT_S = 0.3  # a process accepts pending connections within this time
IDLE_CLIENTS = SOCKETS // 3 - CLIENTS - 4  # all clients together hold at most a third of the descriptors
LAST_ANSWERS_S = 8.0  # how long clients may take to finish once the coordinator has ended
LISTEN_BACKLOG = 300


@dataclass(slots=True)
class SoakResult:
    """The result of one run."""

    seed: int
    violations: list[Violation]
    counts: Counter[str] = field(default_factory=Counter)
    lag_s: float = 0.0


class SoakRun:
    """The coordinator, engines, bus and clients of one run."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.plan = plan
        self.engines = [FaultyEngine(f"s-{number:08x}", plan.seed) for number in range(ENGINES)]
        self.bus = Bus()
        self.processes: list[SoakProcess] = []
        self.pacer = KeyPacer()
        self.clients: list[Client] = []
        self.crowd: SoakCrowd | None = None
        self._folder = folder
        self.clock = SteppedClock(folder)
        self.faults = FaultPlayer(self.engines, self.bus, self.clock, plan.seed)
        self._ended = asyncio.Event()
        self._listening: socket.socket | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._client_tasks: list[asyncio.Task[None]] = []

    async def play(self) -> Records:
        """Execute the plan and return all records."""
        lag = self._lag = LagWatch()
        try:
            await self._start_stand_ins()
            process = await self._start_process(self.plan.start_signals)
            gate = ConnectionGate(process.http)
            self._start_clients(gate)
            self._start_crowd(gate.port)
            self._tasks += [asyncio.create_task(self._play_fault(fault)) for fault in self.plan.faults]
            self._tasks.append(asyncio.create_task(self._step_clock()))
            if self.plan.outage is not None:
                self._tasks += self._start_outage(self.plan.outage)
            await self._serve_and_end(process, gate)
            await self._await_clients()
        finally:
            lag.close()
            await self._close()
        drains = self.faults.drains
        return Records(self.clients, self.engines, self.processes, self.pacer, drains, lag.worst_s, self._peak_mb)

    @property
    def _peak_mb(self) -> float:
        return self.crowd.peak_mb if self.crowd is not None else 0.0

    def _start_crowd(self, port: int) -> None:
        if self.plan.crowd is None:
            return
        seconds = self.plan.serving_s + NEW_CONNECTIONS_AFTER_SIGTERM_S
        self.crowd = SoakCrowd(self.plan.crowd, port, seconds, self._running_pids)
        self._tasks.append(asyncio.create_task(self.crowd.run()))

    def _running_pids(self) -> list[int]:
        children = [process.child for process in self.processes]
        return [child.pid for child in children if child is not None and child.returncode is None]

    async def _start_stand_ins(self) -> None:
        for engine in self.engines:
            await engine.start()
        await self.bus.start()
        self.bus.say(*(host_entry(engine.name, engine.port) for engine in self.engines), whole=True)
        if self.plan.topology is Topology.UPGRADE:
            self._listening = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)

    async def _start_process(self, signals: tuple[TimedSignal, ...]) -> SoakProcess:
        write_files(self._folder, self.plan, self.bus.events, self.bus.port)
        fault_seed = f"{self.plan.seed}-{len(self.processes)}" if self.plan.has_socket_faults else ""
        process = SoakProcess(len(self.processes), self._folder, self._listening, self.clock, fault_seed)
        self.processes.append(process)
        await process.start()
        sending = asyncio.create_task(process.signal_in_turn(signals))
        self._tasks.append(sending)
        await process.ready(self.plan.topology is Topology.WORKERS)
        return process

    def _start_clients(self, gate: ConnectionGate) -> None:
        for number in range(CLIENTS):
            client = Client(number, self.plan, gate, self.pacer, self._ended)
            self.clients.append(client)
            self._client_tasks.append(asyncio.create_task(client.run()))
        if self.plan.has_idle_clients:
            self._tasks += [asyncio.create_task(IdleClient(gate, self._ended).run()) for _ in range(IDLE_CLIENTS)]

    async def _serve_and_end(self, process: SoakProcess, gate: ConnectionGate) -> None:
        self._tasks.append(asyncio.create_task(process.signal_in_turn(self.plan.serving_signals)))
        await asyncio.sleep(self.plan.serving_s)
        if self.plan.topology is Topology.UPGRADE:
            successor = await self._start_process(self.plan.start_signals)
            await process.terminate(self.plan.drain_signals, self.plan.kill_after_s, self._lag)
            process = successor
            # After the last process none accepts at the inherited socket, so new connections must end before it does.
            gate.closes_at = time.time()
            await asyncio.sleep(LAST_ACCEPT_S)
        else:
            gate.closes_at = time.time() + NEW_CONNECTIONS_AFTER_SIGTERM_S
        await process.terminate(self.plan.drain_signals, self.plan.kill_after_s, self._lag)

    async def _await_clients(self) -> None:
        self._ended.set()
        await asyncio.wait(self._client_tasks, timeout=LAST_ANSWERS_S)

    async def _close(self) -> None:
        self.faults.close()
        tasks = [*self._tasks, *self._client_tasks]
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        for process in self.processes:
            await process.close()
        for engine in self.engines:
            engine.close()
        self.bus.server.close()
        if self._listening is not None:
            self._listening.close()
        errors = [result for result in results if isinstance(result, Exception)]
        if errors:
            raise errors[0]  # an error of the soak itself

    async def _step_clock(self) -> None:
        started_at = time.monotonic()
        for step in self.plan.clock_steps:
            await asyncio.sleep(max(0.0, started_at + step.at_s - time.monotonic()))
            self.clock.step(step.seconds)

    # Engine faults.

    def _start_outage(self, outage: Outage) -> list[asyncio.Task[None]]:
        faults = [EngineFault(outage.at_s, outage.length_s, number, FaultKind.DRAIN) for number in range(ENGINES)]
        return [asyncio.create_task(self._play_fault(fault)) for fault in faults]

    async def _play_fault(self, fault: EngineFault) -> None:
        await self.faults.play(fault, self._operate)

    async def _operate(self, call: str) -> None:
        """Make an operator's call to the newest process; it may have ended."""
        with contextlib.suppress(OSError, FiguresUnavailableError):
            await asyncio.to_thread(call_operator, ("127.0.0.1", self.processes[-1].operator_port), call)


async def play(seed: int) -> SoakResult:
    """Play the run of a seed and check it."""
    plan = make_plan(seed)
    with tempfile.TemporaryDirectory() as folder:
        records = await SoakRun(plan, Path(folder)).play()
    counts: Counter[str] = Counter()
    for client in records.clients:
        for request in client.requests:
            counts["requests"] += bool(request.written_at)
            counts["left"] += request.left_at is not None
            counts.update(str(kind) for _, kind in request.answers)
    counts["runs"] = sum(len(engine.runs) for engine in records.engines)
    counts["sent again"] = counts["runs"] - len({run.ticket for engine in records.engines for run in engine.runs})
    return SoakResult(seed, find_violations(records), counts, records.lag_s)


async def play_all(seeds: Iterable[int], concurrency: int, on_result: Callable[[SoakResult], None]) -> list[SoakResult]:
    """Play the runs of these seeds, `concurrency` at a time, and call `on_result` with each result."""
    slots = asyncio.Semaphore(concurrency)
    results: list[SoakResult] = []

    async def play_one(seed: int) -> None:
        async with slots:
            result = await play(seed)
        results.append(result)
        on_result(result)

    await asyncio.gather(*(play_one(seed) for seed in seeds))
    return results
