"""Ownership without sockets: the table, the decisions, fences, jobs and the service on a log in memory."""

import asyncio
import io
import json
import unittest
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostspindle.ownership import lease_table, progress
from frostspindle.ownership.fence import FenceFullError, StaleTokenError, TokenFence
from frostspindle.ownership.holder import LeaseHolder
from frostspindle.ownership.jobs import JobContext, JobRunner
from frostspindle.ownership.lease import Lease, LeaseLostError
from frostspindle.ownership.lease_state import CommandOutcome
from frostspindle.ownership.lease_table import ForceRelease, LeaseTable, ReleaseAll, RenewLeases
from frostspindle.ownership.progress import RecordProgress, WarmupProgress
from frostspindle.ownership.ranking import rendezvous_rank
from frostspindle.ownership.rebalancing import MAX_MOVES
from frostspindle.ownership.service import LeaseManager
from frostspindle.ownership.timing import MAX_OBSERVED_STEP_MS, LeaseSettings, expiry_ms, takeover_wait_ms
from frostspindle.ownership.warmup import ColdEngine, WarmupJob
from frostspindle.replica.local import LocalLog
from frostspindle.store.memory import MemoryStore
from frostspindle.telemetry import Telemetry

encode = lease_table.encode


def put(machine, index, command):
    return lease_table.decode_result(machine.apply(index, encode(command)))


class TestTable:
    def test_takes_compare_and_set_and_tokens_are_the_index(self):
        t = LeaseTable()
        assert put(t, 3, RenewLeases("a", 1, 1, 1_000, [("x", 0, 0)])).acquisitions == [True]
        assert t.rows["x"].token == 3 and t.version("x") == (3, 0)
        assert put(t, 4, RenewLeases("b", 1, 1, 1_000, [("x", 0, 0), ("y", 0, 0)])).acquisitions == [False, True]
        assert put(t, 5, RenewLeases("a", 1, 2, 2_000, renewals=[("x", 3), ("y", 4)])).renewals == [True, False]
        assert t.version("x") == (3, 1) and t.rows["x"].duration_ms == 2_000
        assert put(t, 6, RenewLeases("b", 1, 2, 1_000, [("x", 3, 0)])).acquisitions == [False], (
            "it had not seen the renewal"
        )
        assert put(t, 7, RenewLeases("b", 1, 3, 1_000, [("x", 3, 1)])).acquisitions == [True]
        assert put(t, 8, RenewLeases("a", 1, 3, 1_000, renewals=[("x", 3)], releases=[("x", 3)])).releases == [False]
        assert t.rows["x"].holder == "b" and t.rows["x"].token == 7

    def test_doubled_and_overtaken_commands_are_dropped_by_process(self):
        t = LeaseTable()
        first = RenewLeases("a", 1, 5, 1_000, [("x", 0, 0)])
        assert put(t, 1, first).acquisitions == [True]
        assert put(t, 2, RenewLeases("a", 1, 6, 1_000, releases=[("x", 1)])).releases == [True]
        assert put(t, 3, first).reason == "doubled" and not t.rows
        assert put(t, 4, RenewLeases("a", 2, 1, 1_000, [("x", 0, 0)])).acquisitions == [True], (
            "a new process counts anew"
        )
        assert put(t, 5, ReleaseAll("a", 2, 2)).reason == "" and not t.rows
        assert put(t, 6, RenewLeases("a", 2, 3, 1_000, [("x", 0, 0)])).reason == "doubled", "what comes after its end"

    def test_a_forced_release_ends_renewals_and_leaves_the_row_to_be_waited_out(self):
        t = LeaseTable()
        put(t, 1, RenewLeases("a", 1, 1, 1_000, [("x", 0, 0)]))
        assert put(t, 2, ForceRelease("b", 1, 1, "x", 9)).reason == "no such grant"
        assert put(t, 3, ForceRelease("b", 1, 2, "x", 1)).reason == ""
        assert put(t, 4, RenewLeases("a", 1, 2, 1_000, renewals=[("x", 1)])).renewals == [False]
        assert t.rows["x"].forced and t.version("x") == (1, 0)
        assert put(t, 5, RenewLeases("c", 1, 1, 1_000, [("x", 0, 0)])).acquisitions == [False]

    def test_bounds(self):
        t = LeaseTable()
        names = [f"t{n}" for n in range(lease_table.MAX_TASKS + 1)]
        for at in range(0, len(names), lease_table.MAX_ITEMS):
            done = put(
                t, at + 1, RenewLeases("a", 1, at, 1_000, [(n, 0, 0) for n in names[at : at + lease_table.MAX_ITEMS]])
            )
        assert len(t.rows) == lease_table.MAX_TASKS and done.acquisitions == [False]
        many = [("x", 1)] * 300
        assert (
            put(t, 10_000, RenewLeases("a", 1, 10_000, 1_000, renewals=many, releases=many)).reason == "too many items"
        )
        for n in range(2 * lease_table.MAX_PROPOSERS):
            put(t, 10_001 + n, RenewLeases(f"h{n}", 1, 1, 1_000))
        assert len(t._last_numbers) == lease_table.MAX_PROPOSERS
        longest = [("x" * 64, 2**53, 2**53)] * lease_table.MAX_ITEMS
        assert len(encode(RenewLeases("h" * 64, 2**53, 2**53, 1_000, longest))) < 64 << 10
        assert len(t.state()) < 4 << 20

    @given(
        st.binary(max_size=80)
        | st.builds(
            lambda at, byte: (lambda data: data[:at] + bytes([byte]) + data[at + 1 :])(
                encode(RenewLeases("a", 1, 2, 1_000, [("x", 1, 0)], [("y", 7)], [("z", 1)]))
            ),
            st.integers(0, 40),
            st.integers(0, 255),
        )
    )
    @settings(deadline=None)
    def test_whatever_the_bytes_it_answers_and_refuses_what_it_cant_read(self, data):
        t = LeaseTable()
        put(t, 1, RenewLeases("a", 1, 1, 1_000, [("x", 0, 0)]))
        before = t.state()
        answer = lease_table.decode_result(t.apply(2, data))
        if lease_table.decode_command(data) is None:
            assert answer.reason == "unreadable" and t.state() == before and t.refused == 1
        copy = LeaseTable()
        copy.restore(2, t.state())
        assert copy.state() == t.state() and copy.rows == t.rows

    @pytest.mark.parametrize(
        "state",
        (
            b"",
            b"\x90",
            b"spoilt",
            encode([{"x": ["a", 1, 9, 0, 1_000, False]}, []]),
            encode([{"x y": ["a", 1, 1, 0, 1_000, False]}, []]),
        ),
    )
    def test_a_state_that_cant_be_is_refused_and_changes_nothing(self, state):
        t = LeaseTable()
        put(t, 1, RenewLeases("a", 1, 1, 1_000, [("x", 0, 0)]))
        with pytest.raises(ValueError):
            t.restore(2, state)
        assert t.rows["x"].token == 1


