"""Decisions of several workers, without processes: leases, limits, restarts, ownership, sums, the decision module."""

import math
import random
from collections import Counter, deque

from helpers import LOAD, READ, entry, settings
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from frostspindle import division, policy
from frostspindle.cores import layout as memory_layout
from frostspindle.cores import leases, limits, ownership, peer_workers, totals
from frostspindle.cores.layout import HeadCell
from frostspindle.cores.leases import UNITS, BudgetDemand, LeaseArbiter
from frostspindle.cores.ownership import RequestOwner, Route
from frostspindle.cores.peer_workers import EngineLoadRow, OrphanedLoad, PeerWorker
from frostspindle.cores.restarts import MAX_BACKOFF_MS, STABLE_AFTER_MS, START_TIMEOUT_MS, RestartPolicy
from frostspindle.cores.shared_memory import ControlPage, RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.policy import Controller, EndpointListKind, Health, WorkerLoad

ROW = EngineLoadRow(7, 3, 1, False, 2, 64.0, 0.0, 1000.0, (0.5, 1.0), 0.25, 0.5, 4, "s-7", "127.0.0.1:7000")
WINDOW, SETTLE = 1000.0, 400.0


class Spender:
    """A worker's side of the leases, as link.py and the module play it."""

    def __init__(self):
        self.view = self.lease_serial = 0
        self.sends, self.alive, self.moves = deque(), True, True


