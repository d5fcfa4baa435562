"""Decision logic of several workers, without processes: leases, limits, restarts, ownership, sums, shared memory."""

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
WINDOW_MS, MAX_SEND_DELAY_MS = 1000.0, 400.0


class LeaseHolder:
    """A model of a worker's side of the leases, as in link.py and the decision module."""

    def __init__(self):
        self.lease_units = self.lease_serial = 0
        self.sends, self.is_alive, self.is_running = deque(), True, True


@given(strategies.integers(0, 10_000), strategies.integers(2, 6))
@hypothesis_settings(max_examples=40, deadline=None)
def test_no_window_exceeds_the_budget(seed, workers):
    rng = random.Random(seed)
    arbiter = LeaseArbiter(workers, WINDOW_MS, MAX_SEND_DELAY_MS)
    holders = [LeaseHolder() for _ in range(workers)]
    all_sends = deque()
    for slot in range(workers):
        arbiter.worker_started(slot)
    now = 0.0
    for _ in range(600):
        now += rng.choice((5.0, 20.0, 20.0, 60.0))
        for slot, worker in enumerate(holders):
            while worker.sends and worker.sends[0][0] <= now - WINDOW_MS:
                worker.sends.popleft()
            event_draw = rng.random()
            if event_draw < 0.004 and worker.is_alive:  # the worker is killed; its successor has no lease
                arbiter.worker_ended(slot, now)
                holders[slot] = LeaseHolder()
                arbiter.worker_started(slot)
                continue
            if event_draw < 0.02:
                worker.is_running = not worker.is_running  # the worker hangs or resumes
            if not worker.is_running:
                continue
            if rng.random() < 0.8 and 1 in arbiter.engines:  # a heartbeat, after reading the newest lease
                arbiter.renew(slot, now)
                worker.lease_units, worker.lease_serial = (
                    arbiter.engines[1].slots[slot].units,
                    arbiter.engines[1].slots[slot].serial,
                )
            spent = sum(units for _, units in worker.sends)
            units = rng.randint(1, 60)
            if now < arbiter.lease_expiries[slot] and spent + units <= worker.lease_units and rng.random() < 0.7:
                worker.sends.append((now, units))
                all_sends.append((now, units))
        while all_sends and all_sends[0][0] <= now - WINDOW_MS:
            all_sends.popleft()
        assert sum(units for _, units in all_sends) <= UNITS
        arbiter.rebalance(
            now,
            {
                1: {
                    slot: BudgetDemand(
                        sum(sent_units for _, sent_units in holder.sends) / UNITS,
                        rng.choice((0.0, 0.3, 2.0)),
                        holder.lease_serial,
                    )
                    for slot, holder in enumerate(holders)
                }
            },
        )
        ledger = arbiter.engines[1]
        assert ledger.free >= 0


def rebalance_repeatedly(arbiter, now, demands, rounds=200, step=20.0):
    confirmed_serials = {}
    for _ in range(rounds):
        now += step
        for slot in range(arbiter.slot_count):
            arbiter.renew(slot, now)
        arbiter.rebalance(
            now,
            {
                1: {
                    slot: BudgetDemand(demand.spent, demand.wanted, confirmed_serials.get(slot, 0))
                    for slot, demand in demands.items()
                }
            },
        )
        confirmed_serials = {slot: slot_units.serial for slot, slot_units in enumerate(arbiter.engines[1].slots)}
    return now, [slot_units.units for slot_units in arbiter.engines[1].slots]


def test_idle_units_move_to_busy_workers_and_back():
    arbiter = LeaseArbiter(4, WINDOW_MS, MAX_SEND_DELAY_MS)
    for slot in range(4):
        arbiter.worker_started(slot)
    idle, busy = BudgetDemand(), BudgetDemand(0.5, 3.0)
    now, units = rebalance_repeatedly(arbiter, 0.0, {0: busy, 1: busy, 2: busy, 3: busy})
    assert units == [60, 60, 60, 60]
    now, units = rebalance_repeatedly(arbiter, now, {0: busy, 1: idle, 2: idle, 3: idle})
    assert units[0] >= 190 and min(units) >= UNITS // (4 * leases.RESERVE_DIVISOR)
    _, units = rebalance_repeatedly(arbiter, now, {0: busy, 1: busy, 2: idle, 3: idle})
    assert abs(units[0] - units[1]) <= 15 and sum(units) <= UNITS


