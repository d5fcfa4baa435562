"""Leases on summaries: in every order of events, no query misses a row whose load was answered before it."""

import hypothesis.strategies as st
import pytest
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from scatter import HANDLERS, HOME, KEY, World

from frostspindle.lab.explore import explore
from frostspindle.predicates.summaries import Summary
from frostspindle.scatter import leases, wire
from frostspindle.scatter.leases import LoadIntent, SummaryCache, SummaryHome, SummaryLeaseSettings, covers_rows, widen

LEASE_MS = 1_000.0  # of the model checks


# Exhaustive model checks.


def _summary_key(summary):
    return (
        None
        if summary is None
        else (
            summary.rows,
            *((column.kind, column.lo, column.hi, column.values, column.nulls) for column in summary.columns.values()),
        )
    )


def _state_key(world):
    """Return what distinguishes a state, with times relative to now."""
    now, record = world.now, world.home.records[KEY]
    home = (
        world.home.epoch,
        max(0, record.silent_until - now),
        _summary_key(record.summary),
        record.version,
        tuple(
            sorted(
                (
                    holder_key,
                    max(-1, holder_record.expires_at - now),
                    holder_record.version,
                    max(-1, holder_record.last_sent_at + holder_record.retry_ms - now),
                )
                for holder_key, holder_record in record.holders.items()
            )
        ),
        tuple(record.open_intents),
        tuple(record.ended_loads),
        tuple(record.acked_intents),
        tuple(sorted(record.waiting_intents.items())),
        _summary_key(record.learning),
        record.is_learning_invalid,
        tuple(record.unknown_row_intents),
    )
    holder_keys = []
    for holder in world.holders.values():
        lease = holder.leases[KEY]
        holder_keys.append(
            (
                lease.epoch,
                lease.min_version,
                _summary_key(lease.summary),
                lease.version,
                max(-1, lease.expires_at - now),
                holder._last_seq,
                tuple(
                    (seq, max(-5 * LEASE_MS, requested_at - now)) for seq, requested_at in lease.requested_at.items()
                ),
                max(-1, lease.next_request_at - now),
                tuple(
                    (
                        load.number,
                        load.state,
                        tuple(load.unacknowledged),
                        load.epoch,
                        load.ran,
                        max(-1, load.last_sent_at - now),
                    )
                    for load in holder.loads.values()
                ),
            )
        )
    return (
        home,
        *holder_keys,
        *world.incarnations.values(),
        frozenset(world.in_flight),
        frozenset(world.rows),
        frozenset(world.answered),
        tuple(sorted(world.loads.items())),
        None if world.scanned_rows is None else frozenset(world.scanned_rows),
        world.remaining,
    )


def _transitions(world):
    def step(label, change, *args, remaining=None):
        changed = world.copy()
        change(changed, *args)
        changed.remaining = remaining or world.remaining
        return label, changed

    def advance(changed):
        changed.now += LEASE_MS

    times, crashes = world.remaining
    if times:
        yield step("time", advance, remaining=(times - 1, crashes))
    for message in world.in_flight:
        yield step(f"deliver {type(wire.decode(message[3])).__name__}", World.deliver, message)
    if world.holders["a"].next_tick_ms() <= world.now:
        yield step("ask", World.tick, "a")
    if world.home.next_tick_ms(world.now) <= world.now:
        yield step("home", World.tick, HOME)
    if 7 not in world.loads:
        yield step("load", World.load, "b", 7)
    for row, (_, _, _, state) in world.loads.items():
        if state == "ready":
            yield step("land", World.run_at_engine, row)
        elif state == "landed":
            yield step("ran", World.report_served, row)
    if crashes:
        yield step("crash", World.crash, HOME, remaining=(times, crashes - 1))
    if world.home.keys_to_learn(world.now):
        yield step("begin", World.begin_learning)
    if world.home.records[KEY].learning is not None:
        yield step("read", World.scan_site) if world.scanned_rows is None else step("learnt", World.finish_learning)


