"""Decides when the journal is long enough for a snapshot to replace its entries. No I/O."""

from __future__ import annotations

SNAPSHOT_AFTER_ENTRIES = 1_024
SNAPSHOT_AFTER_BYTES = 8 << 20


class CompactionPolicy:
    """Limits of the journal's length, which are raised while no snapshot can be taken."""

    def __init__(self, snapshot_after: int) -> None:
        """`snapshot_after`: limit in entries; the limit in bytes is SNAPSHOT_AFTER_BYTES."""
        self._initial_entries: int = snapshot_after
        self._max_entries: int = snapshot_after

    def is_due(self, entries: int, size_bytes: int) -> bool:
        """Whether a journal of this length is to be compacted."""
        max_bytes = SNAPSHOT_AFTER_BYTES * self._max_entries // self._initial_entries
        return entries >= self._max_entries or size_bytes >= max_bytes

    def postpone(self) -> None:
        """Double the limits, as a state machine's state was too large for a snapshot."""
        self._max_entries *= 2