def test_units_of_a_dead_worker_cool_for_a_window_before_they_are_granted_again():
    arbiter = LeaseArbiter(2, WINDOW_MS, MAX_SEND_DELAY_MS)
    arbiter.worker_started(0), arbiter.worker_started(1)
    now, units = rebalance_repeatedly(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    assert units == [120, 120]
    arbiter.worker_ended(0, now)
    _, units = rebalance_repeatedly(
        arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=int((WINDOW_MS + MAX_SEND_DELAY_MS) / 20.0) - 1
    )
    assert units == [0, 120]
    _, units = rebalance_repeatedly(arbiter, now, {1: BudgetDemand(1.0, 3.0)}, rounds=100)
    assert units[1] == UNITS


def test_the_lease_of_a_hung_worker_expires():
    assert leases.budget_fraction(120, 300.0, 299.9) == 0.5 and leases.budget_fraction(120, 300.0, 300.0) == 0.0
    arbiter = LeaseArbiter(2, WINDOW_MS, MAX_SEND_DELAY_MS)
    arbiter.worker_started(0), arbiter.worker_started(1)
    now, _ = rebalance_repeatedly(arbiter, 0.0, {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0)})
    for step in range(200):
        arbiter.renew(1, now + 20.0 * step)
        arbiter.rebalance(now + 20.0 * step, {1: {0: BudgetDemand(0.5, 3.0), 1: BudgetDemand(0.5, 3.0, 10**6)}})
    assert [slot_units.units for slot_units in arbiter.engines[1].slots] == [0, UNITS]


@given(strategies.dictionaries(strategies.integers(0, 9), strategies.integers(0, 300), min_size=1))
def test_max_min_fair_shares_use_all_units_and_treat_unsatisfied_slots_alike(demands):
    shares = division.max_min_fair_shares(demands, UNITS)
    assert sum(shares.values()) <= UNITS and all(shares[slot] <= wanted for slot, wanted in demands.items())
    unsatisfied = [slot for slot in demands if shares[slot] < demands[slot]]
    if unsatisfied:
        assert sum(shares.values()) == UNITS
        assert max(shares.values()) - min(shares[slot] for slot in unsatisfied) <= 1


@given(strategies.integers(0, 10_000))
@hypothesis_settings(max_examples=100, deadline=None)
def test_divided_limits_never_exceed_the_total(seed):
    rng = random.Random(seed)
    total = rng.randint(200, 5000)
    divider, used = limits.LimitDivider(total, minimum=32), {}
    for _ in range(60):
        if rng.random() < 0.2 and len(used) < 6:
            used[rng.randint(0, 8)] = 0
        elif rng.random() < 0.15 and used:
            used.pop(rng.choice(sorted(used)))
        quotas = divider.divide(used)
        assert quotas.keys() == used.keys()
        assert sum(max(quotas[slot], used[slot]) for slot in used) <= total
        for slot in used:  # a worker may use up to its quota, and reduces its use at any later time
            used[slot] = rng.randint(0, max(quotas[slot], 0)) if rng.random() < 0.7 else min(used[slot], quotas[slot])
    no_use = dict.fromkeys(used, 0)
    for _ in range(3):
        quotas = divider.divide(no_use)
    assert not quotas or (sum(quotas.values()) == total and max(quotas.values()) - min(quotas.values()) <= 1)


