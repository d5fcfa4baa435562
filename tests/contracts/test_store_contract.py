"""The contract of every store: atomic batches compared with a dict, torn and corrupt files, kill -9, full disks,
missing permissions, a second opener, copies."""

import errno
import os
import random
import signal
from pathlib import Path

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test
from stores import DURABLE, SMALL, STORES, Child, files, folder, replace_files

from frostspindle.store import records
from frostspindle.store.base import InvalidBatchError, StoreBrokenError, StoreFullError, StoreLimits
from frostspindle.store.lock import StoreLockedError
from frostspindle.store.opening import MAX_SET_ASIDE, StoreRefusedError
from frostspindle.store.opening_decision import KnownStore, StoreCondition

UNPRIVILEGED_USER = 65_534
LARGE = StoreLimits(key=20, value=4_096, entries=100, total=1 << 20, batch=64)
keys = st.binary(min_size=1, max_size=SMALL.key) | st.sampled_from([b"a", b"ab", b"a\xff", b"\xff", b"\xff\xff", b"/."])
batches = st.dictionaries(
    keys, st.none() | st.binary(max_size=SMALL.value) | st.just(b"v" * SMALL.value), max_size=SMALL.batch
)
each = pytest.mark.parametrize("kind", STORES, ids=lambda kind: kind.name)
each_durable = pytest.mark.parametrize("kind", DURABLE, ids=lambda kind: kind.name)


class StoreModel(RuleBasedStateMachine):
    """Compares a store with a dict."""

    def __init__(self, kind) -> None:
        super().__init__()
        self.kind, self.model, self.count = kind, {}, 0
        self.folder = folder()
        self.path = self.folder.__enter__()
        self.store = kind.open(self.path)

    @rule(
        changes=batches
        | st.sampled_from([{b"%d" % number: b"" for number in range(start, start + 7)} for start in (0, 4, 8)])
    )
    def batch(self, changes):
        after = {key: value for key, value in {**self.model, **changes}.items() if value is not None}
        size = sum(len(key) + len(value) for key, value in after.items())
        if len(after) > SMALL.entries or size > SMALL.total:
            with pytest.raises(StoreFullError):
                self.store.apply(changes)
            return
        self.count += 1
        assert self.store.apply(changes) == self.count
        self.model = after

    @rule(
        changes=batches,
        bad=st.sampled_from(
            [
                {b"": b"v"},
                {b"k" * (SMALL.key + 1): b"v"},
                {b"k": b"v" * (SMALL.value + 1)},
                {"k": b"v"},
                {b"k": "v"},
                {b"%d" % n: b"" for n in range(SMALL.batch + 1)},
            ]
        ),
    )
    def aborted(self, changes, bad):
        with pytest.raises(InvalidBatchError):
            self.store.apply({**changes, **bad})

    @rule(prefix=st.binary(max_size=2) | st.sampled_from([b"\xff", b"a\xff"]))
    def scan(self, prefix):
        assert self.store.scan(prefix) == sorted(
            (key, value) for key, value in self.model.items() if key.startswith(prefix)
        )

    @rule(key=keys)
    def get(self, key):
        assert self.store.get(key) == self.model.get(key)

    @precondition(lambda self: self.store.durable)
    @rule()
    def reopen(self):
        self.store.sync()
        self.store.close()
        self.store = self.kind.open(self.path)
        assert self.store.decision.condition is StoreCondition.GOOD

    @invariant()
    def same(self):
        assert (self.store.generation, self.store.scan()) == (self.count, sorted(self.model.items()))

    def teardown(self):
        self.store.close()
        self.store.close()
        with pytest.raises(StoreBrokenError):
            self.store.get(b"k")
        with pytest.raises(StoreBrokenError):
            self.store.apply({})
        self.folder.__exit__(None, None, None)


@each
def test_store_behaves_as_a_dict_changed_by_atomic_batches(kind):
    run_state_machine_as_test(
        lambda: StoreModel(kind),
        settings=settings(max_examples=40, stateful_step_count=25, deadline=None, derandomize=True, database=None),
    )


def filled(kind, path: Path, count: int, **more):
    """Return a store after so many batches, and the state of each generation."""
    store, rng, states = kind.open(path, LARGE, **more), random.Random(5), [[]]
    for number in range(count):
        store.apply(
            {
                b"k%d" % rng.randrange(12): None if rng.random() < 0.2 else rng.randbytes(rng.randrange(300))
                for _ in range(4)
            }
            | {b"turn": b"%d" % number}
        )
        states.append(store.scan())
    return store, states