class TestProgress:
    def test_it_never_goes_back_nor_takes_word_under_a_lower_token(self):
        p = WarmupProgress()
        tell = [
            RecordProgress(5, "e1", 10.0, 1),
            RecordProgress(5, "e1", 10.0, 2),
            RecordProgress(5, "e1", 10.0, 1),
            RecordProgress(7, "e2", 3.0, 4),
            RecordProgress(5, "e1", 10.0, 3),
            RecordProgress(7, "e1", 9.0, 8),
            RecordProgress(8, "e1", 11.0, 1),
        ]
        assert [p.apply(n, progress.encode(note)) for n, note in enumerate(tell, 1)] == [
            b"1",
            b"1",
            b"",
            b"1",
            b"",
            b"",
            b"1",
        ]
        assert (p.position("e1", 11.0), p.position("e1", 10.0), p.position("e2", 3.0), p.position("e3", 1.0)) == (
            1,
            0,
            4,
            0,
        )
        copy = WarmupProgress()
        copy.restore(9, p.state())
        assert copy.state() == p.state() and copy.apply(10, progress.encode(RecordProgress(7, "e2", 3.0, 5))) == b""
        with pytest.raises(ValueError):
            copy.restore(9, b"spoilt")
        assert copy.state() == p.state()

    @given(st.binary(max_size=40))
    @settings(deadline=None)
    def test_whatever_the_bytes(self, data):
        p = WarmupProgress()
        p.apply(1, data)
        WarmupProgress().restore(1, p.state())

    def test_bounds(self):
        p = WarmupProgress()
        for n in range(progress.MAX_ENGINES + 2):
            p.apply(n + 1, progress.encode(RecordProgress(1, f"e{n}", 1.0, 1)))
        assert len(p.starts) == progress.MAX_ENGINES and not p.position("e1", 1.0) and p.position("e2", 1.0)