def test_restart_backoff_grows_until_a_crash_loop_is_detected():
    policy = RestartPolicy(crash_limit=10, crash_window_ms=60_000.0, hang_timeout_ms=3000.0)
    now, backoffs = 0.0, []
    for _ in range(10):
        policy.worker_started(0, now)
        backoffs.append(policy.backoff_after_end(0, now + 10.0, True))
        now += 10.0 + (backoffs[-1] or 0.0)
    assert backoffs == [
        100.0,
        200.0,
        400.0,
        800.0,
        1600.0,
        3200.0,
        MAX_BACKOFF_MS,
        MAX_BACKOFF_MS,
        MAX_BACKOFF_MS,
        None,
    ]


def test_backoff_starts_over_after_a_stable_run_or_a_requested_end():
    policy = RestartPolicy(crash_limit=3, crash_window_ms=1000.0, hang_timeout_ms=3000.0)
    policy.worker_started(0, 0.0)
    assert policy.backoff_after_end(0, 10.0, False) == 0.0
    for now in (0.0, 20_000.0, 40_000.0, 60_000.0):  # far apart
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
    for other_path in ("/call/lookup/2f-00000000000000a1", "/call/lookup/zz.1.2f-a", "/call/x/1.123456789.f-a", "/"):
        assert ownership.route(other_path, own, {1: 4}) is Route.UNKNOWN


def test_a_new_connection_is_left_to_less_loaded_workers():
    assert ownership.should_accept(0, []) and ownership.should_accept(9, []) and ownership.should_accept(2, [0, 50])
    assert not ownership.should_accept(3, [0, 50])


def test_load_of_other_workers_counts_while_an_engine_may_still_run_it():
    rows, now = {7: ROW}, 5000.0
    combined = peer_workers.combined_load(7, [PeerWorker(0.0, rows), PeerWorker(2000.0, rows)], [], now, 0.25)
    assert combined == WorkerLoad(7, 4, 128.0, False, 0.25, (0.5, 1.0), 4000.0)
    # The engine has dropped the queries of a hung worker.
    assert (
        peer_workers.combined_load(7, [PeerWorker(peer_workers.ENGINE_FORGETS_AFTER_MS, rows)], [], now, 1.0).threads
        == 0
    )
    assert peer_workers.combined_load(7, [PeerWorker(1500.0, {7: ROW._replace(ejected=True)})], [], now, 1.0)[3:6] == (
        False,
        1.0,
        (),
    )
    assert peer_workers.combined_load(7, [PeerWorker(0.0, {7: ROW._replace(ejected=True)})], [], now, 1.0).ejected
    orphaned = peer_workers.orphaned_loads([ROW, ROW._replace(engine=8, threads=0)], now)
    assert orphaned == [OrphanedLoad(7, 2, 64.0, now + peer_workers.ENGINE_FORGETS_AFTER_MS)]
    assert peer_workers.combined_load(7, [], orphaned, now + 2000.0, 1.0).threads == 2
    assert peer_workers.combined_load(7, [], orphaned, now + peer_workers.ENGINE_FORGETS_AFTER_MS, 1.0).threads == 0


def test_only_an_end_of_service_from_a_newer_list_is_taken_over():
    def peers(*rows):
        return [PeerWorker(9e9, {7: row}) for row in rows]  # the age of the heartbeat does not matter

    draining, ready = ROW._replace(version=5, health=Health.DRAINING), ROW._replace(version=6)
    assert peer_workers.newest_end_of_service(7, 4, peers(draining)) == (5, Health.DRAINING)
    assert peer_workers.newest_end_of_service(7, 5, peers(draining)) is None
    assert (
        peer_workers.newest_end_of_service(7, 4, peers(draining, ready)) is None
        and peer_workers.newest_end_of_service(7, 4, peers(ready, draining)) is None
    )
    assert peer_workers.newest_end_of_service(8, 0, peers(draining)) is None


def test_counts_of_a_dead_worker_are_kept_and_its_open_requests_are_lost():
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


