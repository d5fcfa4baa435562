"""Operator commands for a coordinator with several workers: readiness, drain and bans.

Commands use only shared memory and the control page, so that none waits for a worker.
"""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.cores.control_publisher import ControlPublisher
from frostspindle.cores.status import CoordinatorStatus
from frostspindle.cores.worker_processes import WorkerProcesses
from frostspindle.net.operator import OperatorError
from frostspindle.shared import Shared

MAX_BANS = 1024


class OperatorCommands:
    """The commands of the operator port; each raises OperatorError with the reason if it is refused."""

    def __init__(
        self,
        workers: WorkerProcesses,
        control: ControlPublisher,
        shared: Shared,
        status: CoordinatorStatus,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.was_ready = False  # all workers have served at the same time; False again during shutdown
        self._workers = workers
        self._control = control
        self._shared = shared
        self._status = status
        self._is_stopping = is_stopping

    def ready(self) -> None:
        """Check readiness: refused until all workers have started, during a drain, and while no worker serves."""
        if not self.was_ready:
            raise OperatorError("the program ends" if self._is_stopping() else "not yet")
        if self._control.page.draining:
            raise OperatorError("clients are being sent away")
        if not self._workers.any_serves():
            raise OperatorError("no worker is serving")

    def disable(self, name: str) -> None:
        """Ban an engine by name; refused if it was never listed, if MAX_BANS exist, or if the ban can't be stored."""
        self._check_listed(name)
        if len(self._shared.banned) >= MAX_BANS:
            raise OperatorError(f"{MAX_BANS} engines are banned already")
        self._set_ban(name, True)

    def enable(self, name: str) -> None:
        """Lift an engine's ban; refused if the engine was never listed or the change can't be stored."""
        self._check_listed(name)
        self._set_ban(name, False)

    def _check_listed(self, name: str) -> None:
        if not self._status.was_listed(name):
            raise OperatorError(f"{name} was never listed")

    def _set_ban(self, name: str, is_banned: bool) -> None:
        try:
            self._shared.ban(name, is_banned)
        except OSError as error:
            raise OperatorError(f"the ban can't be kept: {error.strerror}") from None

    def drain(self) -> None:
        """Drain client connections from all workers until `resume`; readiness fails meanwhile."""
        self._control.page.draining = True
        self._control.publish()

    def resume(self) -> None:
        """End a drain: all workers accept and keep client connections again. Raise OperatorError during shutdown."""
        if self._is_stopping():
            raise OperatorError("the program ends")
        self._control.page.draining = False
        self._control.publish()
