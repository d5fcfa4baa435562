"""The shared memory itself: made by the supervisor, mapped by each worker, one writer a cell.

Owns the mapping and the typed access to it in the form of layout.py. The memory has no name in any file system, so
that nothing is left over when its processes end; what a worker inherits is checked all the same (magic, version,
size, instance). It must never wait for another process: a reader that meets a torn cell reads again a few times, then
says so.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Iterator
from typing import Any

import msgspec

from frostspindle.cores import layout as form
from frostspindle.cores.layout import CounterName, IncompatibleMemoryError, Layout
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad

TRIES = 16  # so often a cell that is being written is read again
_EMPTY = bytes(8)


class ControlPage(msgspec.Struct):
    """What the supervisor publishes to all workers: one versioned control page."""

    bans: list[str] = []
    draining: bool = False
    crowded: bool = False
    ending: bool = False  # the whole program ends, not one worker
    living: dict[int, int] = {}  # slot to incarnation
    sockets: dict[int, int] = {}  # slot to its share
    ghosts: list[OrphanedLoad] = []
    lost: list[int] = []  # ids that were open when their worker died
    leases: dict[int, tuple[list[int], list[int]]] = {}  # cold engine to the units and serials of each slot


_ENCODER, _DECODER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(ControlPage)


class SharedMemoryBoard:
    """One mapping of the shared memory; `cells` views it as u64, `times` as f64."""

    def __init__(self, fd: int, memory: mmap.mmap, layout: Layout, nonce: int) -> None:
        self.fd, self.layout, self.nonce = fd, layout, nonce
        self._memory = memory
        self.bytes = memoryview(memory)
        aligned = self.bytes[: layout.size // 8 * 8]
        self.cells, self.times = aligned.cast("Q"), aligned.cast("d")

    @classmethod
    def create(cls, layout: Layout) -> SharedMemoryBoard:
        """Allocate a zeroed anonymous memory file of the layout's size with a header and a random nonce; OSError."""
        fd = os.memfd_create("frostspindle", os.MFD_CLOEXEC)
        os.ftruncate(fd, layout.size)
        memory = mmap.mmap(fd, layout.size)
        nonce = int.from_bytes(os.urandom(8), "little")
        with memoryview(memory) as view:
            form.write_header(view, layout, nonce)
        return cls(fd, memory, layout, nonce)

    @classmethod
    def attach(cls, fd: int, nonce: int) -> SharedMemoryBoard:
        """Map the board behind an inherited descriptor; BadBoard unless it is that of the instance that started us."""
        try:
            size = os.fstat(fd).st_size
            memory = mmap.mmap(fd, size)
        except (OSError, ValueError) as error:
            raise IncompatibleMemoryError(str(error)) from None
        view = memoryview(memory)
        try:
            layout = form.read_header(view, nonce)
        except IncompatibleMemoryError:
            view.release()
            memory.close()
            raise
        view.release()
        return cls(fd, memory, layout, nonce)

    def close(self) -> None:
        """Release the views, unmap the memory and close its descriptor; other processes' mappings stay."""
        for view in (self.cells, self.times, self.bytes):
            view.release()
        self._memory.close()
        os.close(self.fd)

    # Control: the supervisor writes.

    @property
    def version(self) -> int:
        """Number of the control page in force; 0 until the first `publish`."""
        return self.cells[self.layout.control // 8]

    def publish(self, control: ControlPage) -> None:
        """Write the control page that no reader uses, then the version that points to it.

        ValueError: it does not fit into a page; the version before stays in force.
        """
        version = self.version + 1
        at = self.layout.control + 8 + (version % 2) * form.PAGE
        page = form.pack_page(_ENCODER.encode(control))
        self.bytes[at : at + len(page)] = page
        self.cells[self.layout.control // 8] = version

    def control(self) -> tuple[int, ControlPage] | None:
        """Return the newest version and its content; None if TRIES reads all met a page being written."""
        for _ in range(TRIES):
            version = self.version
            if not version:
                return 0, ControlPage()
            at = self.layout.control + 8 + (version % 2) * form.PAGE
            blob = form.unpack_page(self.bytes[at : at + form.PAGE])
            if blob is not None:
                return version, _DECODER.decode(blob)
        return None

    def horizon(self, slot: int) -> float:
        """Return when the slot's leases on cold engines end, in ms of CLOCK_MONOTONIC; 0: it has none."""
        return self.times[self.layout.horizons // 8 + slot]

    def set_horizon(self, slot: int, at_ms: float) -> None:
        """Set when the slot's leases on cold engines end, in ms of CLOCK_MONOTONIC; for the supervisor only."""
        self.times[self.layout.horizons // 8 + slot] = at_ms


class WorkerRegion:
    """One slot's region: written by the worker in that slot, read by all other processes."""

    def __init__(self, board: SharedMemoryBoard, slot: int) -> None:
        self.board, self.slot = board, slot
        layout = board.layout
        self.base = layout.at(slot)
        self._head = self.base // 8
        self._values = (self.base + layout.values) // 8
        self._sequences = (self.base + layout.sequences) // 8
        self._rows = self.base + layout.rows
        self._names = self.base + layout.names
        self._kept: dict[int, int] = {}  # the writer's: ids to their cells
        self._ids, self._width = layout.ids, 8 * form.WAYS * layout.slots  # where buckets begin; bytes of one
        self._places: dict[int, int] = {}  # the writer's: engine to row
        self._spare: list[int] = []
        self._counters: dict[Any, int] = {}

    def clear(self) -> None:
        """Zero the region and the slot's request ids, so that a new worker inherits nothing of its predecessor."""
        size = self.board.layout.region
        self.board.bytes[self.base : self.base + size] = bytes(size)
        empty = bytes(8 * form.WAYS)
        for at in self._buckets():
            self.board.bytes[at : at + len(empty)] = empty

    # The head.

    def get(self, cell: int) -> int:
        """Return the u64 in a head cell, by its number in layout.py."""
        return self.board.cells[self._head + cell]

    def put(self, cell: int, value: int) -> None:
        """Store a u64 in a head cell, in one write that no reader sees half done."""
        self.board.cells[self._head + cell] = value

    def bump(self, cell: int) -> None:
        """Increment a head cell by one; safe because each cell has one writer."""
        self.board.cells[self._head + cell] += 1

    @property
    def beat(self) -> float:
        """Time of the worker's last heartbeat, in ms of CLOCK_MONOTONIC; 0: none since its start."""
        return self.board.times[self._head + form.HEARTBEAT]

    @beat.setter
    def beat(self, at_ms: float) -> None:
        self.board.times[self._head + form.HEARTBEAT] = at_ms

    # Counters: written at once, so that a worker that is killed has counted all that it did.

    def count(self, key: tuple[str, str, str], value: int) -> None:
        """Store the present value of a counter, by what, front and class.

        A counter beyond the layout's number of cells is left out of the sums, without an error.
        """
        place = self._counters.get(key)
        if place is None:
            place = len(self._counters)
            if place >= self.board.layout.counters:
                return  # more kinds than there are cells: the worker's own log still has them
            self._counters[key] = place
            at = self._names + form.NAME_BYTES * place
            self.board.cells[self._values + place] = value
            self.board.bytes[at : at + form.NAME_BYTES] = form.pack_name(CounterName(*key))
            self.put(form.NAMES, place + 1)
        else:
            self.board.cells[self._values + place] = value

    def counters(self) -> Iterator[tuple[CounterName, int]]:
        """Yield each counter's name and value; one whose name is torn is left out."""
        for place in range(min(self.get(form.NAMES), self.board.layout.counters)):
            at = self._names + form.NAME_BYTES * place
            if (name := form.unpack_name(bytes(self.board.bytes[at : at + form.NAME_BYTES]))) is not None:
                yield name, self.board.cells[self._values + place]

    # Rows of engines.

    def write(self, row: EngineLoadRow) -> bool:
        """Write the row of one engine; False if all rows are taken, so that other workers learn nothing of it."""
        place = self._places.get(row.engine)
        if place is None:
            if self._spare:
                place = self._spare.pop()
            elif (place := len(self._places)) >= self.board.layout.engines:
                return False
            self._places[row.engine] = place
            self.put(form.ROWS, max(self.get(form.ROWS), place + 1))
        data = form.pack_row(row)
        at = self._rows + form.ROW_BYTES * place
        self.board.bytes[at : at + len(data)] = data
        self.board.cells[self._sequences + place] += 1
        return True

    def erase(self, engine: int) -> None:
        """Clear the row of an engine, if it has one, and free its place for another engine."""
        place = self._places.pop(engine, None)
        if place is not None:
            at = self._rows + form.ROW_BYTES * place
            self.board.bytes[at : at + form.ROW_BYTES] = bytes(form.ROW_BYTES)
            self.board.cells[self._sequences + place] += 1
            self._spare.append(place)

    def sequences(self) -> list[int]:
        """Return the change number of each row's place that was ever used, by place."""
        count = min(self.get(form.ROWS), self.board.layout.engines)
        return self.board.cells[self._sequences : self._sequences + count].tolist()

    def read(self, place: int) -> EngineLoadRow | None:
        """Return the row in a place; None if it was erased, or still fails its checksum after TRIES reads."""
        at = self._rows + form.ROW_BYTES * place
        for _ in range(TRIES):
            data = bytes(self.board.bytes[at : at + form.ROW_BYTES])
            if (row := form.unpack_row(data)) is not None:
                return row
            if data[:8] == _EMPTY:
                return None
        return None

    def rows(self) -> Iterator[EngineLoadRow]:
        """Yield all rows that can be read; erased and torn ones are left out."""
        for place in range(len(self.sequences())):
            if (row := self.read(place)) is not None:
                yield row

    # Ids of open requests: buckets of WAYS for each slot, so that no reader follows a chain that its writer changes.

    def _buckets(self) -> range:
        layout = self.board.layout
        step = 8 * form.WAYS * layout.slots
        return range(layout.ids + 8 * form.WAYS * self.slot, layout.regions, step)

    def add(self, ticket: int) -> bool:
        """Enter the id of an open request; False if the slot's WAYS cells of the id's bucket are all in use."""
        first = (self._ids + ticket % self.board.layout.buckets * self._width) // 8 + form.WAYS * self.slot
        try:
            cell = first + self.board.cells[first : first + form.WAYS].tolist().index(0)
        except ValueError:
            return False
        self.board.cells[cell] = ticket
        self._kept[ticket] = cell
        return True

    def remove(self, ticket: int) -> None:
        """Free the cell of a request's id; nothing happens if this process has not added it."""
        if (cell := self._kept.pop(ticket, None)) is not None:
            self.board.cells[cell] = 0

    def elsewhere(self, ticket: int) -> bool:
        """Return whether another slot holds the id of a request."""
        at = self._ids + ticket % self.board.layout.buckets * self._width
        data, key = bytes(self.board.bytes[at : at + self._width]), ticket.to_bytes(8, "little")
        found = data.find(key)
        while found >= 0:
            if found % 8 == 0 and found // (8 * form.WAYS) != self.slot:
                return True
            found = data.find(key, found + 1)
        return False

    def ids(self) -> list[int]:
        """Return the ids of the slot's open requests, e.g. of a worker that has died."""
        return [
            ticket
            for at in self._buckets()
            for ticket in self.board.cells[at // 8 : at // 8 + form.WAYS].tolist()
            if ticket
        ]


class RowSnapshot:
    """A reader's copy of another worker's rows; a look reads only the rows that have changed."""

    def __init__(self, region: WorkerRegion) -> None:
        self.region = region
        self.rows: dict[int, EngineLoadRow] = {}
        self.torn = 0
        self._incarnation = self._flushes = -1
        self._sequences: list[int] = []
        self._engines: list[int | None] = []

    def look(self) -> set[int]:
        """Bring the copy up to date; return the engines whose rows have changed since the last look."""
        incarnation, flushes = self.region.get(form.INCARNATION), self.region.get(form.FLUSHES)
        if (incarnation, flushes) == (self._incarnation, self._flushes):
            return set()
        changed: set[int] = set()
        if incarnation != self._incarnation:  # another process: nothing of the earlier one holds
            changed |= self.rows.keys()
            self.rows, self._sequences, self._engines = {}, [], []
        sequences = self.region.sequences()
        self._engines += [None] * (len(sequences) - len(self._engines))
        for place, sequence in enumerate(sequences):
            if place < len(self._sequences) and sequence == self._sequences[place]:
                continue
            row, before = self.region.read(place), self._engines[place]
            if row is None and self.region.read(place) is None and sequence and before is None:
                self.torn += 1
            if before is not None and (row is None or row.engine != before):
                self.rows.pop(before, None)
                changed.add(before)
            if row is not None:
                self.rows[row.engine] = row
                changed.add(row.engine)
            self._engines[place] = row.engine if row is not None else None
        self._incarnation, self._flushes, self._sequences = incarnation, flushes, sequences
        return changed
