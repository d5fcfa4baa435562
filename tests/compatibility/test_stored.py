"""Compatibility with the version before the renaming: stored folders and shared memory.

Each must be read to the same values, and written identically.
"""

import asyncio
import fcntl
import gzip
import io
import os
import shutil
from pathlib import Path

import pytest
from compatibility import stored
from compatibility.messages import BAN, BEAT, ENTRIES, ID, LISTED, SNAPSHOT, STORE, TICKET
from msgspec.structs import astuple

from frostspindle.cores.layout import IncompatibleMemoryError, Layout
from frostspindle.cores.shared_memory import ControlPage, SharedMemoryBoard, WorkerRegion
from frostspindle.ledger.export import ExportSink
from frostspindle.order.key_queue import QueuePosition
from frostspindle.order.shared_cells import SharedCellFolder
from frostspindle.ownership.fence import TokenFence
from frostspindle.recovery import tickets
from frostspindle.recovery.inputs import OpenedStore, RecoverySettings
from frostspindle.recovery.node import RecoveryNode
from frostspindle.replica import wire as replica
from frostspindle.replica.disk import JournalCondition
from frostspindle.replica.disk import JournalFile as JournalFile
from frostspindle.replica.journal import RaftJournal
from frostspindle.settings.version_store import VersionStore
from frostspindle.shared import Shared
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import open_store
from frostspindle.store.opening_decision import KnownStore, OpeningAction, StoreCondition
from frostspindle.store.sqlite_engine import SqliteEngine
from frostspindle.store.witness import WitnessFile
from frostspindle.telemetry import Telemetry

DATA = Path(__file__).with_name("data")
GENERATION = 5
STORES = [
    pytest.param("store-sqlite", SqliteEngine, GENERATION, id="sqlite"),
    pytest.param("store-marker", MarkerEngine, GENERATION, id="marker"),
    pytest.param("store-unfinished", MarkerEngine, GENERATION - 1, id="marker, batch recorded but not carried out"),
]


@pytest.fixture
def copy(tmp_path):
    """Return a function that copies a stored folder to a place where it may be changed."""
    return lambda name: Path(shutil.copytree(DATA / name, tmp_path / name))


def contents(folder):
    return {path.relative_to(folder): path.read_bytes() for path in folder.rglob("*") if path.is_file()}


def read_by_second_process(root):
    """Start a process on the shared folder; return what it read of the other, and the bytes of its presence file."""

    async def run():
        shared = Shared(environ={"TMPDIR": str(root)}, name=stored.COORDINATOR, telemetry=Telemetry(sink=io.BytesIO()))
        shared.start(lambda banned: None, lambda is_sharing: None)
        shared.publish_open_requests(lambda: stored.OPEN_REQUESTS, lambda: None)
        shared.ban(name="e9", on=True)  # also reads and writes the folder at once
        found = shared.banned, shared.is_sharing, shared.open_elsewhere
        own = [path.read_bytes() for path in shared.folder.glob("run-*") if path.name != stored.PRESENCE]
        shared.close()
        return found, own

    return asyncio.run(run())


def test_bans_and_presence_of_a_running_process_are_read(copy):
    root = copy("shared")
    [presence] = root.glob("*/" + stored.PRESENCE)
    with open(presence, "rb") as held:
        fcntl.flock(held, fcntl.LOCK_EX)
        found, own = read_by_second_process(root)
    assert found == ({*stored.BANNED, "e9"}, True, stored.OPEN_REQUESTS)
    assert own == [presence.read_bytes()]


def test_presence_of_an_ended_process_is_removed_and_its_bans_are_kept(copy):
    root = copy("shared")
    found, _ = read_by_second_process(root)
    assert found == ({*stored.BANNED, "e9"}, False, 0)
    assert not list(root.glob("*/" + stored.PRESENCE))


def test_bans_and_presence_are_written_identically(tmp_path):
    stored.shared_folder(tmp_path / "root", tmp_path / "kept")
    [folder] = (DATA / "shared").iterdir()
    assert [path.name for path in (tmp_path / "root").iterdir()] == [folder.name]
    written, before = contents(tmp_path / "kept"), contents(folder)
    assert sorted(written.values()) == sorted(before.values())
    bans = {path for path in before if path.name != stored.PRESENCE}
    [presence] = written.keys() - bans
    assert written.keys() & bans == bans
    assert presence.name.startswith(f"run-{os.getpid()}-")


