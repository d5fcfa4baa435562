"""Lifecycle of the worker processes: start, heartbeat check, exit and restart of the process in each slot.

The supervisor's event loop is notified of each exit through a pidfd. restarts.py decides when a worker is restarted,
resource_sharing.py which share of the limits it gets.
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

DESCRIPTOR_POLL_INTERVAL_S = 0.05  # between checks whether other workers have released enough descriptors
LOST_REQUEST_RETENTION_S = 5.0  # in addition to the longest deadline


class WorkerProcesses:
    """All worker slots. `on_crash_loop` is called when the restart policy detects a crash loop."""

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
        cores_config = config.operator.cores
        self.slots: list[WorkerProcess] = []
        self.key_order_folder = ""  # of what the workers share in files
        self._config = config
        self._board = board
        self._control = control
        self._resources = resources
        self._sockets = sockets
        self._stopping = stopping
        self._on_crash_loop = on_crash_loop
        self._telemetry = telemetry
        self._restart_policy = RestartPolicy(cores_config.crashes, cores_config.within_ms, cores_config.hang_ms)
        self._lost_request_retention_ms = (longest_deadline_s + LOST_REQUEST_RETENTION_S) * 1000.0
        self._loop = asyncio.get_running_loop()
        self._supervisor_exit_fd = -1  # read end of a pipe, for the workers; EOF: the supervisor has exited
        self._supervisor_alive_fd = -1  # its write end, which only the supervisor holds open

    @property
    def running(self) -> list[WorkerProcess]:
        """Slots whose process runs."""
        return [worker for worker in self.slots if worker.process is not None]

    def open_slots(self) -> None:
        """Create all slots and bind their mesh sockets before any worker starts; raise OSError if that fails."""
        self._supervisor_exit_fd, self._supervisor_alive_fd = os.pipe()
        for slot in range(self._config.operator.cores.workers):
            mesh_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            mesh_socket.bind(self._mesh_address(slot))
            mesh_socket.listen(BACKLOG)
            snapshot = RowSnapshot(WorkerRegion(self._board, slot))
            self.slots.append(WorkerProcess(slot, WorkerRegion(self._board, slot), snapshot, mesh_socket))

    def _mesh_address(self, slot: int) -> str:
        """Return the slot's mesh address; it is abstract, so that the kernel removes it with the last process."""
        return f"\0frostspindle-{self._board.nonce:016x}-{slot}"

    def start(self) -> None:
        """Start the process of each slot."""
        for worker in self.slots:
            self._start_incarnation(worker)

    def _start_incarnation(self, worker: WorkerProcess) -> None:
        """Reset the slot for a new incarnation and start its process; does nothing during shutdown."""
        if self._stopping.is_set():
            return
        worker.incarnation += 1
        worker.is_killed = False
        worker.region.clear()
        self._control.page.living[worker.slot] = worker.incarnation
        self._resources.worker_started(worker.slot)
        self._launch(worker)

    def _launch(self, worker: WorkerProcess) -> None:
        """Start the process, as soon as the other workers have released enough descriptors for its quota."""
        worker.start_timer = None
        if self._stopping.is_set():
            return
        self._resources.divide_descriptors(self.slots)
        self._control.publish()
        quota = self._control.page.sockets[worker.slot]
        if quota < MIN_WORKER_DESCRIPTORS:
            worker.start_timer = self._loop.call_later(DESCRIPTOR_POLL_INTERVAL_S, self._launch, worker)
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
        self._loop.add_reader(worker.pidfd, self._on_worker_exit, worker)
        self._telemetry.log("worker_started", slot=worker.slot, pid=worker.process.pid, incarnation=worker.incarnation)

    def _bootstrap(self, worker: WorkerProcess, descriptor_quota: int) -> WorkerBootstrap:
        return WorkerBootstrap(
            slot=worker.slot,
            incarnation=worker.incarnation,
            slots=len(self.slots),
            nonce=self._board.nonce,
            sockets=descriptor_quota,
            board=self._board.fd,
            life=self._supervisor_exit_fd,
            mesh=worker.mesh_socket.fileno(),
            listener=self._sockets.http_fd,
            paths={other.slot: self._mesh_address(other.slot) for other in self.slots},
            tds=self._sockets.tds.fileno() if self._sockets.tds else None,
            order=self.key_order_folder,
        )

    def _on_worker_exit(self, worker: WorkerProcess) -> None:
        """Record a worker's exit, redistribute its resources to the others, and schedule its restart."""
        assert worker.process is not None
        self._loop.remove_reader(worker.pidfd)
        os.close(worker.pidfd)
        code = worker.process.wait()
        worker.process = None
        now = monotonic_ms()
        lost_fields = self._record_exit(worker, code, now)
        self._control.page.living.pop(worker.slot, None)
        self._resources.worker_ended(worker.slot, now)
        self._resources.divide_descriptors(self.slots)
        self._control.publish()
        self._telemetry.count("worker_ends")
        self._telemetry.log("worker_ended", slot=worker.slot, code=code, **lost_fields)
        if not self._stopping.is_set():
            self._schedule_restart(worker, now, crashed=code != 0)

    def _record_exit(self, worker: WorkerProcess, code: int, now: float) -> dict[str, int]:
        """Add up the process's counters and, after a crash, publish its losses; return log fields on lost requests."""
        counts = Counter(dict(worker.region.counters()))
        lost_counts = totals.lost_requests(counts)
        worker.past_counts.update(counts)
        worker.past_counts.update(lost_counts)
        request_ids = worker.region.request_ids()
        if code != 0:
            loads = peer_workers.orphaned_loads(worker.region.rows(), clock())
            self._control.add_losses(loads, request_ids, until_ms=now + self._lost_request_retention_ms)
        return {"lost": sum(lost_counts.values()), "ids": len(request_ids)}

    def _schedule_restart(self, worker: WorkerProcess, now: float, crashed: bool) -> None:
        backoff_ms = self._restart_policy.backoff_after_end(worker.slot, now, crashed)
        if backoff_ms is None:
            cores_config = self._config.operator.cores
            self._telemetry.log("crash_loop_detected", crashes=cores_config.crashes, within_ms=cores_config.within_ms)
            self._on_crash_loop()
            return
        worker.restarts += 1
        worker.start_timer = self._loop.call_later(backoff_ms / 1000.0, self._start_incarnation, worker)

    def check_heartbeats(self, now: float) -> None:
        """Renew the leases of workers with a recent heartbeat, and kill hung workers."""
        for worker in self.running:
            heartbeat_ms = worker.region.heartbeat_ms
            self._resources.renew(worker.slot, heartbeat_ms, now)
            if not worker.is_killed and self._restart_policy.is_hung(worker.slot, now, heartbeat_ms):
                worker.is_killed = True
                heartbeat_age_ms = round(now - heartbeat_ms) if heartbeat_ms else None
                self._telemetry.log("worker_killed", slot=worker.slot, why="no heartbeat", silent_ms=heartbeat_age_ms)
                assert worker.process is not None
                worker.process.kill()

    def all_serve(self) -> bool:
        """Return whether every worker accepts clients."""
        return all(worker.state == WorkerState.SERVING for worker in self.slots)

    def any_serves(self) -> bool:
        """Return whether at least one worker accepts clients."""
        return any(worker.state == WorkerState.SERVING for worker in self.slots)

    def terminate(self) -> None:
        """Cancel pending starts and send SIGTERM to all processes, which drain and exit."""
        for worker in self.slots:
            if worker.start_timer is not None:
                worker.start_timer.cancel()
            if worker.process is not None:
                worker.process.send_signal(signal.SIGTERM)

    def kill_overdue(self) -> None:
        """Kill all processes that have not exited in time, and log each."""
        for worker in self.running:
            self._telemetry.log("worker_killed", slot=worker.slot, why="exit overdue")
            assert worker.process is not None
            worker.process.kill()

    def close(self) -> None:
        """Kill the remaining processes and close all mesh sockets."""
        for worker in self.slots:
            if worker.process is not None:
                worker.process.kill()
            worker.mesh_socket.close()