class TestFence:
    def test_a_lower_token_is_refused_and_what_was_seen_outlives_the_process(self):
        store = MemoryStore()
        fence = TokenFence(store)
        for token in (3, 3, 7):
            fence.check("x", token)
        again = TokenFence(store)
        with pytest.raises(StaleTokenError) as caught:
            again.check("x", 6)
        assert (caught.value.task, caught.value.token, caught.value.highest) == ("x", 6, 7) and again.stale == 1
        again.check("y", 1)
        assert TokenFence(store).highest("y") == 1 and TokenFence().highest("x") == 0

    def test_what_could_not_be_kept_does_not_pass(self):
        class Dead(MemoryStore):
            def apply(self, changes):
                raise OSError("no room")

        fence = TokenFence(Dead())
        with pytest.raises(OSError):
            fence.check("x", 5)
        assert fence.highest("x") == 0, "it was never durable"
        full = TokenFence(max_tasks=1)
        full.check("x", 1)
        with pytest.raises(FenceFullError):
            full.check("y", 1)
        for token in (0, -1, 1 << 63):
            with pytest.raises(ValueError):
                full.check("x", token)


class World:
    """Holders on one table each, a log without delay but what a test holds back, and one true time in ms."""

    def __init__(self, *names, terms=None, wants=("x",)):
        self.now, self.index, self.terms = 0.0, 0, terms or LeaseSettings(1_000)
        self.rates, self.offsets = dict.fromkeys(names, 1.0), dict.fromkeys(names, 0.0)
        self.tables = {name: LeaseTable() for name in names}
        self.holders = {
            name: LeaseHolder(name, 1, self.terms, self.tables[name], n, 0.0) for n, name in enumerate(names)
        }
        self.log, self.deaf, self.down = [], set(), set()
        self.applied = dict.fromkeys(names, 0)
        for holder in self.holders.values():
            for task in wants:
                holder.add_candidacy(task, 1.0)

    def clock(self, name):
        return self.now * self.rates[name] + self.offsets[name]

    def append(self, command):
        self.log.append(command)
        for name in self.holders:
            self.hear(name)

    def hear(self, name):
        while name not in self.deaf and name not in self.down and self.applied[name] < len(self.log):
            command = self.log[self.applied[name]]
            self.applied[name] += 1
            result = self.tables[name].apply(self.applied[name], command)
            self.holders[name].on_applied(self.clock(name), command, result)

    def run(self, ms, step=20.0, stands=True):
        until = self.now + ms
        while self.now < until:
            self.now += step
            for name, holder in self.holders.items():
                if name not in self.down:
                    self.hear(name)
                    command = holder.next_command(self.clock(name), stands)
                    if command is not None:
                        self.append(command)
                        holder.on_outcome(self.clock(name), holder.number, CommandOutcome.APPLIED)
            assert len(self.owners("x")) < 2, "two hold one task"

    def asks(self, name="a"):
        """The first command of one that begins to stand; nobody appends it."""
        while (command := self.holders[name].next_command(self.clock(name), True)) is None:
            self.now += 20.0
        return command

    def owners(self, task):
        return [
            name
            for name, holder in self.holders.items()
            if (own := holder.leases.get(task)) is not None and self.clock(name) < own.expires_at
        ]

    def owner(self, task="x"):
        (name,) = self.owners(task)
        return name


