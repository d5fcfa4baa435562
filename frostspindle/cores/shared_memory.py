"""Mapping of and typed access to the memory that the supervisor creates and all workers share; see layout.py.

Each cell has a single writer. The memory is an anonymous file, which the kernel frees when its processes exit; a worker
validates the file that it inherits (magic, version, size, instance). No call waits for another process: a torn value is
read again up to READ_ATTEMPTS times and then reported as unreadable.
"""

from __future__ import annotations

import mmap
import os
from collections.abc import Iterator

import msgspec

from frostspindle.cores import layout as memory_layout
from frostspindle.cores.layout import CounterName, HeadCell, IncompatibleMemoryError, Layout
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad

READ_ATTEMPTS = 16  # reads of a page or row that is being written, until it counts as unreadable
BUCKET_BYTES = 8 * memory_layout.WAYS  # one slot's part of a bucket
_EMPTY_CELL = bytes(8)


class ControlPage(msgspec.Struct):
    """State that the supervisor publishes to all workers, as one versioned page."""

    bans: list[str] = []
    draining: bool = False
    crowded: bool = False  # another process of an upgrade runs and uses part of the descriptors
    ending: bool = False  # the whole program shuts down, not only one worker
    living: dict[int, int] = {}  # slot of each live worker to its incarnation
    sockets: dict[int, int] = {}  # slot to its quota of descriptors
    ghosts: list[OrphanedLoad] = []  # loads of dead workers
    lost: list[int] = []  # ids of requests that were open when their worker died
    leases: dict[int, tuple[list[int], list[int]]] = {}  # cold engine to the units and serials of each slot


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ControlPage)


