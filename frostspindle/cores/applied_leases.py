"""A worker's leases on the budgets of cold engines, and which of them it has applied."""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from frostspindle.cores import leases
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.shared_memory import SharedMemoryBoard


class AppliedLeases:
    """The serials of the leases that this worker has applied, by engine: its rows confirm them to the supervisor."""

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
        """Apply the published lease on an engine; return this worker's fraction of the engine's budget, 0 to 1."""
        units, serials = self._control.page.leases.get(engine, ((), ()))
        if self._slot >= len(units):
            return 0.0
        self.serials[engine] = serials[self._slot]
        return leases.budget_fraction(units[self._slot], self._board.lease_expiry(self._slot), monotonic_ms())

    def retain(self, engines: AbstractSet[int]) -> None:
        """Forget the leases on all engines but these."""
        for engine in self.serials.keys() - engines:
            del self.serials[engine]

    def forget(self, engine: int) -> None:
        """Forget the lease on an engine."""
        self.serials.pop(engine, None)
