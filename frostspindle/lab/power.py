"""The emulator of power losses: engines that fail when overloaded while cold, clients that retry, stores that are lost.

Owns simulated time, engines, clients, stores, the network's fate and what is measured of a run. Coordinators are the
decision module and the recovery's own cores; with `naive` they start as they did before there was a recovery. The same
arguments give the same run. It must never look into a coordinator to make a figure that clients and engines don't show.

The loss comes at LOSS_S: processes and engines end within a second. Engines are back 2 to 4 s later and cold, the
bus 3 to 9 s later, coordinators over ten seconds, first after 3 s. Members of the fleet see each other a second late.
With recovery cold engines' budgets are rights of the fleet, as `[fleet] cold` has them, paid at the first byte; the
naive start goes by plain shares and by turns, as the module does without a fleet.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from frostspindle import policy
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.lab.faults.script import MessageFaults, Script
from frostspindle.lab.fleet import excess
from frostspindle.lab.warming import Warming
from frostspindle.policy import AttemptOutcome, ClassSettings, EndpointListKind, EngineEntry, Health, Idempotency
from frostspindle.policy.controller import Controller
from frostspindle.policy.slow_start import SLOW_START_SAFETY
from frostspindle.recovery import agreement, wire
from frostspindle.recovery.admission import AdmissionDecision, RecoveryAdmission, RequestClass, SlowStartCurve
from frostspindle.recovery.admission import ReadyEngine as Bearing
from frostspindle.recovery.inputs import OpenedStore, RecoverySettings
from frostspindle.recovery.node import RecoveryNode
from frostspindle.recovery.outputs import ClaimResolved, MarkRestarted
from frostspindle.recovery.stages import Stage, StageTimeouts, StageTransition
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.tickets import ClaimOutcome

EPOCH = 1.7e12  # Unix ms at the run's begin
LOSS_S, BACK_S, OVER_S = 8.0, 3.0, 10.0
CORES, WARM_MS, COLD, TIP, DOWN_MS = 8.0, 15_000.0, 0.3, 4.0, 4_000.0
RETRY_MS = 3_000.0
STEP_MS = 50.0  # engines go on in steps
TURN_MS = 50.0  # so does the recovery's timer
LOAD = 0.55  # of the engines' capacity that clients want
BUS_MS = (3_000.0, 13_000.0)  # after the loss, the bus tells of engines again
UNITS_EACH, WINDOW_MS, LEASE_MS, DRIFT = 3, 1_000.0, 2_000.0, 0.055
SEEN_MS = 1_000.0
SEEDS = 64
NINE_TENTHS, OVER_MS, STAYS_MS = 0.9, 2_000.0, 4_000.0
# lookups, reports, loads: aim, deadline, worth, effect, threads, mean work, part of the requests
KINDS = (
    (1_500.0, 7_500.0, 1.0, Idempotency.IDEMPOTENT, 1, 400.0, 0.75),
    (4_000.0, 15_000.0, 4.0, Idempotency.IDEMPOTENT, 3, 2_400.0, 0.15),
    (5_000.0, 20_000.0, 3.0, Idempotency.NON_IDEMPOTENT, 2, 1_500.0, 0.10),
)
MEAN = sum(kind[5] * kind[6] for kind in KINDS)


def settings(nodes: int, number: int, cold: bool = False) -> policy.Settings:
    """Return the decision module's settings for coordinator `number` of `nodes`. `cold`: the coordinators lease cold
    engines' budgets from each other, as workers of one coordinator do."""
    plain = policy.Settings(
        tuple(
            ClassSettings(
                aim, deadline, worth, 2.0, 0.4, effect, threads=threads, is_load=effect == Idempotency.NON_IDEMPOTENT
            )
            for aim, deadline, worth, effect, threads, _, _ in KINDS
        ),
        coordinators=nodes,
        number=number,
        kind_cores=(CORES,),
        kind_memory_mb=(0.0,),
        priorities=True,
        may_cancel=True,
        retry_after=True,
        max_retry_after_ms=RETRY_MS,
        max_attempts=5,
        slow_start_capacity=COLD,
        slow_start_duration_ms=WARM_MS,
        slow_start_overload_ratio=TIP,
        slow_start_window_ms=1_000.0,
    )
    return dataclasses.replace(plain, workers=nodes) if cold else plain