def outcome(kind, path: Path, states, **more):
    """Open a complete state, or an empty store with the old one set aside; return condition and generation."""
    logged = []
    store = kind.open(
        path, LARGE, copy_approved=True, log=lambda event, **fields: logged.append((event, fields)), **more
    )
    try:
        condition = store.decision.condition
        assert [event for event, _ in logged] == ["store"]
        if condition is StoreCondition.GOOD:
            assert store.scan() == states[store.generation]
        else:
            assert condition in (StoreCondition.CORRUPT, StoreCondition.OLDER), condition
            assert (store.scan(), store.generation) == ([], 0)
            assert (path / logged[0][1]["aside"]).exists()
        return condition, store.generation
    finally:
        store.close()


@each_durable
def test_torn_or_corrupt_files_are_used_only_as_a_complete_state(kind):
    rng, conditions = random.Random(6), set()
    with folder() as path:
        store, states = filled(kind, path, 9)
        content = files(path)  # as kill -9 leaves them
        store.close()
        for name, data in content.items():
            cases = [None]
            cases += [data[: len(data) * fraction // 12] for fraction in range(12)]
            for fraction in range(16):
                start = min(len(data) - 1, len(data) * fraction // 16 + rng.randrange(1 + len(data) // 16))
                corrupted = bytearray(data)
                for offset in range(start, min(len(data), start + rng.choice((1, 1, 8)))):
                    corrupted[offset] ^= rng.randrange(1, 256)
                cases.append(bytes(corrupted))
            for case in cases:
                remaining = {other: case if other == name else content[other] for other in content}
                if case is None:
                    del remaining[name]
                for witnessed in (True, False):
                    if not witnessed:
                        remaining.pop("witness", None)
                    replace_files(path, remaining)
                    condition, generation = outcome(kind, path, states)
                    conditions.add((witnessed, condition))
                    if (
                        witnessed and condition is StoreCondition.GOOD
                    ):  # a missing last batch is detected only by the witness
                        assert generation == 9
                    if not name.startswith("store/"):
                        assert condition is StoreCondition.GOOD
    assert (True, StoreCondition.CORRUPT) in conditions


@each_durable
def test_files_at_every_step_of_a_batch_are_the_state_before_or_after_it(kind, monkeypatch):
    """Covers system calls made in Python; engines in C are interrupted by the tests below."""
    with folder() as path:
        store, states = filled(kind, path, 5)
        snapshots = []
        for name, call in ((name, getattr(os, name)) for name in ("open", "write", "fsync", "replace", "unlink")):

            def step(*args, call=call, **kwargs):
                snapshots.append(files(path / "store"))
                return call(*args, **kwargs)

            monkeypatch.setattr(os, name, step)
        changes = {b"k1": b"new" * 50, b"k2": None, b"k3": b"new", b"other": b""}
        store.apply(changes)
        monkeypatch.undo()
        states.append(store.scan())
        store.close()
        if not snapshots:
            pytest.skip("the engine makes no system calls in Python")
        generations = set()
        for before, current in zip([snapshots[0], *snapshots], snapshots, strict=False):
            replace_files(path / "store", current)
            (path / "witness").unlink(missing_ok=True)
            condition, generation = outcome(kind, path, states)
            assert (condition, generation in (5, 6)) == (StoreCondition.GOOD, True)
            generations.add(generation)
            for name in {
                name for name in current if current[name] != before.get(name)
            }:  # the file that this step was writing
                for quarter in range(4):
                    replace_files(path / "store", {**current, name: current[name][: len(current[name]) * quarter // 4]})
                    (path / "witness").unlink(missing_ok=True)
                    outcome(kind, path, states)
        assert generations <= {5, 6} and 5 in generations


@each_durable
def test_full_disk_at_any_step_keeps_the_old_state_and_the_store_usable(kind, monkeypatch):
    """Covers system calls made in Python: each one that needs space fails in turn."""
    calls = limit = 0

    def step(real, name):
        def call(*args, **kwargs):
            nonlocal calls
            calls += name == "write" or bool(args[1] & os.O_CREAT)
            if calls == limit:
                raise OSError(errno.ENOSPC, "no space")
            return real(*args, **kwargs)

        return call

    with folder() as path:
        store, states = filled(kind, path, 5)
        names_before = files(path).keys()
        for limit in range(1, 100):  # noqa: B007 - read by the patched calls
            calls = 0
            for name in ("open", "write"):
                monkeypatch.setattr(os, name, step(getattr(os, name), name))
            changes = {b"k1": b"new" * 50, b"k2": None, b"k3": b"%d" % limit, b"other": b""}
            try:
                store.apply(changes)
                break  # past the last step
            except StoreFullError:
                assert (store.generation, store.scan()) == (5, states[5])
                assert files(path).keys() == names_before
            finally:
                monkeypatch.undo()
        if not calls:
            pytest.skip("the engine makes no system calls in Python")
        assert limit > 3
        states.append(store.scan())
        store.close()
        assert outcome(kind, path, states) == (StoreCondition.GOOD, 6)


@each_durable
def test_kill_9_loses_no_acknowledged_batch_and_leaves_no_partial_one(kind):
    rng = random.Random(7)

    def write(report):
        store = kind.open(path, LARGE)
        for number in range(store.generation + 1, 100_000):
            store.apply({b"%d" % slot: b"%d" % number * 40 for slot in range(8)} | {b"t%d" % (number % 60): b"t"})
            report(number)

    with folder() as path:
        acknowledged = 0
        for _ in range(25):
            child = Child(write)
            reports = child.reports()
            for _ in range(rng.randrange(1, 12)):
                acknowledged = next(reports)
            for _ in range(rng.randrange(40_000)):
                pass
            os.kill(child.pid, signal.SIGKILL)
            acknowledged = max([acknowledged, *reports])
            child.wait()
            store = kind.open(path, LARGE)  # the lock was released with its process
            assert store.decision.condition is StoreCondition.GOOD, store.decision
            assert acknowledged <= store.generation <= acknowledged + 1
            assert {store.get(b"%d" % slot) for slot in range(8)} == {b"%d" % store.generation * 40}
            store.close()


def batch_of(number: int) -> dict[bytes, bytes | None]:
    return {b"%d" % (number * 3 % 20 + slot): bytes([number % 256]) * 2_000 for slot in range(3)}


@each_durable
def test_file_size_limit_keeps_the_old_state(kind):
    """The system truncates writes at any byte, as a full disk does."""

    def write(report):
        store = kind.open(path, LARGE)
        for number in range(40):
            try:
                store.apply(batch_of(number))
            except StoreFullError:
                report(("full", store.generation, store.scan()))
                return
            except StoreBrokenError:
                with pytest.raises(StoreBrokenError):
                    store.get(b"0")
                report(("broken", store.generation, None))
                return

    states, outcomes = [{}], set()
    for number in range(40):
        states.append({**states[-1], **batch_of(number)})
    with folder() as path:
        for limit in sorted({int(300 * 1.22**exponent) for exponent in range(36)}):
            replace_files(path, {})
            kind.open(path, LARGE).close()
            reports = Child(write, file_bytes=limit).all()
            if not reports:
                continue  # everything fit
            name, generation, entries = reports[0]
            outcomes.add(name)
            assert entries is None or dict(entries) == states[generation]
            store = kind.open(path, LARGE)
            assert store.decision.condition is StoreCondition.GOOD, store.decision
            assert 0 <= store.generation - generation <= (name == "broken")
            assert dict(store.scan()) == states[store.generation]
            before = store.generation
            assert store.apply({b"more": b"x" * 4_096}) == before + 1
            store.close()
    assert outcomes


@each_durable
def test_opener_without_write_permission_is_refused_and_changes_nothing(kind):
    def try_to_open(report):
        try:
            kind.open(path, LARGE)
        except StoreRefusedError as refused:
            report(refused.decision.condition)

    with folder() as path:
        filled(kind, path, 3)[0].close()
        before = files(path)
        for folder_mode, store_mode, lock_mode, file_mode in (
            (0o555, 0o555, 0o444, 0o444),
            (0o777, 0o777, 0o000, 0o666),
            (0o777, 0o777, 0o666, 0o444),
            (0o777, 0o555, 0o666, 0o666),
            (0o555, 0o777, 0o666, 0o666),
        ):
            path.chmod(folder_mode)
            (path / "store").chmod(store_mode)
            for name in before:
                (path / name).chmod(lock_mode if name == "lock" else file_mode)
            assert Child(try_to_open, user=UNPRIVILEGED_USER).all() == [StoreCondition.READ_ONLY], (
                folder_mode,
                store_mode,
                lock_mode,
                file_mode,
            )
            before["lock"] = files(path)["lock"]  # the holder writes its process number there
            assert files(path) == before
        for opened_path in (path, path / "store"):
            opened_path.chmod(0o777)
        for name in before:
            (path / name).chmod(0o666)
        for name in before:
            if name.startswith("store/"):
                (path / name).chmod(0o222)
                assert Child(try_to_open, user=UNPRIVILEGED_USER).all() == [StoreCondition.UNREADABLE], name
                (path / name).chmod(0o666)


@each_durable
def test_second_opener_is_refused_in_this_process_and_in_others(kind):
    def try_to_open(report):
        try:
            kind.open(path, LARGE)
        except StoreLockedError as error:
            report(str(error))

    with folder() as path:
        store = kind.open(path, LARGE)
        store.apply({b"k": b"v"})
        with pytest.raises(StoreLockedError, match=f"process {os.getpid()}"):
            kind.open(path, LARGE)
        (message,) = Child(try_to_open).all()
        assert f"process {os.getpid()}" in message
        assert store.apply({b"k": b"w"}) == 2
        store.close()
        kind.open(path, LARGE).close()


@each_durable
def test_copies_and_foreign_stores_are_set_aside_and_only_a_few_kept(kind):
    with folder() as path:
        separate_witness = path.with_name("apart")
        store, states = filled(kind, path, 3, witness=separate_witness)
        earlier = files(path)
        for number in range(3):
            store.apply({b"k": b"%d" % number})
            states.append(store.scan())
        known = store.known
        store.close()
        current = files(path)
        recorded_witness = records_of(known)

        def found(content, **more):
            replace_files(path, content)
            store = kind.open(path, LARGE, **more)
            try:
                good = store.decision.condition is StoreCondition.GOOD
                assert store.scan() == (states[store.generation] if good else [])
                return str(store.decision.condition)
            finally:
                store.close()

        later = KnownStore("c1", b"i" * 16, known.incarnation + 1, 0)
        assert [found(current), found(current, copy_approved=True)] == ["older", "good"]
        assert (
            found(earlier, copy_approved=True, witness=None) == "good"
        )  # there is no evidence against it: see docs/design/store.md
        assert found({**earlier, "witness": recorded_witness}, copy_approved=True) == "older"
        assert found(earlier, copy_approved=True, known_by_peers=known) == "older"
        assert found(current, copy_approved=True, known_by_peers=known) == "good"
        assert found(current, copy_approved=True, known_by_peers=later) == "older"
        assert (
            found(current, copy_approved=True, known_by_peers=KnownStore("c2", b"i" * 16, 9, 9)) == "good"
        )  # of another owner
        assert found(current, copy_approved=True, owner="c2") == "foreign"
        witnessed = separate_witness.read_bytes()
        assert (
            found(current, witness=separate_witness) == "good"
        )  # the witness elsewhere shows that the copy is the latest
        assert found(earlier, witness=separate_witness) == "older"
        separate_witness.write_bytes(witnessed[:40])  # torn: it is ignored
        assert found(current, witness=separate_witness) == "older"
        for number in range(5):
            kind.open(path, LARGE, owner=f"o{number}").close()
        set_aside = [name for name in os.listdir(path) if name.startswith("aside-")]
        assert (len(set_aside), max(set_aside)[-7:]) == (MAX_SET_ASIDE, "foreign")


def records_of(known: KnownStore) -> bytes:
    """Return a witness file with this state in its first slot."""
    data = records.encode_known(known)
    return len(data).to_bytes(2, "big") + data


@each_durable
def test_without_space_for_an_empty_store_the_found_one_is_unchanged(kind):
    def try_to_open(report):
        try:
            kind.open(path, LARGE, owner="c2")
        except StoreRefusedError as refused:
            report(refused.decision.condition)

    with folder() as path:
        filled(kind, path, 3)[0].close()
        for content in ({}, files(path)):
            replace_files(path, content)
            (condition,) = Child(try_to_open, file_bytes=30).all()
            assert condition in (StoreCondition.FULL, StoreCondition.READ_ONLY)  # depends on the engine's error
            assert {name: data for name, data in files(path).items() if name.startswith("store/")} == {
                name: data for name, data in content.items() if name.startswith("store/")
            }
        store = kind.open(path, LARGE, owner="c2")
        assert store.decision.condition is StoreCondition.FOREIGN
        store.close()