@pytest.mark.parametrize(("times", "crashes", "max_in_flight"), [(2, 0, 2), (1, 1, 2), (2, 1, 1)])
def test_no_interleaving_of_updates_leases_loads_and_crashes_misses_an_answered_row(
    monkeypatch, times, crashes, max_in_flight
):
    """A holder, a loader and their home, for up to two lease times, with at most `max_in_flight` messages in flight."""
    monkeypatch.setattr(leases, "RETRY_MS", LEASE_MS)
    monkeypatch.setattr(leases, "MAX_RETRY_MS", LEASE_MS)
    start = World(["a", "b"], LEASE_MS, max_in_flight=max_in_flight)
    start.remaining = times, crashes
    start.mark_used("a")
    start.tick("a")
    while start.in_flight:
        start.deliver(start.in_flight[0])
    assert start.holders["a"].summary(start.now, KEY) is not None
    found = explore(start, _transitions, World.missed_row, 60_000, key=_state_key)
    assert found.holds, str(found)
    assert all(found.labels[label] for label in ("time", "deliver", "ask", "home", "load", "land", "ran"))
    assert not crashes or all(found.labels[label] for label in ("crash", "begin", "read", "learnt"))


# Random runs: three coordinators, clock drift, message loss and repeats, several loads, some of unknown rows.


class Machine(RuleBasedStateMachine):
    names = ("a", "b", "c")

    @initialize(rates=st.lists(st.sampled_from([0.95, 1.0, 1.05]), min_size=4, max_size=4))
    def begin(self, rates):
        self.world = World(self.names, drift=0.05, rates=dict(zip((*self.names, HOME), rates, strict=True)), bits=64)
        self.row = 0
        for name in self.names:
            self.world.mark_used(name)

    @rule(ms=st.sampled_from([1.0, 70.0, 400.0, 900.0, 2_200.0]))
    def advance_time(self, ms):
        self.world.now += ms

    @rule(name=st.sampled_from(names))
    def tick_holder(self, name):
        """Tick a process; one that is not ticked for a while models a stopped process."""
        self.world.tick(name)

    @rule()
    def tick_home(self):
        self.world.tick(HOME)

    @precondition(lambda self: self.world.in_flight)
    @rule(index=st.integers(0, 50), is_repeat=st.sampled_from([False, False, True]))
    def deliver(self, index, is_repeat):
        self.world.deliver(self.world.in_flight[index % len(self.world.in_flight)], is_repeat)

    @precondition(lambda self: self.world.in_flight)
    @rule()
    def deliver_all(self):
        """Deliver all messages in flight, in order."""
        for _ in range(60):
            if self.world.in_flight:
                self.world.deliver(self.world.in_flight[0])

    @precondition(lambda self: self.world.in_flight)
    @rule()
    def lose_messages(self):
        self.world.in_flight.clear()

    @rule(name=st.sampled_from(names), is_known=st.sampled_from([True, True, True, False]))
    def load(self, name, is_known):
        self.row += 1
        self.world.load(name, self.row, is_known)

    @precondition(lambda self: any(load[3] in ("ready", "landed") for load in self.world.loads.values()))
    @rule()
    def run_loads(self):
        for row, (_, _, _, state) in list(self.world.loads.items()):
            if state == "ready":
                self.world.run_at_engine(row)
            elif state == "landed" and self.world.is_process_alive(row):
                self.world.report_served(row)

    @rule(name=st.sampled_from((*names, HOME, HOME)))
    def crash(self, name):
        self.world.crash(name)
        if name != HOME:
            self.world.mark_used(name)

    @precondition(lambda self: self.world.home.keys_to_learn(self.world.clock(HOME)))
    @rule()
    def begin_learning(self):
        self.world.begin_learning()

    @precondition(lambda self: self.world.home.records[KEY].learning is not None)
    @rule()
    def scan_or_finish_learning(self):
        if self.world.scanned_rows is None:
            self.world.scan_site()
        else:
            self.world.finish_learning()

    @invariant()
    def no_answered_row_is_missed(self):
        if hasattr(self, "world"):
            assert self.world.missed_row() is None


TestMachine = Machine.TestCase
TestMachine.settings = settings(
    max_examples=30, stateful_step_count=50, deadline=None, suppress_health_check=list(HealthCheck)
)


# Single cases: bounds, and messages that must be ignored.


def world(*names, **kw):
    model = World(names or ("a", "b"), **kw)
    for name in model.names:
        model.mark_used(name)
        model.tick(name)
    drain(model)
    return model


def drain(model):
    for _ in range(200):
        if model.in_flight:
            model.deliver(model.in_flight[0])