@dataclass(slots=True, eq=False)
class Client:
    """One request's client, until it has its answer or its deadline is over. `cost`: core-ms; `ends`: simulated ms."""

    id: int
    cls: int
    cost: float
    ends: float
    blue: bool
    home: int
    over: str = ""
    calls: int = 0
    refusals: int = 0
    asked: bool = False  # a coordinator has it, and owes an answer
    early: bool = False  # it was answered before the loss


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an engine. `sent`: simulated ms; `left`: core-ms that are still to be done."""

    record: Record
    number: int
    engine: int
    sent: float
    left: float  # work
    paid: bool = True  # its first byte went out


@dataclass(slots=True, eq=False)
class Record:
    """A request at a coordinator. `life`: of the process that took it; `taken`: when, in simulated ms."""

    number: int
    client: Client
    at: Coordinator
    life: int
    taken: float
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Engine:
    """A simulated engine. `born`: simulated ms of its last start; 0 for the first, which counts as warm."""

    number: int
    up: bool = True
    born: float = 0.0
    running: list[Attempt] = field(default_factory=list)
    taken: list[tuple[float, float]] = field(default_factory=list)  # of the last second, while cold

    def part(self, now: float) -> float:
        """Return the part of its full capacity that the engine has at `now`: 1 when warm, before that growing from
        COLD with the square of its age."""
        age = now - self.born
        return 1.0 if self.born == 0.0 or age >= WARM_MS else COLD + (1.0 - COLD) * (age / WARM_MS) ** 2


@dataclass(slots=True)
class Disk:
    """A coordinator's store, which outlives its processes."""

    id: int
    life: int = 1
    generation: int = 0
    entries: dict[bytes, bytes] = field(default_factory=dict)
    fate: str = "kept"  # at the next start: kept, lost, week (an older copy that the store itself can't tell), dead
    week: tuple[int, dict[bytes, bytes]] = (0, {})


