"""Operators' commands to a coordinator of several workers: readiness, drain, bans and figures.

Answers at once from shared memory and the control page; no command waits for a worker.
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
    """The commands of the operators' port; each raises OperatorError with the reason if it is refused."""

    def __init__(
        self,
        workers: WorkerProcesses,
        control: ControlPublisher,
        shared: Shared,
        status: CoordinatorStatus,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.was_ready = False  # all workers have served once, and the program does not end
        self._workers = workers
        self._control = control
        self._shared = shared
        self._status = status
        self._is_stopping = is_stopping

    def ready(self) -> None:
        """Check readiness: refused until all workers have served once, while draining, or if none serves now."""
        if not self.was_ready:
            raise OperatorError("the program ends" if self._is_stopping() else "not yet")
        if self._control.page.draining:
            raise OperatorError("clients are being sent away")
        if not self._workers.any_serves():
            raise OperatorError("no worker serves")

    def disable(self, name: str) -> None:
        """Ban an engine by name; refused if it was never listed, MAX_BANS are banned, or the ban can't be written."""
        self._check_listed(name)
        if len(self._shared.banned) >= MAX_BANS:
            raise OperatorError(f"{MAX_BANS} engines are left out already")
        self._set_ban(name, True)

    def enable(self, name: str) -> None:
        """End an engine's ban; refused if it was never listed or the change can't be written."""
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
        """Have all workers send their clients away until `resume`; readiness fails meanwhile."""
        self._control.page.draining = True
        self._control.publish()

    def resume(self) -> None:
        """End a drain: workers keep their clients' connections again."""
        self._control.page.draining = False
        self._control.publish()
