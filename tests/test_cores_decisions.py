"""The decisions of several workers, alone: leases, limits, restarts, ownership, rows, sums, and the module's part."""

import math
import random
from collections import Counter, deque

from helpers import LOAD, READ, entry, settings
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from frostspindle import division, policy
from frostspindle.cores import layout as form
from frostspindle.cores import leases, limits, ownership, peer_workers, totals
from frostspindle.cores.leases import UNITS, BudgetDemand, LeaseArbiter
from frostspindle.cores.ownership import RequestOwner, Route
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad, PeerWorker
from frostspindle.cores.restarts import MOST_MS, STARTING_MS, STEADY_MS, RestartPolicy
from frostspindle.cores.shared_memory import ControlPage, RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.policy import Controller, EndpointListKind, Health, WorkerLoad

ROW = EngineLoadRow(7, 3, 1, False, 2, 64.0, 0.0, 1000.0, (0.5, 1.0), 0.25, 0.5, 4, "s-7", "127.0.0.1:7000")
WINDOW, SETTLE = 1000.0, 400.0


class Spender:
    """A worker's side of the leases, as link.py and the module play it."""

    def __init__(self):
        self.view = self.seen = 0
        self.sends, self.alive, self.moves = deque(), True, True


@given(strategies.integers(0, 10_000), strategies.integers(2, 6))
@hypothesis_settings(max_examples=40, deadline=None)
def test_no_window_ever_holds_more_than_the_budget(seed, workers):
    draw = random.Random(seed)
    arbiter = LeaseArbiter(workers, WINDOW, SETTLE)
    spenders = [Spender() for _ in range(workers)]
    everything = deque()
    for slot in range(workers):
        arbiter.up(slot)
    now = 0.0
    for _ in range(600):
        now += draw.choice((5.0, 20.0, 20.0, 60.0))
        for slot, worker in enumerate(spenders):
            while worker.sends and worker.sends[0][0] <= now - WINDOW:
                worker.sends.popleft()
            chance = draw.random()
            if chance < 0.004 and worker.alive:  # killed; a successor knows nothing
                arbiter.down(slot, now)
                spenders[slot] = Spender()
                arbiter.up(slot)
                continue
            if chance < 0.02:
                worker.moves = not worker.moves  # hangs, or goes on
            if not worker.moves:
                continue
            if draw.random() < 0.8 and 1 in arbiter.engines:  # a beat says that the newest word was heard
                arbiter.beat(slot, now)
                worker.view, worker.seen = arbiter.engines[1].slots[slot].units, arbiter.engines[1].slots[slot].serial
            spent = sum(units for _, units in worker.sends)
            units = draw.randint(1, 60)
            if now < arbiter.horizons[slot] and spent + units <= worker.view and draw.random() < 0.7:
                worker.sends.append((now, units))
                everything.append((now, units))
        while everything and everything[0][0] <= now - WINDOW:
            everything.popleft()
        assert sum(units for _, units in everything) <= UNITS
        arbiter.step(
            now,
            {
                1: {
                    slot: BudgetDemand(sum(u for _, u in w.sends) / UNITS, draw.choice((0.0, 0.3, 2.0)), w.seen)
                    for slot, w in enumerate(spenders)
                }
            },
        )
        ledger = arbiter.engines[1]
        assert ledger.free >= 0


def settle(arbiter, now, needs, rounds=200, step=20.0):
    seen = {}
    for _ in range(rounds):
        now += step
        for slot in range(arbiter.count):
            arbiter.beat(slot, now)
        arbiter.step(
            now, {1: {slot: BudgetDemand(need.spent, need.wished, seen.get(slot, 0)) for slot, need in needs.items()}}
        )
        seen = {slot: held.serial for slot, held in enumerate(arbiter.engines[1].slots)}
    return now, [held.units for held in arbiter.engines[1].slots]


