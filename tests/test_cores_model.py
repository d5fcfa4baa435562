"""Model checks of the protocols between workers: all interleavings of two and three workers, with a crash or a hang.

The models run the program's own LeaseArbiter and peer_workers.newest_end_of_service; only time is discrete. A CTL
checker checks each property, and must find a violation in a variant of the model that is broken on purpose.
"""

import copy
import itertools

import pytest
from pyModelChecking import CTL, Kripke

from frostspindle.cores import peer_workers
from frostspindle.cores.leases import BudgetDemand, BudgetLedger, LeaseArbiter, SlotUnits
from frostspindle.cores.peer_workers import EngineLoadRow, PeerWorker

RUNNING, HUNG, DEAD = "up", "hung", "dead"
WINDOW, MAX_SEND_DELAY, LEASE = 2, 1, 2


class LeaseModel:
    """One cold engine, several workers and the arbiter; time in whole ticks, and each send costs one unit."""

    def __init__(self, workers, units, cools=True, checks_expiry=True):
        self.arbiter = LeaseArbiter(workers, WINDOW, MAX_SEND_DELAY if cools else -WINDOW, LEASE, units)
        self.units, self.now, self.failures_left, self.checks_expiry = units, 0, 1, checks_expiry
        self.state = [RUNNING] * workers
        self.lease_units = [0] * workers  # that each worker has applied
        self.confirmed_serials = [0] * workers  # of the leases that each worker has confirmed
        self.sent = [() for _ in range(workers)]  # by worker, ages in ticks of the sends in the window
        self.is_rebalanced = False  # the arbiter has run in this tick
        for worker in range(workers):
            self.arbiter.worker_started(worker)
            self.arbiter.renew(worker, 0)

    def key(self):
        """Return the state with relative times and serials, so that equivalent states are equal."""
        ledger = self.arbiter.engines.get(1)
        slots = (
            ()
            if ledger is None
            else tuple(
                (
                    slot_units.units,
                    slot_units.serial - confirmed_serial,
                    tuple((serial - confirmed_serial, units) for serial, units in slot_units.pending),
                )
                for slot_units, confirmed_serial in zip(ledger.slots, self.confirmed_serials, strict=True)
            )
        )
        cooling = (
            () if ledger is None else tuple(sorted((max(0, time - self.now), units) for time, units in ledger.cooling))
        )
        horizons = tuple(max(-1, time - self.now) for time in self.arbiter.lease_expiries)
        return (
            tuple(self.state),
            tuple(self.lease_units),
            tuple(self.sent),
            self.is_rebalanced,
            slots,
            cooling,
            horizons,
            self.failures_left,
        )

    def exceeds_budget(self):
        return sum(len(ages) for ages in self.sent) > self.units

    def steps(self):
        """Yield all possible next steps, each a label and a function to call with a copy of the model."""
        yield "tick", lambda model: model.tick()
        if not self.is_rebalanced:
            for has_demand in itertools.product((False, True), repeat=len(self.state)):
                yield f"arbiter {has_demand}", lambda model, has_demand=has_demand: model.rebalance(has_demand)
        for worker, state in enumerate(self.state):
            if state is RUNNING:
                yield f"sync {worker}", lambda model, index=worker: model.sync(index)
                may_send = not self.checks_expiry or self.now < self.arbiter.lease_expiries[worker]
                if may_send and len(self.sent[worker]) < self.lease_units[worker]:
                    yield f"send {worker}", lambda model, index=worker: model.send(index)
                if self.failures_left:
                    yield f"hang {worker}", lambda model, index=worker: model.fail(index, HUNG)
                    yield f"crash {worker}", lambda model, index=worker: model.fail(index, DEAD)
            elif state is HUNG:
                yield f"resume {worker}", lambda model, index=worker: model.resume(index)

    def tick(self):
        self.now, self.is_rebalanced = self.now + 1, False
        self.sent = [tuple(age + 1 for age in ages if age + 1 < WINDOW) for ages in self.sent]
        for worker, state in enumerate(self.state):
            # A running worker confirms its lease and sends a heartbeat in each tick; a hung one does not.
            if state is RUNNING:
                self.sync(worker)
                self.arbiter.renew(worker, self.now)

    def rebalance(self, has_demand):
        self.is_rebalanced = True
        demands = {
            worker: BudgetDemand(
                len(self.sent[worker]) / self.units,
                float(has_demand[worker]) / self.units,
                self.confirmed_serials[worker],
            )
            for worker, state in enumerate(self.state)
            if state is not DEAD
        }
        self.arbiter.rebalance(self.now, {1: demands})

    def sync(self, worker):
        if (ledger := self.arbiter.engines.get(1)) is not None:
            self.lease_units[worker], self.confirmed_serials[worker] = (
                ledger.slots[worker].units,
                ledger.slots[worker].serial,
            )

    def send(self, worker):
        self.sent[worker] = (*self.sent[worker], 0)

    def __deepcopy__(self, memo):
        other = copy.copy(self)
        other.arbiter = copy.copy(self.arbiter)
        other.arbiter.lease_expiries, other.arbiter.alive = list(self.arbiter.lease_expiries), list(self.arbiter.alive)
        other.arbiter.engines = {
            engine: BudgetLedger(
                [SlotUnits(h.units, h.serial, list(h.pending)) for h in ledger.slots],
                ledger.units,
                list(ledger.cooling),
                ledger.last_demand_at,
            )
            for engine, ledger in self.arbiter.engines.items()
        }
        for name in ("state", "lease_units", "confirmed_serials", "sent"):
            setattr(other, name, list(getattr(self, name)))
        return other

    def fail(self, worker, new_state):
        self.failures_left -= 1
        self.state[worker] = new_state
        if new_state is DEAD:
            self.arbiter.worker_ended(worker, self.now)

    def resume(self, worker):
        """Let a hung worker continue in its old state; its next heartbeat is in the next tick."""
        self.state[worker] = RUNNING


