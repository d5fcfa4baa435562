"""The protocols between workers, model-checked: every interleaving of two and three workers, with a crash and a hang.

The states are made by the program's own LeaseArbiter and by peer_workers.newest_end_of_service; only time is coarse.
Each property is checked by a CTL checker; each has a variant broken on purpose that must be caught.
"""

import copy
import itertools

import pytest
from pyModelChecking import CTL, Kripke

from frostspindle.cores import peer_workers
from frostspindle.cores.leases import BudgetDemand, BudgetLedger, LeaseArbiter, SlotUnits
from frostspindle.cores.peer_workers import EngineLoadRow, PeerWorker

UP, HUNG, DEAD = "up", "hung", "dead"
WINDOW, SETTLE, LEASE = 2, 1, 2


class World:
    """One cold engine, some workers, one arbiter; time in whole ticks, in which a send costs one unit."""

    def __init__(self, workers, units, cools=True, checks_expiry=True):
        self.arbiter = LeaseArbiter(workers, WINDOW, SETTLE if cools else -WINDOW, LEASE, units)
        self.units, self.now, self.troubles, self.checks_expiry = units, 0, 1, checks_expiry
        self.state = [UP] * workers
        self.view = [0] * workers  # what each module goes by
        self.obeyed = [0] * workers  # the serial that each has confirmed
        self.sent = [() for _ in range(workers)]  # ages in ticks of sends in the window
        self.shared = False  # the arbiter has had its turn in this tick
        for worker in range(workers):
            self.arbiter.worker_started(worker)
            self.arbiter.renew(worker, 0)

    def key(self):
        """The state with times and serials made relative, so that equal states meet."""
        ledger = self.arbiter.engines.get(1)
        slots = (
            ()
            if ledger is None
            else tuple(
                (held.units, held.serial - seen, tuple((serial - seen, units) for serial, units in held.pending))
                for held, seen in zip(ledger.slots, self.obeyed, strict=True)
            )
        )
        cooling = (
            () if ledger is None else tuple(sorted((max(0, at - self.now), units) for at, units in ledger.cooling))
        )
        horizons = tuple(max(-1, at - self.now) for at in self.arbiter.lease_expiries)
        return (
            tuple(self.state),
            tuple(self.view),
            tuple(self.sent),
            self.shared,
            slots,
            cooling,
            horizons,
            self.troubles,
        )

    def over(self):
        return sum(len(ages) for ages in self.sent) > self.units

    def steps(self):
        """All that may happen next; each step is a function on a copy."""
        yield "tick", lambda w: w.tick()
        if not self.shared:
            for wishes in itertools.product((False, True), repeat=len(self.state)):
                yield f"arbiter {wishes}", lambda w, wishes=wishes: w.share(wishes)
        for worker, state in enumerate(self.state):
            if state is UP:
                yield f"sync {worker}", lambda w, i=worker: w.sync(i)
                fresh = not self.checks_expiry or self.now < self.arbiter.lease_expiries[worker]
                if fresh and len(self.sent[worker]) < self.view[worker]:
                    yield f"send {worker}", lambda w, i=worker: w.send(i)
                if self.troubles:
                    yield f"hang {worker}", lambda w, i=worker: w.fall(i, HUNG)
                    yield f"crash {worker}", lambda w, i=worker: w.fall(i, DEAD)
            elif state is HUNG:
                yield f"wake {worker}", lambda w, i=worker: w.wake(i)

    def tick(self):
        self.now, self.shared = self.now + 1, False
        self.sent = [tuple(age + 1 for age in ages if age + 1 < WINDOW) for ages in self.sent]
        for worker, state in enumerate(self.state):
            # A worker that lives has confirmed and beaten within a tick; a hung one has not.
            if state is UP:
                self.sync(worker)
                self.arbiter.renew(worker, self.now)

    def share(self, wishes):
        self.shared = True
        needs = {
            worker: BudgetDemand(
                len(self.sent[worker]) / self.units, float(wishes[worker]) / self.units, self.obeyed[worker]
            )
            for worker, state in enumerate(self.state)
            if state is not DEAD
        }
        self.arbiter.rebalance(self.now, {1: needs})

    def sync(self, worker):
        if (ledger := self.arbiter.engines.get(1)) is not None:
            self.view[worker], self.obeyed[worker] = ledger.slots[worker].units, ledger.slots[worker].serial

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
        for name in ("state", "view", "obeyed", "sent"):
            setattr(other, name, list(getattr(self, name)))
        return other

    def fall(self, worker, how):
        self.troubles -= 1
        self.state[worker] = how
        if how is DEAD:
            self.arbiter.worker_ended(worker, self.now)

    def wake(self, worker):
        """It goes on where it stood, with what it knew; its heart beats again with the next tick."""
        self.state[worker] = UP


