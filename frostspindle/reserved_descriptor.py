"""A reserved descriptor for the event bus and a reload's files, which must open while clients use all others.

It may be free only within one turn of the event loop, else the next accepted connection would take it.
"""

from __future__ import annotations

import contextlib
import errno
import os
from collections.abc import Iterator

NO_DESCRIPTOR_ERRORS = frozenset((errno.EMFILE, errno.ENFILE))


class ReservedDescriptor:
    """One file descriptor descriptor in reserve, open on the null device."""

    def __init__(self) -> None:
        self._descriptor: int | None = None
        self.take()

    def take(self) -> None:
        """Reserve a descriptor again unless one is reserved; no error if none is available."""
        if self._descriptor is None:
            with contextlib.suppress(OSError):
                self._descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def free(self) -> bool:
        """Close the reserved descriptor; return False if there was none."""
        descriptor, self._descriptor = self._descriptor, None
        if descriptor is not None:
            os.close(descriptor)
        return descriptor is not None

    @contextlib.contextmanager
    def lent(self) -> Iterator[None]:
        """Free the descriptor within the block, for one file at a time; the block must not await."""
        self.free()
        try:
            yield
        finally:
            self.take()
