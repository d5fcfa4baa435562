"""Leases of summaries: whatever comes in whatever order, no query misses a row whose load was answered before it."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from scatter import HEARS, HOME, KEY, World

from frostspindle.lab.explore import explore
from frostspindle.predicates.summaries import Summary
from frostspindle.scatter import leases, wire
from frostspindle.scatter.leases import LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings, covers_rows, widen

STEP = 1_000.0  # ms: a whole lease of the model checks


# Every order.


def _summed(summary):
    return (
        None
        if summary is None
        else (
            summary.rows,
            *((column.kind, column.lo, column.hi, column.values, column.nulls) for column in summary.columns.values()),
        )
    )


def _key(world):
    """All of a state that matters, with times relative to now."""
    now, shelf = world.now, world.home.records[KEY]
    home = (
        world.home.epoch,
        max(0, shelf.rest_until - now),
        _summed(shelf.summary),
        shelf.version,
        tuple(
            sorted(
                (who, max(-1, one.ends - now), one.version, max(-1, one.said + one.wait - now))
                for who, one in shelf.holders.items()
            )
        ),
        tuple(shelf.standing),
        tuple(shelf.ended),
        tuple(shelf.acked),
        tuple(sorted(shelf.waits.items())),
        _summed(shelf.learning),
        shelf.spoilt,
        tuple(shelf.tops),
    )
    parts = []
    for holder in world.holders.values():
        held = holder.leases[KEY]
        parts.append(
            (
                held.epoch,
                held.floor,
                _summed(held.summary),
                held.version,
                max(-1, held.ends - now),
                holder._seq,
                tuple((seq, max(-5 * STEP, at - now)) for seq, at in held.asked.items()),
                max(-1, held.next - now),
                tuple(
                    (load.number, load.state, tuple(load.missing), load.epoch, load.ran, max(-1, load.said - now))
                    for load in holder.loads.values()
                ),
            )
        )
    return (
        home,
        *parts,
        *world.lives.values(),
        frozenset(world.wire),
        frozenset(world.rows),
        frozenset(world.answered),
        tuple(sorted(world.loads.items())),
        None if world.scan is None else frozenset(world.scan),
        world.left,
    )


def _steps(world):
    def step(label, change, *args, left=None):
        out = world.copy()
        change(out, *args)
        out.left = left or world.left
        return label, out

    def pass_(out):
        out.now += STEP

    times, crashes = world.left
    if times:
        yield step("time", pass_, left=(times - 1, crashes))
    for message in world.wire:
        yield step(f"deliver {type(wire.decode(message[3])).__name__}", World.deliver, message)
    if world.holders["a"].next_tick_ms() <= world.now:
        yield step("ask", World.tick, "a")
    if world.home.next_tick_ms(world.now) <= world.now:
        yield step("home", World.tick, HOME)
    if 7 not in world.loads:
        yield step("load", World.load, "b", 7)
    for row, (_, _, _, state) in world.loads.items():
        if state == "ready":
            yield step("land", World.land, row)
        elif state == "landed":
            yield step("ran", World.ran, row)
    if crashes:
        yield step("crash", World.crash, HOME, left=(times, crashes - 1))
    if world.home.keys_to_learn(world.now):
        yield step("begin", World.begin)
    if world.home.records[KEY].learning is not None:
        yield step("read", World.read) if world.scan is None else step("learnt", World.learnt)


@pytest.mark.parametrize(("times", "crashes", "most"), [(2, 0, 2), (1, 1, 2), (2, 1, 1)])
def test_no_order_of_widen_lease_load_query_and_crash_misses_a_row(monkeypatch, times, crashes, most):
    """One that holds a lease, one that loads, their home: up to two leases' time, `most` messages under way."""
    monkeypatch.setattr(leases, "AGAIN_MS", STEP)
    monkeypatch.setattr(leases, "AGAIN_MOST_MS", STEP)
    start = World(["a", "b"], STEP, most=most)
    start.left = times, crashes
    start.mark_used("a")
    start.tick("a")
    while start.wire:
        start.deliver(start.wire[0])
    assert start.holders["a"].summary(start.now, KEY) is not None
    found = explore(start, _steps, World.missed, 60_000, key=_key)
    assert found.holds, str(found)
    assert all(found.labels[label] for label in ("time", "deliver", "ask", "home", "load", "land", "ran"))
    assert not crashes or all(found.labels[label] for label in ("crash", "begin", "read", "learnt"))


