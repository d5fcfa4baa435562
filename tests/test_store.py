"""Decisions on opening a durable store, and the faults specific to the SQLite and marker engines."""

import errno
import shutil
import sqlite3
import subprocess
import sys
from contextlib import closing
from dataclasses import replace
from unittest import mock

import pytest

from frostspindle.store import records, sqlite_engine
from frostspindle.store.base import CorruptDataError, StoreBrokenError, StoreDigest, StoreFullError, StoreLimits
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.opening import StoreRefusedError, open_store
from frostspindle.store.opening_decision import (
    FORMAT,
    HeadRecord,
    KnownStore,
    MetaRecord,
    StoreInspection,
    decide_opening,
    next_incarnation,
    worth_opening,
)
from frostspindle.store.sqlite_engine import SqliteEngine

A, B = b"a" * 16, b"b" * 16
HEAD, META = HeadRecord(FORMAT, "sqlite", "c1", A, 3, 77), MetaRecord(A, 40, StoreDigest())
GOOD = StoreInspection("c1", "sqlite", found=True, head=HEAD, inode=77, meta=META)


def test_inspections_lead_to_decisions_and_the_first_rule_wins():
    known = KnownStore("c1", A, 3, 40)
    for changed, outcome in (
        ({}, "good use"),
        ({"known_by_peers": replace(known, incarnation=4)}, "older aside"),
        ({"witness": known}, "good use"),
        ({"witness": replace(known, generation=39)}, "good use"),
        ({"witness": replace(known, generation=41)}, "older aside"),
        ({"known_by_peers": replace(known, incarnation=2, generation=99)}, "good use"),
        ({"witness": replace(known, id=B, generation=1)}, "older aside"),  # two stores of one incarnation
        ({"witness": replace(known, owner="c2", generation=99)}, "good use"),
        ({"witness": replace(known, owner="c2"), "witness_apart": True}, "foreign refuse"),
        ({"inode": 78}, "older aside"),
        ({"inode": 78, "copy_approved": True}, "good use"),
        ({"inode": 78, "witness": known}, "older aside"),
        ({"inode": 78, "known_by_peers": known}, "older aside"),
        ({"inode": 78, "witness": known, "witness_apart": True}, "good use"),
        ({"inode": 78, "witness": replace(known, incarnation=2, id=B), "witness_apart": True}, "older aside"),
        ({"head": replace(HEAD, owner="c2"), "meta": None}, "foreign aside"),
        ({"head": replace(HEAD, format=FORMAT + 1), "meta": None}, "unreadable refuse"),
        ({"head": replace(HEAD, kind="marker"), "meta": None}, "unreadable refuse"),
        ({"meta": replace(META, id=B)}, "corrupt aside"),
        ({"meta": None, "corruption": "x"}, "corrupt aside"),
        ({"head": None}, "corrupt aside"),
        ({"found": False, "head": None}, "fresh begin"),
        ({"found": False, "head": None, "witness": known}, "fresh begin"),
        ({"unreadable": "x", "head": None}, "unreadable refuse"),
        ({"unwritable": "x"}, "read-only refuse"),
        ({"has_space": False, "head": None}, "full refuse"),
        ({"has_space": False, "unwritable": "x"}, "read-only refuse"),
    ):
        decision = decide_opening(replace(GOOD, **changed))
        assert f"{decision.condition} {decision.action}" == outcome, changed
    assert "lost" in decide_opening(replace(GOOD, found=False, witness=known)).reason


def test_empty_store_has_a_later_incarnation_than_all_known_of_its_owner():
    known = KnownStore("c1", B, 7, 1)
    assert [
        next_incarnation(inspection)
        for inspection in (
            StoreInspection("c1", "sqlite"),
            GOOD,
            replace(GOOD, known_by_peers=known),
            replace(GOOD, witness=replace(known, owner="c2")),
        )
    ] == [1, 4, 8, 4]
    assert not worth_opening(replace(GOOD, head=replace(HEAD, owner="c2")))


class StoreFolder:
    """A folder for one store, with the stores opened there and their log events."""

    def __init__(self, folder):
        self.path = folder / "s"
        self.logged = []
        self.opened = []

    def open(self, engine=SqliteEngine, **more):
        store = open_store(
            self.path, "c1", engine, **more, log=lambda event, **fields: self.logged.append((event, fields))
        )
        self.opened.append(store)
        return store