@given(strategies.integers(0, 10_000), strategies.integers(2, 6))
@hypothesis_settings(max_examples=40, deadline=None)
def test_no_window_ever_holds_more_than_the_budget(seed, workers):
    draw = random.Random(seed)
    arbiter = LeaseArbiter(workers, WINDOW, SETTLE)
    spenders = [Spender() for _ in range(workers)]
    everything = deque()
    for slot in range(workers):
        arbiter.worker_started(slot)
    now = 0.0
    for _ in range(600):
        now += draw.choice((5.0, 20.0, 20.0, 60.0))
        for slot, worker in enumerate(spenders):
            while worker.sends and worker.sends[0][0] <= now - WINDOW:
                worker.sends.popleft()
            chance = draw.random()
            if chance < 0.004 and worker.alive:  # killed; a successor knows nothing
                arbiter.worker_ended(slot, now)
                spenders[slot] = Spender()
                arbiter.worker_started(slot)
                continue
            if chance < 0.02:
                worker.moves = not worker.moves  # hangs, or goes on
            if not worker.moves:
                continue
            if draw.random() < 0.8 and 1 in arbiter.engines:  # a heartbeat after the newest lease was read
                arbiter.renew(slot, now)
                worker.view, worker.lease_serial = (
                    arbiter.engines[1].slots[slot].units,
                    arbiter.engines[1].slots[slot].serial,
                )
            spent = sum(units for _, units in worker.sends)
            units = draw.randint(1, 60)
            if now < arbiter.lease_expiries[slot] and spent + units <= worker.view and draw.random() < 0.7:
                worker.sends.append((now, units))
                everything.append((now, units))
        while everything and everything[0][0] <= now - WINDOW:
            everything.popleft()
        assert sum(units for _, units in everything) <= UNITS
        arbiter.rebalance(
            now,
            {
                1: {
                    slot: BudgetDemand(sum(u for _, u in w.sends) / UNITS, draw.choice((0.0, 0.3, 2.0)), w.lease_serial)
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
        for slot in range(arbiter.slot_count):
            arbiter.renew(slot, now)
        arbiter.rebalance(
            now, {1: {slot: BudgetDemand(need.spent, need.wanted, seen.get(slot, 0)) for slot, need in needs.items()}}
        )
        seen = {slot: held.serial for slot, held in enumerate(arbiter.engines[1].slots)}
    return now, [held.units for held in arbiter.engines[1].slots]


def test_idle_units_move_to_the_worker_that_has_work_and_back():
    arbiter = LeaseArbiter(4, WINDOW, SETTLE)
    for slot in range(4):
        arbiter.worker_started(slot)
    idle, busy = BudgetDemand(), BudgetDemand(0.5, 3.0)
    now, units = settle(arbiter, 0.0, {0: busy, 1: busy, 2: busy, 3: busy})
    assert units == [60, 60, 60, 60]
    now, units = settle(arbiter, now, {0: busy, 1: idle, 2: idle, 3: idle})
    assert units[0] >= 190 and min(units) >= UNITS // (4 * leases.RESERVE_DIVISOR)
    _, units = settle(arbiter, now, {0: busy, 1: busy, 2: idle, 3: idle})
    assert abs(units[0] - units[1]) <= 15 and sum(units) <= UNITS


def test_leases_of_a_dead_worker_cool_for_a_window_before_they_are_granted_again():
    arbiter = LeaseArbiter(2, WINDOW, SETTLE)
    arbiter.worker_started(0), arbiter.worker_started(1)
    now, units = settle(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    assert units == [120, 120]
    arbiter.worker_ended(0, now)
    _, units = settle(arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=int((WINDOW + SETTLE) / 20.0) - 1)
    assert units == [0, 120]
    _, units = settle(arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=100)
    assert units[1] == UNITS


def test_the_lease_of_a_hung_worker_expires():
    assert leases.budget_fraction(120, 300.0, 299.9) == 0.5 and leases.budget_fraction(120, 300.0, 300.0) == 0.0
    arbiter = LeaseArbiter(2, WINDOW, SETTLE)
    arbiter.worker_started(0), arbiter.worker_started(1)
    now, _ = settle(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    for turn in range(200):
        arbiter.renew(1, now + 20.0 * turn)
        arbiter.rebalance(now + 20.0 * turn, {1: {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0, 10**6)}})
    assert [held.units for held in arbiter.engines[1].slots] == [0, UNITS]


@given(strategies.dictionaries(strategies.integers(0, 9), strategies.integers(0, 300), min_size=1))
def test_a_fair_share_wastes_nothing_and_starves_nobody(wants):
    out = division.max_min_fair_shares(wants, UNITS)
    assert sum(out.values()) <= UNITS and all(out[slot] <= want for slot, want in wants.items())
    short = [slot for slot in wants if out[slot] < wants[slot]]
    if short:
        assert sum(out.values()) == UNITS
        assert max(out.values()) - min(out[slot] for slot in short) <= 1


@given(strategies.integers(0, 10_000))
@hypothesis_settings(max_examples=100, deadline=None)
def test_divided_limits_never_exceed_the_total(seed):
    draw = random.Random(seed)
    whole = draw.randint(200, 5000)
    divider, used = limits.LimitDivider(whole, minimum=32), {}
    for _ in range(60):
        if draw.random() < 0.2 and len(used) < 6:
            used[draw.randint(0, 8)] = 0
        elif draw.random() < 0.15 and used:
            used.pop(draw.choice(sorted(used)))
        shares = divider.divide(used)
        assert shares.keys() == used.keys()
        assert sum(max(shares[slot], used[slot]) for slot in used) <= whole
        for slot in used:  # up to its share a worker may use what it likes, and lets go in its own time
            used[slot] = draw.randint(0, max(shares[slot], 0)) if draw.random() < 0.7 else min(used[slot], shares[slot])
    quiet = dict.fromkeys(used, 0)
    for _ in range(3):
        shares = divider.divide(quiet)
    assert not shares or (sum(shares.values()) == whole and max(shares.values()) - min(shares.values()) <= 1)


def test_restart_backoff_grows_until_a_crash_loop_is_detected():
    policy = RestartPolicy(crash_limit=10, crash_window_ms=60_000.0, hang_timeout_ms=3000.0)
    now, waits = 0.0, []
    for _ in range(10):
        policy.worker_started(0, now)
        waits.append(policy.backoff_after_end(0, now + 10.0, True))
        now += 10.0 + (waits[-1] or 0.0)
    assert waits == [100.0, 200.0, 400.0, 800.0, 1600.0, 3200.0, MAX_BACKOFF_MS, MAX_BACKOFF_MS, MAX_BACKOFF_MS, None]


def test_backoff_starts_over_after_a_stable_run_or_a_requested_end():
    policy = RestartPolicy(crash_limit=3, crash_window_ms=1000.0, hang_timeout_ms=3000.0)
    policy.worker_started(0, 0.0)
    assert policy.backoff_after_end(0, 10.0, False) == 0.0
    for now in (0.0, 20_000.0, 40_000.0, 60_000.0):  # each long after the one before
        policy.worker_started(1, now)
        assert policy.backoff_after_end(1, now + STABLE_AFTER_MS, True) == 100.0
    assert policy.is_hung(1, 60_000.0 + START_TIMEOUT_MS + 1, 0.0) and not policy.is_hung(
        1, 60_000.0 + START_TIMEOUT_MS, 0.0
    )
    assert policy.is_hung(1, 5001.0, 2000.0) and not policy.is_hung(1, 5000.0, 2000.0)


def test_a_path_names_its_worker():
    path = f"/call/lookup/{ownership.path_prefix(RequestOwner(3, 18))}2f-00000000000000a1"
    assert ownership.owner_of(path) == RequestOwner(3, 18)
    own = RequestOwner(1, 4)
    assert ownership.route(path, own, {3: 18}) is Route.RELAY
    assert (
        ownership.route(path, own, {3: 19}) is Route.OWNER_ENDED and ownership.route(path, own, {}) is Route.OWNER_ENDED
    )
    assert ownership.route(path, RequestOwner(3, 18), {3: 18}) is Route.UNKNOWN
    for foreign in ("/call/lookup/2f-00000000000000a1", "/call/lookup/zz.1.2f-a", "/call/x/1.123456789.f-a", "/"):
        assert ownership.route(foreign, own, {1: 4}) is Route.UNKNOWN


def test_a_new_connection_is_left_to_less_loaded_workers():
    assert ownership.should_accept(0, []) and ownership.should_accept(9, []) and ownership.should_accept(2, [0, 50])
    assert not ownership.should_accept(3, [0, 50])


def test_load_of_other_workers_counts_while_an_engine_may_still_run_it():
    rows, now = {7: ROW}, 5000.0
    word = peer_workers.combined_load(7, [PeerWorker(0.0, rows), PeerWorker(2000.0, rows)], [], now, 0.25)
    assert word == WorkerLoad(7, 4, 128.0, False, 0.25, (0.5, 1.0), 4000.0)
    assert (
        peer_workers.combined_load(7, [PeerWorker(peer_workers.ENGINE_FORGETS_AFTER_MS, rows)], [], now, 1.0).threads
        == 0
    )  # hung: forgotten by engines
    assert peer_workers.combined_load(7, [PeerWorker(1500.0, {7: ROW._replace(ejected=True)})], [], now, 1.0)[3:6] == (
        False,
        1.0,
        (),
    )
    assert peer_workers.combined_load(7, [PeerWorker(0.0, {7: ROW._replace(ejected=True)})], [], now, 1.0).ejected
    dead = peer_workers.orphaned_loads([ROW, ROW._replace(engine=8, threads=0)], now)
    assert dead == [OrphanedLoad(7, 2, 64.0, now + peer_workers.ENGINE_FORGETS_AFTER_MS)]
    assert peer_workers.combined_load(7, [], dead, now + 2000.0, 1.0).threads == 2
    assert peer_workers.combined_load(7, [], dead, now + peer_workers.ENGINE_FORGETS_AFTER_MS, 1.0).threads == 0


def test_only_an_end_of_service_from_a_newer_list_is_taken_over():
    def others(*rows):
        return [PeerWorker(9e9, {7: row}) for row in rows]  # however old the heartbeat

    draining, back = ROW._replace(version=5, health=Health.DRAINING), ROW._replace(version=6)
    assert peer_workers.newest_end_of_service(7, 4, others(draining)) == (5, Health.DRAINING)
    assert peer_workers.newest_end_of_service(7, 5, others(draining)) is None
    assert (
        peer_workers.newest_end_of_service(7, 4, others(draining, back)) is None
        and peer_workers.newest_end_of_service(7, 4, others(back, draining)) is None
    )
    assert peer_workers.newest_end_of_service(8, 0, others(draining)) is None


def test_counts_of_a_dead_worker_stay_and_its_open_requests_are_lost():
    counts = {
        ("taken", "http", "load"): 9,
        ("served", "http", "load"): 4,
        ("left", "http", "load"): 2,
        ("taken", "tds", "load"): 3,
        ("failed", "tds", "load"): 3,
    }
    assert totals.lost_requests(counts) == Counter({("lost", "http", "load"): 3})
    figures = totals.figures(
        [("http", "load"), ("tds", "load")], Counter(counts) + totals.lost_requests(counts), 0, {}, frozenset()
    )
    assert figures["calls"] == {"load": {"success": 4, "busy": 0, "failure": 6}}


def test_engine_health_is_that_of_the_newest_list():
    rows = [[ROW], [ROW._replace(version=4, health=Health.DRAINING)], [ROW._replace(version=2, ejected=True)]]
    assert totals.engine_summaries(rows, frozenset()) == {
        7: totals.EngineSummary(7, "s-7", ("127.0.0.1", 7000), 2, True)
    }
    assert totals.engine_summaries([[ROW]], frozenset({"s-7"}))[7].health == Health.DRAINING


# The shared memory.


def test_rows_names_and_long_texts_come_back_as_written():
    long = ROW._replace(name="ü" * 60, report=(1.0,) * 12)
    back = memory_layout.unpack_row(memory_layout.pack_row(long))
    assert (back.report, back.spent, back.lease_serial) == ((1.0,) * 8, 0.25, 4)
    assert back.name != memory_layout.unpack_row(memory_layout.pack_row(long._replace(name="ü" * 61))).name
    assert memory_layout.unpack_row(memory_layout.pack_row(ROW)) == ROW
    name = memory_layout.CounterName("taken", "http", "k" * 200)
    assert memory_layout.unpack_counter_name(memory_layout.pack_counter_name(name)).counter == "taken"


def test_a_torn_row_is_detected_and_never_returned():
    board = SharedMemoryBoard.create(memory_layout.Layout(2))
    region, snapshot = WorkerRegion(board, 0), RowSnapshot(WorkerRegion(board, 0))
    region.write_row(ROW)
    region.increment_cell(HeadCell.ROW_UPDATES)
    assert snapshot.poll() == {7} and snapshot.rows == {7: ROW}
    at = region._rows + 100
    board.bytes[at] ^= 0x40  # as a writer that died half way through leaves it
    board.cells[region._row_sequences] += 1
    region.increment_cell(HeadCell.ROW_UPDATES)
    assert snapshot.poll() == {7} and snapshot.rows == {}
    region.write_row(ROW._replace(threads=9))
    region.increment_cell(HeadCell.ROW_UPDATES)
    assert snapshot.poll() == {7} and snapshot.rows[7].threads == 9
    region.clear()
    region.write_cell(HeadCell.INCARNATION, 2)
    assert snapshot.poll() == {7} and snapshot.rows == {}
    board.close()


def test_every_flipped_bit_of_a_row_is_detected():
    data = memory_layout.pack_row(ROW)
    for bit in range(0, 8 * (memory_layout.ROW.size + 4)):
        torn = bytearray(data)
        torn[bit // 8] ^= 1 << bit % 8
        assert memory_layout.unpack_row(bytes(torn)) is None


def test_control_pages_are_read_whole_or_not_at_all():
    board = SharedMemoryBoard.create(memory_layout.Layout(2))
    assert board.read_control() == (0, ControlPage())
    for count in range(1, 4):
        board.publish(ControlPage(bans=["b"] * count, leases={7: ([1, 2], [3, 4])}))
        version, control = board.read_control()
        assert (version, len(control.bans), control.leases) == (count, count, {7: ([1, 2], [3, 4])})
    at = (
        board.layout.control_offset + 8 + (4 % 2) * memory_layout.CONTROL_PAGE_BYTES
    )  # a supervisor that dies while it writes the next one
    board.bytes[at : at + 100] = bytes(range(100))
    assert board.read_control()[0] == 3
    at = board.layout.control_offset + 8 + (3 % 2) * memory_layout.CONTROL_PAGE_BYTES
    board.bytes[at + 20] ^= 1
    assert board.read_control() is None
    try:
        board.publish(ControlPage(bans=["x" * memory_layout.CONTROL_PAGE_BYTES]))
        raise AssertionError("a page without bounds")
    except ValueError:
        board.close()


def test_request_ids_are_found_until_removed_and_a_full_bucket_rejects():
    board = SharedMemoryBoard.create(memory_layout.Layout(2, buckets=4))
    writer, reader = WorkerRegion(board, 0), WorkerRegion(board, 1)
    same = [4 * n + 1 for n in range(memory_layout.WAYS + 1)]
    assert [writer.add_request(ticket) for ticket in same] == [True] * memory_layout.WAYS + [False]
    assert reader.open_elsewhere(same[3]) and not reader.open_elsewhere(same[-1]) and not writer.open_elsewhere(same[3])
    writer.remove_request(same[3])
    assert not reader.open_elsewhere(same[3]) and sorted(writer.request_ids()) == sorted(set(same[:-1]) - {same[3]})
    assert writer.add_request(same[-1]) and reader.open_elsewhere(same[-1]) and reader.request_ids() == []
    writer.clear()
    assert writer.request_ids() == [] and reader.add_request(same[0]) and writer.open_elsewhere(same[0])
    board.close()


# The decision module.


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


def test_an_ejection_by_another_worker_holds_until_that_worker_lifts_it():
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
        arbiter.worker_started(slot)
        module.handle(now, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (cold,)))
        for n in range(200):
            actions = module.handle(now, policy.RequestArrived(1000 * slot + n, 0, 0, 0, 60_000.0, 100.0, 10.0, 0.0))
            assert sends(actions) == []  # idle and cold: not a single one before the lease
    budget, seen = modules[0].slow_start.budget_ms(modules[0].engines[1], now), [0, 0]
    for _ in range(150):
        now += 20.0
        needs = {}
        for slot, module in enumerate(modules):
            arbiter.renew(slot, now)
            if 1 in arbiter.engines:
                held = arbiter.engines[1].slots[slot]
                seen[slot] = held.serial
                word = WorkerLoad(
                    1, 0, 0.0, False, leases.budget_fraction(held.units, arbiter.lease_expiries[slot], now), (), 0.0
                )
                todo = deque(module.handle(now, policy.WorkerLoadReported((word,))))
                while todo:  # each send is answered at once, and what that releases is a send again
                    if isinstance(action := todo.popleft(), policy.StartAttempt):
                        sent.append((now, 130.0))
                        todo += module.handle(
                            now, policy.AttemptEnded(action.request, 0, 1, 0, 50.0, False, 0.0, 0.0, ())
                        )
            needs[slot] = BudgetDemand(*module.slow_start.needs(now).get(1, (0.0, 0.0)), seen[slot])
        arbiter.rebalance(now, {1: needs})
        budget = modules[0].slow_start.budget_ms(modules[0].engines[1], now)
        assert sum(work for at, work in sent if at > now - WINDOW) <= budget
    assert len(sent) > 60 and math.isfinite(budget)