# Drawn orders of more: three coordinators, clocks apart, loss and repeats, several loads, some of any rows.


class Machine(RuleBasedStateMachine):
    names = ("a", "b", "c")

    @initialize(rates=st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=4, max_size=4))
    def begin(self, rates):
        self.world = World(self.names, drift=0.05, rates=dict(zip((*self.names, HOME), rates, strict=True)), bits=64)
        self.row = 0
        for name in self.names:
            self.world.mark_used(name)

    @rule(ms=st.sampled_from([1.0, 70.0, 400.0, 900.0, 2_200.0]))
    def time(self, ms):
        self.world.now += ms

    @rule(name=st.sampled_from(names))
    def ask(self, name):
        """What a process does in time: who is stopped does nothing for a while."""
        self.world.tick(name)

    @rule()
    def keep(self):
        self.world.tick(HOME)

    @precondition(lambda self: self.world.wire)
    @rule(at=st.integers(0, 50), again=st.sampled_from([False, False, True]))
    def deliver(self, at, again):
        self.world.deliver(self.world.wire[at % len(self.world.wire)], again)

    @precondition(lambda self: self.world.wire)
    @rule()
    def drain(self):
        """All that is under way comes, in order."""
        for _ in range(60):
            if self.world.wire:
                self.world.deliver(self.world.wire[0])

    @precondition(lambda self: self.world.wire)
    @rule()
    def lose(self):
        self.world.wire.clear()

    @rule(name=st.sampled_from(names), told=st.sampled_from([True, True, True, False]))
    def load(self, name, told):
        self.row += 1
        self.world.load(name, self.row, told)

    @precondition(lambda self: any(load[3] in ("ready", "landed") for load in self.world.loads.values()))
    @rule()
    def run(self):
        for row, (_, _, _, state) in list(self.world.loads.items()):
            if state == "ready":
                self.world.land(row)
            elif state == "landed" and self.world.mine(row):
                self.world.ran(row)

    @rule(name=st.sampled_from((*names, HOME, HOME)))
    def crash(self, name):
        self.world.crash(name)
        if name != HOME:
            self.world.mark_used(name)

    @precondition(lambda self: self.world.home.keys_to_learn(self.world.clock(HOME)))
    @rule()
    def learn(self):
        self.world.begin()

    @precondition(lambda self: self.world.home.records[KEY].learning is not None)
    @rule()
    def read(self):
        if self.world.scan is None:
            self.world.read()
        else:
            self.world.learnt()

    @invariant()
    def none_is_missed(self):
        if hasattr(self, "world"):
            assert self.world.missed() is None


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    max_examples=30, stateful_step_count=50, deadline=None, suppress_health_check=list(HealthCheck)
)


# Bounds, and word of who is not meant.


def world(*names, **kw):
    out = World(names or ("a", "b"), **kw)
    for name in out.names:
        out.mark_used(name)
        out.tick(name)
    drain(out)
    return out


def drain(out):
    for _ in range(200):
        if out.wire:
            out.deliver(out.wire[0])


def test_a_load_waits_for_who_is_silent_only_until_its_lease_is_over():
    w = world()
    w.load("b", 7)
    drain(w)  # both holders acknowledge
    assert w.loads[7][3] == "ready"
    w = world()
    w.load("b", 7)
    w.wire = [message for message in w.wire if message[0] == HOME]
    w.deliver(w.wire[0])
    w.wire = [message for message in w.wire if message[0] != "a"]  # it hears nothing any more
    drain(w)
    assert w.loads[7][3] == "widening"
    w.now += 2_001.0
    w.tick(HOME)
    drain(w)
    assert w.loads[7][3] == "ready" and w.holders["a"].summary(w.now, KEY) is None
    w.land(7)
    w.ran(7)
    drain(w)
    assert w.answered == {7} and not w.home.records[KEY].standing and not w.holders["b"].loads