def explore(initial_model, steps, key, label):
    """Return a Kripke structure of all reachable states, with `bad` where `label` holds, and their number."""
    state_numbers, states_to_visit, edges, labels = {key(initial_model): 0}, [initial_model], [], {}
    while states_to_visit:
        model = states_to_visit.pop()
        state_number = state_numbers[key(model)]
        labels[state_number] = {"bad"} if label(model) else set()
        if labels[state_number]:
            edges.append((state_number, state_number))
            continue  # successors of a bad state are irrelevant
        has_successor = False
        for _, step in steps(model):
            successor = copy.deepcopy(model)
            step(successor)
            state = key(successor)
            if state not in state_numbers:
                state_numbers[state] = len(state_numbers)
                states_to_visit.append(successor)
            edges.append((state_number, state_numbers[state]))
            has_successor = True
        if not has_successor:
            edges.append((state_number, state_number))
    return Kripke(R=list(set(edges)), S0=[0], L=labels), len(state_numbers)


def is_never_bad(kripke):
    return 0 in CTL.modelcheck(kripke, CTL.AG(CTL.Not("bad")))


@pytest.mark.parametrize("workers, units", [(2, 2), (3, 1)])
def test_no_interleaving_exceeds_the_budget_of_a_cold_engine(workers, units):
    kripke, count = explore(LeaseModel(workers, units), LeaseModel.steps, LeaseModel.key, LeaseModel.exceeds_budget)
    assert count > 300  # the search has visited enough states
    assert is_never_bad(kripke)


@pytest.mark.parametrize("broken", [{"cools": False}, {"checks_expiry": False}])
def test_violations_are_found_if_units_do_not_cool_or_leases_do_not_expire(broken):
    kripke, _ = explore(LeaseModel(2, 2, **broken), LeaseModel.steps, LeaseModel.key, LeaseModel.exceeds_budget)
    assert not is_never_bad(kripke)


class DrainModel:
    """An engine's end of service, which workers learn from their own endpoint list or from shared memory."""

    LIMIT = 2  # ticks after the first worker's event in which sends are still allowed

    def __init__(self, workers, checks_board=True):
        self.checks_board, self.crashes_left = checks_board, 1
        self.list_versions = [1] * workers  # the last event that each has received; 2 is the end of service
        self.has_decided_send = [False] * workers  # by worker, a send is decided but not yet written
        self.alive = [True] * workers
        self.ticks_since_event, self.sent_late = -1, False  # ticks since the first worker's event

    def key(self):
        return (
            tuple(self.list_versions),
            tuple(self.has_decided_send),
            tuple(self.alive),
            self.ticks_since_event,
            self.sent_late,
            self.crashes_left,
        )

    def rows(self, worker):
        """Return the other workers' rows in shared memory, including those of a crashed worker."""
        return [
            PeerWorker(
                0.0,
                {
                    1: EngineLoadRow(
                        1, version, 1 if version == 1 else 2, False, 0, 0.0, 0.0, 0.0, (), 0.0, 0.0, 0, "e", ""
                    )
                },
            )
            for other, version in enumerate(self.list_versions)
            if other != worker
        ]

    def stopped(self, worker):
        return self.list_versions[worker] == 2 or (
            self.checks_board
            and peer_workers.newest_end_of_service(1, self.list_versions[worker], self.rows(worker)) is not None
        )

    def steps(self):
        if self.ticks_since_event < self.LIMIT + 2:
            yield (
                "tick",
                lambda model: setattr(
                    model, "ticks_since_event", model.ticks_since_event + (model.ticks_since_event >= 0)
                ),
            )
        for worker, alive in enumerate(self.alive):
            if not alive:
                continue
            if self.list_versions[worker] == 1:
                yield f"event {worker}", lambda model, index=worker: model.receive_event(index)
            if not self.has_decided_send[worker] and self.list_versions[worker] == 1:
                yield f"decide {worker}", lambda model, index=worker: model.has_decided_send.__setitem__(index, True)
            if self.has_decided_send[worker]:
                yield f"write {worker}", lambda model, index=worker: model.write(index)
            if self.crashes_left:
                yield f"crash {worker}", lambda model, index=worker: model.crash(index)

    def receive_event(self, worker):
        self.list_versions[worker] = 2
        self.ticks_since_event = max(self.ticks_since_event, 0)

    def write(self, worker):
        self.has_decided_send[worker] = False
        if not self.stopped(worker):
            self.sent_late |= self.ticks_since_event > self.LIMIT

    def crash(self, worker):
        self.alive[worker], self.crashes_left = False, self.crashes_left - 1


@pytest.mark.parametrize("workers", [2, 3])
def test_no_worker_sends_to_a_draining_engine_after_the_limit(workers):
    kripke, count = explore(DrainModel(workers), DrainModel.steps, DrainModel.key, lambda model: model.sent_late)
    assert count > 50
    assert is_never_bad(kripke)


def test_a_violation_is_found_if_a_worker_uses_only_its_own_list():
    kripke, _ = explore(
        DrainModel(2, checks_board=False), DrainModel.steps, DrainModel.key, lambda model: model.sent_late
    )
    assert not is_never_bad(kripke)
