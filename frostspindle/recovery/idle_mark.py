"""A mark in the store that none of this coordinator's rights to cold engines are lent, used or requested.

The next process that finds the mark in a trusted store needs no cooldown for those rights, because the previous one
sent nothing to a cold engine. While the store may have the mark, no right may be lent or used.
"""

from __future__ import annotations

from frostspindle.recovery import state_kinds
from frostspindle.recovery.write_buffer import WriteBuffer

MARK = state_kinds.prefix("cold rights") + b"none out"


class IdleMark:
    """Writes and removes the mark. No I/O: changes go through the write buffer."""

    def __init__(self, buffer: WriteBuffer) -> None:
        self.marked: bool = True  # the store may have the mark
        self.cooldown_waived: bool = False  # the store had it at the start and is not outdated
        self._buffer: WriteBuffer = buffer
        self._idle: bool = False
        self._waives_cooldown: bool = False  # applies once the previous process's mark is removed

    def on_store_opened(self, found: bool, trusted: bool) -> None:
        """Process whether a usable store has the mark of the previous process; if so, remove it."""
        self.marked = found
        if found:
            self._waives_cooldown = trusted
            self._buffer.pending[MARK] = None

    def set_idle(self, idle: bool) -> None:
        """Write or remove the mark; `marked` becomes False only when its removal is durable."""
        if idle == self._idle:
            return
        self._buffer.pending[MARK] = b"" if idle else None
        self._idle = idle
        self.marked = True

    def on_durable(self, batch: dict[bytes, bytes | None], store_outdated: bool) -> None:
        """Process a durable batch; `store_outdated`: other coordinators know a later state of this store."""
        if MARK in batch and batch[MARK] is None and not self._idle:
            self.marked = False
            if self._waives_cooldown and not store_outdated:
                self.cooldown_waived = True
