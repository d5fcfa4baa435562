"""Emulator of power losses: engines that fail when overloaded while cold, clients that retry, stores that are lost.

It simulates time, engines, clients, stores and the network, and measures the run. Coordinators are the decision module
and the recovery's cores, which do no I/O; with `naive` they start without recovery. The same arguments give the same
run. Figures use only what clients and engines can observe.

Power is lost at LOSS_S: processes and engines end within a second. Engines are back 2 to 4 s later and cold, the bus
3 to 9 s later; coordinators start spread over ten seconds, the first after 3 s. Members of the fleet see each other a
second late. With recovery, the budgets of cold engines are rights of the fleet, as with `[fleet] cold`, and paid at the
first byte. The naive start uses fixed shares and turns, as the decision module does without a fleet.
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
from frostspindle.lab.warming import ColdBudgets
from frostspindle.policy import AttemptOutcome, ClassSettings, EndpointListKind, EngineEntry, Health, Idempotency
from frostspindle.policy.controller import Controller
from frostspindle.policy.slow_start import SLOW_START_SAFETY
from frostspindle.recovery import agreement, wire
from frostspindle.recovery.admission import AdmissionDecision, RecoveryAdmission, RequestClass, SlowStartCurve
from frostspindle.recovery.admission import ReadyEngine as AdmissionEngine
from frostspindle.recovery.inputs import OpenedStore, RecoverySettings
from frostspindle.recovery.node import RecoveryNode
from frostspindle.recovery.outputs import ClaimResolved, MarkRestarted
from frostspindle.recovery.stages import Stage, StageTimeouts, StageTransition
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.tickets import ClaimOutcome

START_UNIX_MS = 1.7e12  # Unix time at the start of the run
LOSS_S, BACK_S, OVER_S = 8.0, 3.0, 10.0
CORES, WARM_MS, COLD, TIP, DOWN_MS = 8.0, 15_000.0, 0.3, 4.0, 4_000.0
MAX_RETRY_MS = 3_000.0
ENGINE_STEP_MS = 50.0
RECOVERY_TICK_MS = 50.0
LOAD = 0.55  # demand as a part of the engines' capacity
BUS_BACK_MS = (3_000.0, 13_000.0)  # after the loss, when the bus is up again
UNITS_EACH, WINDOW_MS, LEASE_MS, DRIFT = 3, 1_000.0, 2_000.0, 0.055
MEMBERSHIP_DELAY_MS = 1_000.0
MAX_SEEDS = 64
RECOVERED_RATIO, RECOVERED_WINDOW_MS, RECOVERED_SPAN_MS = 0.9, 2_000.0, 4_000.0
# lookups, reports, loads: aim, deadline, worth, effect, threads, mean work, part of the requests
CLASSES = (
    (1_500.0, 7_500.0, 1.0, Idempotency.IDEMPOTENT, 1, 400.0, 0.75),
    (4_000.0, 15_000.0, 4.0, Idempotency.IDEMPOTENT, 3, 2_400.0, 0.15),
    (5_000.0, 20_000.0, 3.0, Idempotency.NON_IDEMPOTENT, 2, 1_500.0, 0.10),
)
MEAN_WORK = sum(kind[5] * kind[6] for kind in CLASSES)


def settings(nodes: int, number: int, cold: bool = False) -> policy.Settings:
    """Return the decision module's settings for coordinator `number` of `nodes`. `cold`: the coordinators lease cold
    engines' budgets from each other, as workers of one coordinator do."""
    plain = policy.Settings(
        tuple(
            ClassSettings(
                aim, deadline, worth, 2.0, 0.4, effect, threads=threads, is_load=effect == Idempotency.NON_IDEMPOTENT
            )
            for aim, deadline, worth, effect, threads, _, _ in CLASSES
        ),
        coordinators=nodes,
        number=number,
        kind_cores=(CORES,),
        kind_memory_mb=(0.0,),
        priorities=True,
        may_cancel=True,
        retry_after=True,
        max_retry_after_ms=MAX_RETRY_MS,
        max_attempts=5,
        slow_start_capacity=COLD,
        slow_start_duration_ms=WARM_MS,
        slow_start_overload_ratio=TIP,
        slow_start_window_ms=1_000.0,
    )
    return dataclasses.replace(plain, workers=nodes) if cold else plain


@dataclass(slots=True, eq=False)
class Client:
    """The client of one request. `cost`: core-ms; `deadline`: in simulated ms."""

    id: int
    cls: int
    cost: float
    deadline: float
    blue: bool
    home: int
    outcome: str = ""
    calls: int = 0
    refusals: int = 0
    in_progress: bool = False  # a coordinator has the request and has not answered
    served_early: bool = False  # it was served before the loss


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request at an engine. `sent_at`: simulated ms; `remaining_work`: core-ms."""

    record: Record
    number: int
    engine: int
    sent_at: float
    remaining_work: float
    paid: bool = True  # its first byte was sent


@dataclass(slots=True, eq=False)
class Record:
    """A request at a coordinator. `incarnation`: of the process; `arrived_at`: simulated ms."""

    number: int
    client: Client
    coordinator: Coordinator
    incarnation: int
    arrived_at: float
    answered: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Engine:
    """A simulated engine. `started_at`: simulated ms of its last start; 0 for the first, which counts as warm."""

    number: int
    up: bool = True
    started_at: float = 0.0
    running: list[Attempt] = field(default_factory=list)
    # While the engine is cold: arrival time and work of the attempts of the last second.
    recent_arrivals: list[tuple[float, float]] = field(default_factory=list)

    def capacity_fraction(self, now: float) -> float:
        """Return the engine's capacity at `now` as a fraction of its full capacity.

        It grows from COLD with the square of the engine's age, and is 1 once the engine is warm.
        """
        age = now - self.started_at
        return 1.0 if self.started_at == 0.0 or age >= WARM_MS else COLD + (1.0 - COLD) * (age / WARM_MS) ** 2


@dataclass(slots=True)
class Disk:
    """A coordinator's store, which persists over restarts."""

    id: int
    incarnation: int = 1
    generation: int = 0
    entries: dict[bytes, bytes] = field(default_factory=dict)
    restart_state: str = "kept"  # at the next start: kept, lost, week (an older copy, undetected by the store), dead
    older_copy: tuple[int, dict[bytes, bytes]] = (0, {})