class SharedMemoryBoard:
    """A mapping of the shared memory; `cells` is a view of it as u64, `times` as f64."""

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
        """Create a zeroed memory file with a header and a random nonce; raise OSError if that fails."""
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

        Raise IncompatibleMemoryError if it can't be mapped or its header does not match this program and nonce.
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
        """Release the views, unmap the memory and close its descriptor; other processes' mappings remain."""
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
        """Return the offset of a version's page; successive versions alternate between two pages."""
        return self.layout.control_offset + 8 + (version % 2) * memory_layout.CONTROL_PAGE_BYTES

    def publish(self, control: ControlPage) -> None:
        """Write the control page that is not in force, then the version that selects it.

        Raise ControlPageTooLongError if the content does not fit; the previous version remains in force.
        """
        version = self.version + 1
        offset = self._page_offset(version)
        page = memory_layout.pack_page(_ENCODER.encode(control))
        self.bytes[offset : offset + len(page)] = page
        self.cells[self.layout.control_offset // 8] = version

    def read_control(self) -> tuple[int, ControlPage] | None:
        """Return the newest version and its content; None if all READ_ATTEMPTS reads were torn."""
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
        """Return when the slot's leases on cold engines expire, in ms of CLOCK_MONOTONIC; 0 if it has none."""
        return self.times[self.layout.lease_expiries // 8 + slot]

    def set_lease_expiry(self, slot: int, time_ms: float) -> None:
        """Set when the slot's leases on cold engines expire, in ms of CLOCK_MONOTONIC; for the supervisor only."""
        self.times[self.layout.lease_expiries // 8 + slot] = time_ms


class WorkerRegion:
    """One slot's region: written by the worker in that slot, read by all other processes."""

    def __init__(self, board: SharedMemoryBoard, slot: int) -> None:
        layout = board.layout
        self.board = board
        self.slot = slot
        self.base = layout.region_offset(slot)
        self._head = self.base // 8  # cell index, as the next two
        self._counter_values = (self.base + layout.counter_values) // 8
        self._row_sequences = (self.base + layout.row_sequences) // 8
        self._rows = self.base + layout.rows  # byte offset, as the next two
        self._counter_names = self.base + layout.counter_names
        self._buckets_start = layout.request_ids
        self._bucket_stride = BUCKET_BYTES * layout.slots  # bytes of one bucket, with all slots
        # The following are used only by the writing process.
        self._request_cells: dict[int, int] = {}  # cell index by request id
        self._row_indexes: dict[int, int] = {}  # row index by engine
        self._free_indexes: list[int] = []
        self._counter_indexes: dict[tuple[str, str, str], int] = {}

    def clear(self) -> None:
        """Zero the region and the slot's request ids before a new worker starts."""
        size = self.board.layout.region_bytes
        self.board.bytes[self.base : self.base + size] = bytes(size)
        empty = bytes(BUCKET_BYTES)
        for offset in self._bucket_offsets():
            self.board.bytes[offset : offset + BUCKET_BYTES] = empty

    # The head cells.

    def read_cell(self, cell: int) -> int:
        """Return the u64 in a head cell, by its HeadCell number."""
        return self.board.cells[self._head + cell]

    def write_cell(self, cell: int, value: int) -> None:
        """Store a u64 in a head cell; the write is atomic."""
        self.board.cells[self._head + cell] = value

    def increment_cell(self, cell: int) -> None:
        """Increment a head cell; safe because each cell has a single writer."""
        self.board.cells[self._head + cell] += 1

    @property
    def heartbeat_ms(self) -> float:
        """Time of the worker's last heartbeat, in ms of CLOCK_MONOTONIC; 0 if there was none."""
        return self.board.times[self._head + HeadCell.HEARTBEAT]

    @heartbeat_ms.setter
    def heartbeat_ms(self, time_ms: float) -> None:
        self.board.times[self._head + HeadCell.HEARTBEAT] = time_ms

    # Counters. They are written at once, so that the counts of a killed worker are complete.

    def store_counter(self, key: tuple[str, str, str], value: int) -> None:
        """Store the value of a counter; the key is its name, front and class.

        A new counter is ignored, and so is missing from the sums, if all of the layout's counter cells are used.
        """
        index = self._counter_indexes.get(key)
        if index is not None:
            self.board.cells[self._counter_values + index] = value
            return
        index = len(self._counter_indexes)
        if index >= self.board.layout.counters:
            return  # it is still in the worker's own log
        self._counter_indexes[key] = index
        offset = self._counter_names + memory_layout.COUNTER_NAME_BYTES * index
        self.board.cells[self._counter_values + index] = value
        self.board.bytes[offset : offset + memory_layout.COUNTER_NAME_BYTES] = memory_layout.pack_counter_name(
            CounterName(*key)
        )
        self.write_cell(HeadCell.COUNTER_COUNT, index + 1)

    def counters(self) -> Iterator[tuple[CounterName, int]]:
        """Yield each counter's name and value; skip counters whose name is torn."""
        for index in range(min(self.read_cell(HeadCell.COUNTER_COUNT), self.board.layout.counters)):
            offset = self._counter_names + memory_layout.COUNTER_NAME_BYTES * index
            name = memory_layout.unpack_counter_name(
                bytes(self.board.bytes[offset : offset + memory_layout.COUNTER_NAME_BYTES])
            )
            if name is not None:
                yield name, self.board.cells[self._counter_values + index]

    # Engine rows.

    def _row_offset(self, index: int) -> int:
        return self._rows + memory_layout.ROW_BYTES * index

    def write_row(self, row: EngineLoadRow) -> bool:
        """Write the row of an engine; return False if there is no free row."""
        index = self._row_indexes.get(row.engine)
        if index is None:
            index = self._allocate_index()
            if index is None:
                return False
            self._row_indexes[row.engine] = index
            self.write_cell(HeadCell.ROW_COUNT, max(self.read_cell(HeadCell.ROW_COUNT), index + 1))
        data = memory_layout.pack_row(row)
        offset = self._row_offset(index)
        self.board.bytes[offset : offset + len(data)] = data
        self.board.cells[self._row_sequences + index] += 1
        return True

    def _allocate_index(self) -> int | None:
        """Return the index of a free row; None if there is none."""
        if self._free_indexes:
            return self._free_indexes.pop()
        index = len(self._row_indexes)
        return index if index < self.board.layout.engines else None

    def erase_row(self, engine: int) -> None:
        """Clear and free the row of an engine, if it has one."""
        index = self._row_indexes.pop(engine, None)
        if index is not None:
            offset = self._row_offset(index)
            self.board.bytes[offset : offset + memory_layout.ROW_BYTES] = bytes(memory_layout.ROW_BYTES)
            self.board.cells[self._row_sequences + index] += 1
            self._free_indexes.append(index)

    def row_sequences(self) -> list[int]:
        """Return the sequence number of each row used so far; it is incremented with each write of the row."""
        count = min(self.read_cell(HeadCell.ROW_COUNT), self.board.layout.engines)
        return self.board.cells[self._row_sequences : self._row_sequences + count].tolist()

    def read_row(self, index: int) -> EngineLoadRow | None:
        """Return the row at an index; None if it was erased or all READ_ATTEMPTS reads were torn."""
        offset = self._row_offset(index)
        for _ in range(READ_ATTEMPTS):
            data = bytes(self.board.bytes[offset : offset + memory_layout.ROW_BYTES])
            row = memory_layout.unpack_row(data)
            if row is not None:
                return row
            if data[:8] == _EMPTY_CELL:
                return None
        return None

    def rows(self) -> Iterator[EngineLoadRow]:
        """Yield all readable rows; skip erased and torn ones."""
        for index in range(len(self.row_sequences())):
            row = self.read_row(index)
            if row is not None:
                yield row

    # Ids of open requests: a hash table of buckets with WAYS cells for each slot. Buckets don't overflow into others,
    # so that readers need not follow a chain while its writer changes it.

    def _bucket_offsets(self) -> range:
        """Return the offsets of this slot's part of each bucket."""
        layout = self.board.layout
        return range(layout.request_ids + BUCKET_BYTES * self.slot, layout.regions, self._bucket_stride)

    def _shared_bucket_offset(self, request_id: int) -> int:
        """Return the offset of an id's bucket, which starts with slot 0's part."""
        return self._buckets_start + request_id % self.board.layout.buckets * self._bucket_stride

    def add_request(self, request_id: int) -> bool:
        """Store the id of an open request; return False if the slot's WAYS cells of the bucket are in use."""
        first = self._shared_bucket_offset(request_id) // 8 + memory_layout.WAYS * self.slot
        try:
            cell = first + self.board.cells[first : first + memory_layout.WAYS].tolist().index(0)
        except ValueError:
            return False
        self.board.cells[cell] = request_id
        self._request_cells[request_id] = cell
        return True

    def remove_request(self, request_id: int) -> None:
        """Free the cell of a request's id; does nothing if this process has not added it."""
        cell = self._request_cells.pop(request_id, None)
        if cell is not None:
            self.board.cells[cell] = 0

    def open_elsewhere(self, request_id: int) -> bool:
        """Return whether another slot has a request with this id open."""
        offset = self._shared_bucket_offset(request_id)
        data = bytes(self.board.bytes[offset : offset + self._bucket_stride])
        pattern = request_id.to_bytes(8, "little")
        position = data.find(pattern)
        while position >= 0:
            if position % 8 == 0 and position // BUCKET_BYTES != self.slot:
                return True
            position = data.find(pattern, position + 1)
        return False

    def request_ids(self) -> list[int]:
        """Return the ids of the slot's open requests, for example those of a dead worker."""
        return [
            request_id
            for offset in self._bucket_offsets()
            for request_id in self.board.cells[offset // 8 : offset // 8 + memory_layout.WAYS].tolist()
            if request_id
        ]


class RowSnapshot:
    """A copy of another worker's rows; a poll reads only the rows that have changed."""

    def __init__(self, region: WorkerRegion) -> None:
        self.region = region
        self.rows: dict[int, EngineLoadRow] = {}  # by engine
        self.torn_reads = 0
        self._incarnation = -1
        self._row_updates = -1
        self._sequences: list[int] = []  # by row index, as the next
        self._engines: list[int | None] = []

    def poll(self) -> set[int]:
        """Update the copy; return the engines whose rows have changed since the last poll."""
        incarnation = self.region.read_cell(HeadCell.INCARNATION)
        row_updates = self.region.read_cell(HeadCell.ROW_UPDATES)
        if incarnation == self._incarnation and row_updates == self._row_updates:
            return set()
        changed: set[int] = set()
        if incarnation != self._incarnation:  # a new process: discard the rows of the previous one
            changed |= self.rows.keys()
            self.rows = {}
            self._sequences = []
            self._engines = []
        sequences = self.region.row_sequences()
        self._engines += [None] * (len(sequences) - len(self._engines))
        for index, sequence in enumerate(sequences):
            if index >= len(self._sequences) or sequence != self._sequences[index]:
                changed |= self._refresh_row(index, sequence)
        self._incarnation = incarnation
        self._row_updates = row_updates
        self._sequences = sequences
        return changed

    def _refresh_row(self, index: int, sequence: int) -> set[int]:
        """Copy the row at an index; return the engines to which it belonged before and belongs now."""
        row = self.region.read_row(index)
        previous_engine = self._engines[index]
        if row is None and self.region.read_row(index) is None and sequence and previous_engine is None:
            self.torn_reads += 1
        changed: set[int] = set()
        if previous_engine is not None and (row is None or row.engine != previous_engine):
            self.rows.pop(previous_engine, None)
            changed.add(previous_engine)
        if row is not None:
            self.rows[row.engine] = row
            changed.add(row.engine)
        self._engines[index] = row.engine if row is not None else None
        return changed