def test_idle_units_move_to_the_worker_that_has_work_and_back():
    arbiter = LeaseArbiter(4, WINDOW, SETTLE)
    for slot in range(4):
        arbiter.up(slot)
    idle, busy = BudgetDemand(), BudgetDemand(0.5, 3.0)
    now, units = settle(arbiter, 0.0, {0: busy, 1: busy, 2: busy, 3: busy})
    assert units == [60, 60, 60, 60]
    now, units = settle(arbiter, now, {0: busy, 1: idle, 2: idle, 3: idle})
    assert units[0] >= 190 and min(units) >= UNITS // (4 * leases.RESERVE)
    _, units = settle(arbiter, now, {0: busy, 1: busy, 2: idle, 3: idle})
    assert abs(units[0] - units[1]) <= 15 and sum(units) <= UNITS


def test_what_a_dead_worker_held_is_kept_back_for_a_window():
    arbiter = LeaseArbiter(2, WINDOW, SETTLE)
    arbiter.up(0), arbiter.up(1)
    now, units = settle(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    assert units == [120, 120]
    arbiter.down(0, now)
    _, units = settle(arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=int((WINDOW + SETTLE) / 20.0) - 1)
    assert units == [0, 120]
    _, units = settle(arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=100)
    assert units[1] == UNITS


def test_a_hung_worker_s_lease_ends_by_itself():
    assert leases.part(120, 300.0, 299.9) == 0.5 and leases.part(120, 300.0, 300.0) == 0.0
    arbiter = LeaseArbiter(2, WINDOW, SETTLE)
    arbiter.up(0), arbiter.up(1)
    now, _ = settle(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    for turn in range(200):
        arbiter.beat(1, now + 20.0 * turn)
        arbiter.step(now + 20.0 * turn, {1: {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0, 10**6)}})
    assert [held.units for held in arbiter.engines[1].slots] == [0, UNITS]


@given(strategies.dictionaries(strategies.integers(0, 9), strategies.integers(0, 300), min_size=1))
def test_a_fair_share_wastes_nothing_and_starves_nobody(wants):
    out = division.fair(wants, UNITS)
    assert sum(out.values()) <= UNITS and all(out[slot] <= want for slot, want in wants.items())
    short = [slot for slot in wants if out[slot] < wants[slot]]
    if short:
        assert sum(out.values()) == UNITS
        assert max(out.values()) - min(out[slot] for slot in short) <= 1


@given(strategies.integers(0, 10_000))
@hypothesis_settings(max_examples=100, deadline=None)
def test_divided_limits_never_pass_the_whole(seed):
    draw = random.Random(seed)
    whole = draw.randint(200, 5000)
    divider, used = limits.LimitDivider(whole, least=32), {}
    for _ in range(60):
        if draw.random() < 0.2 and len(used) < 6:
            used[draw.randint(0, 8)] = 0
        elif draw.random() < 0.15 and used:
            used.pop(draw.choice(sorted(used)))
        shares = divider.step(used)
        assert shares.keys() == used.keys()
        assert sum(max(shares[slot], used[slot]) for slot in used) <= whole
        for slot in used:  # up to its share a worker may use what it likes, and lets go in its own time
            used[slot] = draw.randint(0, max(shares[slot], 0)) if draw.random() < 0.7 else min(used[slot], shares[slot])
    quiet = dict.fromkeys(used, 0)
    for _ in range(3):
        shares = divider.step(quiet)
    assert not shares or (sum(shares.values()) == whole and max(shares.values()) - min(shares.values()) <= 1)


def test_waits_before_restarts_grow_and_a_loop_ends():
    policy = RestartPolicy(crashes=10, within_ms=60_000.0, hang_ms=3000.0)
    now, waits = 0.0, []
    for _ in range(10):
        policy.started(0, now)
        waits.append(policy.ended(0, now + 10.0, True))
        now += 10.0 + (waits[-1] or 0.0)
    assert waits == [100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0, MOST_MS, MOST_MS, MOST_MS, None]


def test_a_worker_that_ran_long_or_was_told_to_end_starts_anew_at_once():
    policy = RestartPolicy(crashes=3, within_ms=1000.0, hang_ms=3000.0)
    policy.started(0, 0.0)
    assert policy.ended(0, 10.0, False) == 0.0
    for now in (0.0, 20_000.0, 40_000.0, 60_000.0):  # each long after the one before
        policy.started(1, now)
        assert policy.ended(1, now + STEADY_MS, True) == 100.0
    assert policy.hangs(1, 60_000.0 + STARTING_MS + 1, 0.0) and not policy.hangs(1, 60_000.0 + STARTING_MS, 0.0)
    assert policy.hangs(1, 5001.0, 2000.0) and not policy.hangs(1, 5000.0, 2000.0)


def test_a_path_names_its_worker():
    path = f"/call/lookup/{ownership.prefix(RequestOwner(3, 18))}2f-00000000000000a1"
    assert ownership.owner_of(path) == RequestOwner(3, 18)
    me = RequestOwner(1, 4)
    assert ownership.route(path, me, {3: 18}) is Route.ASK
    assert ownership.route(path, me, {3: 19}) is Route.DIED and ownership.route(path, me, {}) is Route.DIED
    assert ownership.route(path, RequestOwner(3, 18), {3: 18}) is Route.UNKNOWN
    for foreign in ("/call/lookup/2f-00000000000000a1", "/call/lookup/zz.1.2f-a", "/call/x/1.123456789.f-a", "/"):
        assert ownership.route(foreign, me, {1: 4}) is Route.UNKNOWN


def test_a_new_connection_is_left_to_workers_that_hold_fewer():
    assert ownership.accepts(0, []) and ownership.accepts(9, []) and ownership.accepts(2, [0, 50])
    assert not ownership.accepts(3, [0, 50])


def test_others_load_counts_while_an_engine_may_still_run_it():
    rows, now = {7: ROW}, 5000.0
    word = peer_workers.peer(7, [PeerWorker(0.0, rows), PeerWorker(2000.0, rows)], [], now, 0.25)
    assert word == WorkerLoad(7, 4, 128.0, False, 0.25, (0.5, 1.0), 4000.0)
    assert (
        peer_workers.peer(7, [PeerWorker(peer_workers.FORGOTTEN_MS, rows)], [], now, 1.0).threads == 0
    )  # hung: forgotten by engines
    assert peer_workers.peer(7, [PeerWorker(1500.0, {7: ROW._replace(suspect=True)})], [], now, 1.0)[3:6] == (
        False,
        1.0,
        (),
    )
    assert peer_workers.peer(7, [PeerWorker(0.0, {7: ROW._replace(suspect=True)})], [], now, 1.0).ejected
    dead = peer_workers.ghosts([ROW, ROW._replace(engine=8, threads=0)], now)
    assert dead == [OrphanedLoad(7, 2, 64.0, now + peer_workers.FORGOTTEN_MS)]
    assert peer_workers.peer(7, [], dead, now + 2000.0, 1.0).threads == 2
    assert peer_workers.peer(7, [], dead, now + peer_workers.FORGOTTEN_MS, 1.0).threads == 0


def test_only_the_end_of_an_engine_crosses_and_only_from_a_newer_list():
    def others(*rows):
        return [PeerWorker(9e9, {7: row}) for row in rows]  # however old the heartbeat

    draining, back = ROW._replace(version=5, health=Health.DRAINING), ROW._replace(version=6)
    assert peer_workers.stop(7, 4, others(draining)) == (5, Health.DRAINING)
    assert peer_workers.stop(7, 5, others(draining)) is None
    assert (
        peer_workers.stop(7, 4, others(draining, back)) is None
        and peer_workers.stop(7, 4, others(back, draining)) is None
    )
    assert peer_workers.stop(8, 0, others(draining)) is None


def test_a_dead_worker_s_counts_stay_and_what_it_had_open_is_lost():
    counts = {
        ("taken", "http", "load"): 9,
        ("served", "http", "load"): 4,
        ("left", "http", "load"): 2,
        ("taken", "tds", "load"): 3,
        ("failed", "tds", "load"): 3,
    }
    assert totals.lost(counts) == Counter({("lost", "http", "load"): 3})
    figures = totals.figures(
        [("http", "load"), ("tds", "load")], Counter(counts) + totals.lost(counts), 0, {}, frozenset()
    )
    assert figures["calls"] == {"load": {"success": 4, "busy": 0, "failure": 6}}


def test_engines_stand_as_the_newest_list_says():
    rows = [[ROW], [ROW._replace(version=4, health=Health.DRAINING)], [ROW._replace(version=2, suspect=True)]]
    assert totals.standings(rows, frozenset()) == {7: totals.EngineSummary(7, "s-7", ("127.0.0.1", 7000), 2, True)}
    assert totals.standings([[ROW]], frozenset({"s-7"}))[7].health == Health.DRAINING


# The board.


def test_rows_names_and_long_texts_come_back_as_written():
    long = ROW._replace(name="ü" * 60, report=(1.0,) * 12)
    back = form.unpack_row(form.pack_row(long))
    assert (back.report, back.spent, back.seen) == ((1.0,) * 8, 0.25, 4)
    assert back.name != form.unpack_row(form.pack_row(long._replace(name="ü" * 61))).name
    assert form.unpack_row(form.pack_row(ROW)) == ROW
    name = form.CounterName("taken", "http", "k" * 200)
    assert form.unpack_name(form.pack_name(name)).what == "taken"


def test_a_torn_row_is_seen_and_never_read():
    board = SharedMemoryBoard.create(form.Layout(2))
    region, sight = WorkerRegion(board, 0), RowSnapshot(WorkerRegion(board, 0))
    region.write(ROW)
    region.bump(form.FLUSHES)
    assert sight.look() == {7} and sight.rows == {7: ROW}
    at = region._rows + 100
    board.bytes[at] ^= 0x40  # as a writer that died half way through leaves it
    board.cells[region._sequences] += 1
    region.bump(form.FLUSHES)
    assert sight.look() == {7} and sight.rows == {}
    region.write(ROW._replace(threads=9))
    region.bump(form.FLUSHES)
    assert sight.look() == {7} and sight.rows[7].threads == 9
    region.clear()
    region.put(form.INCARNATION, 2)
    assert sight.look() == {7} and sight.rows == {}
    board.close()


def test_every_flipped_bit_of_a_row_shows():
    data = form.pack_row(ROW)
    for bit in range(0, 8 * (form.ROW.size + 4)):
        torn = bytearray(data)
        torn[bit // 8] ^= 1 << bit % 8
        assert form.unpack_row(bytes(torn)) is None


def test_control_pages_are_read_whole_or_not_at_all():
    board = SharedMemoryBoard.create(form.Layout(2))
    assert board.control() == (0, ControlPage())
    for count in range(1, 4):
        board.publish(ControlPage(bans=["b"] * count, leases={7: ([1, 2], [3, 4])}))
        version, control = board.control()
        assert (version, len(control.bans), control.leases) == (count, count, {7: ([1, 2], [3, 4])})
    at = board.layout.control + 8 + (4 % 2) * form.PAGE  # a supervisor that dies while it writes the next one
    board.bytes[at : at + 100] = bytes(range(100))
    assert board.control()[0] == 3
    at = board.layout.control + 8 + (3 % 2) * form.PAGE
    board.bytes[at + 20] ^= 1
    assert board.control() is None
    try:
        board.publish(ControlPage(bans=["x" * form.PAGE]))
        raise AssertionError("a page without bounds")
    except ValueError:
        board.close()


def test_ids_are_found_until_they_are_removed_and_a_full_bucket_says_so():
    board = SharedMemoryBoard.create(form.Layout(2, buckets=4))
    writer, reader = WorkerRegion(board, 0), WorkerRegion(board, 1)
    same = [4 * n + 1 for n in range(form.WAYS + 1)]
    assert [writer.add(ticket) for ticket in same] == [True] * form.WAYS + [False]
    assert reader.elsewhere(same[3]) and not reader.elsewhere(same[-1]) and not writer.elsewhere(same[3])
    writer.remove(same[3])
    assert not reader.elsewhere(same[3]) and sorted(writer.ids()) == sorted(set(same[:-1]) - {same[3]})
    assert writer.add(same[-1]) and reader.elsewhere(same[-1]) and reader.ids() == []
    writer.clear()
    assert writer.ids() == [] and reader.add(same[0]) and writer.elsewhere(same[0])
    board.close()


# The module's part.


def controller(**changes):
    return Controller(settings(READ, LOAD, **{"workers": 2, "coordinators": 2, **changes}), 7)


def sends(actions):
    return [a.engine for a in actions if isinstance(a, policy.StartAttempt)]


def test_the_other_workers_load_steers_the_choice_and_fills_the_memory():
    module = controller()
    module.handle(1000.0, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (entry(1), entry(2))))
    module.handle(1001.0, policy.WorkerLoadReported((WorkerLoad(1, 16, 0.0, False, 1.0, (), 0.0),)))
    for n in range(6):
        assert sends(module.handle(1002.0 + n, policy.RequestArrived(n, 0, 0, 0, 5000.0, 100.0, 10.0, 0.0))) == [2]
    module.handle(
        1010.0,
        policy.WorkerLoadReported(
            (WorkerLoad(1, 0, 0.0, False, 1.0, (), 0.0), WorkerLoad(2, 0, 16384.0, False, 1.0, (), 0.0))
        ),
    )
    assert sends(module.handle(1011.0, policy.RequestArrived(9, 0, 0, 0, 5000.0, 100.0, 2000.0, 0.0))) == [1]


def test_another_worker_s_suspicion_holds_until_its_test_has_passed():
    module = controller()
    module.handle(1000.0, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, tuple(entry(n) for n in (1, 2, 3))))
    module.handle(1001.0, policy.WorkerLoadReported((WorkerLoad(1, 0, 0.0, True, 1.0, (), 0.0),)))
    chosen = {
        sends(module.handle(1002.0 + n, policy.RequestArrived(n, 0, 0, 0, 5000.0, 100.0, 10.0, 0.0)))[0]
        for n in range(8)
    }
    assert chosen == {2, 3}
    module.handle(1100.0, policy.WorkerLoadReported((WorkerLoad(1, 0, 0.0, False, 1.0, (), 0.0),)))
    assert not module.engines[1].ejected


