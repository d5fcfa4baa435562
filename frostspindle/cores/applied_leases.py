"""The leases on cold engines' budgets that a worker has applied."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from frostspindle.cores import leases
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.shared_memory import SharedMemoryBoard


class AppliedLeases:
    """Serial of the applied lease by engine, which the worker's rows confirm to the supervisor."""

    def __init__(self, slot: int, board: SharedMemoryBoard, control: ControlReader) -> None:
        self.serials: dict[int, int] = {}
        self._slot = slot
        self._board = board
        self._control = control

    @property
    def is_expired(self) -> bool:
        """Whether all leases of this worker have expired."""
        return monotonic_ms() >= self._board.lease_expiry(self._slot)

    def apply(self, engine: int) -> float:
        """Apply the published lease on an engine; return this worker's fraction (0 to 1) of the engine's budget."""
        units, serials = self._control.page.leases.get(engine, ((), ()))
        if self._slot >= len(units):
            return 0.0
        self.serials[engine] = serials[self._slot]
        return leases.budget_fraction(units[self._slot], self._board.lease_expiry(self._slot), monotonic_ms())

    def retain(self, engines: AbstractSet[int]) -> None:
        """Remove the leases on all engines except these."""
        for engine in self.serials.keys() - engines:
            del self.serials[engine]

    def forget(self, engine: int) -> None:
        """Remove the lease on an engine."""
        self.serials.pop(engine, None)