@pytest.fixture
def store_folder(tmp_path):
    store_folder = StoreFolder(tmp_path)
    yield store_folder
    for store in reversed(store_folder.opened):
        store.close()


def test_opening_logs_what_was_found_and_where_it_was_set_aside(store_folder):
    store_folder.open().close()
    (store_folder.path / "store" / "head").write_bytes(b"")
    store_folder.open().close()
    outcomes = [(event, fields["verdict"], fields.get("aside")) for event, fields in store_folder.logged]
    assert outcomes == [("store", "fresh", None), ("store", "corrupt", "aside-000001-corrupt")]
    with pytest.raises(StoreRefusedError):
        store_folder.open(MarkerEngine)
    assert store_folder.logged[-1][1]["verdict"] == "unreadable"


def test_full_database_keeps_the_old_state_and_stays_usable(store_folder):
    original, sqlite_engine.max_pages = sqlite_engine.max_pages, lambda limits: 12
    try:
        store = store_folder.open()
    finally:
        sqlite_engine.max_pages = original
    with pytest.raises(StoreFullError):
        for number in range(20):
            store.apply({b"%d" % number: b"x" * 4_000, b"last": b"%d" % number})
    assert store.get(b"last") == b"%d" % (store.generation - 1)
    assert store.apply({b"0": None, b"1": None}) == store.generation
    assert store.get(b"0") is None


def test_entry_corrupted_under_an_open_store_breaks_the_store(store_folder):
    store = store_folder.open()
    store.apply({b"a": b"1", b"b": b"2"})
    store._engine._db.execute("UPDATE entry SET value = x'33' WHERE key = x'61'")
    assert store.get(b"b") == b"2"
    with pytest.raises(StoreBrokenError):
        store.get(b"a")
    with pytest.raises(StoreBrokenError):
        store.apply({b"c": b"3"})
    assert store_folder.logged[-1][0] == "store_broken"


def test_database_with_foreign_schema_or_swapped_values_is_set_aside(store_folder):
    for change in (
        "CREATE TRIGGER t AFTER UPDATE ON meta BEGIN DELETE FROM entry; END",
        "UPDATE entry SET key = CASE key WHEN x'61' THEN x'6262' ELSE key END",
        "DELETE FROM entry WHERE key = x'61'",
        "DELETE FROM meta",
        "UPDATE entry SET value = 'text'",
        "CREATE VIEW v AS SELECT 1",
        "UPDATE meta SET record = 7",
    ):
        store = store_folder.open()
        store.apply({b"a": b"1", b"b": b"2"})
        store.close()
        with sqlite3.connect(store_folder.path / "store" / sqlite_engine.FILE) as db:
            db.execute(change)
        db.close()
        store = store_folder.open()
        assert (store.decision.condition, store.scan()) == ("corrupt", []), change
        store.close()


def test_old_row_with_a_valid_checksum_among_newer_ones_is_corrupt(store_folder):
    store = store_folder.open()
    store.apply({b"a": b"1", b"b": b"1"})
    old = store._engine._db.execute("SELECT value, sum FROM entry WHERE key = x'61'").fetchone()
    store.apply({b"a": b"2", b"b": b"2"})
    store._engine._db.execute("UPDATE entry SET value = ?, sum = ? WHERE key = x'61'", old)
    store.close()
    assert store_folder.open().decision.condition == "corrupt"


def test_record_longer_than_its_bound_is_not_read(store_folder):
    store = store_folder.open(MarkerEngine)
    store.close()
    (store_folder.path / "store" / "state").write_bytes(b"x" * 100_000)
    assert store_folder.open(MarkerEngine).decision.reason == "state is longer than 256 bytes"
    with pytest.raises(CorruptDataError):
        records.decode_head(records.seal(b"\xff\xff"))