def test_rows_and_counter_names_are_decoded_as_encoded_and_long_texts_truncated():
    long_row = ROW._replace(name="ü" * 60, report=(1.0,) * 12)
    decoded = memory_layout.unpack_row(memory_layout.pack_row(long_row))
    assert (decoded.report, decoded.spent, decoded.lease_serial) == ((1.0,) * 8, 0.25, 4)
    assert decoded.name != memory_layout.unpack_row(memory_layout.pack_row(long_row._replace(name="ü" * 61))).name
    assert memory_layout.unpack_row(memory_layout.pack_row(ROW)) == ROW
    counter_name = memory_layout.CounterName("taken", "http", "k" * 200)
    assert memory_layout.unpack_counter_name(memory_layout.pack_counter_name(counter_name)).counter == "taken"


def test_a_torn_row_is_detected_and_never_returned():
    board = SharedMemoryBoard.create(memory_layout.Layout(2))
    region, snapshot = WorkerRegion(board, 0), RowSnapshot(WorkerRegion(board, 0))
    region.write_row(ROW)
    region.increment_cell(HeadCell.ROW_UPDATES)
    assert snapshot.poll() == {7} and snapshot.rows == {7: ROW}
    offset = region._rows + 100
    board.bytes[offset] ^= 0x40  # as after a crash of the writer within a write
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


def test_incomplete_control_pages_are_never_returned():
    board = SharedMemoryBoard.create(memory_layout.Layout(2))
    assert board.read_control() == (0, ControlPage())
    for count in range(1, 4):
        board.publish(ControlPage(bans=["b"] * count, leases={7: ([1, 2], [3, 4])}))
        version, control = board.read_control()
        assert (version, len(control.bans), control.leases) == (count, count, {7: ([1, 2], [3, 4])})
    # The supervisor dies while it writes the next page.
    offset = board.layout.control_offset + 8 + (4 % 2) * memory_layout.CONTROL_PAGE_BYTES
    board.bytes[offset : offset + 100] = bytes(range(100))
    assert board.read_control()[0] == 3
    offset = board.layout.control_offset + 8 + (3 % 2) * memory_layout.CONTROL_PAGE_BYTES
    board.bytes[offset + 20] ^= 1
    assert board.read_control() is None
    try:
        board.publish(ControlPage(bans=["x" * memory_layout.CONTROL_PAGE_BYTES]))
        raise AssertionError("an oversized control page was accepted")
    except ValueError:
        board.close()


def test_request_ids_are_found_until_removed_and_a_full_bucket_rejects():
    board = SharedMemoryBoard.create(memory_layout.Layout(2, buckets=4))
    writer, reader = WorkerRegion(board, 0), WorkerRegion(board, 1)
    colliding_ids = [4 * n + 1 for n in range(memory_layout.WAYS + 1)]
    assert [writer.add_request(request_id) for request_id in colliding_ids] == [True] * memory_layout.WAYS + [False]
    assert (
        reader.open_elsewhere(colliding_ids[3])
        and not reader.open_elsewhere(colliding_ids[-1])
        and not writer.open_elsewhere(colliding_ids[3])
    )
    writer.remove_request(colliding_ids[3])
    assert not reader.open_elsewhere(colliding_ids[3]) and sorted(writer.request_ids()) == sorted(
        set(colliding_ids[:-1]) - {colliding_ids[3]}
    )
    assert (
        writer.add_request(colliding_ids[-1])
        and reader.open_elsewhere(colliding_ids[-1])
        and reader.request_ids() == []
    )
    writer.clear()
    assert (
        writer.request_ids() == [] and reader.add_request(colliding_ids[0]) and writer.open_elsewhere(colliding_ids[0])
    )
    board.close()


# The decision module.


def controller(**changes):
    return Controller(settings(READ, LOAD, **{"workers": 2, "coordinators": 2, **changes}), 7)


def target_engines(actions):
    return [a.engine for a in actions if isinstance(a, policy.StartAttempt)]