def test_load_waits_for_an_unreachable_holder_until_its_lease_expires():
    model = world()
    model.load("b", 7)
    drain(model)  # both holders acknowledge
    assert model.loads[7][3] == "ready"
    model = world()
    model.load("b", 7)
    model.in_flight = [message for message in model.in_flight if message[0] == HOME]
    model.deliver(model.in_flight[0])
    model.in_flight = [message for message in model.in_flight if message[0] != "a"]  # it receives nothing from here on
    drain(model)
    assert model.loads[7][3] == "widening"
    model.now += 2_001.0
    model.tick(HOME)
    drain(model)
    assert model.loads[7][3] == "ready" and model.holders["a"].summary(model.now, KEY) is None
    model.run_at_engine(7)
    model.report_served(7)
    drain(model)
    assert model.answered == {7} and not model.home.records[KEY].open_intents and not model.holders["b"].loads


@pytest.mark.parametrize(("slow", "fast"), [("a", HOME), (HOME, "a")])
def test_lease_expires_at_the_holder_before_it_does_at_the_home_under_clock_drift(slow, fast):
    model = World(("a", "b"), drift=0.05, rates={slow: 0.95, fast: 1.05})
    model.mark_used("a")
    model.tick("a")
    drain(model)
    model.load("b", 7)
    model.in_flight = [message for message in model.in_flight if message[0] == HOME]
    model.deliver(model.in_flight[0])
    model.in_flight.clear()  # `a` receives nothing
    for _ in range(60):
        model.now += 50.0
        model.tick(HOME)
        model.in_flight = [message for message in model.in_flight if message[0] == "b"]
        drain(model)
        assert model.loads[7][3] == "widening" or model.holders["a"].summary(model.clock("a"), KEY) is None
    assert model.loads[7][3] == "ready"


def test_holders_are_not_updated_for_rows_that_the_summary_covers():
    model = world()
    for row in (7, 7):
        model.loads.clear()
        model.load("b", row)
        drain(model)
        assert model.loads[7][3] == "ready"
    assert model.home.pushed == 2  # to both, once


def test_intent_of_a_load_that_never_ran_is_dropped_and_any_other_stays_open():
    model = world()
    for row, never_ran in ((7, True), (8, False)):
        model.load("b", row)
        drain(model)
        model.holders["b"].drop_load(model.now, model.loads[row][2], never_ran)
        model.collect("b")
        drain(model)
    assert [intent.cells for intent, _ in model.home.records[KEY].open_intents.values()] == [{"n": [(1, "8")]}]


def test_load_of_unknown_rows_makes_the_summary_unknown_until_it_ends_and_the_site_is_learnt_again():
    model = world()
    model.load("b", 7, is_known=False)
    drain(model)
    assert model.loads[7][3] == "ready" and model.holders["a"].summary(model.now, KEY) is None
    assert model.home.keys_to_learn(model.now) == []
    model.run_at_engine(7)
    model.report_served(7)
    drain(model)
    assert model.answered == {7} and model.home.keys_to_learn(model.now) == [KEY]
    model.begin_learning()
    model.scan_site()
    model.finish_learning()
    for name in model.names:
        model.now += 1_000.0
        model.tick(name)
    drain(model)
    assert model.holders["a"].summary(model.now, KEY) is not None and model.missed_row() is None


def test_load_of_unknown_rows_invalidates_learning_in_progress():
    model = World(("a", "b"), has_summary=False)
    model.now = model.settings.home_lease_ms + 1.0
    model.begin_learning()
    model.scan_site()
    model.load("b", 7, is_known=False)
    model.deliver(model.in_flight[0])
    model.finish_learning()
    assert model.home.records[KEY].summary is None and model.home.keys_to_learn(model.now) == []


def test_load_is_announced_again_to_a_restarted_home_before_it_is_answered():
    model = world()
    model.load("b", 7)
    drain(model)
    model.run_at_engine(7)
    model.crash(HOME)
    model.report_served(7)
    drain(model)
    assert (
        not model.answered and model.holders["b"].loads[1].state == "widening"
    )  # the new home acknowledges nothing yet
    model.now += 2_001.0
    model.tick(HOME)
    drain(model)
    assert model.answered == {7}
    # Messages of the predecessor have no effect, however late they arrive and however high their versions are.
    model.holders["a"].leases[KEY].min_version = 9
    model.begin_learning()
    model.scan_site()
    model.finish_learning()
    model.now += 1_000.0
    model.tick("a")
    drain(model)
    assert model.holders["a"].summary(model.now, KEY) is not None and model.holders["a"].leases[KEY].min_version == 2
    model.now += 1_000.0
    model.tick("a")
    seq = max(model.holders["a"].leases[KEY].requested_at)
    model.holders["a"].on_summary_piece(
        model.now, HOME, 1, wire.SummaryPiece(KEY, seq, 50, 0, 1, Summary(["n"], 0).encode())
    )
    assert model.holders["a"].leases[KEY].version == 2