def test_swapped_child_pages_are_corrupt_though_every_entry_is_there(store_folder):
    store = store_folder.open()
    store.apply({b"%04d" % n: b"x" * 100 for n in range(400)})
    page = store._engine._db.execute("SELECT rootpage FROM sqlite_schema WHERE name = 'entry'").fetchone()[0] - 1
    store.close()
    path = store_folder.path / "store" / sqlite_engine.FILE
    data = bytearray(path.read_bytes())
    root = data[page * sqlite_engine.PAGE : (page + 1) * sqlite_engine.PAGE]
    assert root[0] == 2  # an interior page; its cell pointers start at byte 12
    one, two = (page * sqlite_engine.PAGE + int.from_bytes(root[at : at + 2], "big") for at in (12, 14))
    data[one : one + 4], data[two : two + 4] = data[two : two + 4], data[one : one + 4]
    path.write_bytes(data)
    assert store_folder.open().decision.condition == "corrupt"


def test_database_longer_than_its_bound_is_not_read(store_folder):
    store_folder.open().close()
    with open(store_folder.path / "store" / sqlite_engine.FILE, "r+b") as file:
        file.truncate(1 << 30)  # sparse: occupies no disk space
    assert store_folder.open().decision.reason == "the database exceeds its maximum size"


def test_commits_are_synced_and_an_open_database_is_exclusive(store_folder):
    store = store_folder.open()
    store.apply({b"a": b"1"})
    pragmas = ("journal_mode", "synchronous")
    assert [store._engine._db.execute(f"PRAGMA {name}").fetchone()[0] for name in pragmas] == ["wal", 2]
    assert {path.name for path in (store_folder.path / "store").iterdir()} == {"head", "db", "db-wal"}
    other = sqlite3.connect(store_folder.path / "store" / sqlite_engine.FILE, timeout=0.0)
    with closing(other), pytest.raises(sqlite3.OperationalError):
        other.execute("SELECT * FROM entry").fetchall()


def test_marker_folder_with_foreign_names_links_old_batches_or_too_many_files_is_corrupt(store_folder):
    def renamed(at):
        (at / "entry-a").rename(at / "entry-%61")

    def linked(at):
        (at / "entry-a").rename(store_folder.path / "elsewhere")
        (at / "entry-a").symlink_to(store_folder.path / "elsewhere")

    def stale_batch(at):
        (at / "batch").write_bytes(old)

    def flood(at):
        for number in range(30):
            (at / f"entry-{number}").touch()

    class Few(MarkerEngine):
        limits = replace(MarkerEngine.limits, entries=4)

    for change, reason in (
        (renamed, "entry-%61 is not an entry file"),
        (linked, "entry-a is not an entry file"),
        (stale_batch, "the recorded batch belongs to another state"),
        (flood, "more files than the entry limit allows"),
    ):
        store = store_folder.open(Few)
        for value in (b"1", b"2", b"3"):
            store.apply({b"a": value})
            if value == b"1":
                old = records.encode_batch(store._meta, {b"a": 0})
        store.close()
        change(store_folder.path / "store")
        store = store_folder.open(Few)
        assert (store.decision.condition, store.decision.reason) == ("corrupt", reason)
        store.close()


def test_full_disk_while_inspecting_a_good_store_leaves_it_in_place(store_folder):
    store_folder.open(MarkerEngine).close()
    with (
        mock.patch.object(MarkerEngine, "_recover", side_effect=OSError(errno.ENOSPC, "no")),
        pytest.raises(StoreRefusedError),
    ):
        store_folder.open(MarkerEngine)
    assert [store_folder.logged[-1][1]["verdict"], store_folder.open(MarkerEngine).decision.condition] == [
        "full",
        "good",
    ]


def test_link_or_file_in_the_stores_place_is_set_aside_and_its_target_untouched(store_folder):
    for link in (True, False):
        store_folder.path = store_folder.path.with_name(f"link-{link}")
        place, elsewhere = store_folder.path / "store", store_folder.path / "elsewhere"
        store_folder.open(MarkerEngine).close()
        place.rename(elsewhere)
        place.symlink_to(elsewhere) if link else place.touch()
        store = store_folder.open(MarkerEngine)
        assert store.decision.reason == "no valid head record: not a folder"
        assert {path.name for path in elsewhere.iterdir()} == {"head", "state"}


