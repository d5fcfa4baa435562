"""The supervisor: starts the workers, answers for them as one, and holds no request.

Owns the listening sockets, the board's control pages, signals, readiness, the operators' address, the SNMP agent and
the sums. It must never accept a client's connection, never keep an operator waiting for a worker, and never let a
worker outlive the program. When a worker is restarted, who may send what to a cold engine and who may use how much is
decided in restarts.py, leases.py and limits.py.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from frostspindle import config as configuration
from frostspindle import signals
from frostspindle.config import Config, ConfigError
from frostspindle.core import clock
from frostspindle.cores import layout as form
from frostspindle.cores import peer_workers, totals
from frostspindle.cores.leases import BudgetDemand, LeaseArbiter
from frostspindle.cores.limits import LimitDivider
from frostspindle.cores.link import DECIDED_MS, SPARE, WorkerBootstrap, mono
from frostspindle.cores.restarts import RestartPolicy
from frostspindle.cores.shared_memory import ControlPage, RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.cores.worker import PASSPORT
from frostspindle.net.http.calls import FRONT
from frostspindle.net.http.listener import BACKLOG
from frostspindle.net.operator import OperatorError, OperatorServer
from frostspindle.net.tds.front import BACKLOG as TDS_BACKLOG
from frostspindle.shared import Shared
from frostspindle.telemetry import Telemetry

TICK_S = 0.02
LEAST_SOCKETS, LET_GO_S = 64, 0.05  # a worker starts with so many descriptors at least; the wait for others to let go
RESERVED = 24  # descriptors of the supervisor itself, beside a few for each worker
STOP_S = 8.0  # beyond the longest deadline, workers are killed
MOST_LOST, KEEP_LOST_S = 4096, 5.0  # ids of requests that died with their worker; kept beyond the longest deadline
MOST_NAMES, MOST_BANS = 4096, 1024


@dataclass(slots=True)
class Worker:
    """One worker slot and the process in it."""

    slot: int
    region: WorkerRegion
    sight: RowSnapshot
    listening: socket.socket  # of its mesh; it outlives the process
    incarnation: int = 0
    process: subprocess.Popen[bytes] | None = None
    pidfd: int = -1
    killed: bool = False
    restarts: int = 0
    timer: asyncio.TimerHandle | None = None
    past: Counter[totals.Key] = field(default_factory=Counter)  # of processes that ended


class Supervisor:
    """All workers of one coordinator, with the sockets, board and sums that they share."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.cores = config.operator.cores
        self.telemetry = Telemetry(config.name)
        self.classes = [(FRONT, name) for name in config.classes] + [("tds", name) for name in config.plan.classes]
        count = self.cores.workers
        buckets = 1 << max(8, (config.limits.sockets // 4 - 1).bit_length())
        self.order = ""  # the folder in which the workers keep the order of their keys
        self._folder: tempfile.TemporaryDirectory[str] | None = None  # that, where it is for them only
        self.board = SharedMemoryBoard.create(form.Layout(count, buckets=buckets))
        self.control = ControlPage()
        settings = config.settings
        self.arbiter = LeaseArbiter(count, settings.slow_start_window_ms, DECIDED_MS)
        self.restarts = RestartPolicy(self.cores.crashes, self.cores.within_ms, self.cores.hang_ms)
        self.reserved = RESERVED + 4 * count
        self.divider = LimitDivider(config.limits.sockets - self.reserved, least=LEAST_SOCKETS)
        self.longest_s = max(3.0, *(c.deadline_ms / 1000.0 for c in settings.classes))
        self.workers: list[Worker] = []
        self.lost: list[tuple[float, int]] = []
        self.names: dict[str, None] = {}
        self.shared = Shared(config.environ, config.name, self.telemetry)
        self.stopping, self.failed, self.once_ready = asyncio.Event(), False, False
        self.desk = (
            OperatorServer(
                config.operator_address,
                {
                    "ready": self.ready,
                    "show-stat": self.figures,
                    "drain": self.drain,
                    "resume": self.resume,
                    "disable-server": self.disable,
                    "enable-server": self.enable,
                },
                self.telemetry,
            )
            if config.operator_address
            else None
        )
        if self.desk and config.operator.metrics:
            from frostspindle.net import metrics  # the library costs memory that only its users pay

            self.desk.handlers["metrics"] = lambda: metrics.text(self.figures())
        self.agent: Any = None
        self.listener: socket.socket | None = None
        self.tds: socket.socket | None = None
        self._ticker: asyncio.TimerHandle | None = None
        self._dirty = False

    # Start and end.

    async def start(self) -> None:
        """Bind the listening sockets, start the operators' port and all workers, and begin the periodic tick.

        OSError, its text naming the setting, if an address can't be bound. Returns before the workers serve: see
        `ready`.
        """
        self.loop = asyncio.get_running_loop()
        if self.desk:
            try:
                await self.desk.start()
            except OSError as error:
                raise OSError(f"LB_OPERATOR: {error}") from None
        self._bind()
        self.life, self._alive = os.pipe()
        for slot in range(self.cores.workers):
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            listening.bind(self._path(slot))
            listening.listen(BACKLOG)
            self.workers.append(
                Worker(slot, WorkerRegion(self.board, slot), RowSnapshot(WorkerRegion(self.board, slot)), listening)
            )
        self.shared.start(self._banned, self._crowd)
        if any(cls.in_order for cls in self.config.settings.classes):
            if self.shared.order is None:  # without a $TMPDIR that lasts there are no others than these workers
                self._folder = tempfile.TemporaryDirectory(prefix="frostspindle-")
            self.order = self._folder.name if self._folder else str(self.shared.order)
        self._publish()
        for worker in self.workers:
            self._spawn(worker)
        if snmp := self.config.operator.snmp:
            from frostspindle.net.snmp import Agent

            self.agent = Agent(snmp, self, self, self.sessions)  # type: ignore[arg-type]
            await self.agent.start(self.config.inherited is not None)
        self._tick()

    def _bind(self) -> None:
        if self.config.inherited is None:
            host, port = self.config.listen
            try:
                self.listener = socket.create_server(
                    (host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET, backlog=BACKLOG
                )
            except OSError as error:
                raise OSError(f"LB_LISTEN: {error}") from None
        if tds := self.config.operator.tds:
            host, port = configuration.address(tds.listen, "tds.listen")
            try:
                self.tds = socket.create_server(
                    (host, port),
                    family=socket.AF_INET6 if ":" in host else socket.AF_INET,
                    backlog=TDS_BACKLOG,
                    reuse_port=self.config.inherited is not None,
                )
            except OSError as error:
                raise OSError(f"tds.listen: {error}") from None

    def _path(self, slot: int) -> str:
        """An abstract address: nothing of it is left over, whichever way the program ends."""
        return f"\0frostspindle-{self.board.nonce:016x}-{slot}"

    def _spawn(self, worker: Worker) -> None:
        if self.stopping.is_set():
            return
        worker.incarnation += 1
        worker.killed = False
        worker.region.clear()
        self.control.living[worker.slot] = worker.incarnation
        self.arbiter.up(worker.slot)
        self._launch(worker)

    def _launch(self, worker: Worker) -> None:
        """Start the process once the others have let go of the descriptors that are to be its."""
        worker.timer = None
        if self.stopping.is_set():
            return
        self._divide()
        self._publish()
        if (share := self.control.sockets[worker.slot]) < LEAST_SOCKETS:
            worker.timer = self.loop.call_later(LET_GO_S, self._launch, worker)
            return
        listening = self.listener.fileno() if self.listener else self.config.inherited
        assert listening is not None
        passport = WorkerBootstrap(
            worker.slot,
            worker.incarnation,
            len(self.workers),
            self.board.nonce,
            share,
            self.board.fd,
            self.life,
            worker.listening.fileno(),
            listening,
            {w.slot: self._path(w.slot) for w in self.workers},
            self.tds.fileno() if self.tds else None,
            self.order,
        )
        fds = [
            fd
            for fd in (passport.board, passport.life, passport.mesh, passport.listener, passport.tds)
            if fd is not None
        ]
        worker.process = subprocess.Popen(
            [sys.executable, "-m", "frostspindle.cores.worker"],
            pass_fds=fds,
            env={**self.config.environ, PASSPORT: msgspec.json.encode(passport).decode()},
        )
        self.restarts.started(worker.slot, mono())
        worker.pidfd = os.pidfd_open(worker.process.pid)
        self.loop.add_reader(worker.pidfd, self._ended, worker)
        self.telemetry.log("worker_started", slot=worker.slot, pid=worker.process.pid, incarnation=worker.incarnation)

    def _ended(self, worker: Worker) -> None:
        """A worker's process has ended: what it had is booked, divided anew, and a successor started."""
        assert worker.process is not None
        self.loop.remove_reader(worker.pidfd)
        os.close(worker.pidfd)
        code, worker.process = worker.process.wait(), None
        now = mono()
        counts = Counter(dict(worker.region.counters()))
        gone = totals.lost(counts)
        worker.past.update(counts)
        worker.past.update(gone)
        ids = worker.region.ids()
        if code != 0:
            self.control.ghosts = [*self.control.ghosts, *peer_workers.ghosts(worker.region.rows(), clock())]
            until = now + (self.longest_s + KEEP_LOST_S) * 1000.0
            self.lost = [*self.lost, *((until, ticket) for ticket in ids)][-MOST_LOST:]
        self.control.living.pop(worker.slot, None)
        self.arbiter.down(worker.slot, now)
        self._divide()
        self._publish()
        self.telemetry.count("worker_ends")
        self.telemetry.log("worker_ended", slot=worker.slot, code=code, lost=sum(gone.values()), ids=len(ids))
        if self.stopping.is_set():
            return
        wait_ms = self.restarts.ended(worker.slot, now, code != 0)
        if wait_ms is None:
            self.telemetry.log("crash_loop", crashes=self.cores.crashes, within_ms=self.cores.within_ms)
            self.failed = True
            self.stopping.set()
            return
        worker.restarts += 1
        worker.timer = self.loop.call_later(wait_ms / 1000.0, self._spawn, worker)

    async def stop(self) -> None:
        """Have all workers drain and end, and print the final report.

        Workers still running STOP_S after the longest deadline are killed.
        """
        self.once_ready = False
        self.control.ending = True
        self._publish()
        self.telemetry.log("stopping", open=self.inflight)
        for worker in self.workers:
            if worker.timer is not None:
                worker.timer.cancel()
            if worker.process is not None:
                worker.process.send_signal(signal.SIGTERM)
        if self.config.inherited is not None:
            if self.agent:
                self.agent.close()
            if self.tds:
                self.tds.close()
        last = self.loop.time() + self.longest_s + STOP_S
        while any(worker.process is not None for worker in self.workers):
            if self.loop.time() > last:
                for worker in self.workers:
                    if worker.process is not None:
                        self.telemetry.log("worker_killed", slot=worker.slot, why="does not end")
                        worker.process.kill()
                last = self.loop.time() + STOP_S
            await asyncio.sleep(TICK_S)
        self.report()

    def close(self) -> None:
        """Kill the workers that are left; close mesh sockets, the operators' port, the SNMP agent and shared files."""
        if self._ticker is not None:
            self._ticker.cancel()
        for worker in self.workers:
            if worker.process is not None:
                worker.process.kill()
            worker.listening.close()
        if self.desk:
            self.desk.close()
        if self.agent:
            self.agent.close()
        self.shared.close()
        if self._folder is not None:
            self._folder.cleanup()

    # The turn.

    def _tick(self) -> None:
        self._ticker = self.loop.call_later(TICK_S, self._tick)
        now = mono()
        for worker in self.workers:
            if worker.process is None:
                continue
            beat = worker.region.beat
            if beat and now - beat < self.arbiter.lease_ms:
                self.arbiter.beat(worker.slot, now)
            if not worker.killed and self.restarts.hangs(worker.slot, now, beat):
                worker.killed = True
                self.telemetry.log(
                    "worker_killed",
                    slot=worker.slot,
                    why="does not move",
                    silent_ms=round(now - beat) if beat else None,
                )
                worker.process.kill()
        self._lease(now)
        self._divide()
        ghosts = [ghost for ghost in self.control.ghosts if ghost.until_ms > clock()]
        self.lost = [(until, ticket) for until, ticket in self.lost if until > now]
        if len(ghosts) != len(self.control.ghosts) or len(self.lost) != len(self.control.lost):
            self.control.ghosts, self._dirty = ghosts, True
        if self._dirty:
            self._publish()
        if (
            not self.once_ready
            and not self.stopping.is_set()
            and all(w.region.get(form.STATE) == form.SERVING for w in self.workers)
        ):
            self.once_ready = True
            self.telemetry.log(
                "ready",
                listen=f"{self.config.listen[0]}:{self.port}",
                workers=len(self.workers),
                tds=self.tds.getsockname()[1] if self.tds else None,
                snmp=self.agent.port if self.agent else None,
            )

    def _lease(self, now: float) -> None:
        needs: dict[int, dict[int, BudgetDemand]] = {}
        unix = clock()
        warm_ms = self.config.settings.slow_start_duration_ms
        for worker in self.workers:
            if worker.process is not None:
                worker.sight.look()
                for row in worker.sight.rows.values():
                    if row.since_ms > 0 and unix - row.since_ms < warm_ms:
                        needs.setdefault(row.engine, {})[worker.slot] = BudgetDemand(row.spent, row.wished, row.seen)
        self.arbiter.step(now, needs)
        if self.arbiter.changed:
            self.arbiter.changed = False
            self.control.leases = {
                engine: ([s.units for s in ledger.slots], [s.serial for s in ledger.slots])
                for engine, ledger in self.arbiter.engines.items()
            }
            self._publish()
        for slot, horizon in enumerate(self.arbiter.horizons):
            self.board.set_horizon(slot, max(0.0, horizon))

    def _divide(self) -> None:
        used = {w.slot: max(SPARE, w.region.get(form.SOCKETS)) for w in self.workers if w.slot in self.control.living}
        shares = self.divider.step(used)
        if shares != self.control.sockets:
            self.control.sockets, self._dirty = shares, True

    def _publish(self) -> None:
        self._dirty = False
        self.control.lost = [ticket for _, ticket in self.lost]
        try:
            self.board.publish(self.control)
        except ValueError as error:  # what is in force stays: units that were not told are not used, nor given on
            self.count("control_full")
            self.telemetry.log("board", error=str(error))

    def _banned(self, banned: frozenset[str]) -> None:
        self.control.bans = sorted(banned)
        self._publish()

    def _crowd(self, crowded: bool) -> None:
        self.control.crowded = crowded
        self._publish()
        self.telemetry.log("crowd", crowded=crowded)

    # What operators call.

    def ready(self) -> None:
        """Answer the readiness check: Nak until all workers have served once, while draining, or if none serves now."""
        if not self.once_ready:
            raise OperatorError("not yet" if not self.stopping.is_set() else "the program ends")
        if self.control.draining:
            raise OperatorError("clients are being sent away")
        if not any(w.region.get(form.STATE) == form.SERVING for w in self.workers):
            raise OperatorError("no worker serves")

    def disable(self, name: str) -> None:
        """Ban an engine by name; Nak if it was never listed, MOST_BANS are banned, or the ban can't be written."""
        self._ban(name, True)

    def enable(self, name: str) -> None:
        """End an engine's ban; Nak if it was never listed or the change can't be written."""
        self._ban(name, False)

    def _ban(self, name: str, on: bool) -> None:
        self._standings()
        if name not in self.names:
            raise OperatorError(f"{name} was never listed")
        if on and len(self.shared.banned) >= MOST_BANS:
            raise OperatorError(f"{MOST_BANS} engines are left out already")
        try:
            self.shared.ban(name, on)
        except OSError as error:
            raise OperatorError(f"the ban can't be kept: {error.strerror}") from None

    def drain(self) -> None:
        """Have all workers send their clients away until `resume`; readiness fails meanwhile."""
        self.control.draining = True
        self._publish()

    def resume(self) -> None:
        """End a drain: workers keep their clients' connections again."""
        self.control.draining = False
        self._publish()

    # What is told: sums over all workers, in the shape that a single process has.

    @property
    def port(self) -> int:
        """TCP port of the client listener, also of one that was inherited."""
        if self.listener is not None:
            return int(self.listener.getsockname()[1])
        with socket.socket(fileno=os.dup(self.config.inherited or 0)) as held:
            return int(held.getsockname()[1])

    @property
    def name(self) -> str:
        """Configured name of this coordinator."""
        return self.config.name

    @property
    def started(self) -> float:
        """Start of the supervisor, in Unix seconds."""
        return self.telemetry.started

    @property
    def counts(self) -> Counter[totals.Key]:
        """Sums of all counters: the supervisor's own, of running workers and of those that have ended."""
        out = Counter(self.telemetry.counts)
        for worker in self.workers:
            out.update(worker.past)
            if worker.process is not None:
                for key, value in worker.region.counters():
                    out[key] += value
        return out

    def count(self, what: str, front: str = "", cls: str = "", by: int = 1) -> None:
        """Add `by` to one of the supervisor's own counters."""
        self.telemetry.count(what, front, cls, by)

    @property
    def inflight(self) -> int:
        """Number of open requests, from the counters, which are written at once; the cell OPEN is a tick old."""
        ends = {"taken": 1, "served": -1, "refused": -1, "failed": -1, "left": -1, "lost": -1}
        return max(0, sum(ends.get(what, 0) * n for (what, _, _), n in self.counts.items()))

    def sessions(self) -> dict[str, int]:
        """Return the open client connections of running workers, by front."""
        living = [w.region for w in self.workers if w.process is not None]
        return {
            FRONT: sum(region.get(form.CLIENTS) for region in living),
            "tds": sum(region.get(form.TDS) for region in living),
        }

    def _standings(self) -> dict[int, totals.EngineSummary]:
        out = totals.standings([w.region.rows() for w in self.workers], self.shared.banned)
        for state in out.values():
            self.names.pop(state.name, None)
            self.names[state.name] = None
        while len(self.names) > MOST_NAMES:
            del self.names[next(iter(self.names))]
        return out

    @property
    def engines(self) -> dict[int, Any]:
        """Engines by number, in the form that the SNMP agent reads."""
        return {number: _EngineView(state.name, state.address, state) for number, state in self._standings().items()}

    def figures(self) -> dict[str, Any]:
        """Return the figures of `show-stat`: the sums of a single process, and under `workers` each worker's state."""
        out = totals.figures(self.classes, self.counts, self.inflight, self._standings(), self.shared.banned)
        states = {form.STARTING: "starting", form.SERVING: "serving", form.LEAVING: "leaving", form.ENDED: "ended"}
        out["workers"] = [
            {
                "worker": w.slot,
                "pid": w.process.pid if w.process else None,
                "restarts": w.restarts,
                "state": states[w.region.get(form.STATE)] if w.process else "down",
                "inflight": w.region.get(form.OPEN) if w.process else 0,
                "clients": w.region.get(form.CLIENTS) if w.process else 0,
                "sockets": self.control.sockets.get(w.slot, 0),
                "taken": sum(
                    n
                    for counts in (w.past, dict(w.region.counters()) if w.process else {})
                    for (what, _, _), n in counts.items()
                    if what == "taken"
                ),
            }
            for w in self.workers
        ]
        return out

    def report(self) -> None:
        """Write counters and figures to the log, on SIGUSR1 and at the end, and have each worker write its own."""
        rows = [
            {"what": what, "front": front, "class": cls, "count": count}
            for (what, front, cls), count in sorted(self.counts.items())
        ]
        self.telemetry._write(
            time.time(),
            "counters",
            {
                "up_s": round(time.time() - self.started, 1),
                "counters": rows,
                "clients": self.sessions(),
                "figures": self.figures(),
                "board": {
                    "version": self.board.version,
                    "leases": {f"{engine:08x}": units for engine, (units, _) in self.control.leases.items()},
                },
            },
        )
        for worker in self.workers:
            if worker.process is not None and worker.region.beat:
                worker.process.send_signal(signal.SIGUSR1)

    def reload(self) -> None:
        """Reload the configuration on SIGHUP: check it here, then signal the workers to read it.

        A configuration that can't be read, or that changes `cores`, is logged and counted, and changes nothing
        anywhere.
        """
        try:
            fresh = configuration.read(self.config.environ)
            if fresh.operator.cores != self.cores:
                raise ConfigError("cores: needs a new start")
        except Exception as error:  # noqa: BLE001 - whatever the files hold, all goes on as it was
            self.telemetry.count("reloads_failed")
            self.telemetry.log("reload", error=str(error) if isinstance(error, ConfigError) else repr(error))
            return
        for worker in self.workers:
            if worker.process is not None and worker.region.beat:
                worker.process.send_signal(signal.SIGHUP)


@dataclass(slots=True, frozen=True)
class _EngineView:
    """An engine in the shape that the SNMP agent reads."""

    name: str
    address: tuple[str, int]
    entry: totals.EngineSummary


async def run(config: Config) -> int:
    """Run a supervisor until SIGTERM, SIGINT or a crash loop of its workers; return the exit code, 1 after a crash
    loop.

    OSError if an address can't be bound. SIGUSR1 writes a report, SIGHUP reloads the configuration.
    """
    supervisor = Supervisor(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, supervisor.stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, supervisor.report)
    loop.add_signal_handler(signal.SIGHUP, supervisor.reload)
    signals.release()
    try:
        await supervisor.start()
        await supervisor.stopping.wait()
        await supervisor.stop()
    finally:
        supervisor.close()
    return int(supervisor.failed)
