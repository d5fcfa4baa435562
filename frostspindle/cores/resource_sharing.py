"""Division of the coordinator's resources among its workers: budgets of cold engines and file descriptors.

Reads the workers' regions and rows, lets leases.py and limits.py decide, and writes the result to the control page.
To be used only in the supervisor's event loop.
"""

from __future__ import annotations

from collections.abc import Sequence

from frostspindle.config import Config
from frostspindle.core import clock
from frostspindle.cores.control_publisher import ControlPublisher
from frostspindle.cores.layout import HeadCell
from frostspindle.cores.leases import MAX_SEND_DELAY_MS, BudgetDemand, LeaseArbiter
from frostspindle.cores.limits import RESERVED_DESCRIPTORS, LimitDivider
from frostspindle.cores.shared_memory import SharedMemoryBoard
from frostspindle.cores.worker_process import WorkerProcess

MIN_WORKER_DESCRIPTORS = 64  # a worker is not started with fewer
SUPERVISOR_DESCRIPTORS = 24  # reserved for the supervisor itself
DESCRIPTORS_PER_WORKER = 4  # used by the supervisor for each worker


class ResourceSharing:
    """Leases on the budgets of cold engines, and each worker's quota of descriptors."""

    def __init__(self, config: Config, board: SharedMemoryBoard, control: ControlPublisher) -> None:
        workers = config.operator.cores.workers
        settings = config.settings
        own_descriptors = SUPERVISOR_DESCRIPTORS + DESCRIPTORS_PER_WORKER * workers
        self._board = board
        self._control = control
        self._slow_start_duration_ms = settings.slow_start_duration_ms
        self._arbiter = LeaseArbiter(workers, settings.slow_start_window_ms, MAX_SEND_DELAY_MS)
        self._divider = LimitDivider(config.limits.sockets - own_descriptors, minimum=MIN_WORKER_DESCRIPTORS)

    def worker_started(self, slot: int) -> None:
        """Include the slot's new process in the division of leases."""
        self._arbiter.worker_started(slot)

    def worker_ended(self, slot: int, now: float) -> None:
        """Reclaim the leases of the slot's process; `now` in ms of CLOCK_MONOTONIC."""
        self._arbiter.worker_ended(slot, now)

    def renew(self, slot: int, heartbeat_ms: float, now: float) -> None:
        """Renew the slot's leases if its last heartbeat is younger than the lease duration."""
        if heartbeat_ms and now - heartbeat_ms < self._arbiter.lease_ms:
            self._arbiter.renew(slot, now)

    def lease_budgets(self, workers: Sequence[WorkerProcess], now: float) -> None:
        """Divide the budgets of cold engines by the running workers' demands, and publish leases and expiries."""
        self._arbiter.rebalance(now, self._budget_demands(workers))
        if self._arbiter.changed:
            self._arbiter.changed = False
            self._control.page.leases = {
                engine: ([slot.units for slot in ledger.slots], [slot.serial for slot in ledger.slots])
                for engine, ledger in self._arbiter.engines.items()
            }
            self._control.publish()
        for slot, expiry_ms in enumerate(self._arbiter.lease_expiries):
            self._board.set_lease_expiry(slot, max(0.0, expiry_ms))

    def _budget_demands(self, workers: Sequence[WorkerProcess]) -> dict[int, dict[int, BudgetDemand]]:
        """Return the demand for each cold engine by slot, from the rows of the running workers."""
        demands: dict[int, dict[int, BudgetDemand]] = {}
        unix_ms = clock()
        for worker in workers:
            if worker.process is None:
                continue
            worker.snapshot.poll()
            for row in worker.snapshot.rows.values():
                if row.since_ms > 0 and unix_ms - row.since_ms < self._slow_start_duration_ms:
                    demand = BudgetDemand(row.spent, row.wanted, row.lease_serial)
                    demands.setdefault(row.engine, {})[worker.slot] = demand
        return demands

    def divide_descriptors(self, workers: Sequence[WorkerProcess]) -> None:
        """Divide the descriptors among the live workers by their use, for the next publication."""
        used = {
            worker.slot: max(RESERVED_DESCRIPTORS, worker.region.read_cell(HeadCell.DESCRIPTORS_USED))
            for worker in workers
            if worker.slot in self._control.page.living
        }
        self._control.set_descriptor_quotas(self._divider.divide(used))