class TestHolder:
    def test_one_gets_it_renews_it_and_another_takes_over_only_when_it_is_over_for_certain(self):
        w = World("a", "b", "c")
        w.run(400)
        first = w.owner()
        token = w.holders[first].leases["x"].token
        w.run(5_000)
        assert w.owner() == first and w.holders[first].leases["x"].token == token, "renewed, not granted anew"
        assert w.holders[first].counts["renewals"] in range(14, 22)
        w.down.add(first)
        died, end = w.now, w.holders[first].leases["x"].expires_at
        while not (others := [name for name in w.owners("x") if name != first]):
            w.run(20)
        assert w.now >= end and others, "never before the dead one's own end"
        assert w.now - died <= takeover_wait_ms(1_000, 0.01) + w.terms.spread + 3 * 20 + MAX_OBSERVED_STEP_MS
        assert w.holders[others[0]].leases["x"].token > token

    @given(
        st.lists(st.floats(0.99, 1.01), min_size=3, max_size=3),
        st.lists(st.floats(-1e6, 1e6), min_size=3, max_size=3),
        st.integers(0, 9),
    )
    @settings(max_examples=25, deadline=None)
    def test_no_two_hold_at_once_whatever_clocks_within_the_drift_say(self, rates, offsets, seed):
        w = World("a", "b", "c")
        w.rates, w.offsets = dict(zip("abc", rates, strict=True)), dict(zip("abc", offsets, strict=True))
        for name in w.holders:
            w.holders[name] = LeaseHolder(name, 1, w.terms, w.tables[name], seed, w.clock(name))
            w.holders[name].add_candidacy("x", 1.0)
        w.run(500)
        first = w.owner()
        w.deaf.add(first)  # its renewals are appended, but it does not hear of them, nor of who takes over
        asked = w.holders[first].leases["x"].requested_at
        w.run(900)
        w.down.add(first)
        w.run(3_000)  # run() asserts that there are never two
        assert w.holders[first].leases["x"].requested_at == asked

    def test_a_candidate_counts_nothing_that_it_did_not_watch(self):
        w = World("a", "b")
        w.run(400)
        first = w.owner()
        other = "b" if first == "a" else "a"
        w.down.add(first)
        w.run(100)
        w.offsets[other] += 60_000.0  # its clock jumps: the wait is as long as ever, but for the patience
        w.run(700)
        assert w.owners("x") in ([first], [])
        assert (
            w.holders[other].next_command(w.clock(other), True) is None and w.holders[other].counts["clock_steps"] == 1
        )
        w.run(1_000)
        assert w.owner() == other

    @pytest.mark.parametrize("jump", (30_000.0, -400.0))
    def test_a_holder_whose_clock_jumps_holds_nothing_until_it_has_renewed(self, jump):
        w = World("a", "b")
        w.run(500)
        first = w.owner()
        holder, token = w.holders[first], w.holders[first].leases["x"].token
        w.offsets[first] += jump
        assert not holder.holds("x", token, w.clock(first))
        assert [turned.held for turned in holder.changes] == [True, False]
        w.run(200)
        assert w.owner() == first and holder.leases["x"].token == token
        assert holder.holds("x", token, w.clock(first)) and [t.held for t in holder.changes] == [True, False, True]

    def test_an_uncertain_take_that_comes_late_is_counted_from_when_it_was_asked(self):
        w = World("a")
        holder = w.holders["a"]
        command = w.asks()
        asked = w.clock("a")
        holder.on_outcome(w.clock("a"), holder.number, CommandOutcome.UNKNOWN)
        for _ in range(30):
            w.now += 20.0
            holder.advance_clock(w.clock("a"))
        w.append(command)
        assert holder.leases["x"].expires_at == expiry_ms(asked, 1_000, 0.01) and holder.holds("x", 1, w.clock("a"))
        # One that comes after its end is nothing that is held; it is renewed, as the row is ours.
        w = World("a")
        holder = w.holders["a"]
        command = w.asks()
        holder.on_outcome(w.clock("a"), holder.number, CommandOutcome.UNKNOWN)
        w.now += 1_200.0
        w.append(command)
        assert not holder.holds("x", 1, w.clock("a"))
        assert lease_table.decode_command(holder.next_command(w.clock("a"), True)).renewals == [("x", 1)]

    def test_of_two_that_race_for_a_free_lease_one_gets_it_and_the_other_knows(self):
        w = World("a", "b")
        asks = {}
        while len(asks) < 2:  # both have asked before either is heard
            w.now += 20.0
            asks |= {
                name: said
                for name, holder in w.holders.items()
                if name not in asks and (said := holder.next_command(w.clock(name), True)) is not None
            }
        for name in ("b", "a"):
            w.append(asks[name])
            w.holders[name].on_outcome(w.clock(name), w.holders[name].number, CommandOutcome.APPLIED)
        assert w.owner() == "b" and w.holders["a"].counts["takes_refused"] == 1 and not w.holders["a"].leases
        w.run(3_000)
        assert w.owner() == "b"

    def test_who_does_not_stand_takes_nothing_but_keeps_what_it_has(self):
        w = World("a")
        w.run(1_000, stands=False)
        assert not w.owners("x")
        w.run(300)
        w.run(2_000, stands=False)
        assert w.owner() == "a"

    def test_released_by_an_operator_it_goes_to_another_and_rests_here(self):
        w = World("a", "b")
        w.run(400)
        first = w.owner()
        other = "b" if first == "a" else "a"
        w.append(w.holders[other].force("x"))
        assert not w.owners("x") and w.holders[first].changes[-1].reason == "released by an operator"
        w.run(300)
        assert w.owner() == other, "the holder said that it has stopped: nobody need wait it out"
        assert w.holders[other].force("y") is None

    def test_one_that_leaves_frees_all_at_once(self):
        w = World("a", "b")
        w.run(400)
        first = w.owner()
        w.append(w.holders[first].leave())
        assert not w.owners("x")
        w.run(300)
        assert w.owner() != first

    def test_what_is_no_longer_wanted_is_given_back_even_where_it_is_granted_late(self):
        w = World("a")
        command = w.asks()
        w.holders["a"].on_outcome(w.clock("a"), 1, CommandOutcome.UNKNOWN)
        w.holders["a"].withdraw_candidacy("x")
        w.append(command)
        assert not w.owners("x") and w.tables["a"].rows
        w.run(200)
        assert not w.tables["a"].rows

    def test_a_grant_that_came_with_a_snapshot_is_given_back_as_nobody_knows_since_when(self):
        w, elsewhere = World("a"), LeaseTable()
        assert lease_table.decode_result(elsewhere.apply(7, w.asks())).acquisitions == [True]
        holder = w.holders["a"]
        holder.on_outcome(w.clock("a"), holder.number, CommandOutcome.UNKNOWN)
        w.tables["a"].restore(9, elsewhere.state())
        holder.on_applied(w.clock("a"), b"", b"")
        assert not w.owners("x")
        w.now += 60.0
        assert lease_table.decode_command(holder.next_command(w.clock("a"), True)).releases == [("x", 7)]

    def test_a_renewal_that_comes_late_brings_nothing_back_that_was_given_up(self):
        w = World("a", "b")
        w.run(700)
        first = w.owner()
        holder = w.holders[first]
        while (command := holder.next_command(w.clock(first), True)) is None:
            w.now += 20.0
        assert lease_table.decode_command(command).renewals
        holder.on_outcome(w.clock(first), holder.number, CommandOutcome.UNKNOWN)
        holder.withdraw_candidacy("x")
        w.append(command)
        assert not w.owners("x") and not holder.leases
        w.run(400)
        assert w.owner() != first

    def test_a_thousand_tasks_are_spread_and_renewed_in_few_entries(self):
        tasks = [f"t{n}" for n in range(1_000)]
        w = World(*"abcde", wants=tasks, terms=LeaseSettings(3_000))
        w.run(3_000, 50.0)
        held = [len(h.held_leases(w.clock(n))) for n, h in w.holders.items()]
        assert sum(held) == 1_000 and min(held) > 100, held
        before = len(w.log)
        w.run(6_000, 50.0)
        assert len(w.log) - before < 5 * 6 * 3, "renewals go many in one entry"
        assert [len(h.held_leases(w.clock(n))) for n, h in w.holders.items()] == held, "all kept"
        w.down.add("a")
        w.run(5_000, 50.0)
        assert sum(len(h.held_leases(w.clock(n))) for n, h in w.holders.items() if n != "a") == 1_000

    @given(
        st.lists(st.sampled_from((1.0, 1.0, 0.3, 3.0)), min_size=2, max_size=5), st.integers(1, 40), st.integers(0, 9)
    )
    @settings(max_examples=20, deadline=None)
    def test_whoever_came_first_it_evens_out_and_comes_to_rest(self, weights, most, seed):
        names = "abcde"[: len(weights)]
        w = World(*names, wants=("x",), terms=LeaseSettings(1_000))
        w.down = set(names[1:])  # one has come first
        for n, name in enumerate(names):
            w.holders[name].rng.seed(seed + n)
            for task in range(most):
                w.holders[name].add_candidacy(f"t{task}", weights[n])
        w.holders["a"].add_candidacy("only", 1.0)
        w.run(4_000)
        only = w.holders["a"].leases["only"].token
        w.down.clear()
        w.run(40_000, 50.0)
        moves = [w.holders[name].counts["given"] for name in names]
        held = [len(w.holders[name].held_leases(w.clock(name))) for name in names]
        assert sum(held) == most + 2 and sum(moves) <= 2 * (most + 2)
        w.run(20_000, 50.0)
        assert [w.holders[name].counts["given"] for name in names] == moves, "it has come to rest"
        assert w.holders["a"].leases["only"].token == only
        if len(set(weights)) == 1 and weights[0] == 1.0:
            assert max(held) - min(held) <= max(2.0, 0.1 * sum(held) / len(names)) + 1, held  # and the one of a alone

    def test_what_was_got_is_kept_for_a_while_and_no_more_is_given_at_once_than_stated(self):
        w = World("a", "b", "c", wants=[f"t{n}" for n in range(150)])
        w.down = {"b", "c"}
        w.run(1_000)
        w.down.clear()
        w.run(1_500)
        w.append(encode(RenewLeases("z", 1, 1, 1_000, [("t0", 0, 0)])))
        assert not w.holders["a"].counts["given"] and not w.holders["b"].counts["bids"], "kept, and not asked for"
        given = w.holders["a"].counts
        while not given["given"]:
            w.run(20)
        w.run(900)
        assert given["given"] <= MAX_MOVES
        w.run(16_000)
        held = [len(h.held_leases(w.clock(n))) for n, h in w.holders.items()]
        assert sum(held) == 150 and max(held) - min(held) <= 5, held

    def test_what_is_given_to_one_that_never_takes_it_comes_back_after_a_rest(self):
        w = World("a", wants=("x", "y"))
        w.run(4_000)
        w.append(encode(RenewLeases("z", 1, 1, 1_000, [("x", 0, 0)])))
        assert not w.owners("x") and w.owner("y") == "a" and w.holders["a"].changes[-1].reason == "released to even out"
        w.append(encode(RenewLeases("z", 1, 2, 1_000, [("y", 0, 0)])))
        assert w.owner("y") == "a", "one more than the other is within the margin"
        w.run(300)
        assert not w.tables["a"].rows.get("x"), "it is free, and left for the other"
        w.run(300)
        assert w.owner("x") == "a"

    def test_a_greater_weight_keeps_more_and_who_gets_nothing_asks_more_and_more_seldom(self):
        w = World("a", "b", wants=())
        for n in range(40):
            w.holders["a"].add_candidacy(f"t{n}", 3.0)
            w.holders["b"].add_candidacy(f"t{n}", 1.0)
        w.down = {"b"}
        w.run(4_000)
        w.down.clear()
        w.run(20_000)
        held = {name: len(holder.held_leases(w.clock(name))) for name, holder in w.holders.items()}
        assert held == {"a": 31, "b": 9}, "31 / 3 is less than 9 and the margin of 2"
        mark = len(w.log)
        w.run(40_000)
        assert (
            2
            <= sum(
                lease_table.decode_command(one).holder == "b" and bool(lease_table.decode_command(one).acquisitions)
                for one in w.log[mark:]
            )
            <= 6
        )

    def test_a_greater_weight_gets_more_and_the_same_draw_everywhere(self):
        tasks = [f"t{n}" for n in range(2_000)]
        first = [min("abc", key=lambda n: rendezvous_rank(t, n, 3.0 if n == "a" else 1.0)) for t in tasks]  # noqa: B023
        assert abs(first.count("a") / 2_000 - 0.6) < 0.05 and abs(first.count("b") / 2_000 - 0.2) < 0.04

    def test_failures_are_backed_off_but_never_past_a_renewal(self):
        w = World("a")
        w.run(300)
        holder, asks = w.holders["a"], 0
        w.down.add("a")
        for _ in range(90):
            w.now += 10.0
            if holder.next_command(w.clock("a"), True) is not None:
                asks += 1
                holder.on_outcome(w.clock("a"), holder.number, CommandOutcome.NOT_APPENDED)
        assert 7 <= asks <= 16
        with pytest.raises(ValueError):
            holder.add_candidacy("y", 0.0)