@pytest.mark.parametrize("is_alive", [True, False])
def test_key_order_is_read_while_its_owner_runs_and_for_the_retention_after(copy, is_alive):
    folder, now = copy("order"), [0.0]
    with open(folder / stored.CELL_FILE, "rb") as held:
        if is_alive:
            fcntl.flock(held, fcntl.LOCK_EX)
        sheets = SharedCellFolder(folder=folder, clock=lambda: now[0], retention_ms=1_000.0)
        expected = {
            key: [(stamp, stored.CELL_FILE_OWNER) for at, stamp in stored.ORDER.values() if at == key]
            for key in (77, 78)
        }
        assert {key: sheets.positions(key) for key in (77, 78)} == expected
        assert all(type(place) is QueuePosition for place in sheets.positions(77))
        now[0] = 1_000.0
        assert len(sheets.positions(78)) == is_alive
        assert (sheets.positions(79), sheets.unreadable_files) == ([], 0)
        sheets.close(clean=True)
    assert (folder / stored.CELL_FILE).exists() == is_alive


def test_key_order_is_written_identically(tmp_path):
    stored.key_order_file(tmp_path)
    assert contents(tmp_path) == contents(DATA / "order")


def check_contents(store):
    """Check what each part of a coordinator reads from its store."""
    assert TokenFence(store).highest(task="export") == 9
    assert ExportSink(store).rows(period="2026-07") == stored.EXPORT
    assert ExportSink(store).take(period="2026-07", token=9, rows=stored.EXPORT) is False
    kept = VersionStore(store).load()
    assert (kept.versions, kept.saved_at_ms) == ((stored.VERSION_3, stored.VERSION_4), stored.KEPT_AT_MS)
    assert [version.rules for version in kept.versions] == [stored.VERSION_3.rules, stored.VERSION_4.rules]
    node = RecoveryNode(
        settings=RecoverySettings(name="c1", seeds=("c1", "c2", "c3")), now=0.0, unix_ms=TICKET.at_ms + 1.0, seed=1
    )
    opened = OpenedStore(verdict="good", usable=True, trusted=True, entries=tuple(store.scan()))
    node.on_store_opened(now=0.0, unix_ms=TICKET.at_ms + 1.0, opened=opened)
    assert node.bans.statements == {(BAN.origin, BAN.engine): BAN}
    assert (node.peer_stores.states, node.store.heartbeat, node.idle_mark.marked) == ({"c2": STORE}, BEAT, True)
    assert (node.published.stored.last_event, node.published.stored.engines) == (BEAT.last_event, {LISTED.name: LISTED})
    assert node.loads.journal.records == {tickets.ticket_id("request-1"): TICKET}
    assert node.outputs.counters["recovery_spoilt"] == 0


@pytest.mark.parametrize(("name", "engine", "witnessed"), STORES)
def test_durable_store_is_opened_with_all_its_entries(copy, name, engine, witnessed):
    folder = copy(name)
    assert WitnessFile(folder / "witness").read() == KnownStore(owner="c1", id=ID, incarnation=1, generation=witnessed)
    store = open_store(folder=folder, owner="c1", engine=engine, copy_approved=True)  # a copy has another inode
    assert (store.decision.condition, store.decision.action) == (StoreCondition.GOOD, OpeningAction.USE)
    assert store.known == KnownStore(owner="c1", id=ID, incarnation=1, generation=GENERATION)
    written = MemoryStore()
    stored.fill_store(written)
    assert store.scan() == written.scan()
    check_contents(store)
    store.close()


@pytest.mark.parametrize(("name", "engine", "witnessed"), STORES)
def test_copied_durable_store_gets_the_same_condition(copy, tmp_path, name, engine, witnessed):
    folder = copy(name)
    witness = shutil.copy(folder / "witness", tmp_path / "witness-apart")
    store = open_store(folder=folder, owner="c1", engine=engine, witness=Path(witness))
    assert (store.decision.condition, store.generation) == (StoreCondition.GOOD, GENERATION)
    store.close()
    again = shutil.copytree(DATA / name, tmp_path / "again")
    store = open_store(folder=Path(again), owner="c1", engine=engine)
    assert (store.decision.condition, store.decision.action) == (StoreCondition.OLDER, OpeningAction.SET_ASIDE)
    assert (store.known.incarnation, store.scan()) == (2, [])
    store.close()


