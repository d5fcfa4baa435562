"""The shared memory itself: created by the supervisor, mapped by each worker, one writer a cell.

Owns the mapping and the typed access to it in the layout of layout.py. The memory has no name in any file system, so
that nothing remains when its processes end; what a worker inherits is checked all the same (magic, version, size,
instance). Nothing here waits for another process: a reader that finds a torn cell reads it again a few times, then
reports it as unreadable.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Iterator

import msgspec

from frostspindle.cores import layout as memory_layout
from frostspindle.cores.layout import CounterName, HeadCell, IncompatibleMemoryError, Layout
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad

READ_ATTEMPTS = 16  # reads of a page or row that is being written, before it counts as unreadable
BUCKET_BYTES = 8 * memory_layout.WAYS  # of one slot
_EMPTY_CELL = bytes(8)


class ControlPage(msgspec.Struct):
    """What the supervisor publishes to all workers: one versioned control page."""

    bans: list[str] = []
    draining: bool = False
    crowded: bool = False  # another process of an upgrade runs, and shares the descriptors
    ending: bool = False  # the whole program ends, not one worker
    living: dict[int, int] = {}  # slot to incarnation
    sockets: dict[int, int] = {}  # slot to its share of the descriptors
    ghosts: list[OrphanedLoad] = []
    lost: list[int] = []  # ids of requests that were open when their worker died
    leases: dict[int, tuple[list[int], list[int]]] = {}  # cold engine to the units and serials of each slot


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ControlPage)


class SharedMemoryBoard:
    """One mapping of the shared memory; `cells` views it as u64, `times` as f64."""

    def __init__(self, fd: int, memory: mmap.mmap, layout: Layout, nonce: int) -> None:
        self.fd = fd
        self.layout = layout
        self.nonce = nonce
        self._memory = memory
        self.bytes = memoryview(memory)
        aligned = self.bytes[: layout.size // 8 * 8]
        self.cells = aligned.cast("Q")
        self.times = aligned.cast("d")

    @classmethod
    def create(cls, layout: Layout) -> SharedMemoryBoard:
        """Allocate a zeroed anonymous memory file of the layout's size with a header and a random nonce; OSError."""
        fd = os.memfd_create("frostspindle", os.MFD_CLOEXEC)
        os.ftruncate(fd, layout.size)
        memory = mmap.mmap(fd, layout.size)
        nonce = int.from_bytes(os.urandom(8), "little")
        with memoryview(memory) as view:
            memory_layout.write_header(view, layout, nonce)
        return cls(fd, memory, layout, nonce)

    @classmethod
    def attach(cls, fd: int, nonce: int) -> SharedMemoryBoard:
        """Map the memory behind an inherited descriptor.

        IncompatibleMemoryError if it can't be mapped, or is not that of the instance with this nonce.
        """
        try:
            size = os.fstat(fd).st_size
            memory = mmap.mmap(fd, size)
        except (OSError, ValueError) as error:
            raise IncompatibleMemoryError(str(error)) from None
        view = memoryview(memory)
        try:
            layout = memory_layout.read_header(view, nonce)
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

    # The control area: the supervisor writes, workers read.

    @property
    def version(self) -> int:
        """Number of the control page in force; 0 until the first `publish`."""
        return self.cells[self.layout.control_offset // 8]

    def _page_offset(self, version: int) -> int:
        """Return the offset of the page of a version: two pages are used in turn."""
        return self.layout.control_offset + 8 + (version % 2) * memory_layout.CONTROL_PAGE_BYTES

    def publish(self, control: ControlPage) -> None:
        """Write the control page that no reader uses, then the version that points to it.

        ControlPageTooLongError if it does not fit into a page; the version before stays in force.
        """
        version = self.version + 1
        offset = self._page_offset(version)
        page = memory_layout.pack_page(_ENCODER.encode(control))
        self.bytes[offset : offset + len(page)] = page
        self.cells[self.layout.control_offset // 8] = version

    def read_control(self) -> tuple[int, ControlPage] | None:
        """Return the newest version and its content; None if READ_ATTEMPTS reads all met a page being written."""
        for _ in range(READ_ATTEMPTS):
            version = self.version
            if not version:
                return 0, ControlPage()
            offset = self._page_offset(version)
            content = memory_layout.unpack_page(self.bytes[offset : offset + memory_layout.CONTROL_PAGE_BYTES])
            if content is not None:
                return version, _DECODER.decode(content)
        return None

    def lease_expiry(self, slot: int) -> float:
        """Return when the slot's leases on cold engines expire, in ms of CLOCK_MONOTONIC; 0: it has none."""
        return self.times[self.layout.lease_expiries // 8 + slot]

    def set_lease_expiry(self, slot: int, at_ms: float) -> None:
        """Set when the slot's leases on cold engines expire, in ms of CLOCK_MONOTONIC; for the supervisor only."""
        self.times[self.layout.lease_expiries // 8 + slot] = at_ms


class WorkerRegion:
    """One slot's region: written by the worker in that slot, read by all other processes."""

    def __init__(self, board: SharedMemoryBoard, slot: int) -> None:
        layout = board.layout
        self.board = board
        self.slot = slot
        self.base = layout.region_offset(slot)
        self._head = self.base // 8  # cell number, as the two below
        self._counter_values = (self.base + layout.counter_values) // 8
        self._row_sequences = (self.base + layout.row_sequences) // 8
        self._rows = self.base + layout.rows  # byte offset, as the two below
        self._counter_names = self.base + layout.counter_names
        self._buckets_start = layout.request_ids
        self._bucket_stride = BUCKET_BYTES * layout.slots  # bytes of one bucket of all slots
        # What only the writing process uses.
        self._request_cells: dict[int, int] = {}  # cell number by request id
        self._row_places: dict[int, int] = {}  # place by engine
        self._free_places: list[int] = []
        self._counter_places: dict[tuple[str, str, str], int] = {}

    def clear(self) -> None:
        """Zero the region and the slot's request ids, so that a new worker inherits nothing of its predecessor."""
        size = self.board.layout.region_bytes
        self.board.bytes[self.base : self.base + size] = bytes(size)
        empty = bytes(BUCKET_BYTES)
        for offset in self._bucket_offsets():
            self.board.bytes[offset : offset + BUCKET_BYTES] = empty

    # The head.

    def read_cell(self, cell: int) -> int:
        """Return the u64 in a head cell, by its HeadCell number."""
        return self.board.cells[self._head + cell]

    def write_cell(self, cell: int, value: int) -> None:
        """Store a u64 in a head cell, in one write that no reader sees half done."""
        self.board.cells[self._head + cell] = value

    def increment_cell(self, cell: int) -> None:
        """Increment a head cell by one; safe because each cell has one writer."""
        self.board.cells[self._head + cell] += 1

    @property
    def heartbeat_ms(self) -> float:
        """Time of the worker's last heartbeat, in ms of CLOCK_MONOTONIC; 0: none since its start."""
        return self.board.times[self._head + HeadCell.HEARTBEAT]

    @heartbeat_ms.setter
    def heartbeat_ms(self, at_ms: float) -> None:
        self.board.times[self._head + HeadCell.HEARTBEAT] = at_ms

    # Counters: written at once, so that the counts of a worker that is killed are complete.

    def store_counter(self, key: tuple[str, str, str], value: int) -> None:
        """Store the present value of a counter, by what, front and class.

        A counter beyond the layout's number of cells is left out of the sums, without an error.
        """
        place = self._counter_places.get(key)
        if place is not None:
            self.board.cells[self._counter_values + place] = value
            return
        place = len(self._counter_places)
        if place >= self.board.layout.counters:
            return  # the worker's own log still has it
        self._counter_places[key] = place
        offset = self._counter_names + memory_layout.COUNTER_NAME_BYTES * place
        self.board.cells[self._counter_values + place] = value
        self.board.bytes[offset : offset + memory_layout.COUNTER_NAME_BYTES] = memory_layout.pack_counter_name(
            CounterName(*key)
        )
        self.write_cell(HeadCell.COUNTER_COUNT, place + 1)

    def counters(self) -> Iterator[tuple[CounterName, int]]:
        """Yield each counter's name and value; one whose name is torn is left out."""
        for place in range(min(self.read_cell(HeadCell.COUNTER_COUNT), self.board.layout.counters)):
            offset = self._counter_names + memory_layout.COUNTER_NAME_BYTES * place
            name = memory_layout.unpack_counter_name(
                bytes(self.board.bytes[offset : offset + memory_layout.COUNTER_NAME_BYTES])
            )
            if name is not None:
                yield name, self.board.cells[self._counter_values + place]

    # Rows of engines.

    def _row_offset(self, place: int) -> int:
        return self._rows + memory_layout.ROW_BYTES * place

    def write_row(self, row: EngineLoadRow) -> bool:
        """Write the row of one engine; False if all rows are taken, so that other workers learn nothing of it."""
        place = self._row_places.get(row.engine)
        if place is None:
            place = self._allocate_place()
            if place is None:
                return False
            self._row_places[row.engine] = place
            self.write_cell(HeadCell.ROW_COUNT, max(self.read_cell(HeadCell.ROW_COUNT), place + 1))
        data = memory_layout.pack_row(row)
        offset = self._row_offset(place)
        self.board.bytes[offset : offset + len(data)] = data
        self.board.cells[self._row_sequences + place] += 1
        return True

    def _allocate_place(self) -> int | None:
        """Return a place that no engine uses; None if all are taken."""
        if self._free_places:
            return self._free_places.pop()
        place = len(self._row_places)
        return place if place < self.board.layout.engines else None

    def erase_row(self, engine: int) -> None:
        """Clear the row of an engine, if it has one, and free its place for another engine."""
        place = self._row_places.pop(engine, None)
        if place is not None:
            offset = self._row_offset(place)
            self.board.bytes[offset : offset + memory_layout.ROW_BYTES] = bytes(memory_layout.ROW_BYTES)
            self.board.cells[self._row_sequences + place] += 1
            self._free_places.append(place)

    def row_sequences(self) -> list[int]:
        """Return the sequence number of each row place that was ever used; it grows with each write of the row."""
        count = min(self.read_cell(HeadCell.ROW_COUNT), self.board.layout.engines)
        return self.board.cells[self._row_sequences : self._row_sequences + count].tolist()

    def read_row(self, place: int) -> EngineLoadRow | None:
        """Return the row in a place; None if it was erased, or still fails its checksum after READ_ATTEMPTS reads."""
        offset = self._row_offset(place)
        for _ in range(READ_ATTEMPTS):
            data = bytes(self.board.bytes[offset : offset + memory_layout.ROW_BYTES])
            row = memory_layout.unpack_row(data)
            if row is not None:
                return row
            if data[:8] == _EMPTY_CELL:
                return None
        return None

    def rows(self) -> Iterator[EngineLoadRow]:
        """Yield all rows that can be read; erased and torn ones are left out."""
        for place in range(len(self.row_sequences())):
            row = self.read_row(place)
            if row is not None:
                yield row

    # Ids of open requests: a hash table of buckets with WAYS cells for each slot. Buckets do not overflow into others,
    # so that no reader follows a chain that its writer changes.

    def _bucket_offsets(self) -> range:
        """Return the offsets of this slot's part of each bucket."""
        layout = self.board.layout
        return range(layout.request_ids + BUCKET_BYTES * self.slot, layout.regions, self._bucket_stride)

    def _shared_bucket_offset(self, request_id: int) -> int:
        """Return the offset of the bucket of an id, which begins with slot 0's part."""
        return self._buckets_start + request_id % self.board.layout.buckets * self._bucket_stride

    def add_request(self, request_id: int) -> bool:
        """Enter the id of an open request; False if the slot's WAYS cells of the id's bucket are all in use."""
        first = self._shared_bucket_offset(request_id) // 8 + memory_layout.WAYS * self.slot
        try:
            cell = first + self.board.cells[first : first + memory_layout.WAYS].tolist().index(0)
        except ValueError:
            return False
        self.board.cells[cell] = request_id
        self._request_cells[request_id] = cell
        return True

    def remove_request(self, request_id: int) -> None:
        """Free the cell of a request's id; nothing happens if this process has not added it."""
        cell = self._request_cells.pop(request_id, None)
        if cell is not None:
            self.board.cells[cell] = 0

    def open_elsewhere(self, request_id: int) -> bool:
        """Return whether another slot has a request with this id open."""
        offset = self._shared_bucket_offset(request_id)
        data = bytes(self.board.bytes[offset : offset + self._bucket_stride])
        pattern = request_id.to_bytes(8, "little")
        found = data.find(pattern)
        while found >= 0:
            if found % 8 == 0 and found // BUCKET_BYTES != self.slot:
                return True
            found = data.find(pattern, found + 1)
        return False

    def request_ids(self) -> list[int]:
        """Return the ids of the slot's open requests, e.g. of a worker that has died."""
        return [
            request_id
            for offset in self._bucket_offsets()
            for request_id in self.board.cells[offset // 8 : offset // 8 + memory_layout.WAYS].tolist()
            if request_id
        ]


class RowSnapshot:
    """A reader's copy of another worker's rows; a poll reads only the rows that have changed."""

    def __init__(self, region: WorkerRegion) -> None:
        self.region = region
        self.rows: dict[int, EngineLoadRow] = {}  # by engine
        self.torn_reads = 0
        self._incarnation = -1
        self._row_updates = -1
        self._sequences: list[int] = []  # by place, as the next
        self._engines: list[int | None] = []

    def poll(self) -> set[int]:
        """Bring the copy up to date; return the engines whose rows have changed since the last poll."""
        incarnation = self.region.read_cell(HeadCell.INCARNATION)
        row_updates = self.region.read_cell(HeadCell.ROW_UPDATES)
        if incarnation == self._incarnation and row_updates == self._row_updates:
            return set()
        changed: set[int] = set()
        if incarnation != self._incarnation:  # another process: nothing of the earlier one holds
            changed |= self.rows.keys()
            self.rows = {}
            self._sequences = []
            self._engines = []
        sequences = self.region.row_sequences()
        self._engines += [None] * (len(sequences) - len(self._engines))
        for place, sequence in enumerate(sequences):
            if place >= len(self._sequences) or sequence != self._sequences[place]:
                changed |= self._read_place(place, sequence)
        self._incarnation = incarnation
        self._row_updates = row_updates
        self._sequences = sequences
        return changed

    def _read_place(self, place: int, sequence: int) -> set[int]:
        """Copy the row in a place; return the engines that it concerned before and concerns now."""
        row = self.region.read_row(place)
        former_engine = self._engines[place]
        if row is None and self.region.read_row(place) is None and sequence and former_engine is None:
            self.torn_reads += 1
        changed: set[int] = set()
        if former_engine is not None and (row is None or row.engine != former_engine):
            self.rows.pop(former_engine, None)
            changed.add(former_engine)
        if row is not None:
            self.rows[row.engine] = row
            changed.add(row.engine)
        self._engines[place] = row.engine if row is not None else None
        return changed
