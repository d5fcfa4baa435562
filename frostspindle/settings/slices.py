"""Cooperative slicing of long computations, so that a large version does not block the event loop.

Sliced work is a generator that yields after each slice and returns its result. It does no I/O, and its result doesn't
depend on what runs between the slices.
"""

from __future__ import annotations

from collections.abc import Generator, Iterable, Iterator
from typing import TypeVar

SLICE_ENTRIES = 100  # per slice, which takes about 0.2 ms

T = TypeVar("T")
SlicedWork = Generator[None, None, T]


def run_to_end(work: SlicedWork[T]) -> T:
    """Run all slices without interruption and return the result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: T = end.value
            return result


def iterate_in_slices(entries: Iterable[T]) -> Iterator[tuple[T, bool]]:
    """Yield each entry, and whether a slice ends with it: True for every SLICE_ENTRIES-th entry."""
    for count, entry in enumerate(entries, 1):
        yield entry, count % SLICE_ENTRIES == 0