def test_marker_store_is_written_identically(tmp_path):
    stored.durable_store(tmp_path, MarkerEngine)
    written, before = contents(tmp_path), contents(DATA / "store-marker")
    assert written.keys() == before.keys()
    assert {path for path in written if written[path] != before[path]} <= {
        Path("lock"),
        Path("store/head"),
    }  # pid, inode
    assert len(written[Path("lock")]) == len(before[Path("lock")])


def test_sqlite_store_has_the_same_files(tmp_path):
    stored.durable_store(tmp_path, SqliteEngine)
    written, before = contents(tmp_path), contents(DATA / "store-sqlite")
    assert written.keys() == before.keys()
    assert written[Path("witness")] == before[Path("witness")]


def test_replica_journal_is_replayed(copy):
    file = JournalFile(copy("journal"))
    found, records = file.load()
    file.close()
    journal = RaftJournal(records)
    assert found is JournalCondition.COMPLETE
    assert journal.entries == ENTRIES
    assert (journal.term, journal.getVotedForNodeId(), journal.votes_lost) == (4, None, True)
    before, last, voters, states = replica.decode_snapshot(journal.snapshot)
    assert (before, last, voters, states) == SNAPSHOT


def test_truncated_replica_journal_is_torn(copy):
    folder = copy("journal")
    path = folder / "journal"
    path.write_bytes(path.read_bytes()[:-1])
    file = JournalFile(folder)
    found, records = file.load()
    file.close()
    journal = RaftJournal(records)
    assert found is JournalCondition.TORN
    assert (len(journal.entries), journal.term, journal.vote, journal.votes_lost) == (4, 3, "c2", False)


def test_replica_journal_is_written_identically(tmp_path):
    stored.replica_journal(tmp_path)
    assert contents(tmp_path) == contents(DATA / "journal")


@pytest.fixture
def board_file(tmp_path):
    """Return a descriptor of a file with the stored board's bytes; the test closes it."""
    path = tmp_path / "board"
    path.write_bytes(gzip.decompress((DATA / "board.gz").read_bytes()))
    return os.open(path, os.O_RDWR)


def test_board_is_attached_and_read(board_file):
    board = SharedMemoryBoard.attach(fd=board_file, nonce=stored.NONCE)
    try:
        assert board.layout == Layout(slots=2, engines=2, counters=2, buckets=2)
        assert board.read_control() == (1, stored.CONTROL)
        assert (board.lease_expiry(slot=0), board.lease_expiry(slot=1)) == (0.0, 5_000.5)
        region, other = WorkerRegion(board=board, slot=1), WorkerRegion(board=board, slot=0)
        assert {cell: region.read_cell(cell) for cell in stored.HEAD_CELLS} == stored.HEAD_CELLS
        assert region.heartbeat_ms == 4_000.25
        assert list(region.rows()) == [stored.ROW]
        assert list(region.counters()) == [(stored.COUNTER, stored.COUNT)]
        assert sorted(region.request_ids()) == stored.TICKETS
        assert [other.open_elsewhere(ticket) for ticket in (*stored.TICKETS, 103)] == [True, True, False]
    finally:
        board.close()


def test_board_of_another_instance_is_rejected(board_file):
    with pytest.raises(IncompatibleMemoryError, match="another instance"):
        SharedMemoryBoard.attach(fd=board_file, nonce=stored.NONCE + 1)
    os.close(board_file)


def test_board_is_written_identically(board_file):
    board = stored.board()
    try:
        assert os.pread(board_file, board.layout.size + 1, 0) == bytes(board.bytes)
    finally:
        board.close()
        os.close(board_file)


def test_every_field_of_the_control_page_differs_from_its_default():
    assert all(value != default for value, default in zip(astuple(stored.CONTROL), astuple(ControlPage()), strict=True))