@pytest.mark.parametrize(("slow", "fast"), [("a", HOME), (HOME, "a")])
def test_a_lease_is_over_here_before_it_is_there_however_clocks_run(slow, fast):
    w = World(("a", "b"), drift=0.05, rates={slow: 0.95, fast: 1.05})
    w.mark_used("a")
    w.tick("a")
    drain(w)
    w.load("b", 7)
    w.wire = [message for message in w.wire if message[0] == HOME]
    w.deliver(w.wire[0])
    w.wire.clear()  # `a` hears nothing
    for _ in range(60):
        w.now += 50.0
        w.tick(HOME)
        w.wire = [message for message in w.wire if message[0] == "b"]
        drain(w)
        assert w.loads[7][3] == "widening" or w.holders["a"].summary(w.clock("a"), KEY) is None
    assert w.loads[7][3] == "ready"


def test_rows_that_the_summary_knows_already_are_told_to_nobody():
    w = world()
    for row in (7, 7):
        w.loads.clear()
        w.load("b", row)
        drain(w)
        assert w.loads[7][3] == "ready"
    assert w.home.pushed == 2  # to both, once


def test_what_never_ran_is_taken_back_and_what_may_have_stands():
    w = world()
    for row, never_ran in ((7, True), (8, False)):
        w.load("b", row)
        drain(w)
        w.holders["b"].drop_load(w.now, w.loads[row][2], never_ran)
        w.collect("b")
        drain(w)
    assert [told.cells for told, _ in w.home.records[KEY].standing.values()] == [{"n": [(1, "8")]}]


def test_any_rows_make_a_site_unknown_until_that_load_has_ended_and_it_is_learnt_anew():
    w = world()
    w.load("b", 7, told=False)
    drain(w)
    assert w.loads[7][3] == "ready" and w.holders["a"].summary(w.now, KEY) is None
    assert w.home.keys_to_learn(w.now) == []
    w.land(7)
    w.ran(7)
    drain(w)
    assert w.answered == {7} and w.home.keys_to_learn(w.now) == [KEY]
    w.begin()
    w.read()
    w.learnt()
    for name in w.names:
        w.now += 1_000.0
        w.tick(name)
    drain(w)
    assert w.holders["a"].summary(w.now, KEY) is not None and w.missed() is None


def test_what_may_bring_any_row_while_a_site_is_learnt_spoils_that():
    w = World(("a", "b"), learnt=False)
    w.now = w.settings.home_lease_ms + 1.0
    w.begin()
    w.read()
    w.load("b", 7, told=False)
    w.deliver(w.wire[0])
    w.learnt()
    assert w.home.records[KEY].summary is None and w.home.keys_to_learn(w.now) == []


def test_a_later_process_of_the_home_is_told_anew_before_a_load_is_answered():
    w = world()
    w.load("b", 7)
    drain(w)
    w.land(7)
    w.crash(HOME)
    w.ran(7)
    drain(w)
    assert not w.answered and w.holders["b"].loads[1].state == "widening"  # it rests, and acknowledges nothing
    w.now += 2_001.0
    w.tick(HOME)
    drain(w)
    assert w.answered == {7}
    # Its summaries are its own: what its predecessor said, however late, and however high its versions were, is void.
    w.holders["a"].leases[KEY].floor = 9
    w.begin()
    w.read()
    w.learnt()
    w.now += 1_000.0
    w.tick("a")
    drain(w)
    assert w.holders["a"].summary(w.now, KEY) is not None and w.holders["a"].leases[KEY].floor == 2
    w.now += 1_000.0
    w.tick("a")
    seq = max(w.holders["a"].leases[KEY].asked)
    w.holders["a"].on_summary_piece(w.now, HOME, 1, wire.SummaryPiece(KEY, seq, 50, 0, 1, Summary(["n"], 0).encode()))
    assert w.holders["a"].leases[KEY].version == 2


