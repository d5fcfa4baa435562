"""Work that is cut into slices, so that a long version does not block the event loop.

Sliced work is a generator that yields after each slice and returns its result. It does no I/O and gives the same result
whether it is run at once or with other work between its slices.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator
from typing import TypeVar

SLICE_ENTRIES = 100  # about 0.2 ms

T = TypeVar("T")
SlicedWork = Generator[None, None, T]


def run_to_end(work: SlicedWork[T]) -> T:
    """Run all slices at once and return the result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: T = end.value
            return result


def iterate_in_slices(entries: Iterable[T]) -> Iterator[tuple[T, bool]]:
    """Iterate over the entries, each with whether a slice ends before the next one: after every SLICE_ENTRIES."""
    for count, entry in enumerate(entries, 1):
        yield entry, count % SLICE_ENTRIES == 0