def events():
    sink = io.BytesIO()
    return Telemetry("a", sink=sink), lambda: [json.loads(line) for line in sink.getvalue().splitlines()]


async def until(true, within_s=10.0):
    async with asyncio.timeout(within_s):
        while not (got := true()):
            await asyncio.sleep(0.005)
    return got


class Job:
    """Sends to a fenced receiver as often as it can."""

    every_s = 0.0

    def __init__(self, task, fence):
        self.task, self.fence, self.sent, self.active, self.most = task, fence, [], 0, 0

    async def run(self, hand):
        self.active += 1
        self.most = max(self.most, self.active)
        try:
            await hand.step(asyncio.sleep(0.005))

            async def call(token):
                self.fence.check(self.task, token)
                self.sent.append(token)

            await hand.send("mark", "sink", call)
        finally:
            await asyncio.sleep(0)
            self.active -= 1


class TestJobs(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_is_sent_once_the_lease_is_over(self):
        holds, sent = [True], []

        async def call(token):
            sent.append(token)

        told, _ = events()
        hand = JobContext(Lease("x", 3, lambda: holds[0]), SimpleNamespace(record_action=lambda *a: None))
        await hand.send("mark", "sink", call)
        holds[0] = False
        for work in (hand.send("mark", "sink", call), hand.step(asyncio.sleep(0))):
            with self.assertRaises(LeaseLostError):
                await work
        self.assertEqual(sent, [3])

    async def test_a_run_begins_only_after_the_last_one_has_ended(self):
        told, _ = events()
        owners = SimpleNamespace(on_change=[], add_candidacy=lambda task, weight: None, record_action=lambda *a: None)
        active, most, ending = 0, 0, asyncio.Event()

        class Slow:
            task, every_s = "x", 0.0

            async def run(self, hand):
                nonlocal active, most
                active += 1
                most = max(most, active)
                try:
                    await asyncio.sleep(60.0)
                finally:
                    await ending.wait()
                    active -= 1

        runner = JobRunner(owners, told, [Slow()])
        (changed,) = owners.on_change
        for token in (1, 2, 3):
            changed("x", Lease("x", token, lambda: True))
            await asyncio.sleep(0.01)
            changed("x", None)
        changed("x", Lease("x", 4, lambda: True))
        await asyncio.sleep(0.02)
        ending.set()
        await until(lambda: active == 1)
        self.assertEqual(most, 1)
        await runner.close()
        self.assertEqual(active, 0)


class TestService(unittest.IsolatedAsyncioTestCase):
    def make(self, *names, lease_ms=300, **more):
        log = LocalLog()
        logs = [log, *(log.join(name) for name in names[1:])]
        told, lines = events()
        return (
            logs,
            [
                LeaseManager(log, name, LeaseSettings(lease_ms), told, seed=n, **more)
                for n, (name, log) in enumerate(zip(names, logs, strict=True))
            ],
            lines,
            told,
        )

    async def test_work_goes_on_at_another_and_the_late_ones_are_refused(self):
        logs, owners, lines, told = self.make("a", "b", "c")
        fence, jobs = TokenFence(), []
        for each in owners:
            jobs.append(Job("x", fence))
            JobRunner(each, told, [jobs[-1]])
            each.start()
        (first,) = await until(lambda: [n for n, job in enumerate(jobs) if len(job.sent) > 3])
        lease = owners[first].lease("x")
        logs[first].set_paused()  # it hears nothing more, but what it asks reaches the others: its lease runs out
        (second,) = await until(lambda: [n for n, job in enumerate(jobs) if n != first and job.sent])
        assert not lease.holds() and owners[first].lease("x") is None
        with pytest.raises(LeaseLostError):
            lease.check()
        with pytest.raises(StaleTokenError):
            fence.check("x", lease.token)
        sent = [token for job in (jobs[first], jobs[second]) for token in job.sent]
        assert sent == sorted(sent) and all(job.most <= 1 for job in jobs)
        await owners[second].close()
        assert owners[second].lease("x") is None
        await until(lambda: any(job.sent and job.sent[-1] > max(jobs[second].sent) for job in jobs))
        names = [line["event"] for line in lines()]
        assert {"owner_took", "owner_lost", "owner_released", "owner_acted"} <= set(names)
        for each in owners:
            await each.close()

    async def test_without_a_leader_nobody_holds_and_it_says_so_and_goes_on_after(self):
        logs, owners, lines, told = self.make("a", "b")
        for each in owners:
            each.add_candidacy("x")
            each.start()
        await until(lambda: any(each.lease("x") for each in owners))
        logs[0].set_leader(False)
        await until(lambda: not any(each.lease("x") for each in owners))
        await until(lambda: all(each.figures()["waits"] for each in owners))
        assert [line["why"] for line in lines() if line["event"] == "lease_candidacy_delayed"] == [
            "no known leader"
        ] * 2
        logs[0].set_leader(True)
        await until(lambda: any(each.lease("x") for each in owners))
        for each in owners:
            await each.close()

    async def test_who_drains_stands_for_nothing_and_operators_move_a_task(self):
        why = {"a": "draining", "b": ""}
        logs, (a, b), lines, told = self.make("a", "b")
        a.busy, b.busy = (lambda: why["a"]), (lambda: why["b"])
        for each in (a, b):
            each.add_candidacy("x")
            each.start()
        await until(lambda: b.lease("x"))
        await asyncio.sleep(0)
        why["a"] = ""
        token = b.lease("x").token
        assert a.force("nothing") is None and a.force("x") == {"task": "x", "holder": "b", "token": token}
        await until(lambda: a.lease("x"))
        row = a.figures()["owners"][0]
        assert (row["holder"], row["here"]) == ("a", True) and 0 < row["left_ms"] <= 300
        assert b.figures()["owners"][0]["left_ms"] > 0
        a.record_rejection("x", 1, "mark", 9)
        assert a.figures()["refusals"][0]["highest"] == 9 and a.figures()["refused"] == 1
        with pytest.raises(ValueError):
            a.add_candidacy("a name")
        for each in (a, b):
            await each.close()

    async def test_cold_engines_are_warmed_up_in_steps_within_rights_and_only_while_it_holds(self):
        logs, (a,), lines, told = self.make("a")
        asked, rights, cold = [], [3], [ColdEngine(1, "e1", 5.0), ColdEngine(2, "e2", 6.0)]

        def pay(engine):
            rights[0] -= 1
            return rights[0] >= 0

        async def query(number, ticket, statement):
            asked.append((number, statement))
            return len(asked) != 2  # the second fails, and is tried again

        job = WarmupJob("warm", 20.0, ["s1", "s2"], lambda: cold, pay, query)
        JobRunner(a, told, [job])
        a.start()
        await until(lambda: rights[0] < 0)
        self.assertEqual(asked, [(1, "s1"), (2, "s1"), (1, "s2")])
        rights[0] = 100
        await until(lambda: len(asked) == 5)
        self.assertEqual(asked[3:], [(2, "s1"), (2, "s2")])
        cold[0] = ColdEngine(1, "e1", 9.0)  # a new start
        await until(lambda: len(asked) == 7)
        self.assertEqual(asked[5:], [(1, "s1"), (1, "s2")])
        logs[0].set_leader(False)
        await until(lambda: a.lease("warm") is None)
        cold[0] = ColdEngine(1, "e1", 11.0)
        await asyncio.sleep(0.1)
        self.assertEqual(len(asked), 7)
        await a.close()

    async def test_a_stale_answer_ends_the_work_and_is_told(self):
        logs, (a,), lines, told = self.make("a")
        fence = TokenFence()
        fence.check("x", 1 << 40)
        JobRunner(a, told, [Job("x", fence)])
        a.start()
        await until(lambda: a.rejected_actions)
        (line,) = [line for line in lines() if line["event"] == "owner_refused"]
        assert line["accepted"] is False and line["highest"] == 1 << 40 and a.accepted_actions == 0
        await a.close()
