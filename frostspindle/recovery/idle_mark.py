"""The mark in the store that none of this coordinator's rights to cold engines are lent, used or wanted.

The next process that finds it in a trusted store needs no cooldown for those rights: no predecessor sent anything to a
cold engine. While the store may have the mark, no right may be lent or used.
"""

from __future__ import annotations

from frostspindle.recovery import state_kinds
from frostspindle.recovery.write_buffer import WriteBuffer

MARK = state_kinds.prefix("cold rights") + b"none out"


class IdleMark:
    """Writes and removes the mark. No I/O: changes go through the write buffer."""

    def __init__(self, buffer: WriteBuffer) -> None:
        self.marked: bool = True  # the store may have the mark
        self.cooldown_waived: bool = False  # it had it at the start, and the store was not found to be older since
        self._buffer: WriteBuffer = buffer
        self._idle: bool = False
        self._waives_cooldown: bool = False  # once the mark of the previous process is removed

    def on_store_opened(self, found: bool, trusted: bool) -> None:
        """Take whether a usable store has the mark, by a process that has ended; it is removed then."""
        self.marked = found
        if found:
            self._waives_cooldown = trusted
            self._buffer.pending[MARK] = None

    def set_idle(self, idle: bool) -> None:
        """Write the mark or remove it; `marked` is False only once its removal is durable."""
        if idle == self._idle:
            return
        self._buffer.pending[MARK] = b"" if idle else None
        self._idle = idle
        self.marked = True

    def on_durable(self, batch: dict[bytes, bytes | None], store_outdated: bool) -> None:
        """Take a batch that is durable, and whether others know a later state of this store."""
        if MARK in batch and batch[MARK] is None and not self._idle:
            self.marked = False
            if self._waives_cooldown and not store_outdated:
                self.cooldown_waived = True