def test_only_the_process_that_acknowledged_a_load_confirms_it():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0, 1, 1e9, 0), {KEY: HOME})
    load = holder.load(0.0, KEY, 1, {"n": [(1, "5")]})
    holder.on_load_permitted(0.0, HOME, 2, wire.LoadPermitted(KEY, 1, 0))
    holder.ran(1.0, 1)
    for epoch, is_kept, state in ((3, True, "confirming"), (1, False, "confirming"), (3, False, "widening")):
        holder.on_load_recorded(2.0, HOME, epoch, wire.LoadRecorded(KEY, 1, is_kept))
        assert load.state == state
    holder.outbox.clear()
    holder.on_load_permitted(3.0, HOME, 3, wire.LoadPermitted(KEY, 1, 0))
    assert [wire.decode(data) for _, data in holder.outbox] == [
        wire.LoadEnded(KEY, 1, 1, True)
    ] and load.state == "confirming"
    holder.on_load_recorded(4.0, HOME, 3, wire.LoadRecorded(KEY, 1, True))
    assert load.state == "kept" and not holder.loads


def test_all_messages_of_a_load_must_be_acknowledged_by_one_process():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0), {KEY: HOME})
    load = holder.load(0.0, KEY, 1, {"n": [(2, "x" * 500), (2, "y" * 500)]})
    for epoch, chunk in ((1, 0), (2, 1)):
        holder.on_load_permitted(1.0, HOME, epoch, wire.LoadPermitted(KEY, 1, chunk))
    assert load.state == "widening" and load.unacknowledged == {0}
    holder.on_load_permitted(1.0, HOME, 2, wire.LoadPermitted(KEY, 1, 0))
    assert load.state == "ready"


def test_holder_that_missed_a_version_drops_its_summary_at_the_next():
    model = world()
    for row in (7, 8):
        model.load("b", row)
        model.deliver(next(message for message in model.in_flight if message[0] == HOME))
        if row == 7:
            model.in_flight.clear()
    drain(model)
    assert model.home.records[KEY].version == 4 and model.holders["a"].leases[KEY].min_version == 4
    assert model.holders["a"].summary(model.now, KEY) is None and model.loads[7][3] == "ready" == model.loads[8][3]
    model.now += 100.0
    model.tick("a")
    drain(model)
    assert covers_rows(model.holders["a"].summary(model.now, KEY), LoadIntent(2, {"n": [(1, "7"), (1, "8")]}))


def test_different_catalogue_gets_no_lease_and_no_load(monkeypatch):
    model = World(("a",))
    model.holders["a"].settings = SummaryLeaseSettings(2_000.0, 0.0, 2, 1e9, 0)
    model.mark_used("a")
    model.tick("a")
    model.load("a", 7)
    drain(model)
    assert (
        model.home.refused == 2
        and model.holders["a"].summary(model.now, KEY) is None
        and model.loads[7][3] == "widening"
    )


def test_every_table_is_bounded(monkeypatch):
    for name, most in (("MAX_HOLDERS", 1), ("MAX_OPEN_INTENTS", 2), ("MAX_ENDED_LOADS", 1), ("MAX_LOADS", 4)):
        monkeypatch.setattr(leases, name, most)
    model = world("a", "b")
    assert len(model.home.records[KEY].holders) == 1 and model.home.refused
    for row in range(4):
        model.load("b", row)
        drain(model)
    assert model.holders["b"].load(0.0, KEY, 1, {}) is None
    record = model.home.records[KEY]
    assert len(record.open_intents) == 2 and record.overflow.rows  # the oldest intents are merged there
    model.home.begin_learning(KEY)
    assert covers_rows(record.learning, LoadIntent(1, {"n": [(1, "0"), (1, "3")]}))
    assert [model.loads[row][3] for row in range(4)] == ["ready"] * 4
    model.run_at_engine(0)
    model.report_served(0)  # its intent is in `overflow`, so the load is announced again before it is answered
    drain(model)
    assert model.answered == {0} and len(record.ended_loads) <= 1
    home = SummaryHome(1, SummaryLeaseSettings(2_000.0, 0.0), {KEY: ["n"]}, 0.0)
    for message in (
        wire.LeaseRequest("x/1", 0, 1, 0, 0, 0),
        wire.LoadAnnounced("x/1", 0, 1, 0, 1, {}),
        wire.LoadEnded("x/1", 1, 1, True),
        wire.UpdateAcknowledged("x/1", 1, 1),
        wire.ReleaseLease("x/1", 1),
    ):
        getattr(home, HANDLERS[type(message)])(0.0, "a", 1, message)
    assert home.outbox == []