class Coordinator:
    """One coordinator: its process while it lives, with the parts tied together as in the program, but no sockets."""

    def __init__(self, world: World, number: int) -> None:
        self.w, self.number, self.name = world, number, f"c{number:03d}"
        self.disk = Disk(number)
        self.life = 0
        self.up = False
        self.numbers = 0
        self.records: dict[int, Record] = {}
        self.spoken: int = 0  # the bus's last number here

    # Lives.

    def start(self, first: bool = False) -> None:
        """Start the process, with recovery unless the run is naive; without effect if it is up. `first`: the start
        of the run, which does not count as a return after a loss."""
        if self.up:
            return
        w, now = self.w, self.w.now
        if not first:
            w.returns.append(now)
        self.life, self.up, self.records, self.spoken = self.life + 1, True, {}, 1
        terms = settings(w.count, self.number, w.cold)
        self.c = Controller(terms, w.seed * 1_000 + self.number)
        self.warming: Warming | None = None
        self.told: dict[int, float] = dict.fromkeys(range(len(w.engines)), 0.0)  # starts as the bus has told them
        self.rights = QuotaAccount(UNITS_EACH, WINDOW_MS, LEASE_MS, DRIFT, now)
        self.node: RecoveryNode | None = None
        self.waits: dict[int, Record] = {}
        self.service_at = 0.0
        self.opened_at = now if w.naive or first else 0.0
        self.withheld: set[int] = set()
        self.engines: dict[int, float] = dict.fromkeys(range(len(w.engines)), 0.0)  # number, start as it is believed
        self.tell_list()
        if w.cold:
            self.warming = Warming(self.number, w.seeds, terms, w.secrets.randbytes(16), now, EPOCH + now, self.carried)
            w.at(now, self.warm, self.life)
            self.warming.cold.on_blocked = lambda: w.at(w.now, self.keep)
        if not w.naive:
            self.begin_recovery(first)
        if w.bus_up:
            w.at(now + 50.0, self.on_bus, self.life)

    def begin_recovery(self, first: bool) -> None:
        """Create the intake and the recovery node, and schedule the opening of the store (by its drawn fate), the
        binding of the fleet's port and the recovery's timer."""
        w, now, disk = self.w, self.w.now, self.disk
        classes = tuple(
            RequestClass(k[2], k[3] != Idempotency.NON_IDEMPOTENT, 0.4, k[0], k[0] * k[4] / 2) for k in KINDS
        )
        self.intake = RecoveryAdmission(
            classes, SlowStartCurve(COLD, WARM_MS), 1.0 / w.count, 512, w.seed + self.number, RETRY_MS
        )
        self.node = RecoveryNode(
            RecoverySettings(
                self.name,
                w.seeds,
                StageTimeouts(),
                CooldownSettings(LEASE_MS * (1 + DRIFT) / (1 - DRIFT) + WINDOW_MS * (1 + DRIFT), 600_000.0),
                first_start=first,
            ),
            now,
            EPOCH + now,
            w.seed * 77 + self.number * 13 + self.life,
        )
        self.listed()
        fate, disk.fate = disk.fate, "kept"
        fresh = first
        if fate == "dead":
            opened = OpenedStore("unreadable", False, False)
        else:
            if fate == "lost":
                disk.life, disk.generation, disk.entries, fresh = 1, 0, {}, True
            elif fate == "week":
                disk.generation, disk.entries = disk.week[0], dict(disk.week[1])
            opened = OpenedStore(
                "fresh" if fresh else "good",
                True,
                not fresh,
                fresh,
                wire.StoreState(
                    disk.id.to_bytes(16, "big") if fate != "lost" else w.random.randbytes(16),
                    disk.life,
                    disk.generation,
                ),
                tuple(sorted(disk.entries.items())),
            )
        w.at(now + 30.0, self.on_store, self.life, opened)
        w.at(now + 60.0, self.on_port, self.life)
        w.at(now + 80.0, self.turn, self.life)

    def kill(self) -> None:
        """End the process: its attempts vanish from the engines, and clients without an answer see their connections
        break. Without effect if it is down."""
        if not self.up:
            return
        self.up = False
        for record in self.records.values():
            for attempt in record.attempts:
                self.w.engines[attempt.engine].running = [
                    a for a in self.w.engines[attempt.engine].running if a is not attempt
                ]
            if not record.answered:
                self.w.broken(record.client)
        self.records = {}

    # Cold engines' rights, as in fleet/slow_start_service.py.

    def keep(self) -> None:
        """Pass between store and cold engines' rights whether any are lent or wanted, so that a next life may know."""
        if self.up and self.warming is not None and self.node is not None:
            self.node.on_rights_idle(self.warming.cold.idle)
            self.warming.cold.set_store_state(
                self.w.now, self.node.idle_mark.marked, self.node.idle_mark.cooldown_waived
            )
            self.drain()

    def carried(self, target: int, data: bytes) -> None:
        """Send a datagram of the fleet node over the simulated network."""
        self.w.post(self.number, target, data, True)

    def warm(self, life: int) -> None:
        """Run the timer of cold engines' rights, tell the decision module its parts, and schedule the next turn.
        Ignored if it was scheduled by an earlier life, as are all timers here."""
        if life != self.life or not self.up or self.warming is None:
            return
        born = {number: at and EPOCH + at for number, at in self.told.items()}
        words = self.warming.tick(self.w.now, EPOCH + self.w.now, self.c, born)
        if words is not None:
            self.tell(words)
        self.w.at(self.warming.due(self.w.now), self.warm, life)

    # Recovery's ties, as in recovery/service.py.

    def listed(self) -> None:
        """Tell the recovery node the list of engines as it stands here."""
        assert self.node is not None
        self.node.on_engine_list(
            EPOCH + self.w.now,
            self.spoken,
            {
                f"e{n}": wire.ListedEngine(
                    f"e{n}",
                    "127.0.0.1:1",
                    "",
                    "",
                    0,
                    1,
                    1.0,
                    born and EPOCH + born,
                    self.told.get(n, 0.0) and EPOCH + self.told[n],
                )
                for n, born in self.engines.items()
            },
        )

    def on_store(self, life: int, opened: OpenedStore) -> None:
        """Tell the recovery node how the store was found."""
        if life == self.life and self.up and self.node:
            self.node.on_store_opened(self.w.now, EPOCH + self.w.now, opened)
            self.drain()

    def on_port(self, life: int) -> None:
        """Tell the recovery node that the fleet's port is bound."""
        if life == self.life and self.up and self.node:
            self.node.on_port_bound(self.w.now, EPOCH + self.w.now, int(self.w.now) + 1)
            self.drain()

    def turn(self, life: int) -> None:
        """Run the recovery's timer: report rested rights and the backlog, tick, and carry out what the intake
        decides. It comes again after TURN_MS, or once recovery is over when the node is due (5 to 250 ms later)."""
        node, now = self.node, self.w.now
        if life != self.life or not self.up or node is None:
            return
        unix = EPOCH + now
        if now - node.started_at >= node.settings.cooldowns.rights_ms:
            node.on_cooldown_over(now, unix)
        if not node.stages.finished:
            self.intake.engines = tuple(
                Bearing(e.cores, e.entry.since_ms) for e in self.c.engines.values() if e.ready and not e.ejected
            )
            if node.stages.stage < Stage.SERVICE:
                self.intake.expected_start = unix + max(0.0, node.stages.next_due() - now)
            elif not self.service_at:
                self.service_at, self.intake.service_started = unix, True
            elif unix - self.service_at >= 1_000.0:
                self.intake.admits_non_idempotent = True
            node.on_backlog(now, unix, len(self.intake.waiting), self.intake.warm_ratio(unix))
        node.tick(now, unix)
        self.keep()
        self.drain()
        if not node.stages.finished:
            self.carry(self.intake.poll(unix))
        self.w.at(
            now + (TURN_MS if not node.stages.finished else min(250.0, max(5.0, node.next_due() - now))),
            self.turn,
            life,
        )

    def drain(self) -> None:
        """Carry out the recovery node's messages and effects until none are left, then begin to write its next
        batch, which takes 0.5 to 6 ms."""
        node = self.node
        assert node is not None
        while node.outputs.pending:
            for name, data in node.outputs.take_messages():
                self.w.post(self.number, int(name[1:]), data)
            for effect in node.outputs.take_effects():
                self.effect(effect)
        if (batch := node.next_batch()) is not None:
            self.w.at(self.w.now + self.w.random.uniform(0.5, 6.0), self.on_disk, self.life, batch)

    def on_disk(self, life: int, batch: dict[bytes, bytes | None]) -> None:
        """Store a written batch and tell the recovery node; if the process was killed before, nothing of it is
        stored."""
        if life != self.life or not self.up or self.node is None:
            return  # the loss came first: nothing of the batch is there
        for key, value in batch.items():
            if value is None:
                self.disk.entries.pop(key, None)
            else:
                self.disk.entries[key] = value
        self.disk.generation += 1
        self.node.on_batch_written(self.w.now, EPOCH + self.w.now, True)
        self.keep()
        self.drain()

    def effect(self, effect: Any) -> None:
        """Carry out one effect of the recovery node: a stage that began, engines' starts, an agreed list of engines,
        or the outcome of a load's claim."""
        now = EPOCH + self.w.now
        if isinstance(effect, StageTransition):
            if effect.stage is Stage.OPEN:
                self.opened_at = self.w.now
                self.carry(self.intake.open_gate())
        elif isinstance(effect, MarkRestarted):
            self.engines.update({int(name[1:]): start - EPOCH for name, start in effect.starts.items()})
            self.tell_list()
            self.listed()
        elif isinstance(effect, agreement.AgreedState):
            if effect.has_quorum and effect.last_event > self.spoken and effect.engines:
                self.spoken = effect.last_event
                for engine in effect.engines:
                    born = engine.started_ms - EPOCH if engine.started_ms else 0.0
                    number = int(engine.name[1:])
                    self.engines[number] = max(self.engines.get(number, 0.0), born)
            self.withheld = {int(name[1:]) for name in effect.withheld}
            self.tell_list()
            self.listed()
        elif isinstance(effect, ClaimResolved) and effect.number in self.waits:
            if effect.outcome == ClaimOutcome.GRANTED:
                self.intake.grant_ticket(effect.number)
                self.carry(self.intake.poll(now))
            else:
                if effect.outcome == ClaimOutcome.NO_QUORUM and self.node and not self.node.stages.finished:
                    self.w.at(self.w.now + 250.0, self.claim, self.life, effect.number)
                    return
                record = self.waits.pop(effect.number)
                self.w.counted[f"claim_{effect.outcome.replace(' ', '_')}"] += 1
                self.answer(
                    record,
                    "failed" if effect.outcome == ClaimOutcome.MAY_HAVE_RUN else "refused",
                    self.intake.retry_after_ms(
                        now, now + (1_000.0 if effect.outcome == ClaimOutcome.NO_QUORUM else math.inf)
                    ),
                )

    def carry(self, outs: list[AdmissionDecision]) -> None:
        """Admit or refuse waiting requests, as the intake has decided."""
        for out in outs:
            record = self.waits.pop(out.number, None)
            if record is not None and not record.answered:
                if out.admitted:
                    self.admit(record)
                else:
                    self.w.counted["refused_at_gate"] += 1
                    self.answer(record, "refused", out.retry_ms)

    # Requests.

    def take(self, client: Client) -> None:
        """Take a request of a client: it is admitted at once, or waits at the intake during recovery. A load that
        may run only once claims its ticket first, also after recovery."""
        self.numbers += 1
        record = self.records[self.numbers] = Record(self.numbers, client, self, self.life, self.w.now)
        if self.node is None:
            self.admit(record)
            return
        once = KINDS[client.cls][3] == Idempotency.NON_IDEMPOTENT
        if self.intake.open and not once:
            self.admit(record)
            return
        self.waits[record.number] = record
        outs = self.intake.submit(
            EPOCH + self.w.now, record.number, client.cls, 0, client.ends - self.w.now, client.cost, not once
        )
        self.carry(outs)
        if once:
            self.claim(self.life, record.number)

    def claim(self, life: int, number: int) -> None:
        """Claim a waiting load's ticket in the fleet; the outcome comes as an effect."""
        if life == self.life and self.up and self.node and (record := self.waits.get(number)) is not None:
            self.node.loads.claim(self.w.now, EPOCH + self.w.now, number, f"{record.client.id:x}")
            self.drain()

    def admit(self, record: Record) -> None:
        """Pass a request to the decision module. One of the tenant `blue` spends a unit of the shared budget, and is
        marked as over it if there is none."""
        client, over = record.client, False
        if client.blue:
            over = not self.rights.spend(self.w.now, 1)
            if not over:
                self.w.spends.append(self.w.now)
        self.tell(
            policy.RequestArrived(
                record.number, client.cls, 0, 0, client.ends - self.w.now, client.cost, 0.0, -1.0, over
            )
        )

    def tell_list(self) -> None:
        """Give the decision module the full list of engines, with the withheld ones as draining."""
        self.tell(
            policy.EndpointListUpdated(
                EndpointListKind.FULL,
                self.spoken,
                tuple(
                    EngineEntry(
                        n, 0, 0, 0, Health.DRAINING if n in self.withheld else Health.READY, 1.0, born and EPOCH + born
                    )
                    for n, born in sorted(self.engines.items())
                ),
            )
        )

    def on_bus(self, life: int) -> None:
        """Take all engines' starts from the bus; withheld engines are usable from then on. Ignored while the bus is
        down."""
        if life != self.life or not self.up or not self.w.bus_up:
            return
        self.spoken = self.w.bus_number
        for engine in self.w.engines:
            self.engines[engine.number] = max(self.engines.get(engine.number, 0.0), engine.born)
            self.told[engine.number] = engine.born
        self.withheld = set()
        self.tell_list()
        if self.node is not None:
            self.listed()
            self.drain()

    def tell(self, event: Any) -> None:
        """Pass an event to the decision module and carry out its actions: reminders, sends, answers, cancellations.
        A send to a cold engine that can't be paid for ends at once as MOOT, before its first byte."""
        for action in self.c.handle(EPOCH + self.w.now, event):
            if isinstance(action, policy.SetTimer):
                self.w.at(max(self.w.now, action.due_at_ms - EPOCH), self.due, self.life, action.token)
            elif isinstance(action, policy.StartAttempt):
                record = self.records[action.request]
                attempt = Attempt(record, len(record.attempts), action.engine, self.w.now, record.client.cost)
                record.attempts.append(attempt)
                born = self.told[action.engine]
                if self.warming is not None and not self.warming.pays(
                    self.w.now, EPOCH + self.w.now, self.c, record.number, action.engine, born and EPOCH + born
                ):
                    attempt.paid = False
                    self.w.counted["cold_unpaid"] += 1
                    self.w.at(self.w.now, self.ended, self.life, attempt, AttemptOutcome.NOT_SENT)
                    continue
                self.w.at(self.w.now + 1.0, self.w.arrive, self, self.life, attempt)
            elif isinstance(action, policy.RejectRequest):
                self.answer(self.records.get(action.request), "refused", action.retry_after_ms)
            elif isinstance(action, policy.FailRequest):
                self.answer(self.records.get(action.request), "failed")
            elif isinstance(action, policy.CancelAttempt):
                record = self.records.get(action.request)
                if record is not None:
                    attempt = record.attempts[action.attempt]
                    engine = self.w.engines[attempt.engine]
                    if attempt in engine.running:
                        engine.running.remove(attempt)
                        self.w.at(self.w.now + 1.0, self.ended, self.life, attempt, AttemptOutcome.CANCELLED)

    def due(self, life: int, token: int) -> None:
        """Deliver a reminder to the decision module."""
        if life == self.life and self.up:
            self.tell(policy.TimerFired(token))

    def ended(self, life: int, attempt: Attempt, verdict: int) -> None:
        """Tell the recovery node and the decision module that an attempt has ended; with the verdict OK the request
        is answered first. Ignored if the attempt is of an earlier life."""
        if life != self.life or not self.up:
            return
        record = attempt.record
        if self.node is not None and attempt.paid and verdict in (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED):
            self.node.on_attempt_ended(
                EPOCH + self.w.now, f"e{attempt.engine}", verdict == AttemptOutcome.CONNECT_FAILED
            )
            self.drain()
        if verdict == AttemptOutcome.OK:
            self.answer(record, "served")
        self.tell(
            policy.AttemptEnded(
                record.number,
                attempt.number,
                attempt.engine,
                verdict,
                self.w.now - attempt.sent,
                record.answered,
                0.0,
                0.0,
                (),
            )
        )

    def answer(self, record: Record | None, how: str, retry_ms: float = 0.0) -> None:
        """Answer a request, `served`, `refused` or `failed`, unless it has been. `retry_ms`: the advised wait, 0 for
        none."""
        if record is None or record.answered:
            return
        record.answered = True
        if self.node is not None:
            self.waits.pop(record.number, None)
            self.intake.remove(record.number)
            ran = any(attempt.paid for attempt in record.attempts) and how != "refused"
            self.node.loads.on_load_ended(self.w.now, EPOCH + self.w.now, record.number, ran)
            self.drain()
        if len(self.records) > 4_096:
            self.records = {n: r for n, r in self.records.items() if not r.answered or n > self.numbers - 1_024}
        self.w.told(record.client, how, retry_ms)