def test_load_of_other_workers_affects_selection_and_memory():
    module = controller()
    module.handle(1000.0, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (entry(1), entry(2))))
    module.handle(1001.0, policy.WorkerLoadReported((WorkerLoad(1, 16, 0.0, False, 1.0, (), 0.0),)))
    for n in range(6):
        assert target_engines(
            module.handle(1002.0 + n, policy.RequestArrived(n, 0, 0, 0, 5000.0, 100.0, 10.0, 0.0))
        ) == [2]
    module.handle(
        1010.0,
        policy.WorkerLoadReported(
            (WorkerLoad(1, 0, 0.0, False, 1.0, (), 0.0), WorkerLoad(2, 0, 16384.0, False, 1.0, (), 0.0))
        ),
    )
    assert target_engines(module.handle(1011.0, policy.RequestArrived(9, 0, 0, 0, 5000.0, 100.0, 2000.0, 0.0))) == [1]


def test_an_ejection_by_another_worker_holds_until_that_worker_lifts_it():
    module = controller()
    module.handle(1000.0, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, tuple(entry(n) for n in (1, 2, 3))))
    module.handle(1001.0, policy.WorkerLoadReported((WorkerLoad(1, 0, 0.0, True, 1.0, (), 0.0),)))
    chosen = {
        target_engines(module.handle(1002.0 + n, policy.RequestArrived(n, 0, 0, 0, 5000.0, 100.0, 10.0, 0.0)))[0]
        for n in range(8)
    }
    assert chosen == {2, 3}
    module.handle(1100.0, policy.WorkerLoadReported((WorkerLoad(1, 0, 0.0, False, 1.0, (), 0.0),)))
    assert not module.engines[1].ejected


def test_a_cold_engine_gets_no_work_without_a_lease_and_two_workers_never_exceed_its_budget():
    """Two workers see the cold engine as idle at the same time."""
    arbiter, sent, now = LeaseArbiter(2, WINDOW_MS, MAX_SEND_DELAY_MS), [], 100_000.0
    modules = [controller(slow_start_overload_ratio=4.0, slow_start_capacity=0.3, number=0) for _ in range(2)]
    cold_entry = entry(1, since=now - 1.0)
    for slot, module in enumerate(modules):
        arbiter.worker_started(slot)
        module.handle(now, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (cold_entry,)))
        for n in range(200):
            actions = module.handle(now, policy.RequestArrived(1000 * slot + n, 0, 0, 0, 60_000.0, 100.0, 10.0, 0.0))
            assert target_engines(actions) == []  # no request is sent before there is a lease
    budget, applied_serials = modules[0].slow_start.budget_ms(modules[0].engines[1], now), [0, 0]
    for _ in range(150):
        now += 20.0
        demands = {}
        for slot, module in enumerate(modules):
            arbiter.renew(slot, now)
            if 1 in arbiter.engines:
                slot_units = arbiter.engines[1].slots[slot]
                applied_serials[slot] = slot_units.serial
                load = WorkerLoad(
                    1,
                    0,
                    0.0,
                    False,
                    leases.budget_fraction(slot_units.units, arbiter.lease_expiries[slot], now),
                    (),
                    0.0,
                )
                actions_left = deque(module.handle(now, policy.WorkerLoadReported((load,))))
                while actions_left:  # each attempt succeeds at once, which may start further attempts
                    if isinstance(action := actions_left.popleft(), policy.StartAttempt):
                        sent.append((now, 130.0))
                        actions_left += module.handle(
                            now, policy.AttemptEnded(action.request, 0, 1, 0, 50.0, False, 0.0, 0.0, ())
                        )
            demands[slot] = BudgetDemand(*module.slow_start.needs(now).get(1, (0.0, 0.0)), applied_serials[slot])
        arbiter.rebalance(now, {1: demands})
        budget = modules[0].slow_start.budget_ms(modules[0].engines[1], now)
        assert sum(work for sent_at, work in sent if sent_at > now - WINDOW_MS) <= budget
    assert len(sent) > 60 and math.isfinite(budget)
