"""A descriptor kept back for what must be opened while clients hold all others: the event bus, a reload's files.

Owns that one descriptor. It must never be free for longer than the turn in which it is used: whoever accepts
connections would take it.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Iterator

NO_DESCRIPTOR_ERRORS = frozenset((errno.EMFILE, errno.ENFILE))


class ReservedDescriptor:
    """One file descriptor held in reserve, open on the null device."""

    def __init__(self) -> None:
        self._held: int | None = None
        self.take()

    def take(self) -> None:
        """Open the reserve again, unless it is held; no error if no descriptor is to be had."""
        if self._held is None:
            with contextlib.suppress(OSError):
                self._held = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def free(self) -> bool:
        """Close the reserve; return False if there was none."""
        held, self._held = self._held, None
        if held is not None:
            os.close(held)
        return held is not None

    @contextlib.contextmanager
    def lent(self) -> Iterator[None]:
        """Free the reserve for the block, for one file at a time, opened and closed without a pause."""
        self.free()
        try:
            yield
        finally:
            self.take()
