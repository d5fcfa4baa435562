"""The version store: crashes at every write, kill -9, corrupt records, and chains of changes."""

import os
import random
import shutil
import signal
import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from stores import Child, files, replace_files

from frostspindle.settings.active_rules import RestoredVersions
from frostspindle.settings.schema import Ban, InvalidSettingsError
from frostspindle.settings.version_store import MAX_CHAIN_LENGTH, METADATA_KEY, VersionStore
from frostspindle.settings.versions import EMPTY_VERSION, VersionHistory
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import open_store
from frostspindle.store.sqlite_engine import SqliteEngine

TEMP_ROOT = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None


@pytest.fixture
def folder():
    path = tempfile.mkdtemp(dir=TEMP_ROOT)
    yield Path(path, "s")
    shutil.rmtree(path)


def chain(count, entry_count=40):
    """Return a chain of versions, each the child of the one before; the first has `entry_count` extra entries."""
    versions, latest = [], EMPTY_VERSION
    for number in range(1, count + 1):
        changes = {f"ban/w{n}": Ban(f"w{n}") for n in range(entry_count)} if number == 1 else {}
        latest = latest.child(
            number, changes | {f"ban/e{number}": Ban(f"e{number}", "x" * 50), f"ban/e{number - 3}": None}
        )
        versions.append(latest)
    return versions


def numbers(restored):
    return [version.number for version in restored.versions]


@hypothesis_settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.booleans()), min_size=1, max_size=60))
def test_saved_versions_are_loaded_whatever_was_saved_before(steps):
    versions, store, newest = chain(120, 5), MemoryStore(), 0
    version_store = VersionStore(store)
    for advance, older, reopen in steps:
        newest = min(len(versions) - 1, newest + advance)
        needed = tuple(versions[max(0, newest - older) : newest + 1])
        version_store.save(needed, 5.0)
        if reopen:
            version_store = VersionStore(store)
            assert version_store.load() == RestoredVersions(needed, 5.0)
        assert VersionStore(store).load().versions == needed
    assert len(store.scan()) <= MAX_CHAIN_LENGTH + 12, "unneeded records must be removed"


def test_change_writes_little_and_a_long_chain_is_compacted():
    versions, batch_sizes = chain(80, 3_000), []

    class CountingStore(MemoryStore):
        def apply(self, changes):
            batch_sizes.append(sum(len(value) for value in changes.values() if value is not None))
            return super().apply(changes)

    version_store = VersionStore(CountingStore())
    for older, newer in zip(versions, versions[1:], strict=False):
        version_store.save((older, newer), 1.0)
    assert sorted(batch_sizes)[len(batch_sizes) // 2] < max(batch_sizes) / 5
    assert 2 <= sum(size > max(batch_sizes) / 2 for size in batch_sizes) <= 6


def test_records_that_do_not_match_their_digest_are_never_loaded():
    versions = chain(4)
    for damage in (
        lambda s: s.apply({b"settings/v/2/0": None}),
        lambda s: s.apply({b"settings/v/2/0": b"x"}),
        lambda s: s.apply({b"settings/v/3/0": s.get(b"settings/v/2/0")}),
        lambda s: s.apply({METADATA_KEY: b"x"}),
        lambda s: s.apply({METADATA_KEY: s.get(METADATA_KEY)[:-1]}),
        lambda s: s.apply({METADATA_KEY: b"\x94\x07\x00\x90\x90"}),
    ):
        store = MemoryStore()
        VersionStore(store).save(tuple(versions[:2]), 1.0)
        version_store = VersionStore(store)
        version_store.load()
        version_store.save(tuple(versions[1:3]), 2.0)
        damage(store)
        with pytest.raises(InvalidSettingsError):
            VersionStore(store).load()
    assert VersionStore(MemoryStore()).load() == RestoredVersions()


def test_start_after_a_crash_at_any_write_has_the_versions_before_or_after(folder, monkeypatch):
    """Crash at each file operation of the marker engine, which writes by Python calls, also with a torn file."""
    versions, history = chain(4), VersionHistory()
    for version in versions:
        history.add(version)
    store = open_store(folder, "c1", MarkerEngine)
    version_store = VersionStore(store)
    version_store.save(tuple(versions[:2]), 1.0)
    write_points = []
    for name, call in ((name, getattr(os, name)) for name in ("open", "write", "fsync", "replace", "unlink")):

        def step(*args, call=call, **kwargs):
            write_points.append(files(folder / "store"))
            return call(*args, **kwargs)

        monkeypatch.setattr(os, name, step)
    version_store.save(tuple(versions[1:4]), 2.0)
    monkeypatch.undo()
    write_points.append(files(folder / "store"))
    store.close()
    assert len(write_points) > 10

    def start():
        (folder / "witness").unlink(missing_ok=True)
        reopened = open_store(folder, "c1", MarkerEngine, copy_approved=True)
        try:
            return numbers(VersionStore(reopened).load()) if reopened.decision.condition == "good" else "aside"
        finally:
            reopened.close()

    seen = []
    for before, after in zip([write_points[0], *write_points], write_points, strict=False):
        replace_files(folder / "store", after)
        seen.append(start())
        for name in {name for name in after if after[name] != before.get(name)}:
            for part in (0, 1, 3):
                replace_files(folder / "store", {**after, name: after[name][: len(after[name]) * part // 4]})
                assert start() in ([1, 2], [2, 3, 4], "aside")
    assert set(map(str, seen)) == {"[1, 2]", "[2, 3, 4]"} and seen == sorted(seen, key=len)


def test_torn_or_corrupt_database_gives_a_complete_state_or_none(folder):
    versions, rng = chain(6), random.Random(9)
    store = open_store(folder, "c1", SqliteEngine)
    version_store = VersionStore(store)
    for first in range(5):
        version_store.save(tuple(versions[first : first + 2]), 1.0)
    content = files(folder)
    store.close()
    conditions = set()
    for name in ("store/db", "store/db-wal"):
        for trial in range(24):
            data = bytearray(
                content[name][: len(content[name]) * (trial % 12 + 1) // 13] if trial < 12 else content[name]
            )
            if trial >= 12:
                data[rng.randrange(len(data))] ^= 1 + rng.randrange(255)
            replace_files(folder, {**content, name: bytes(data)})
            (folder / "witness").unlink()
            reopened = open_store(folder, "c1", SqliteEngine, copy_approved=True)
            restored = VersionStore(reopened).load()
            conditions.add(str(reopened.decision.condition))
            assert numbers(restored) in ([[first, first + 1] for first in range(1, 6)] + [[]])
            reopened.close()
    assert "corrupt" in conditions


def test_saved_versions_survive_kill_9(folder):
    versions, rng = chain(200), random.Random(7)

    def write(report):
        store = open_store(folder, "c1", SqliteEngine)
        version_store = VersionStore(store)
        first = (numbers(version_store.load()) or [0])[-1]
        for index in range(first, 199):
            version_store.save(tuple(versions[max(0, index - 1) : index + 1]), 1.0)
            report(index + 1)

    reported = 0
    for _ in range(6):
        child = Child(write)
        reports = child.reports()
        for _ in range(rng.randrange(1, 9)):
            reported = next(reports)
        os.kill(child.pid, signal.SIGKILL)
        reported = max([reported, *reports])
        child.wait()
        store = open_store(folder, "c1", SqliteEngine)
        restored = VersionStore(store).load()
        assert reported <= numbers(restored)[-1] <= reported + 1
        assert restored.versions[-1].rules == versions[numbers(restored)[-1] - 1].rules
        store.close()