def test_unwritable_witness_is_logged_and_an_unreadable_one_refuses_the_store(store_folder):
    store = store_folder.open(MarkerEngine)
    for call in (mock.Mock(side_effect=OSError(errno.EIO, "no")), mock.Mock(return_value=3)):
        with mock.patch("os.pwrite", call):
            assert [store.apply({b"a": b"1"}) for _ in range(2)][1] == store.generation
        store.apply({})
    assert [event for event, _ in store_folder.logged[1:]] == ["store_unwitnessed"] * 2
    store.close()
    with pytest.raises(StoreRefusedError):
        store_folder.open(MarkerEngine, witness=store_folder.path)
    assert store_folder.logged[-1][1]["verdict"] == "unreadable"
    for owner in ("", "c" * 65):
        with pytest.raises(ValueError):
            open_store(store_folder.path, owner, MarkerEngine)


def test_approved_copy_needs_no_further_approval(store_folder):
    store_folder.open(MarkerEngine).close()
    copy = store_folder.path.with_name("copy")
    shutil.copytree(store_folder.path, copy)
    store_folder.path = copy
    for moved in (True, False):
        store = store_folder.open(MarkerEngine, copy_approved=moved)
        assert store.decision.condition == "good"
        store.close()


def test_replayed_marker_batch_takes_no_file_staged_by_a_later_one(store_folder):
    store = store_folder.open(MarkerEngine)
    store.apply({b"a": b"1"})
    done = records.encode_batch(store._meta, {b"a": 0})
    with mock.patch("os.replace", side_effect=OSError(errno.EIO, "no")), pytest.raises(StoreBrokenError):
        store.apply({b"a": b"2"})  # staged, but not recorded
    store.close()
    (store_folder.path / "store" / "batch").write_bytes(done)  # its removal was not durable at the power loss
    assert store_folder.open(MarkerEngine).scan() == [(b"a", b"1")]


def test_store_before_one_that_was_set_aside_is_older_at_once(store_folder):
    store = store_folder.open(MarkerEngine)
    store.apply({b"a": b"1"})
    store.close()
    old = {path.name: path.read_bytes() for path in (store_folder.path / "store").iterdir()}
    (store_folder.path / "store" / "head").write_bytes(b"")
    store = store_folder.open(MarkerEngine)
    store._witness.write = lambda known, sync=False: None  # as after a kill
    store.close()
    for path in (store_folder.path / "store").iterdir():
        path.unlink()
    for name, content in old.items():
        (store_folder.path / "store" / name).write_bytes(content)
    assert store_folder.open(MarkerEngine, copy_approved=True).decision.reason == "the witness recorded a later state"


def test_torn_witness_slot_leaves_the_earlier_one(store_folder):
    store = store_folder.open(MarkerEngine)
    store.apply({b"a": b"1"})
    old = {path.name: path.read_bytes() for path in (store_folder.path / "store").iterdir()}
    for value in (b"2", b"3"):
        store.apply({b"a": value})
    data = (store_folder.path / "witness").read_bytes()
    last = store._witness._next_slot ^ 1
    store._witness.write = lambda known, sync=False: None
    store.close()
    (store_folder.path / "witness").write_bytes(data[: last * 256 + 10] + b"torn" + data[last * 256 + 14 :])
    for name, content in old.items():
        if name != "head":
            (store_folder.path / "store" / name).write_bytes(content)
    assert store_folder.open(MarkerEngine).decision.reason == "the witness recorded a later state"


def test_store_over_lowered_limits_is_good_and_can_be_emptied(store_folder):
    for engine in (SqliteEngine, MarkerEngine):
        store_folder.path = store_folder.path.with_name(engine.kind)
        store = store_folder.open(engine)
        store.apply({b"%d" % n: b"x" * 50 for n in range(30)})
        store.close()
        store = store_folder.open(engine, limits=StoreLimits(key=20, value=10, entries=5, total=100, batch=40))
        with pytest.raises(StoreFullError):
            store.apply({b"more": b""})
        store.apply({b"%d" % n: None for n in range(9)})
        store.apply({b"%d" % n: None for n in range(9, 29)})
        assert store.apply({b"more": b""}) == 4
        with pytest.raises(ValueError):
            store_folder.open(engine, limits=StoreLimits(key=engine.limits.key + 1))


def test_process_without_a_store_does_not_import_it():
    for module in ("frostspindle.program", "frostspindle.cli", "frostspindle.cores.supervisor"):
        loaded = subprocess.run(
            [sys.executable, "-c", f"import sys, {module}; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        assert module in loaded
        assert [name for name in loaded if name.startswith(("frostspindle.store", "sqlite3", "_sqlite3", "lmdb"))] == []
