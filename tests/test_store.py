"""What is made of what lies in a store's place, and what only one of the stores has: SQLite's own ends."""

import errno
import shutil
import sqlite3
import subprocess
import sys
import unittest
from dataclasses import replace
from unittest import mock

from frostspindle.store import records, sqlite_engine
from frostspindle.store.base import CorruptDataError, StoreBrokenError, StoreDigest, StoreFullError, StoreLimits
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.opening import StoreRefusedError, open_store
from frostspindle.store.opening_decision import (
    FORMAT,
    HeadRecord,
    KnownStore,
    MetaRecord,
    OpeningFacts,
    decide_opening,
    next_incarnation,
    worth_opening,
)
from frostspindle.store.sqlite_engine import SqliteEngine

A, B = b"a" * 16, b"b" * 16
HEAD, META = HeadRecord(FORMAT, "sqlite", "c1", A, 3, 77), MetaRecord(A, 40, StoreDigest())
GOOD = OpeningFacts("c1", "sqlite", found=True, head=HEAD, inode=77, meta=META)


class JudgeCase(unittest.TestCase):
    def test_each_fact_has_its_verdict_and_the_one_that_weighs_more_goes_first(self):
        at = KnownStore("c1", A, 3, 40)
        for changed, outcome in (
            ({}, "good use"),
            ({"known_by_peers": replace(at, incarnation=4)}, "older aside"),
            ({"witness": at}, "good use"),
            ({"witness": replace(at, generation=39)}, "good use"),
            ({"witness": replace(at, generation=41)}, "older aside"),
            ({"known_by_peers": replace(at, incarnation=2, generation=99)}, "good use"),
            ({"witness": replace(at, id=B, generation=1)}, "older aside"),  # two stores of one life
            ({"witness": replace(at, owner="c2", generation=99)}, "good use"),
            ({"witness": replace(at, owner="c2"), "witness_apart": True}, "foreign refuse"),
            ({"inode": 78}, "older aside"),
            ({"inode": 78, "copy_approved": True}, "good use"),
            ({"inode": 78, "witness": at}, "older aside"),
            ({"inode": 78, "known_by_peers": at}, "older aside"),
            ({"inode": 78, "witness": at, "witness_apart": True}, "good use"),
            ({"inode": 78, "witness": replace(at, incarnation=2, id=B), "witness_apart": True}, "older aside"),
            ({"head": replace(HEAD, owner="c2"), "meta": None}, "foreign aside"),
            ({"head": replace(HEAD, format=FORMAT + 1), "meta": None}, "unreadable refuse"),
            ({"head": replace(HEAD, kind="marker"), "meta": None}, "unreadable refuse"),
            ({"meta": replace(META, id=B)}, "corrupt aside"),
            ({"meta": None, "corruption": "x"}, "corrupt aside"),
            ({"head": None}, "corrupt aside"),
            ({"found": False, "head": None}, "fresh begin"),
            ({"found": False, "head": None, "witness": at}, "fresh begin"),
            ({"unreadable": "x", "head": None}, "unreadable refuse"),
            ({"unwritable": "x"}, "read-only refuse"),
            ({"has_room": False, "head": None}, "full refuse"),
            ({"has_room": False, "unwritable": "x"}, "read-only refuse"),
        ):
            decision = decide_opening(replace(GOOD, **changed))
            self.assertEqual(f"{decision.condition} {decision.action}", outcome, changed)
        self.assertIn("lost", decide_opening(replace(GOOD, found=False, witness=at)).reason)

    def test_an_empty_store_has_a_later_life_than_all_that_is_known_of_its_owner(self):
        told = KnownStore("c1", B, 7, 1)
        self.assertEqual(
            [
                next_incarnation(facts)
                for facts in (
                    OpeningFacts("c1", "sqlite"),
                    GOOD,
                    replace(GOOD, known_by_peers=told),
                    replace(GOOD, witness=replace(told, owner="c2")),
                )
            ],
            [1, 4, 8, 4],
        )
        self.assertFalse(worth_opening(replace(GOOD, head=replace(HEAD, owner="c2"))))


