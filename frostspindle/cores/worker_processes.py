"""Worker processes: their slots, start, heartbeats, end and restart.

Owns each slot's process, its mesh socket and its exit notification in the supervisor's event loop. When a worker is
restarted is decided in restarts.py, which share of the limits it gets in resource_sharing.py.
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import Callable

import msgspec

from frostspindle.config import Config
from frostspindle.core import clock, steady_clock
from frostspindle.cores import peer_workers, totals
from frostspindle.cores.bootstrap import (
    BOOTSTRAP_VARIABLE,
    CLOCK_OFFSET_VARIABLE,
    WorkerBootstrap,
    monotonic_ms,
)
from frostspindle.cores.control_publisher import ControlPublisher
from frostspindle.cores.layout import WorkerState
from frostspindle.cores.listening_sockets import ListeningSockets
from frostspindle.cores.resource_sharing import MIN_WORKER_DESCRIPTORS, ResourceSharing
from frostspindle.cores.restarts import RestartPolicy
from frostspindle.cores.shared_memory import RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.cores.worker_process import WorkerProcess
from frostspindle.net.http.listener import BACKLOG
from frostspindle.telemetry import Telemetry

DESCRIPTOR_WAIT_S = 0.05  # until it is looked again whether other workers have released enough descriptors
LOST_REQUEST_KEPT_S = 5.0  # beyond the longest deadline


class WorkerProcesses:
    """All worker slots. `on_crash_loop` is called once the restart policy gives up."""

    def __init__(
        self,
        config: Config,
        board: SharedMemoryBoard,
        control: ControlPublisher,
        resources: ResourceSharing,
        sockets: ListeningSockets,
        stopping: asyncio.Event,
        on_crash_loop: Callable[[], None],
        longest_deadline_s: float,
        telemetry: Telemetry,
    ) -> None:
        cores = config.operator.cores
        self.slots: list[WorkerProcess] = []
        self.key_order_folder = ""  # where the workers keep the order of their keys
        self._config = config
        self._board = board
        self._control = control
        self._resources = resources
        self._sockets = sockets
        self._stopping = stopping
        self._on_crash_loop = on_crash_loop
        self._telemetry = telemetry
        self._restart_policy = RestartPolicy(cores.crashes, cores.within_ms, cores.hang_ms)
        self._lost_request_kept_ms = (longest_deadline_s + LOST_REQUEST_KEPT_S) * 1000.0
        self._loop = asyncio.get_running_loop()
        self._life_fd = -1  # read end of a pipe that reaches its end when the supervisor dies
        self._alive_fd = -1  # the write end, held open for as long as the supervisor lives

    @property
    def running(self) -> list[WorkerProcess]:
        """Slots with a process."""
        return [worker for worker in self.slots if worker.process is not None]

    def open_slots(self) -> None:
        """Create all slots with their mesh sockets, so that each worker finds those of the others; OSError."""
        self._life_fd, self._alive_fd = os.pipe()
        for slot in range(self._config.operator.cores.workers):
            mesh_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            mesh_socket.bind(self._mesh_address(slot))
            mesh_socket.listen(BACKLOG)
            snapshot = RowSnapshot(WorkerRegion(self._board, slot))
            self.slots.append(WorkerProcess(slot, WorkerRegion(self._board, slot), snapshot, mesh_socket))

    def _mesh_address(self, slot: int) -> str:
        """An abstract address: nothing of it remains, whichever way the program ends."""
        return f"\0frostspindle-{self._board.nonce:016x}-{slot}"

    def start(self) -> None:
        """Start the process of each slot."""
        for worker in self.slots:
            self._prepare(worker)

    def _prepare(self, worker: WorkerProcess) -> None:
        """Make the slot ready for a new incarnation and start its process."""
        if self._stopping.is_set():
            return
        worker.incarnation += 1
        worker.is_killed = False
        worker.region.clear()
        self._control.page.living[worker.slot] = worker.incarnation
        self._resources.worker_started(worker.slot)
        self._launch(worker)

    def _launch(self, worker: WorkerProcess) -> None:
        """Start the process once the other workers have released the descriptors of its quota."""
        worker.start_timer = None
        if self._stopping.is_set():
            return
        self._resources.divide_descriptors(self.slots)
        self._control.publish()
        quota = self._control.page.sockets[worker.slot]
        if quota < MIN_WORKER_DESCRIPTORS:
            worker.start_timer = self._loop.call_later(DESCRIPTOR_WAIT_S, self._launch, worker)
            return
        bootstrap = self._bootstrap(worker, quota)
        inherited = (bootstrap.board, bootstrap.life, bootstrap.mesh, bootstrap.listener, bootstrap.tds)
        worker.process = subprocess.Popen(
            [sys.executable, "-m", "frostspindle.cores.worker"],
            pass_fds=[fd for fd in inherited if fd is not None],
            env={
                **self._config.environ,
                BOOTSTRAP_VARIABLE: msgspec.json.encode(bootstrap).decode(),
                CLOCK_OFFSET_VARIABLE: repr(steady_clock.offset_ms()),
            },
        )
        self._restart_policy.worker_started(worker.slot, monotonic_ms())
        worker.pidfd = os.pidfd_open(worker.process.pid)
        self._loop.add_reader(worker.pidfd, self._on_exit, worker)
        self._telemetry.log("worker_started", slot=worker.slot, pid=worker.process.pid, incarnation=worker.incarnation)

    def _bootstrap(self, worker: WorkerProcess, descriptor_quota: int) -> WorkerBootstrap:
        return WorkerBootstrap(
            slot=worker.slot,
            incarnation=worker.incarnation,
            slots=len(self.slots),
            nonce=self._board.nonce,
            sockets=descriptor_quota,
            board=self._board.fd,
            life=self._life_fd,
            mesh=worker.mesh_socket.fileno(),
            listener=self._sockets.http_fd,
            paths={other.slot: self._mesh_address(other.slot) for other in self.slots},
            tds=self._sockets.tds.fileno() if self._sockets.tds else None,
            order=self.key_order_folder,
        )

    def _on_exit(self, worker: WorkerProcess) -> None:
        """A worker's process has ended: account for what it had, share it among the others, and restart it."""
        assert worker.process is not None
        self._loop.remove_reader(worker.pidfd)
        os.close(worker.pidfd)
        code = worker.process.wait()
        worker.process = None
        now = monotonic_ms()
        lost_requests = self._account_for_ended(worker, code, now)
        self._control.page.living.pop(worker.slot, None)
        self._resources.worker_ended(worker.slot, now)
        self._resources.divide_descriptors(self.slots)
        self._control.publish()
        self._telemetry.count("worker_ends")
        self._telemetry.log("worker_ended", slot=worker.slot, code=code, **lost_requests)
        if not self._stopping.is_set():
            self._schedule_restart(worker, now, crashed=code != 0)

    def _account_for_ended(self, worker: WorkerProcess, code: int, now: float) -> dict[str, int]:
        """Keep the process's counts, and after a crash its losses; return the log fields on lost requests."""
        counts = Counter(dict(worker.region.counters()))
        lost = totals.lost_requests(counts)
        worker.past_counts.update(counts)
        worker.past_counts.update(lost)
        request_ids = worker.region.request_ids()
        if code != 0:
            loads = peer_workers.orphaned_loads(worker.region.rows(), clock())
            self._control.add_losses(loads, request_ids, until_ms=now + self._lost_request_kept_ms)
        return {"lost": sum(lost.values()), "ids": len(request_ids)}

    def _schedule_restart(self, worker: WorkerProcess, now: float, crashed: bool) -> None:
        backoff_ms = self._restart_policy.backoff_after_end(worker.slot, now, crashed)
        if backoff_ms is None:
            cores = self._config.operator.cores
            self._telemetry.log("crash_loop_detected", crashes=cores.crashes, within_ms=cores.within_ms)
            self._on_crash_loop()
            return
        worker.restarts += 1
        worker.start_timer = self._loop.call_later(backoff_ms / 1000.0, self._prepare, worker)

    def check_heartbeats(self, now: float) -> None:
        """Renew the leases of workers with a recent heartbeat and kill those that hang."""
        for worker in self.running:
            heartbeat_ms = worker.region.heartbeat_ms
            self._resources.renew(worker.slot, heartbeat_ms, now)
            if not worker.is_killed and self._restart_policy.is_hung(worker.slot, now, heartbeat_ms):
                worker.is_killed = True
                silent_ms = round(now - heartbeat_ms) if heartbeat_ms else None
                self._telemetry.log("worker_killed", slot=worker.slot, why="does not move", silent_ms=silent_ms)
                assert worker.process is not None
                worker.process.kill()

    def all_serve(self) -> bool:
        """Return whether each slot's worker accepts clients."""
        return all(worker.state == WorkerState.SERVING for worker in self.slots)

    def any_serves(self) -> bool:
        """Return whether some worker accepts clients."""
        return any(worker.state == WorkerState.SERVING for worker in self.slots)

    def terminate(self) -> None:
        """Ask all processes to drain and end, and start no further ones."""
        for worker in self.slots:
            if worker.start_timer is not None:
                worker.start_timer.cancel()
            if worker.process is not None:
                worker.process.send_signal(signal.SIGTERM)

    def kill_overdue(self) -> None:
        """Kill all processes that have not ended within the time allowed, with a log line for each."""
        for worker in self.running:
            self._telemetry.log("worker_killed", slot=worker.slot, why="does not end")
            assert worker.process is not None
            worker.process.kill()

    def close(self) -> None:
        """Kill the processes that are left and close all mesh sockets."""
        for worker in self.slots:
            if worker.process is not None:
                worker.process.kill()
            worker.mesh_socket.close()