def test_only_who_was_told_says_kept_and_what_was_told_anew_is_confirmed_anew():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0, 1, 1e9, 0), {KEY: HOME})
    load = holder.load(0.0, KEY, 1, {"n": [(1, "5")]})
    holder.on_load_permitted(0.0, HOME, 2, wire.LoadPermitted(KEY, 1, 0))
    holder.ran(1.0, 1)
    for epoch, kept, state in ((3, True, "confirming"), (1, False, "confirming"), (3, False, "widening")):
        holder.on_load_recorded(2.0, HOME, epoch, wire.LoadRecorded(KEY, 1, kept))
        assert load.state == state
    holder.outbox.clear()
    holder.on_load_permitted(3.0, HOME, 3, wire.LoadPermitted(KEY, 1, 0))
    assert [wire.decode(data) for _, data in holder.outbox] == [
        wire.LoadEnded(KEY, 1, 1, True)
    ] and load.state == "confirming"
    holder.on_load_recorded(4.0, HOME, 3, wire.LoadRecorded(KEY, 1, True))
    assert load.state == "kept" and not holder.loads


def test_a_load_of_several_messages_is_told_to_one_process_whole():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0), {KEY: HOME})
    load = holder.load(0.0, KEY, 1, {"n": [(2, "x" * 500), (2, "y" * 500)]})
    for epoch, chunk in ((1, 0), (2, 1)):
        holder.on_load_permitted(1.0, HOME, epoch, wire.LoadPermitted(KEY, 1, chunk))
    assert load.state == "widening" and load.missing == {0}
    holder.on_load_permitted(1.0, HOME, 2, wire.LoadPermitted(KEY, 1, 0))
    assert load.state == "ready"


def test_who_missed_a_version_leaves_nothing_out_by_the_next():
    w = world()
    for row in (7, 8):
        w.load("b", row)
        w.deliver(next(message for message in w.wire if message[0] == HOME))
        if row == 7:
            w.wire.clear()
    drain(w)
    assert w.home.records[KEY].version == 4 and w.holders["a"].leases[KEY].floor == 4
    assert w.holders["a"].summary(w.now, KEY) is None and w.loads[7][3] == "ready" == w.loads[8][3]
    w.now += 100.0
    w.tick("a")
    drain(w)
    assert covers_rows(w.holders["a"].summary(w.now, KEY), LoadIntent(2, {"n": [(1, "7"), (1, "8")]}))


def test_who_has_another_catalogue_gets_no_lease_and_loads_nothing(monkeypatch):
    w = World(("a",))
    w.holders["a"].settings = SummaryLeaseSettings(2_000.0, 0.0, 2, 1e9, 0)
    w.mark_used("a")
    w.tick("a")
    w.load("a", 7)
    drain(w)
    assert w.home.refused == 2 and w.holders["a"].summary(w.now, KEY) is None and w.loads[7][3] == "widening"


def test_every_table_has_its_bound(monkeypatch):
    for name, most in (("MOST_HOLDERS", 1), ("MOST_STANDING", 2), ("MOST_ENDED", 1), ("MOST_LOADS", 4)):
        monkeypatch.setattr(leases, name, most)
    w = world("a", "b")
    assert len(w.home.records[KEY].holders) == 1 and w.home.refused
    for row in range(4):
        w.load("b", row)
        drain(w)
    assert w.holders["b"].load(0.0, KEY, 1, {}) is None
    shelf = w.home.records[KEY]
    assert len(shelf.standing) == 2 and shelf.sunk.rows  # the oldest goes on there
    w.home.begin_learning(KEY)
    assert covers_rows(shelf.learning, LoadIntent(1, {"n": [(1, "0"), (1, "3")]}))
    assert [w.loads[row][3] for row in range(4)] == ["ready"] * 4
    w.land(0)
    w.ran(0)  # its intent has sunk: it is told anew before it is answered
    drain(w)
    assert w.answered == {0} and len(shelf.ended) <= 1
    home = SummaryHome(1, SummaryLeaseSettings(2_000.0, 0.0), {KEY: ["n"]}, 0.0)
    for message in (
        wire.LeaseRequest("x/1", 0, 1, 0, 0, 0),
        wire.LoadAnnounced("x/1", 0, 1, 0, 1, {}),
        wire.LoadEnded("x/1", 1, 1, True),
        wire.UpdateAcknowledged("x/1", 1, 1),
        wire.ReleaseLease("x/1", 1),
    ):
        getattr(home, HEARS[type(message)])(0.0, "a", 1, message)
    assert home.outbox == []