class DurableCase(unittest.TestCase):
    def setUp(self):
        self.path, self.told = self.scratch / "s", []

    def open(self, engine=SqliteEngine, **more):
        store = open_store(
            self.path, "c1", engine, **more, log=lambda event, **fields: self.told.append((event, fields))
        )
        self.addCleanup(store.close)
        return store

    def test_one_line_tells_what_was_found_and_where_it_went(self):
        self.open().close()
        (self.path / "store" / "head").write_bytes(b"")
        self.open().close()
        self.assertEqual(
            [(event, fields["verdict"], fields.get("aside")) for event, fields in self.told],
            [("store", "fresh", None), ("store", "corrupt", "aside-000001-corrupt")],
        )
        with self.assertRaises(StoreRefusedError):
            self.open(MarkerEngine)
        self.assertEqual(self.told[-1][1]["verdict"], "unreadable")

    def test_a_full_database_says_so_keeps_the_old_state_and_goes_on(self):
        was, sqlite_engine.max_pages = sqlite_engine.max_pages, lambda limits: 12
        try:
            store = self.open()
        finally:
            sqlite_engine.max_pages = was
        with self.assertRaises(StoreFullError):
            for number in range(20):
                store.apply({b"%d" % number: b"x" * 4_000, b"last": b"%d" % number})
        self.assertEqual(store.get(b"last"), b"%d" % (store.generation - 1))
        self.assertEqual(store.apply({b"0": None, b"1": None}), store.generation)
        self.assertIsNone(store.get(b"0"))

    def test_an_entry_that_changes_under_an_open_store_is_not_handed_out_and_ends_its_use(self):
        store = self.open()
        store.apply({b"a": b"1", b"b": b"2"})
        store._engine._db.execute("UPDATE entry SET value = x'33' WHERE key = x'61'")
        self.assertEqual(store.get(b"b"), b"2")
        with self.assertRaises(StoreBrokenError):
            store.get(b"a")
        with self.assertRaises(StoreBrokenError):
            store.apply({b"c": b"3"})
        self.assertEqual(self.told[-1][0], "store_broken")

    def test_a_database_that_brings_code_along_or_swapped_values_is_set_aside(self):
        for change in (
            "CREATE TRIGGER t AFTER UPDATE ON meta BEGIN DELETE FROM entry; END",
            "UPDATE entry SET key = CASE key WHEN x'61' THEN x'6262' ELSE key END",
            "DELETE FROM entry WHERE key = x'61'",
            "DELETE FROM meta",
            "UPDATE entry SET value = 'text'",
            "CREATE VIEW v AS SELECT 1",
            "UPDATE meta SET record = 7",
        ):
            store = self.open()
            store.apply({b"a": b"1", b"b": b"2"})
            store.close()
            with sqlite3.connect(self.path / "store" / sqlite_engine.FILE) as db:
                db.execute(change)
            db.close()
            store = self.open()
            self.assertEqual((store.decision.condition, store.scan()), ("corrupt", []), change)
            store.close()

    def test_an_old_row_with_its_own_good_sum_is_no_state_together_with_newer_ones(self):
        store = self.open()
        store.apply({b"a": b"1", b"b": b"1"})
        old = store._engine._db.execute("SELECT value, sum FROM entry WHERE key = x'61'").fetchone()
        store.apply({b"a": b"2", b"b": b"2"})
        store._engine._db.execute("UPDATE entry SET value = ?, sum = ? WHERE key = x'61'", old)
        store.close()
        self.assertEqual(self.open().decision.condition, "corrupt")

    def test_what_no_state_of_ours_can_be_so_long_is_not_read(self):
        store = self.open(MarkerEngine)
        store.close()
        (self.path / "store" / "state").write_bytes(b"x" * 100_000)
        self.assertEqual(self.open(MarkerEngine).decision.reason, "state is longer than 256 bytes")
        with self.assertRaises(CorruptDataError):
            records.decode_head(records.seal(b"\xff\xff"))

    def test_children_swapped_in_an_inner_page_are_noticed_though_every_entry_is_there(self):
        store = self.open()
        store.apply({b"%04d" % n: b"x" * 100 for n in range(400)})
        page = store._engine._db.execute("SELECT rootpage FROM sqlite_schema WHERE name = 'entry'").fetchone()[0] - 1
        store.close()
        path = self.path / "store" / sqlite_engine.FILE
        data = bytearray(path.read_bytes())
        root = data[page * sqlite_engine.PAGE : (page + 1) * sqlite_engine.PAGE]
        self.assertEqual(root[0], 2)  # an inner page; the places of its cells stand from byte 12 on
        one, two = (page * sqlite_engine.PAGE + int.from_bytes(root[at : at + 2], "big") for at in (12, 14))
        data[one : one + 4], data[two : two + 4] = data[two : two + 4], data[one : one + 4]
        path.write_bytes(data)
        self.assertEqual(self.open().decision.condition, "corrupt")

    def test_a_database_longer_than_can_be_is_not_read(self):
        self.open().close()
        with open(self.path / "store" / sqlite_engine.FILE, "r+b") as file:
            file.truncate(1 << 30)  # nothing of it is on the disk
        self.assertEqual(self.open().decision.reason, "the database is longer than can be")

    def test_each_commit_is_synced_and_nobody_else_gets_at_an_open_database(self):
        store = self.open()
        store.apply({b"a": b"1"})
        self.assertEqual(
            [store._engine._db.execute(f"PRAGMA {name}").fetchone()[0] for name in ("journal_mode", "synchronous")],
            ["wal", 2],
        )
        self.assertEqual({path.name for path in (self.path / "store").iterdir()}, {"head", "db", "db-wal"})
        other = sqlite3.connect(self.path / "store" / sqlite_engine.FILE, timeout=0.0)
        self.addCleanup(other.close)
        with self.assertRaises(sqlite3.OperationalError):
            other.execute("SELECT * FROM entry").fetchall()

    def test_marker_files_under_other_names_links_old_batches_and_floods_of_files_are_no_state(self):
        def renamed(at):
            (at / "entry-a").rename(at / "entry-%61")

        def linked(at):
            (at / "entry-a").rename(self.path / "elsewhere")
            (at / "entry-a").symlink_to(self.path / "elsewhere")

        def batch(at):
            (at / "batch").write_bytes(old)

        def flood(at):
            for number in range(30):
                (at / f"entry-{number}").touch()

        class Few(MarkerEngine):
            limits = replace(MarkerEngine.limits, entries=4)

        for change, why in (
            (renamed, "entry-%61 is no entry"),
            (linked, "entry-a is no entry"),
            (batch, "a batch of another state"),
            (flood, "more files than entries can be"),
        ):
            store = self.open(Few)
            for value in (b"1", b"2", b"3"):
                store.apply({b"a": value})
                if value == b"1":
                    old = records.encode_batch(store._meta, {b"a": 0})
            store.close()
            change(self.path / "store")
            store = self.open(Few)
            self.assertEqual((store.decision.condition, store.decision.reason), ("corrupt", why))
            store.close()

    def test_no_room_to_look_into_a_good_store_leaves_it_where_it_is(self):
        self.open(MarkerEngine).close()
        with (
            mock.patch.object(MarkerEngine, "_recover", side_effect=OSError(errno.ENOSPC, "no")),
            self.assertRaises(StoreRefusedError),
        ):
            self.open(MarkerEngine)
        self.assertEqual([self.told[-1][1]["verdict"], self.open(MarkerEngine).decision.condition], ["full", "good"])

    def test_a_link_or_a_file_in_the_stores_place_is_set_aside_and_what_it_leads_to_stays(self):
        for link in (True, False):
            self.path = self.path.with_name(f"link-{link}")
            place, elsewhere = self.path / "store", self.path / "elsewhere"
            self.open(MarkerEngine).close()
            place.rename(elsewhere)
            place.symlink_to(elsewhere) if link else place.touch()
            store = self.open(MarkerEngine)
            self.assertEqual(store.decision.reason, "no whole head: no folder of its own")
            self.assertEqual({path.name for path in elsewhere.iterdir()}, {"head", "state"})

    def test_a_witness_that_cant_be_read_or_written(self):
        store = self.open(MarkerEngine)
        for call in (mock.Mock(side_effect=OSError(errno.EIO, "no")), mock.Mock(return_value=3)):
            with mock.patch("os.pwrite", call):
                self.assertEqual([store.apply({b"a": b"1"}) for _ in range(2)][1], store.generation)
            store.apply({})
        self.assertEqual([event for event, _ in self.told[1:]], ["store_unwitnessed"] * 2)
        store.close()
        with self.assertRaises(StoreRefusedError):
            self.open(MarkerEngine, witness=self.path)
        self.assertEqual(self.told[-1][1]["verdict"], "unreadable")
        for owner in ("", "c" * 65):
            with self.assertRaises(ValueError):
                open_store(self.path, owner, MarkerEngine)

    def test_a_copy_that_was_vouched_for_once_is_at_home(self):
        self.open(MarkerEngine).close()
        copy = self.path.with_name("copy")
        shutil.copytree(self.path, copy)
        self.path = copy
        for moved in (True, False):
            store = self.open(MarkerEngine, copy_approved=moved)
            self.assertEqual(store.decision.condition, "good")
            store.close()

    def test_a_batch_done_before_takes_nothing_that_a_later_one_had_staged(self):
        store = self.open(MarkerEngine)
        store.apply({b"a": b"1"})
        done = records.encode_batch(store._meta, {b"a": 0})
        with mock.patch("os.replace", side_effect=OSError(errno.EIO, "no")), self.assertRaises(StoreBrokenError):
            store.apply({b"a": b"2"})  # staged, and no more
        store.close()
        (self.path / "store" / "batch").write_bytes(done)  # its removal was not durable when the power went
        self.assertEqual(self.open(MarkerEngine).scan(), [(b"a", b"1")])

    def test_the_store_before_one_that_was_set_aside_is_older_from_the_first_moment_on(self):
        store = self.open(MarkerEngine)
        store.apply({b"a": b"1"})
        store.close()
        old = {path.name: path.read_bytes() for path in (self.path / "store").iterdir()}
        (self.path / "store" / "head").write_bytes(b"")
        store = self.open(MarkerEngine)
        store._witness.write = lambda known, sync=False: None  # as one that is killed now
        store.close()
        for path in (self.path / "store").iterdir():
            path.unlink()
        for name, content in old.items():
            (self.path / "store" / name).write_bytes(content)
        self.assertEqual(
            self.open(MarkerEngine, copy_approved=True).decision.reason, "the witness knows of a later state"
        )

    def test_a_torn_slot_of_the_witness_leaves_the_one_before_it(self):
        store = self.open(MarkerEngine)
        store.apply({b"a": b"1"})
        old = {path.name: path.read_bytes() for path in (self.path / "store").iterdir()}
        for value in (b"2", b"3"):
            store.apply({b"a": value})
        data = (self.path / "witness").read_bytes()
        last = store._witness._next_slot ^ 1
        store._witness.write = lambda known, sync=False: None
        store.close()
        (self.path / "witness").write_bytes(data[: last * 256 + 10] + b"torn" + data[last * 256 + 14 :])
        for name, content in old.items():
            if name != "head":
                (self.path / "store" / name).write_bytes(content)
        self.assertEqual(self.open(MarkerEngine).decision.reason, "the witness knows of a later state")

    def test_a_store_over_bounds_that_were_lowered_is_good_and_can_be_emptied(self):
        for engine in (SqliteEngine, MarkerEngine):
            self.path = self.path.with_name(engine.kind)
            store = self.open(engine)
            store.apply({b"%d" % n: b"x" * 50 for n in range(30)})
            store.close()
            store = self.open(engine, limits=StoreLimits(key=20, value=10, entries=5, total=100, batch=40))
            with self.assertRaises(StoreFullError):
                store.apply({b"more": b""})
            store.apply({b"%d" % n: None for n in range(9)})
            store.apply({b"%d" % n: None for n in range(9, 29)})
            self.assertEqual(store.apply({b"more": b""}), 4)
            with self.assertRaises(ValueError):
                self.open(engine, limits=StoreLimits(key=engine.limits.key + 1))


class OffCase(unittest.TestCase):
    def test_a_process_without_a_store_loads_nothing_of_it(self):
        for module in ("frostspindle.program", "frostspindle.cli", "frostspindle.cores.supervisor"):
            loaded = subprocess.run(
                [sys.executable, "-c", f"import sys, {module}; print(*sys.modules)"],
                capture_output=True,
                text=True,
                check=True,
            ).stdout.split()
            self.assertIn(module, loaded)
            self.assertEqual(
                [name for name in loaded if name.startswith(("frostspindle.store", "sqlite3", "_sqlite3", "lmdb"))], []
            )