def test_late_foreign_or_malformed_messages_grant_no_lease():
    holder = SummaryCache(SummaryLeaseSettings(2_000.0, 0.0), {KEY: HOME})
    holder.mark_used(0.0, [KEY])
    holder.tick(0.0)
    data = Summary(["n"], 0).encode()
    for now, name, epoch, message in (
        (1.0, "x", 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data)),
        (1.0, HOME, 1, wire.SummaryPiece(KEY, 9, 1, 0, 1, data)),
        (1.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, b"spoilt")),
        (1.0, HOME, 1, wire.LeaseUnchanged(KEY, 1, 1)),
        (3_000.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data)),
    ):
        getattr(holder, HANDLERS[type(message)])(now, name, epoch, message)
        assert holder.summary(now, KEY) is None
    holder.on_summary_piece(1.0, HOME, 1, wire.SummaryPiece(KEY, 1, 1, 0, 1, data))
    holder.tick(100.0)
    holder.on_summary_piece(100.0, HOME, 1, wire.SummaryPiece(KEY, 2, 1, 0, 1, data))
    assert holder.summary(2_099.0, KEY) is not None
    holder.on_lease_unchanged(1_000.0, HOME, 1, wire.LeaseUnchanged(KEY, 99, 1))  # never requested
    assert holder.summary(2_101.0, KEY) is None
    for bad in (
        b"",
        b"x" * 961,
        wire.encode(wire.UpdateAcknowledged("a", 1, 1)),
        wire.encode(wire.LoadAnnounced(KEY, 1, 1, 64, 1, None)),
    ):
        with pytest.raises(wire.InvalidPacketError):
            wire.decode(bad)


def test_summary_of_several_messages_is_installed_when_complete():
    model = World(("a",), bits=16_384)
    model.mark_used("a")
    model.tick("a")
    model.deliver(model.in_flight[0])
    assert len(model.in_flight) == 3
    for message in model.in_flight[:2]:
        model.deliver(message, True)
        assert model.holders["a"].summary(model.now, KEY) is None
    model.deliver(model.in_flight[2])
    assert model.holders["a"].summary(model.now, KEY) is not None


def test_leases_are_renewed_while_used_and_released_at_shutdown():
    model = world("a")
    for _ in range(20):
        model.now += 250.0
        model.tick("a")
        drain(model)
        assert model.holders["a"].summary(model.now, KEY) is not None
    model.holders["a"].release_all()
    model.collect("a")
    drain(model)
    assert not model.home.records[KEY].holders and model.holders["a"].summary(model.now, KEY) is None


def test_rows_covered_by_a_summary():
    summary = Summary(["n", "s"], 64)
    intent = LoadIntent(1, {"n": [(1, "7"), (0, "")], "s": [(2, "b" * 80)]})
    assert not covers_rows(summary, intent)
    widen(summary, intent)
    assert covers_rows(summary, intent)
    for cells in ({"n": [(1, "8")]}, {"s": [(0, "")]}, {"s": [(1, "7")]}, {"n": [(4, "")]}, {"s": [(2, "c")]}):
        assert not covers_rows(summary, LoadIntent(1, cells))
    widen(summary, LoadIntent(1, {"n": [(4, "")], "s": []}))
    assert covers_rows(summary, LoadIntent(1, {"n": [(2, "any")]}))
    wide = Summary(["n"], 1_024)
    widen(wide, LoadIntent(2, {"n": [(1, "1"), (1, "9")]}))
    assert covers_rows(wide, LoadIntent(1, {"n": [(1, "9")]})) and not covers_rows(
        wide, LoadIntent(1, {"n": [(1, "7")]})
    )