def explore(first, steps, key, label):
    """All reachable states as a Kripke structure, with the label where it holds."""
    numbers, todo, edges, labels = {key(first): 0}, [first], [], {}
    while todo:
        world = todo.pop()
        at = numbers[key(world)]
        labels[at] = {"bad"} if label(world) else set()
        if labels[at]:
            edges.append((at, at))
            continue  # what follows a fault says nothing more
        found = False
        for _, step in steps(world):
            following = copy.deepcopy(world)
            step(following)
            state = key(following)
            if state not in numbers:
                numbers[state] = len(numbers)
                todo.append(following)
            edges.append((at, numbers[state]))
            found = True
        if not found:
            edges.append((at, at))
    return Kripke(R=list(set(edges)), S0=[0], L=labels), len(numbers)


def holds(kripke):
    return 0 in CTL.modelcheck(kripke, CTL.AG(CTL.Not("bad")))


@pytest.mark.parametrize("workers, units", [(2, 2), (3, 1)])
def test_no_interleaving_exceeds_the_budget_of_a_cold_engine(workers, units):
    kripke, count = explore(World(workers, units), World.steps, World.key, World.over)
    assert count > 300  # the search has seen more than a corner
    assert holds(kripke)


@pytest.mark.parametrize("broken", [{"cools": False}, {"checks_expiry": False}])
def test_units_that_do_not_cool_and_leases_without_an_end_are_caught(broken):
    kripke, _ = explore(World(2, 2, **broken), World.steps, World.key, World.over)
    assert not holds(kripke)


class Drain:
    """One engine that is told to end; workers hear of it by their own list or by the board, and may send."""

    LIMIT = 2  # ticks in which a send is still allowed after the first worker was told

    def __init__(self, workers, checks_board=True):
        self.checks_board, self.crashes = checks_board, 1
        self.lists = [1] * workers  # the number of the last event that each has heard; 2 tells the end
        self.deciding = [False] * workers  # a send that was decided and is not yet written
        self.alive = [True] * workers
        self.since, self.late = -1, False  # ticks since the first was told

    def key(self):
        return (tuple(self.lists), tuple(self.deciding), tuple(self.alive), self.since, self.late, self.crashes)

    def rows(self, worker):
        """What the board holds of the others, also of one that has crashed."""
        return [
            PeerWorker(
                0.0,
                {
                    1: EngineLoadRow(
                        1, version, 1 if version == 1 else 2, False, 0, 0.0, 0.0, 0.0, (), 0.0, 0.0, 0, "e", ""
                    )
                },
            )
            for other, version in enumerate(self.lists)
            if other != worker
        ]

    def stopped(self, worker):
        return self.lists[worker] == 2 or (
            self.checks_board
            and peer_workers.newest_end_of_service(1, self.lists[worker], self.rows(worker)) is not None
        )

    def steps(self):
        if self.since < self.LIMIT + 2:
            yield "tick", lambda w: setattr(w, "since", w.since + (w.since >= 0))
        for worker, alive in enumerate(self.alive):
            if not alive:
                continue
            if self.lists[worker] == 1:
                yield f"told {worker}", lambda w, i=worker: w.hear(i)
            if not self.deciding[worker] and self.lists[worker] == 1:
                yield f"decide {worker}", lambda w, i=worker: w.deciding.__setitem__(i, True)
            if self.deciding[worker]:
                yield f"write {worker}", lambda w, i=worker: w.write(i)
            if self.crashes:
                yield f"crash {worker}", lambda w, i=worker: w.crash(i)

    def hear(self, worker):
        self.lists[worker] = 2
        self.since = max(self.since, 0)

    def write(self, worker):
        self.deciding[worker] = False
        if not self.stopped(worker):
            self.late |= self.since > self.LIMIT

    def crash(self, worker):
        self.alive[worker], self.crashes = False, self.crashes - 1


@pytest.mark.parametrize("workers", [2, 3])
def test_no_worker_sends_to_a_draining_engine_after_the_limit(workers):
    kripke, count = explore(Drain(workers), Drain.steps, Drain.key, lambda world: world.late)
    assert count > 50
    assert holds(kripke)


def test_a_worker_that_goes_by_its_own_list_alone_is_caught():
    kripke, _ = explore(Drain(2, checks_board=False), Drain.steps, Drain.key, lambda world: world.late)
    assert not holds(kripke)