class Coordinator:
    """One coordinator: its process while it runs, with the parts connected as in the program, but without sockets."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number, self.name = world, number, f"c{number:03d}"
        self.disk = Disk(number)
        self.incarnation = 0
        self.up = False
        self.last_number = 0
        self.records: dict[int, Record] = {}
        self.last_bus_event: int = 0  # number of the last bus event applied here

    # Start and end of the process.

    def start(self, first: bool = False) -> None:
        """Start the process, with recovery unless the run is naive; without effect if it is up.

        `first`: the start of the run, which does not count as a return after a loss.
        """
        if self.up:
            return
        world, now = self.world, self.world.now
        if not first:
            world.return_times.append(now)
        self.incarnation, self.up, self.records, self.last_bus_event = self.incarnation + 1, True, {}, 1
        module_settings = settings(world.count, self.number, world.cold)
        self.controller = Controller(module_settings, world.seed * 1_000 + self.number)
        self.cold_budgets: ColdBudgets | None = None
        # Starts as announced by the bus.
        self.announced_starts: dict[int, float] = dict.fromkeys(range(len(world.engines)), 0.0)
        self.rights = QuotaAccount(UNITS_EACH, WINDOW_MS, LEASE_MS, DRIFT, now)
        self.node: RecoveryNode | None = None
        self.waiting_records: dict[int, Record] = {}
        self.service_at = 0.0
        self.opened_at = now if world.naive or first else 0.0
        self.withheld: set[int] = set()
        # By number: the start as known here.
        self.engines: dict[int, float] = dict.fromkeys(range(len(world.engines)), 0.0)
        self.update_controller_engines()
        if world.cold:
            self.cold_budgets = ColdBudgets(
                self.number,
                world.seeds,
                module_settings,
                world.secrets.randbytes(16),
                now,
                START_UNIX_MS + now,
                self.send_fleet_datagram,
            )
            world.at(now, self.tick_cold_budgets, self.incarnation)
            self.cold_budgets.cold.on_blocked = lambda: world.at(world.now, self.sync_idle_rights)
        if not world.naive:
            self.begin_recovery(first)
        if world.bus_up:
            world.at(now + 50.0, self.on_bus, self.incarnation)

    def begin_recovery(self, first: bool) -> None:
        """Create the admission and the recovery node, and schedule their inputs.

        The inputs are the opened store (in its drawn state), the bound port of the fleet and the timer of the recovery.
        """
        world, now, disk = self.world, self.world.now, self.disk
        classes = tuple(
            RequestClass(
                request_class[2],
                request_class[3] != Idempotency.NON_IDEMPOTENT,
                0.4,
                request_class[0],
                request_class[0] * request_class[4] / 2,
            )
            for request_class in CLASSES
        )
        self.admission = RecoveryAdmission(
            classes, SlowStartCurve(COLD, WARM_MS), 1.0 / world.count, 512, world.seed + self.number, MAX_RETRY_MS
        )
        self.node = RecoveryNode(
            RecoverySettings(
                self.name,
                world.seeds,
                StageTimeouts(),
                CooldownSettings(LEASE_MS * (1 + DRIFT) / (1 - DRIFT) + WINDOW_MS * (1 + DRIFT), 600_000.0),
                first_start=first,
            ),
            now,
            START_UNIX_MS + now,
            world.seed * 77 + self.number * 13 + self.incarnation,
        )
        self.update_recovery_engines()
        restart_state, disk.restart_state = disk.restart_state, "kept"
        is_new = first
        if restart_state == "dead":
            opened = OpenedStore("unreadable", False, False)
        else:
            if restart_state == "lost":
                disk.incarnation, disk.generation, disk.entries, is_new = 1, 0, {}, True
            elif restart_state == "week":
                disk.generation, disk.entries = disk.older_copy[0], dict(disk.older_copy[1])
            opened = OpenedStore(
                "fresh" if is_new else "good",
                True,
                not is_new,
                is_new,
                wire.StoreState(
                    disk.id.to_bytes(16, "big") if restart_state != "lost" else world.random.randbytes(16),
                    disk.incarnation,
                    disk.generation,
                ),
                tuple(sorted(disk.entries.items())),
            )
        world.at(now + 30.0, self.on_store, self.incarnation, opened)
        world.at(now + 60.0, self.on_port, self.incarnation)
        world.at(now + 80.0, self.tick_recovery, self.incarnation)

    def kill(self) -> None:
        """End the process; without effect if it is down.

        Its attempts are removed from the engines, and the connections of clients without an answer break.
        """
        if not self.up:
            return
        self.up = False
        for record in self.records.values():
            for attempt in record.attempts:
                self.world.engines[attempt.engine].running = [
                    a for a in self.world.engines[attempt.engine].running if a is not attempt
                ]
            if not record.answered:
                self.world.break_connection(record.client)
        self.records = {}

    # Rights in the budgets of cold engines, as in fleet/slow_start_service.py.

    def sync_idle_rights(self) -> None:
        """Exchange between the recovery node and the budgets of cold engines whether any rights are lent or requested.

        The store keeps this for the next incarnation.
        """
        if self.up and self.cold_budgets is not None and self.node is not None:
            self.node.on_rights_idle(self.cold_budgets.cold.idle)
            self.cold_budgets.cold.set_store_state(
                self.world.now, self.node.idle_mark.marked, self.node.idle_mark.cooldown_waived
            )
            self.drain()

    def send_fleet_datagram(self, target: int, data: bytes) -> None:
        """Send a datagram of the fleet node over the simulated network."""
        self.world.post(self.number, target, data, True)

    def tick_cold_budgets(self, incarnation: int) -> None:
        """Run the timer of cold engines' budgets, pass changed shares to the decision module, schedule the next tick.

        Ignored if it was scheduled by an earlier incarnation, as are all timers here.
        """
        if incarnation != self.incarnation or not self.up or self.cold_budgets is None:
            return
        started_ms = {number: start and START_UNIX_MS + start for number, start in self.announced_starts.items()}
        load_report = self.cold_budgets.tick(
            self.world.now, START_UNIX_MS + self.world.now, self.controller, started_ms
        )
        if load_report is not None:
            self.handle_event(load_report)
        self.world.at(self.cold_budgets.due(self.world.now), self.tick_cold_budgets, incarnation)

    # Inputs and effects of the recovery, as in recovery/service.py.

    def update_recovery_engines(self) -> None:
        """Pass this coordinator's list of engines to the recovery node."""
        assert self.node is not None
        self.node.on_engine_list(
            START_UNIX_MS + self.world.now,
            self.last_bus_event,
            {
                f"e{n}": wire.ListedEngine(
                    f"e{n}",
                    "127.0.0.1:1",
                    "",
                    "",
                    0,
                    1,
                    1.0,
                    started_at and START_UNIX_MS + started_at,
                    self.announced_starts.get(n, 0.0) and START_UNIX_MS + self.announced_starts[n],
                )
                for n, started_at in self.engines.items()
            },
        )

    def on_store(self, incarnation: int, opened: OpenedStore) -> None:
        """Report the opened store to the recovery node."""
        if incarnation == self.incarnation and self.up and self.node:
            self.node.on_store_opened(self.world.now, START_UNIX_MS + self.world.now, opened)
            self.drain()

    def on_port(self, incarnation: int) -> None:
        """Report to the recovery node that the fleet's port is bound."""
        if incarnation == self.incarnation and self.up and self.node:
            self.node.on_port_bound(self.world.now, START_UNIX_MS + self.world.now, int(self.world.now) + 1)
            self.drain()

    def tick_recovery(self, incarnation: int) -> None:
        """Run the recovery's timer: report a finished cooldown and the backlog, tick, and execute admission decisions.

        It runs again after RECOVERY_TICK_MS, or once recovery is finished when the node is due (5 to 250 ms later).
        """
        node, now = self.node, self.world.now
        if incarnation != self.incarnation or not self.up or node is None:
            return
        unix = START_UNIX_MS + now
        if now - node.started_at >= node.settings.cooldowns.rights_ms:
            node.on_cooldown_over(now, unix)
        if not node.stages.finished:
            self.admission.engines = tuple(
                AdmissionEngine(e.cores, e.entry.since_ms)
                for e in self.controller.engines.values()
                if e.ready and not e.ejected
            )
            if node.stages.stage < Stage.SERVICE:
                self.admission.expected_start = unix + max(0.0, node.stages.next_due() - now)
            elif not self.service_at:
                self.service_at, self.admission.service_started = unix, True
            elif unix - self.service_at >= 1_000.0:
                self.admission.admits_non_idempotent = True
            node.on_backlog(now, unix, len(self.admission.waiting), self.admission.warm_ratio(unix))
        node.tick(now, unix)
        self.sync_idle_rights()
        self.drain()
        if not node.stages.finished:
            self.execute_decisions(self.admission.poll(unix))
        self.world.at(
            now + (RECOVERY_TICK_MS if not node.stages.finished else min(250.0, max(5.0, node.next_due() - now))),
            self.tick_recovery,
            incarnation,
        )

    def drain(self) -> None:
        """Execute the recovery node's messages and effects until none are left, then start to write its next batch.

        The write takes 0.5 to 6 ms.
        """
        node = self.node
        assert node is not None
        while node.outputs.pending:
            for name, data in node.outputs.take_messages():
                self.world.post(self.number, int(name[1:]), data)
            for effect in node.outputs.take_effects():
                self.execute_effect(effect)
        if (batch := node.next_batch()) is not None:
            self.world.at(self.world.now + self.world.random.uniform(0.5, 6.0), self.on_disk, self.incarnation, batch)

    def on_disk(self, incarnation: int, batch: dict[bytes, bytes | None]) -> None:
        """Store a written batch and report it to the recovery node.

        If the process was killed before, nothing of the batch is stored.
        """
        if incarnation != self.incarnation or not self.up or self.node is None:
            return
        for key, value in batch.items():
            if value is None:
                self.disk.entries.pop(key, None)
            else:
                self.disk.entries[key] = value
        self.disk.generation += 1
        self.node.on_batch_written(self.world.now, START_UNIX_MS + self.world.now, True)
        self.sync_idle_rights()
        self.drain()

    def execute_effect(self, effect: Any) -> None:
        """Execute one effect of the recovery node.

        Effects are a stage transition, engines' starts, an agreed list of engines, and the outcome of a load's claim.
        """
        now = START_UNIX_MS + self.world.now
        if isinstance(effect, StageTransition):
            if effect.stage is Stage.OPEN:
                self.opened_at = self.world.now
                self.execute_decisions(self.admission.open_gate())
        elif isinstance(effect, MarkRestarted):
            self.engines.update({int(name[1:]): start - START_UNIX_MS for name, start in effect.starts.items()})
            self.update_controller_engines()
            self.update_recovery_engines()
        elif isinstance(effect, agreement.AgreedState):
            if effect.has_quorum and effect.last_event > self.last_bus_event and effect.engines:
                self.last_bus_event = effect.last_event
                for engine in effect.engines:
                    started_at = engine.started_ms - START_UNIX_MS if engine.started_ms else 0.0
                    number = int(engine.name[1:])
                    self.engines[number] = max(self.engines.get(number, 0.0), started_at)
            self.withheld = {int(name[1:]) for name in effect.withheld}
            self.update_controller_engines()
            self.update_recovery_engines()
        elif isinstance(effect, ClaimResolved) and effect.number in self.waiting_records:
            if effect.outcome == ClaimOutcome.GRANTED:
                self.admission.grant_ticket(effect.number)
                self.execute_decisions(self.admission.poll(now))
            else:
                if effect.outcome == ClaimOutcome.NO_QUORUM and self.node and not self.node.stages.finished:
                    self.world.at(self.world.now + 250.0, self.claim, self.incarnation, effect.number)
                    return
                record = self.waiting_records.pop(effect.number)
                self.world.counted[f"claim_{effect.outcome.replace(' ', '_')}"] += 1
                self.answer(
                    record,
                    "failed" if effect.outcome == ClaimOutcome.MAY_HAVE_RUN else "refused",
                    self.admission.retry_after_ms(
                        now, now + (1_000.0 if effect.outcome == ClaimOutcome.NO_QUORUM else math.inf)
                    ),
                )

    def execute_decisions(self, decisions: list[AdmissionDecision]) -> None:
        """Admit or refuse waiting requests as decided by the admission."""
        for decision in decisions:
            record = self.waiting_records.pop(decision.number, None)
            if record is not None and not record.answered:
                if decision.admitted:
                    self.admit(record)
                else:
                    self.world.counted["refused_at_gate"] += 1
                    self.answer(record, "refused", decision.retry_ms)

    # Requests.

    def accept_request(self, client: Client) -> None:
        """Accept a client's request: admit it at once, or queue it at the admission during recovery.

        A load that may run only once claims its ticket first, also after recovery.
        """
        self.last_number += 1
        record = self.records[self.last_number] = Record(
            self.last_number, client, self, self.incarnation, self.world.now
        )
        if self.node is None:
            self.admit(record)
            return
        non_idempotent = CLASSES[client.cls][3] == Idempotency.NON_IDEMPOTENT
        if self.admission.open and not non_idempotent:
            self.admit(record)
            return
        self.waiting_records[record.number] = record
        decisions = self.admission.submit(
            START_UNIX_MS + self.world.now,
            record.number,
            client.cls,
            0,
            client.deadline - self.world.now,
            client.cost,
            not non_idempotent,
        )
        self.execute_decisions(decisions)
        if non_idempotent:
            self.claim(self.incarnation, record.number)

    def claim(self, incarnation: int, number: int) -> None:
        """Claim a waiting load's ticket in the fleet; the outcome is an effect."""
        if (
            incarnation == self.incarnation
            and self.up
            and self.node
            and (record := self.waiting_records.get(number)) is not None
        ):
            self.node.loads.claim(self.world.now, START_UNIX_MS + self.world.now, number, f"{record.client.id:x}")
            self.drain()

    def admit(self, record: Record) -> None:
        """Pass a request to the decision module.

        A request of the tenant `blue` spends a unit of the shared budget and is marked as over quota if there is none.
        """
        client, over_quota = record.client, False
        if client.blue:
            over_quota = not self.rights.spend(self.world.now, 1)
            if not over_quota:
                self.world.spends.append(self.world.now)
        self.handle_event(
            policy.RequestArrived(
                record.number, client.cls, 0, 0, client.deadline - self.world.now, client.cost, 0.0, -1.0, over_quota
            )
        )

    def update_controller_engines(self) -> None:
        """Pass the full list of engines to the decision module, with the withheld ones as draining."""
        self.handle_event(
            policy.EndpointListUpdated(
                EndpointListKind.FULL,
                self.last_bus_event,
                tuple(
                    EngineEntry(
                        n,
                        0,
                        0,
                        0,
                        Health.DRAINING if n in self.withheld else Health.READY,
                        1.0,
                        started_at and START_UNIX_MS + started_at,
                    )
                    for n, started_at in sorted(self.engines.items())
                ),
            )
        )

    def on_bus(self, incarnation: int) -> None:
        """Apply all engines' starts from the bus and make withheld engines usable. Ignored while the bus is down."""
        if incarnation != self.incarnation or not self.up or not self.world.bus_up:
            return
        self.last_bus_event = self.world.bus_number
        for engine in self.world.engines:
            self.engines[engine.number] = max(self.engines.get(engine.number, 0.0), engine.started_at)
            self.announced_starts[engine.number] = engine.started_at
        self.withheld = set()
        self.update_controller_engines()
        if self.node is not None:
            self.update_recovery_engines()
            self.drain()

    def handle_event(self, event: Any) -> None:
        """Pass an event to the decision module and execute its actions: timers, attempts, answers, cancellations.

        An attempt at a cold engine that can't be paid for ends at once as NOT_SENT, before its first byte.
        """
        for action in self.controller.handle(START_UNIX_MS + self.world.now, event):
            if isinstance(action, policy.SetTimer):
                self.world.at(
                    max(self.world.now, action.due_at_ms - START_UNIX_MS), self.on_timer, self.incarnation, action.token
                )
            elif isinstance(action, policy.StartAttempt):
                record = self.records[action.request]
                attempt = Attempt(record, len(record.attempts), action.engine, self.world.now, record.client.cost)
                record.attempts.append(attempt)
                started_at = self.announced_starts[action.engine]
                if self.cold_budgets is not None and not self.cold_budgets.pays(
                    self.world.now,
                    START_UNIX_MS + self.world.now,
                    self.controller,
                    record.number,
                    action.engine,
                    started_at and START_UNIX_MS + started_at,
                ):
                    attempt.paid = False
                    self.world.counted["cold_unpaid"] += 1
                    self.world.at(
                        self.world.now, self.on_attempt_ended, self.incarnation, attempt, AttemptOutcome.NOT_SENT
                    )
                    continue
                self.world.at(self.world.now + 1.0, self.world.arrive, self, self.incarnation, attempt)
            elif isinstance(action, policy.RejectRequest):
                self.answer(self.records.get(action.request), "refused", action.retry_after_ms)
            elif isinstance(action, policy.FailRequest):
                self.answer(self.records.get(action.request), "failed")
            elif isinstance(action, policy.CancelAttempt):
                record = self.records.get(action.request)
                if record is not None:
                    attempt = record.attempts[action.attempt]
                    engine = self.world.engines[attempt.engine]
                    if attempt in engine.running:
                        engine.running.remove(attempt)
                        self.world.at(
                            self.world.now + 1.0,
                            self.on_attempt_ended,
                            self.incarnation,
                            attempt,
                            AttemptOutcome.CANCELLED,
                        )

    def on_timer(self, incarnation: int, token: int) -> None:
        """Deliver a timer to the decision module."""
        if incarnation == self.incarnation and self.up:
            self.handle_event(policy.TimerFired(token))

    def on_attempt_ended(self, incarnation: int, attempt: Attempt, outcome: int) -> None:
        """Report the end of an attempt to the recovery node and the decision module; outcome OK answers the request.

        Ignored if the attempt is of an earlier incarnation.
        """
        if incarnation != self.incarnation or not self.up:
            return
        record = attempt.record
        if self.node is not None and attempt.paid and outcome in (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED):
            self.node.on_attempt_ended(
                START_UNIX_MS + self.world.now, f"e{attempt.engine}", outcome == AttemptOutcome.CONNECT_FAILED
            )
            self.drain()
        if outcome == AttemptOutcome.OK:
            self.answer(record, "served")
        self.handle_event(
            policy.AttemptEnded(
                record.number,
                attempt.number,
                attempt.engine,
                outcome,
                self.world.now - attempt.sent_at,
                record.answered,
                0.0,
                0.0,
                (),
            )
        )

    def answer(self, record: Record | None, outcome: str, retry_ms: float = 0.0) -> None:
        """Answer a request as `served`, `refused` or `failed`, unless it is answered already.

        `retry_ms`: the advised wait, 0 for none.
        """
        if record is None or record.answered:
            return
        record.answered = True
        if self.node is not None:
            self.waiting_records.pop(record.number, None)
            self.admission.remove(record.number)
            ran = any(attempt.paid for attempt in record.attempts) and outcome != "refused"
            self.node.loads.on_load_ended(self.world.now, START_UNIX_MS + self.world.now, record.number, ran)
            self.drain()
        if len(self.records) > 4_096:
            self.records = {n: r for n, r in self.records.items() if not r.answered or n > self.last_number - 1_024}
        self.world.on_answer(record.client, outcome, retry_ms)


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
        """Set up a run.

        `naive`: coordinators start without recovery; `mixed`: draw runs in which some coordinators keep power, stores
        are unreadable, or a second loss occurs; `cold`: budgets of cold engines are rights of the fleet, None: only
        with recovery.
        """
        self.random, self.scenario_random = random.Random(seed), random.Random(seed + 1)
        self.secrets = random.Random(seed + 3)
        self.cold = not naive if cold is None else cold
        self.count, self.seed, self.naive, self.seconds = nodes, seed, naive, seconds
        self.script = script = script or Script()
        self.message_faults = MessageFaults(script, seed + 2)
        self.now, self.sequence = 0.0, 0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.engines = [Engine(n) for n in range(max(3, nodes // 6))]
        self.seeds = tuple(f"c{n:03d}" for n in range(min(nodes, MAX_SEEDS)))
        self.bus_up, self.bus_number = True, 1
        self.counted: Counter[str] = Counter()
        self.spends: list[float] = []
        self.served: list[float] = []  # times
        self.load_starts: Counter[int] = Counter()  # by load's ticket: number of engines that started it
        self.clients: list[Client] = []
        self.overruns = 0
        self.return_times: list[float] = []  # times at which coordinators started after a loss
        self.coordinators = [Coordinator(self, n) for n in range(nodes)]
        self.rate = LOAD * len(self.engines) * CORES / MEAN_WORK  # requests per ms
        self.events = 0
        for coordinator in self.coordinators:
            coordinator.start(first=True)
        self.update_membership()
        self.schedule_scenario(mixed)
        self.at(0.0, self.create_client)
        self.at(ENGINE_STEP_MS, self.step)

    def schedule_scenario(self, mixed: bool) -> None:
        """Draw and schedule the power loss, the state of each store and all restarts; schedule the script's acts."""
        rng, loss = self.scenario_random, LOSS_S * 1_000.0
        lost = list(range(self.count))
        if mixed and rng.random() < 0.3:  # some coordinators keep running
            lost = rng.sample(lost, max(1, int(self.count * rng.uniform(0.4, 0.9))))
        for number in lost:
            self.at(loss + rng.uniform(0.0, 1_000.0), self.coordinators[number].kill)
            self.at(loss + 1_000.0 * (BACK_S + rng.uniform(0.0, OVER_S)), self.coordinators[number].start)
        self.restart_ms = loss + BACK_S * 1_000.0
        for number in rng.sample(lost, min(len(lost), max(2, len(lost) // 10))):
            self.coordinators[number].disk.restart_state = "lost"
        for number in rng.sample(lost, max(1, len(lost) // 10)):
            if self.coordinators[number].disk.restart_state == "kept":
                self.coordinators[number].disk.restart_state = "week"
        if mixed and rng.random() < 0.2:
            self.coordinators[rng.choice(lost)].disk.restart_state = "dead"
        self.at(3_000.0, self.copy_stores)
        for engine in self.engines:
            self.at(loss + rng.uniform(0.0, 1_000.0), self.fail_engine, engine, False, rng.uniform(2_000.0, 4_000.0))
        self.at(loss, self.set_bus, False)
        self.at(loss + rng.uniform(*BUS_BACK_MS), self.set_bus, True)
        if mixed and rng.random() < 0.3:  # a second loss during recovery
            second_loss = loss + 1_000.0 * (BACK_S + rng.uniform(2.0, 12.0))
            for number in rng.sample(range(self.count), max(1, self.count // 2)):
                self.at(second_loss, self.coordinators[number].kill)
                self.at(second_loss + rng.uniform(500.0, 4_000.0), self.coordinators[number].start)
        for act in self.script.acts:
            if act.kind in ("kill", "start"):
                self.at(act.at * 1_000.0, getattr(self.coordinators[act.node], act.kind))
        for edge in {r.begins for r in self.script.rules} | {r.ends for r in self.script.rules}:
            if edge < self.seconds:
                self.at(edge * 1_000.0, self.schedule_membership_update)

    # Time.

    def at(self, time_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call at a simulated time in ms; calls at the same time run in the order of scheduling."""
        self.sequence += 1
        heapq.heappush(self.queue, (time_ms, self.sequence, call, args))

    def run(self) -> World:
        """Simulate the run until `seconds` of simulated time and return self."""
        until = self.seconds * 1_000.0
        while self.queue and self.queue[0][0] <= until:
            time_ms, _, call, args = heapq.heappop(self.queue)
            self.now = max(self.now, time_ms)
            self.events += 1
            call(*args)
            if call.__name__ in ("kill", "start"):
                self.schedule_membership_update()
        self.now = until
        return self

    # Network and membership.

    def post(self, source: int, target: int, data: bytes, fleet: bool = False) -> None:
        """Send a datagram over the simulated network, with `fleet` to the fleet node, else to the recovery node."""
        for delay in self.message_faults.draw_delays(self.now / 1_000.0, source, target):
            self.at(self.now + delay + self.random.uniform(0.3, 3.0), self.deliver, source, target, data, fleet)

    def deliver(self, source: int, target: int, data: bytes, fleet: bool) -> None:
        """Deliver a datagram to its node; it is lost if that process is down or has no such node."""
        receiver = self.coordinators[target]
        if fleet and receiver.up and receiver.cold_budgets is not None:
            receiver.cold_budgets.hear(self.now, source, data)
        elif not fleet and receiver.up and receiver.node is not None:
            receiver.node.on_message(self.now, START_UNIX_MS + self.now, self.coordinators[source].name, data)
            receiver.drain()

    def schedule_membership_update(self) -> None:
        """Schedule a membership update after a start, a kill, or the begin or end of a fault in the script."""
        self.at(self.now + MEMBERSHIP_DELAY_MS, self.update_membership)

    def update_membership(self) -> None:
        """Update the members and the admission share of each recovery node. Naive runs have no membership.

        The members of a node are the other processes that are up and on its side of a cut.
        """
        if self.naive:
            return
        side: dict[int, int] = {}
        for rule in self.message_faults._active_rules(max(self.now / 1_000.0, 0.0)):
            if rule.kind == "cut":
                side.update({n: index for index, group in enumerate(rule.groups) for n in group})
        for coordinator in self.coordinators:
            if not coordinator.up or coordinator.node is None:
                continue
            visible = {
                other.name
                for other in self.coordinators
                if other.up
                and other is not coordinator
                and (
                    other.number not in side
                    or coordinator.number not in side
                    or side[other.number] == side[coordinator.number]
                )
            }
            for name in sorted(visible ^ coordinator.node.alive):
                coordinator.node.on_member(self.now, START_UNIX_MS + self.now, name, name in visible)
            coordinator.admission.share = 1.0 / (1 + len(visible))
            coordinator.drain()

    def copy_stores(self) -> None:
        """Copy each store, as the older copy that some coordinators find after the loss."""
        for coordinator in self.coordinators:
            coordinator.disk.older_copy = coordinator.disk.generation, dict(coordinator.disk.entries)

    def set_bus(self, up: bool) -> None:
        """Take the bus down, or up again; once up it announces the engines to each coordinator 10 to 200 ms later."""
        self.bus_up = up
        if up:
            self.bus_number += 1
            for coordinator in self.coordinators:
                self.at(self.now + self.random.uniform(10.0, 200.0), coordinator.on_bus, coordinator.incarnation)

    # Engines.

    def fail_engine(self, engine: Engine, tipped: bool, down_ms: float) -> None:
        """Take an engine down for `down_ms`, which ends its attempts as RESET; without effect if it is down.

        `tipped`: it failed from overload while cold, which counts as an overrun.
        """
        if not engine.up:
            return
        engine.up = False
        self.overruns += tipped
        running, engine.running, engine.recent_arrivals = engine.running, [], []
        for attempt in running:
            self.at(
                self.now + 1.0,
                attempt.record.coordinator.on_attempt_ended,
                attempt.record.incarnation,
                attempt,
                AttemptOutcome.RESET,
            )
        self.at(self.now + down_ms, self.start_engine, engine)

    def start_engine(self, engine: Engine) -> None:
        """Start an engine again, cold; if the bus is up it announces this to each coordinator 10 to 200 ms later."""
        engine.up, engine.started_at = True, self.now
        if self.bus_up:
            self.bus_number += 1
            for coordinator in self.coordinators:
                self.at(self.now + self.random.uniform(10.0, 200.0), coordinator.on_bus, coordinator.incarnation)

    def arrive(self, coordinator: Coordinator, incarnation: int, attempt: Attempt) -> None:
        """Deliver an attempt's first byte to its engine, which runs it; CONNECT_FAILED if the engine is down.

        A cold engine that within 1 s receives more work than TIP times its present capacity fails.
        """
        if incarnation != coordinator.incarnation or not coordinator.up or attempt.record.answered:
            return
        engine, client = self.engines[attempt.engine], attempt.record.client
        if not engine.up:
            self.at(self.now + 5.0, coordinator.on_attempt_ended, incarnation, attempt, AttemptOutcome.CONNECT_FAILED)
            return
        if CLASSES[client.cls][3] == Idempotency.NON_IDEMPOTENT:
            self.load_starts[client.id] += 1
        engine.running.append(attempt)
        if engine.started_at > 0.0 and self.now - engine.started_at < WARM_MS:
            engine.recent_arrivals = [
                (arrived_at, work) for arrived_at, work in engine.recent_arrivals if arrived_at > self.now - 1_000.0
            ]
            engine.recent_arrivals.append((self.now, attempt.remaining_work))
            if (
                sum(work for _, work in engine.recent_arrivals)
                > TIP * CORES * engine.capacity_fraction(self.now) * 1_000.0
            ):
                self.fail_engine(engine, True, DOWN_MS)

    def step(self) -> None:
        """Advance all engines by ENGINE_STEP_MS.

        The cores are divided evenly among the attempts; none can use more than the threads of its class.
        """
        for engine in self.engines:
            if engine.running:
                cores_per_attempt = CORES * engine.capacity_fraction(self.now) / len(engine.running)
                finished = []
                for attempt in engine.running:
                    attempt.remaining_work -= ENGINE_STEP_MS * min(
                        float(CLASSES[attempt.record.client.cls][4]), cores_per_attempt
                    )
                    if attempt.remaining_work <= 0.0:
                        finished.append(attempt)
                if finished:
                    engine.running = [attempt for attempt in engine.running if attempt.remaining_work > 0.0]
                    for attempt in finished:
                        attempt.record.coordinator.on_attempt_ended(
                            attempt.record.incarnation, attempt, AttemptOutcome.OK
                        )
        self.at(self.now + ENGINE_STEP_MS, self.step)

    # Clients.

    def create_client(self) -> None:
        """Create one client with a drawn class and cost, and schedule the next (Poisson arrivals at `rate`)."""
        rng = self.scenario_random
        cls = rng.choices(range(len(CLASSES)), [kind[6] for kind in CLASSES])[0]
        cost = CLASSES[cls][5] * min(4.0, rng.lognormvariate(-0.125, 0.5))
        client = Client(
            len(self.clients) + 1, cls, cost, self.now + CLASSES[cls][1], rng.random() < 0.2, rng.randrange(self.count)
        )
        self.clients.append(client)
        self.at(self.now, self.call, client)
        if self.now < self.seconds * 1_000.0 - 21_000.0 or self.now < 1e9:
            self.at(self.now + rng.expovariate(self.rate), self.create_client)

    def call(self, client: Client) -> None:
        """Send a client's request to its coordinator, or if that is down to another one 100 to 300 ms later.

        A client gives up 50 ms before its deadline.
        """
        if client.outcome:
            return
        if self.now >= client.deadline - 50.0:
            client.outcome = "gave up"
            return
        client.calls += 1
        coordinator = self.coordinators[client.home]
        if not coordinator.up:  # connection refused: try another coordinator soon
            client.home = self.random.randrange(self.count)
            self.at(self.now + self.random.uniform(100.0, 300.0), self.call, client)
        else:
            client.in_progress = True
            coordinator.accept_request(client)

    def break_connection(self, client: Client) -> None:
        """Break a client's connection; it retries with the same id, at a drawn coordinator, 100 to 400 ms later."""
        client.in_progress = False
        client.home = self.random.randrange(self.count)
        self.at(self.now + self.random.uniform(100.0, 400.0), self.call, client)

    def on_answer(self, client: Client, outcome: str, retry_ms: float) -> None:
        """Deliver an answer to a client.

        After a refusal, or the failure of an idempotent request, it retries after the advised wait (100 to 300 ms if
        there is none). A failed load is not retried.
        """
        client.in_progress = False
        if outcome == "served":
            client.outcome, client.served_early = "served", self.now < LOSS_S * 1_000.0
            self.served.append(self.now)
        elif outcome == "refused" or CLASSES[client.cls][3] != Idempotency.NON_IDEMPOTENT:
            client.refusals += outcome == "refused"
            self.counted[outcome] += self.now >= LOSS_S * 1_000.0
            if outcome == "refused" and retry_ms <= 0.0:
                client.home = self.random.randrange(self.count)
            self.at(self.now + (retry_ms or self.random.uniform(100.0, 300.0)), self.call, client)
        else:
            client.outcome = "failed"
            self.counted["loads_failed"] += 1


def oracle_s(world: World, shares: bool = False) -> float | None:
    """Return the `recovered_s` of an ideal scheduler; None if no coordinator returns or it does not recover.

    The scheduler knows the warm-up curve and all requests from the first return of a coordinator on, and runs the
    smallest requests first. It has one pool of all engines, in which a request uses up to the threads of its class.
    `shares`: additionally, no more work starts in a second than the budgets of cold engines allow, of which only the
    parts of coordinators that have returned are usable.
    """
    loss = LOSS_S * 1_000.0
    served, waiting, now = [t for t in world.served if t < loss], list[tuple[float, Client]](), loss
    arrivals = iter(sorted(((c.deadline - CLASSES[c.cls][1], c) for c in world.clients), key=lambda pair: pair[0]))
    starts, next_arrival = sorted(world.return_times), next(arrivals, None)
    fractional = world.coordinators[0].controller.fractional_share
    while now < world.seconds * 1_000.0 and starts:
        while next_arrival is not None and next_arrival[0] <= now:
            if next_arrival[0] >= loss or not next_arrival[1].served_early:
                waiting.append((next_arrival[1].cost, next_arrival[1]))
            next_arrival = next(arrivals, None)
        waiting = sorted((pair for pair in waiting if pair[1].deadline - 50.0 > now), key=lambda pair: pair[0])
        capacity = ENGINE_STEP_MS * sum(
            CORES * e.capacity_fraction(now) for e in world.engines if 0.0 < e.started_at <= now
        )
        if shares:
            returned = sum(start <= now for start in starts) / world.count
            capacity = (
                min(capacity, capacity * returned * 0.85 * SLOW_START_SAFETY[fractional] * TIP)
                if now < starts[0] + WARM_MS
                else capacity
            )
        remaining = []
        for work, client in waiting if now >= starts[0] else ():
            done = min(work, capacity, ENGINE_STEP_MS * CLASSES[client.cls][4])
            capacity -= done
            if work > done:
                remaining.append((work - done, client))
            else:
                served.append(now + ENGINE_STEP_MS)
        waiting, now = (remaining if now >= starts[0] else waiting), now + ENGINE_STEP_MS
    return recovered_s(world, served) if starts else None


def recovered_s(world: World, served: list[float] | None = None) -> float | None:
    """Return the seconds from the earliest restart of coordinators until goodput has recovered, None if it does not.

    Goodput has recovered when RECOVERED_RATIO of the goodput before the loss is reached in both the first and the last
    RECOVERED_WINDOW_MS of a span of RECOVERED_SPAN_MS. `served`: times in ms, by default those of the run.
    """
    times, loss = world.served if served is None else served, LOSS_S * 1_000.0
    before = sum(2_000.0 <= start < loss for start in times) / (loss - 2_000.0)
    start, last = world.restart_ms, world.seconds * 1_000.0 - RECOVERED_SPAN_MS
    while start <= last:
        if all(
            sum(begin <= served_at < begin + RECOVERED_WINDOW_MS for served_at in times) / RECOVERED_WINDOW_MS
            >= RECOVERED_RATIO * before
            for begin in (start, start + RECOVERED_SPAN_MS - RECOVERED_WINDOW_MS)
        ):
            return round((start - world.restart_ms) / 1_000.0, 2)
        start += 250.0
    return None


def measure(world: World) -> dict[str, Any]:
    """Return the figures of a run. Names that end in `_s` are in seconds."""
    unanswered = [c for c in world.clients if c.in_progress and not c.outcome and world.now > c.deadline + 1_000.0]
    overdue = (
        0
        if world.naive
        else sum(
            coordinator.up
            and coordinator.node is not None
            and not coordinator.node.stages.finished
            and world.now - coordinator.node.started_at > coordinator.node.settings.timeouts.total_ms
            for coordinator in world.coordinators
        )
    )
    overspend, peak_units = excess(sorted(world.spends), UNITS_EACH * world.count, WINDOW_MS)
    timed_out_stages: Counter[str] = Counter()
    for coordinator in world.coordinators:
        if coordinator.up and coordinator.node is not None:
            timed_out_stages.update(stage.name.lower() for stage in coordinator.node.stages.timed_out)
    return {
        "nodes": world.count,
        "seed": world.seed,
        "overspend": overspend,
        "most_in_a_window": peak_units,
        "cold_overruns": world.overruns,
        "loads_doubled": sum(n > 1 for n in world.load_starts.values()),
        "recovered_s": recovered_s(world),
        "oracle_s": oracle_s(world),
        "oracle_shares_s": oracle_s(world, True),
        "refused": world.counted["refused"],
        "stuck": len(unanswered) + overdue,
        "requests": len(world.clients),
        "served": len(world.served),
        "gave_up": sum(c.outcome == "gave up" for c in world.clients),
        "failed": world.counted["loads_failed"],
        "weak": dict(sorted(timed_out_stages.items())),
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
    """Run with recovery and, if `naive`, also without on the same seed; return the figures and both worlds.

    Figures of the second run have the prefix `naive_`.
    """
    world = World(nodes, seed, script, False, seconds, mixed, cold).run()
    figures = measure(world)
    naive_world = World(nodes, seed, script, True, seconds, mixed).run() if naive else None
    if naive_world is not None:
        naive_figures = measure(naive_world)
        figures |= {
            f"naive_{key}": naive_figures[key]
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
    return figures, world, naive_world