def test_a_cold_engine_gets_nothing_without_a_lease_and_two_workers_never_pass_its_budget():
    """Both see the engine as idle at the same moment."""
    arbiter, sent, now = LeaseArbiter(2, WINDOW, SETTLE), [], 100_000.0
    modules = [controller(slow_start_overload_ratio=4.0, slow_start_capacity=0.3, number=0) for _ in range(2)]
    cold = entry(1, since=now - 1.0)
    for slot, module in enumerate(modules):
        arbiter.up(slot)
        module.handle(now, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (cold,)))
        for n in range(200):
            actions = module.handle(now, policy.RequestArrived(1000 * slot + n, 0, 0, 0, 60_000.0, 100.0, 10.0, 0.0))
            assert sends(actions) == []  # idle and cold: not a single one before the lease
    budget, seen = modules[0].slow_start.budget_ms(modules[0].engines[1], now), [0, 0]
    for _ in range(150):
        now += 20.0
        needs = {}
        for slot, module in enumerate(modules):
            arbiter.beat(slot, now)
            if 1 in arbiter.engines:
                held = arbiter.engines[1].slots[slot]
                seen[slot] = held.serial
                word = WorkerLoad(1, 0, 0.0, False, leases.part(held.units, arbiter.horizons[slot], now), (), 0.0)
                todo = deque(module.handle(now, policy.WorkerLoadReported((word,))))
                while todo:  # each send is answered at once, and what that releases is a send again
                    if isinstance(action := todo.popleft(), policy.StartAttempt):
                        sent.append((now, 130.0))
                        todo += module.handle(
                            now, policy.AttemptEnded(action.request, 0, 1, 0, 50.0, False, 0.0, 0.0, ())
                        )
            needs[slot] = BudgetDemand(*module.slow_start.needs(now).get(1, (0.0, 0.0)), seen[slot])
        arbiter.step(now, {1: needs})
        budget = modules[0].slow_start.budget_ms(modules[0].engines[1], now)
        assert sum(work for at, work in sent if at > now - WINDOW) <= budget
    assert len(sent) > 60 and math.isfinite(budget)