def test_word_that_is_late_of_others_or_spoilt_makes_no_lease():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0), {KEY: HOME})
    holder.mark_used(0.0, [KEY])
    holder.tick(0.0)
    data = Summary(["n"], 0).encode()
    for now, name, epoch, word in (
        (1.0, "x", 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data)),
        (1.0, HOME, 1, wire.SummaryPiece(KEY, 9, 1, 0, 1, data)),
        (1.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, b"spoilt")),
        (1.0, HOME, 1, wire.LeaseUnchanged(KEY, 1, 1)),
        (3_000.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data)),
    ):
        getattr(holder, HEARS[type(word)])(now, name, epoch, word)
        assert holder.summary(now, KEY) is None
    holder.on_summary_piece(1.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data))
    holder.tick(100.0)
    holder.on_summary_piece(100.0, HOME, 1, wire.SummaryPiece(KEY, 2, 1, 0, 1, data))
    assert holder.summary(2_099.0, KEY) is not None
    holder.on_lease_unchanged(1_000.0, HOME, 1, wire.LeaseUnchanged(KEY, 99, 1))  # never asked
    assert holder.summary(2_101.0, KEY) is None
    for bad in (
        b"",
        b"x" * 961,
        wire.encode(wire.UpdateAcknowledged("a", 1, 1)),
        wire.encode(wire.LoadAnnounced(KEY, 1, 1, 64, 1, None)),
    ):
        with pytest.raises(wire.InvalidPacketError):
            wire.decode(bad)


def test_a_summary_of_many_messages_is_whole_or_not_there():
    w = World(("a",), bits=16_384)
    w.mark_used("a")
    w.tick("a")
    w.deliver(w.wire[0])
    assert len(w.wire) == 3
    for message in w.wire[:2]:
        w.deliver(message, True)
        assert w.holders["a"].summary(w.now, KEY) is None
    w.deliver(w.wire[2])
    assert w.holders["a"].summary(w.now, KEY) is not None


def test_leases_are_renewed_while_they_are_used_and_let_go_at_the_end():
    w = world("a")
    for _ in range(20):
        w.now += 250.0
        w.tick("a")
        drain(w)
        assert w.holders["a"].summary(w.now, KEY) is not None
    w.holders["a"].release_all()
    w.collect("a")
    drain(w)
    assert not w.home.records[KEY].holders and w.holders["a"].summary(w.now, KEY) is None


def test_what_a_summary_knows_need_not_be_told():
    summary = Summary(["n", "s"], 64)
    told = LoadIntent(1, {"n": [(1, "7"), (0, "")], "s": [(2, "b" * 80)]})
    assert not covers_rows(summary, told)
    widen(summary, told)
    assert covers_rows(summary, told)
    for cells in ({"n": [(1, "8")]}, {"s": [(0, "")]}, {"s": [(1, "7")]}, {"n": [(4, "")]}, {"s": [(2, "c")]}):
        assert not covers_rows(summary, LoadIntent(1, cells))
    widen(summary, LoadIntent(1, {"n": [(4, "")], "s": []}))
    assert covers_rows(summary, LoadIntent(1, {"n": [(2, "any")]}))
    wide = Summary(["n"], 1_024)
    widen(wide, LoadIntent(2, {"n": [(1, "1"), (1, "9")]}))
    assert covers_rows(wide, LoadIntent(1, {"n": [(1, "9")]})) and not covers_rows(
        wide, LoadIntent(1, {"n": [(1, "7")]})
    )
