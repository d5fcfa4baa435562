"""The last good versions on the disk: every write point, kill -9, spoilt records, chains of changes."""

import os
import random
import shutil
import signal
import tempfile
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st
from stores import Child, files, lay

from frostspindle.settings.active_rules import RestoredVersions
from frostspindle.settings.schema import Ban, InvalidSettingsError
from frostspindle.settings.version_store import MAX_CHAIN_LENGTH, METADATA_KEY, VersionStore
from frostspindle.settings.versions import EMPTY_VERSION, VersionHistory
from frostspindle.store.marker_engine import MarkerEngine
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import open_store
from frostspindle.store.sqlite_engine import SqliteEngine

WHERE = "/dev/shm" if os.access("/dev/shm", os.W_OK) else None


@pytest.fixture
def folder():
    path = tempfile.mkdtemp(dir=WHERE)
    yield Path(path, "s")
    shutil.rmtree(path)


def chain(count, wide=40):
    """Versions that follow one another, the first of many entries."""
    versions, at = [], EMPTY_VERSION
    for number in range(1, count + 1):
        changes = {f"ban/w{n}": Ban(f"w{n}") for n in range(wide)} if number == 1 else {}
        at = at.child(number, changes | {f"ban/e{number}": Ban(f"e{number}", "x" * 50), f"ban/e{number - 3}": None})
        versions.append(at)
    return versions


def numbers(kept):
    return [version.number for version in kept.versions]


@runs(max_examples=40, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.booleans()), min_size=1, max_size=60))
def test_what_is_kept_is_what_is_loaded_whatever_was_kept_before(steps):
    versions, store, at = chain(120, 5), MemoryStore(), 0
    keeper = VersionStore(store)
    for step, back, again in steps:
        at = min(len(versions) - 1, at + step)
        needed = tuple(versions[max(0, at - back) : at + 1])
        keeper.save(needed, 5.0)
        if again:
            keeper = VersionStore(store)
            assert keeper.load() == RestoredVersions(needed, 5.0)
        assert VersionStore(store).load().versions == needed
    assert len(store.scan()) <= MAX_CHAIN_LENGTH + 12, "what nobody needs is taken out"


def test_a_change_writes_little_and_a_long_chain_is_written_whole_again():
    versions, wrote = chain(80, 3_000), []

    class Counted(MemoryStore):
        def apply(self, changes):
            wrote.append(sum(len(value) for value in changes.values() if value is not None))
            return super().apply(changes)

    keeper = VersionStore(Counted())
    for one, two in zip(versions, versions[1:], strict=False):
        keeper.save((one, two), 1.0)
    assert sorted(wrote)[len(wrote) // 2] < max(wrote) / 5
    assert 2 <= sum(size > max(wrote) / 2 for size in wrote) <= 6


def test_records_that_do_not_hold_are_never_served():
    versions = chain(4)
    for spoil in (
        lambda s: s.apply({b"settings/v/2/0": None}),
        lambda s: s.apply({b"settings/v/2/0": b"x"}),
        lambda s: s.apply({b"settings/v/3/0": s.get(b"settings/v/2/0")}),
        lambda s: s.apply({METADATA_KEY: b"x"}),
        lambda s: s.apply({METADATA_KEY: s.get(METADATA_KEY)[:-1]}),
        lambda s: s.apply({METADATA_KEY: b"\x94\x07\x00\x90\x90"}),
    ):
        store = MemoryStore()
        VersionStore(store).save(tuple(versions[:2]), 1.0)
        keeper = VersionStore(store)
        keeper.load()
        keeper.save(tuple(versions[1:3]), 2.0)
        spoil(store)
        with pytest.raises(InvalidSettingsError):
            VersionStore(store).load()
    assert VersionStore(MemoryStore()).load() == RestoredVersions()


def test_at_every_write_point_a_start_has_the_versions_before_or_after(folder, monkeypatch):
    """Steps that Python sees, of the store that has them; each also with the file under it torn."""
    versions, history = chain(4), VersionHistory()
    for version in versions:
        history.add(version)
    store = open_store(folder, "c1", MarkerEngine)
    keeper = VersionStore(store)
    keeper.save(tuple(versions[:2]), 1.0)
    points = []
    for name, call in ((name, getattr(os, name)) for name in ("open", "write", "fsync", "replace", "unlink")):

        def step(*args, call=call, **kw):
            points.append(files(folder / "store"))
            return call(*args, **kw)

        monkeypatch.setattr(os, name, step)
    keeper.save(tuple(versions[1:4]), 2.0)
    monkeypatch.undo()
    points.append(files(folder / "store"))
    store.close()
    assert len(points) > 10

    def start():
        (folder / "witness").unlink(missing_ok=True)
        found = open_store(folder, "c1", MarkerEngine, copy_approved=True)
        try:
            return numbers(VersionStore(found).load()) if found.decision.condition == "good" else "aside"
        finally:
            found.close()

    seen = []
    for before, now in zip([points[0], *points], points, strict=False):
        lay(folder / "store", now)
        seen.append(start())
        for name in {name for name in now if now[name] != before.get(name)}:
            for part in (0, 1, 3):
                lay(folder / "store", {**now, name: now[name][: len(now[name]) * part // 4]})
                assert start() in ([1, 2], [2, 3, 4], "aside")
    assert set(map(str, seen)) == {"[1, 2]", "[2, 3, 4]"} and seen == sorted(seen, key=len)


def test_a_torn_or_spoilt_database_is_a_whole_state_or_none(folder):
    versions, rng = chain(6), random.Random(9)
    store = open_store(folder, "c1", SqliteEngine)
    keeper = VersionStore(store)
    for at in range(5):
        keeper.save(tuple(versions[at : at + 2]), 1.0)
    content = files(folder)
    store.close()
    told = set()
    for name in ("store/db", "store/db-wal"):
        for turn in range(24):
            data = bytearray(
                content[name][: len(content[name]) * (turn % 12 + 1) // 13] if turn < 12 else content[name]
            )
            if turn >= 12:
                data[rng.randrange(len(data))] ^= 1 + rng.randrange(255)
            lay(folder, {**content, name: bytes(data)})
            (folder / "witness").unlink()
            found = open_store(folder, "c1", SqliteEngine, copy_approved=True)
            kept = VersionStore(found).load()
            told.add(str(found.decision.condition))
            assert numbers(kept) in ([[at, at + 1] for at in range(1, 6)] + [[]])
            found.close()
    assert "corrupt" in told


def test_after_kill_9_what_was_kept_is_there(folder):
    versions, rng = chain(200), random.Random(7)

    def write(tell):
        store = open_store(folder, "c1", SqliteEngine)
        keeper = VersionStore(store)
        first = (numbers(keeper.load()) or [0])[-1]
        for at in range(first, 199):
            keeper.save(tuple(versions[max(0, at - 1) : at + 1]), 1.0)
            tell(at + 1)

    told = 0
    for _ in range(6):
        child = Child(write)
        words = child.words()
        for _ in range(rng.randrange(1, 9)):
            told = next(words)
        os.kill(child.pid, signal.SIGKILL)
        told = max([told, *words])
        child.wait()
        store = open_store(folder, "c1", SqliteEngine)
        kept = VersionStore(store).load()
        assert told <= numbers(kept)[-1] <= told + 1
        assert kept.versions[-1].rules == versions[numbers(kept)[-1] - 1].rules
        store.close()
