"""The supervisor's record of one worker slot: its process, region of shared memory and mesh socket."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from frostspindle.cores import totals
from frostspindle.cores.layout import HeadCell
from frostspindle.cores.shared_memory import RowSnapshot, WorkerRegion


@dataclass(slots=True)
class WorkerProcess:
    """One worker slot and the process in it."""

    slot: int
    region: WorkerRegion
    snapshot: RowSnapshot
    mesh_socket: socket.socket  # listens for the other workers; kept open across restarts
    incarnation: int = 0
    process: subprocess.Popen[bytes] | None = None
    pidfd: int = -1
    is_killed: bool = False
    restarts: int = 0
    start_timer: asyncio.TimerHandle | None = None
    past_counts: Counter[totals.CounterKey] = field(default_factory=Counter)  # of processes that have exited

    @property
    def state(self) -> int:
        """The last WorkerState that the process has published."""
        return self.region.read_cell(HeadCell.STATE)

    @property
    def current_counts(self) -> Mapping[totals.CounterKey, int]:
        """Counters of the running process; empty if there is none."""
        return dict(self.region.counters()) if self.process is not None else {}

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Signal the process if it runs and has sent a heartbeat; before that, it may have no signal handlers."""
        if self.process is not None and self.region.heartbeat_ms:
            self.process.send_signal(signal_number)