class World:
    """One run: clients, coordinators, engines, bus and network in simulated time (ms)."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        script: Script | None = None,
        naive: bool = False,
        seconds: float = 45.0,
        mixed: bool = True,
        cold: bool | None = None,
    ) -> None:
        """`naive`: coordinators start without recovery; `mixed`: runs are drawn in which some coordinators keep
        power, stores are unreadable, or a second loss comes; `cold`: cold engines' budgets are rights of the fleet,
        None: exactly where there is recovery."""
        self.random, self.draw = random.Random(seed), random.Random(seed + 1)
        self.secrets = random.Random(seed + 3)
        self.cold = not naive if cold is None else cold
        self.count, self.seed, self.naive, self.seconds = nodes, seed, naive, seconds
        self.script = script = script or Script()
        self.message_faults = MessageFaults(script, seed + 2)
        self.now, self.order = 0.0, 0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.engines = [Engine(n) for n in range(max(3, nodes // 6))]
        self.seeds = tuple(f"c{n:03d}" for n in range(min(nodes, SEEDS)))
        self.bus_up, self.bus_number = True, 1
        self.counted: Counter[str] = Counter()
        self.spends: list[float] = []
        self.served: list[float] = []  # times
        self.began: Counter[int] = Counter()  # of loads, by ticket: so often an engine took them
        self.clients: list[Client] = []
        self.overruns = 0
        self.returns: list[float] = []  # of coordinators, after a loss
        self.coordinators = [Coordinator(self, n) for n in range(nodes)]
        self.rate = LOAD * len(self.engines) * CORES / MEAN  # requests in a ms
        self.events = 0
        for coordinator in self.coordinators:
            coordinator.start(first=True)
        self.members()
        self.scenario(mixed)
        self.at(0.0, self.arrivals)
        self.at(STEP_MS, self.step)

    def scenario(self, mixed: bool) -> None:
        """Draw from the seed and schedule who loses power, the stores' fates and when all come back, and schedule
        the script's kills and starts."""
        draw, loss = self.draw, LOSS_S * 1_000.0
        lost = list(range(self.count))
        if mixed and draw.random() < 0.3:  # some keep running
            lost = draw.sample(lost, max(1, int(self.count * draw.uniform(0.4, 0.9))))
        for number in lost:
            self.at(loss + draw.uniform(0.0, 1_000.0), self.coordinators[number].kill)
            self.at(loss + 1_000.0 * (BACK_S + draw.uniform(0.0, OVER_S)), self.coordinators[number].start)
        self.back = loss + BACK_S * 1_000.0
        for number in draw.sample(lost, min(len(lost), max(2, len(lost) // 10))):
            self.coordinators[number].disk.fate = "lost"
        for number in draw.sample(lost, max(1, len(lost) // 10)):
            if self.coordinators[number].disk.fate == "kept":
                self.coordinators[number].disk.fate = "week"
        if mixed and draw.random() < 0.2:
            self.coordinators[draw.choice(lost)].disk.fate = "dead"
        self.at(3_000.0, self.snapshot)
        for engine in self.engines:
            self.at(loss + draw.uniform(0.0, 1_000.0), self.fall, engine, False, draw.uniform(2_000.0, 4_000.0))
        self.at(loss, self.bus, False)
        self.at(loss + draw.uniform(*BUS_MS), self.bus, True)
        if mixed and draw.random() < 0.3:  # a loss during recovery
            again = loss + 1_000.0 * (BACK_S + draw.uniform(2.0, 12.0))
            for number in draw.sample(range(self.count), max(1, self.count // 2)):
                self.at(again, self.coordinators[number].kill)
                self.at(again + draw.uniform(500.0, 4_000.0), self.coordinators[number].start)
        for act in self.script.acts:
            if act.kind in ("kill", "start"):
                self.at(act.at * 1_000.0, getattr(self.coordinators[act.node], act.kind))
        for edge in {r.begins for r in self.script.rules} | {r.ends for r in self.script.rules}:
            if edge < self.seconds:
                self.at(edge * 1_000.0, self.changed)

    # Time.

    def at(self, when: float, call: Callable[..., None], *words: Any) -> None:
        """Schedule a call at a simulated time in ms; calls of one time run in the order in which they were
        scheduled."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, call, words))

    def run(self) -> World:
        """Play the run until `seconds` of simulated time and return self."""
        until = self.seconds * 1_000.0
        while self.queue and self.queue[0][0] <= until:
            at, _, call, words = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            self.events += 1
            call(*words)
            if call.__name__ in ("kill", "start"):
                self.changed()
        self.now = until
        return self

    # The network, and who sees whom.

    def post(self, source: int, target: int, data: bytes, fleet: bool = False) -> None:
        """Send a datagram over the simulated network. `fleet`: it is for the fleet node, else for the recovery node."""
        for delay in self.message_faults.draw_delays(self.now / 1_000.0, source, target):
            self.at(self.now + delay + self.random.uniform(0.3, 3.0), self.deliver, source, target, data, fleet)

    def deliver(self, source: int, target: int, data: bytes, fleet: bool) -> None:
        """Hand a datagram to the node that it is for; it is lost if that process is down or has no such node."""
        there = self.coordinators[target]
        if fleet and there.up and there.warming is not None:
            there.warming.hear(self.now, source, data)
        elif not fleet and there.up and there.node is not None:
            there.node.on_message(self.now, EPOCH + self.now, self.coordinators[source].name, data)
            there.drain()

    def changed(self) -> None:
        """Schedule an update of the membership SEEN_MS later, after a start, a kill or an edge of the script."""
        self.at(self.now + SEEN_MS, self.members)

    def members(self) -> None:
        """Tell each recovery node which others are up and on its side of a cut, and its intake its share. Naive runs
        have no membership."""
        if self.naive:
            return
        side: dict[int, int] = {}
        for rule in self.message_faults._active_rules(max(self.now / 1_000.0, 0.0)):
            if rule.kind == "cut":
                side.update({n: place for place, group in enumerate(rule.groups) for n in group})
        for one in self.coordinators:
            if not one.up or one.node is None:
                continue
            seen = {
                o.name
                for o in self.coordinators
                if o.up
                and o is not one
                and (o.number not in side or one.number not in side or side[o.number] == side[one.number])
            }
            for name in sorted(seen ^ one.node.alive):
                one.node.on_member(self.now, EPOCH + self.now, name, name in seen)
            one.intake.share = 1.0 / (1 + len(seen))
            one.drain()

    def snapshot(self) -> None:
        """Copy each store, as the older copy that some find after the loss."""
        for one in self.coordinators:
            one.disk.week = one.disk.generation, dict(one.disk.entries)

    def bus(self, up: bool) -> None:
        """Take the bus down, or up again: then it tells each coordinator of the engines 10 to 200 ms later."""
        self.bus_up = up
        if up:
            self.bus_number += 1
            for one in self.coordinators:
                self.at(self.now + self.random.uniform(10.0, 200.0), one.on_bus, one.life)

    # Engines.

    def fall(self, engine: Engine, tipped: bool, down_ms: float) -> None:
        """Take an engine down for `down_ms`: its attempts end as RESET. `tipped`: it fell from too much work while
        cold, which counts as an overrun. Without effect if it is down."""
        if not engine.up:
            return
        engine.up = False
        self.overruns += tipped
        running, engine.running, engine.taken = engine.running, [], []
        for attempt in running:
            self.at(self.now + 1.0, attempt.record.at.ended, attempt.record.life, attempt, AttemptOutcome.RESET)
        self.at(self.now + down_ms, self.rise, engine)

    def rise(self, engine: Engine) -> None:
        """Start an engine again, cold; if the bus is up it tells each coordinator 10 to 200 ms later."""
        engine.up, engine.born = True, self.now
        if self.bus_up:
            self.bus_number += 1
            for one in self.coordinators:
                self.at(self.now + self.random.uniform(10.0, 200.0), one.on_bus, one.life)

    def arrive(self, one: Coordinator, life: int, attempt: Attempt) -> None:
        """Deliver an attempt's first byte to its engine: it starts to run, or ends as CONNECT_FAILED if the engine
        is down. A cold engine that within 1 s was given more than TIP times its present capacity falls."""
        if life != one.life or not one.up or attempt.record.answered:
            return
        engine, client = self.engines[attempt.engine], attempt.record.client
        if not engine.up:
            self.at(self.now + 5.0, one.ended, life, attempt, AttemptOutcome.CONNECT_FAILED)
            return
        if KINDS[client.cls][3] == Idempotency.NON_IDEMPOTENT:
            self.began[client.id] += 1
        engine.running.append(attempt)
        if engine.born > 0.0 and self.now - engine.born < WARM_MS:
            engine.taken = [(at, work) for at, work in engine.taken if at > self.now - 1_000.0]
            engine.taken.append((self.now, attempt.left))
            if sum(work for _, work in engine.taken) > TIP * CORES * engine.part(self.now) * 1_000.0:
                self.fall(engine, True, DOWN_MS)

    def step(self) -> None:
        """Advance all engines by STEP_MS: the cores are divided evenly among the attempts, none of which can use
        more than the threads of its class."""
        for engine in self.engines:
            if engine.running:
                each = CORES * engine.part(self.now) / len(engine.running)
                done = []
                for attempt in engine.running:
                    attempt.left -= STEP_MS * min(float(KINDS[attempt.record.client.cls][4]), each)
                    if attempt.left <= 0.0:
                        done.append(attempt)
                if done:
                    engine.running = [attempt for attempt in engine.running if attempt.left > 0.0]
                    for attempt in done:
                        attempt.record.at.ended(attempt.record.life, attempt, AttemptOutcome.OK)
        self.at(self.now + STEP_MS, self.step)

    # Clients.

    def arrivals(self) -> None:
        """Create one client with a drawn class and cost, and schedule the next (exponential gaps at `rate`)."""
        draw = self.draw
        cls = draw.choices(range(len(KINDS)), [kind[6] for kind in KINDS])[0]
        cost = KINDS[cls][5] * min(4.0, draw.lognormvariate(-0.125, 0.5))
        client = Client(
            len(self.clients) + 1, cls, cost, self.now + KINDS[cls][1], draw.random() < 0.2, draw.randrange(self.count)
        )
        self.clients.append(client)
        self.at(self.now, self.call, client)
        if self.now < self.seconds * 1_000.0 - 21_000.0 or self.now < 1e9:
            self.at(self.now + draw.expovariate(self.rate), self.arrivals)

    def call(self, client: Client) -> None:
        """Send a client's request to its coordinator; if that is down to another one, 100 to 300 ms later. A client
        gives up 50 ms before its deadline."""
        if client.over:
            return
        if self.now >= client.ends - 50.0:
            client.over = "gave up"
            return
        client.calls += 1
        one = self.coordinators[client.home]
        if not one.up:  # nobody listens: another one, soon
            client.home = self.random.randrange(self.count)
            self.at(self.now + self.random.uniform(100.0, 300.0), self.call, client)
        else:
            client.asked = True
            one.take(client)

    def broken(self, client: Client) -> None:
        """Break a client's connection: it asks again with the same id, at a drawn coordinator, 100 to 400 ms later."""
        client.asked = False
        client.home = self.random.randrange(self.count)
        self.at(self.now + self.random.uniform(100.0, 400.0), self.call, client)

    def told(self, client: Client, how: str, retry_ms: float) -> None:
        """Give a client its answer. After a refusal, or the failure of a repeatable request, it asks again once the
        advised wait is over (100 to 300 ms if there is none); a load that failed does not come again."""
        client.asked = False
        if how == "served":
            client.over, client.early = "served", self.now < LOSS_S * 1_000.0
            self.served.append(self.now)
        elif how == "refused" or KINDS[client.cls][3] != Idempotency.NON_IDEMPOTENT:
            client.refusals += how == "refused"
            self.counted[how] += self.now >= LOSS_S * 1_000.0
            if how == "refused" and retry_ms <= 0.0:
                client.home = self.random.randrange(self.count)
            self.at(self.now + (retry_ms or self.random.uniform(100.0, 300.0)), self.call, client)
        else:
            client.over = "failed"
            self.counted["loads_failed"] += 1


def oracle_s(world: World, shares: bool = False) -> float | None:
    """Return the `recovered_s` of an ideal scheduler, which from the first return on knows the warm-up curve and all
    requests, and takes the smallest first; None if no coordinator returns or it does not recover.

    It has one pool of all engines, in which a request uses as many cores as its class may. `shares`: besides, no
    more work starts in a second than the budgets of cold engines allow, of which only the parts of coordinators that
    are back are in use.
    """
    loss = LOSS_S * 1_000.0
    served, live, at = [t for t in world.served if t < loss], list[tuple[float, Client]](), loss
    come = iter(sorted(((c.ends - KINDS[c.cls][1], c) for c in world.clients), key=lambda pair: pair[0]))
    begun, after = sorted(world.returns), next(come, None)
    sparse = world.coordinators[0].c.fractional_share
    while at < world.seconds * 1_000.0 and begun:
        while after is not None and after[0] <= at:
            if after[0] >= loss or not after[1].early:
                live.append((after[1].cost, after[1]))
            after = next(come, None)
        live = sorted((pair for pair in live if pair[1].ends - 50.0 > at), key=lambda pair: pair[0])
        bears = STEP_MS * sum(CORES * e.part(at) for e in world.engines if 0.0 < e.born <= at)
        if shares:
            back = sum(start <= at for start in begun) / world.count
            bears = (
                min(bears, bears * back * 0.85 * SLOW_START_SAFETY[sparse] * TIP) if at < begun[0] + WARM_MS else bears
            )
        left = []
        for work, client in live if at >= begun[0] else ():
            does = min(work, bears, STEP_MS * KINDS[client.cls][4])
            bears -= does
            if work > does:
                left.append((work - does, client))
            else:
                served.append(at + STEP_MS)
        live, at = (left if at >= begun[0] else live), at + STEP_MS
    return recovered_s(world, served) if begun else None


def recovered_s(world: World, served: list[float] | None = None) -> float | None:
    """Return the seconds from when coordinators may start again until nine tenths of the goodput before the loss are
    reached, both in the first and in the last OVER_MS of a span of STAYS_MS; None if that never happens in the run.
    `served`: times in ms, else the run's own."""
    times, loss = world.served if served is None else served, LOSS_S * 1_000.0
    before = sum(2_000.0 <= at < loss for at in times) / (loss - 2_000.0)
    at, last = world.back, world.seconds * 1_000.0 - STAYS_MS
    while at <= last:
        if all(
            sum(begin <= t < begin + OVER_MS for t in times) / OVER_MS >= NINE_TENTHS * before
            for begin in (at, at + STAYS_MS - OVER_MS)
        ):
            return round((at - world.back) / 1_000.0, 2)
        at += 250.0
    return None


def measure(world: World) -> dict[str, Any]:
    """Return the figures of a run; names that end in `_s` are in seconds."""
    late = [c for c in world.clients if c.asked and not c.over and world.now > c.ends + 1_000.0]
    shut = (
        0
        if world.naive
        else sum(
            one.up
            and one.node is not None
            and not one.node.stages.finished
            and world.now - one.node.started_at > one.node.settings.timeouts.total_ms
            for one in world.coordinators
        )
    )
    over, most = excess(sorted(world.spends), UNITS_EACH * world.count, WINDOW_MS)
    weak: Counter[str] = Counter()
    for one in world.coordinators:
        if one.up and one.node is not None:
            weak.update(stage.name.lower() for stage in one.node.stages.timed_out)
    return {
        "nodes": world.count,
        "seed": world.seed,
        "overspend": over,
        "most_in_a_window": most,
        "cold_overruns": world.overruns,
        "loads_doubled": sum(n > 1 for n in world.began.values()),
        "recovered_s": recovered_s(world),
        "oracle_s": oracle_s(world),
        "oracle_shares_s": oracle_s(world, True),
        "refused": world.counted["refused"],
        "stuck": len(late) + shut,
        "requests": len(world.clients),
        "served": len(world.served),
        "gave_up": sum(c.over == "gave up" for c in world.clients),
        "failed": world.counted["loads_failed"],
        "weak": dict(sorted(weak.items())),
        "counted": dict(sorted(world.counted.items())),
        "events": world.events,
    }


def compare(
    nodes: int,
    seed: int,
    script: Script | None = None,
    seconds: float = 45.0,
    mixed: bool = True,
    naive: bool = True,
    cold: bool = True,
) -> tuple[dict[str, Any], World, World | None]:
    """Run a world with recovery and, if `naive`, one without on the same seed; return the figures (those of the
    second with the prefix `naive_`) and both worlds."""
    world = World(nodes, seed, script, False, seconds, mixed, cold).run()
    figures = measure(world)
    other = World(nodes, seed, script, True, seconds, mixed).run() if naive else None
    if other is not None:
        plain = measure(other)
        figures |= {
            f"naive_{key}": plain[key]
            for key in (
                "recovered_s",
                "refused",
                "cold_overruns",
                "loads_doubled",
                "overspend",
                "served",
                "gave_up",
                "stuck",
            )
        }
    return figures, world, other
