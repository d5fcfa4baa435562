"""Recovery in a running coordinator: runs the node on a timer and connects it to the fleet, the bus and the core.

Used on the event loop's thread only, which never blocks on the store; see `store_worker`.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from frostspindle.core import ClientRequest, clock
from frostspindle.policy import Idempotency
from frostspindle.recovery import wire
from frostspindle.recovery.admission import ReadyEngine, RecoveryAdmission, RequestClass, SlowStartCurve
from frostspindle.recovery.effect_handler import EffectHandler
from frostspindle.recovery.excluded_engines import ExcludedEngines
from frostspindle.recovery.figures import MAX_WITHHELD_SHOWN, node_figures
from frostspindle.recovery.gate import RecoveryGate
from frostspindle.recovery.inputs import OpenedStore, RecoverySettings
from frostspindle.recovery.monotonic_clock import monotonic
from frostspindle.recovery.node import RecoveryNode
from frostspindle.recovery.stages import Stage, StageTimeouts
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.store_worker import StoreWorker

if TYPE_CHECKING:
    from frostspindle.config import Config
    from frostspindle.config.fleet import FleetSection
    from frostspindle.host import ProgramContext

RECOVERING_TICK_S = 0.05  # the timer's longest interval during recovery
LIST_CHECK_S = 0.25  # between checks of the engine list, and the timer's longest interval after recovery
MIN_TICK_S = 0.002
LOADS_DELAY_MS = 1_000.0  # after the start of service, until which only idempotent requests are admitted
MIN_WAITING = 16
MAX_NAME = 64


class RecoveryService:
    """One process's recovery, and its part in that of other coordinators. Implements fleet.service.FleetChannel."""

    channel = wire.CHANNEL

    def __init__(self, program: ProgramContext, settings: RecoverySettings) -> None:
        config = program.config.operator.recovery
        assert config is not None
        self.program = program
        self.core = program.core
        self.telemetry = program.telemetry
        self.config = config
        self.settings: RecoverySettings = settings
        self.on_stage: Callable[[str, str], None] = lambda stage, state: (
            None
        )  # called with a stage and "begun", "done" or "weak"

        self.node: RecoveryNode = RecoveryNode(settings, monotonic(), clock(), secrets.randbits(60))
        self.admission: RecoveryAdmission = _admission(program)
        non_idempotent = tuple(
            request_class.idempotency == Idempotency.NON_IDEMPOTENT for request_class in program.config.settings.classes
        )
        self.gate: RecoveryGate = RecoveryGate(self, self.admission, non_idempotent)
        self.core.admission_gate = self.gate
        self.excluded: ExcludedEngines = ExcludedEngines(self.core, self.node, self.telemetry)
        self.effects: EffectHandler = EffectHandler(self)
        self.store_worker: StoreWorker = StoreWorker(self)

        self._list_version: tuple[int, int, int] = (-1, -1, -1)  # inputs from which the node's engine list was built
        self._list_checked_at: float = 0.0
        self._service_started_at: float = 0.0
        self._cooldown_started_at: float = monotonic()
        self._timer: asyncio.TimerHandle | None = None
        self._closing: bool = False

    # Called by the program.

    def start(self) -> None:
        """Start to open the store, the writer task and the timer; needs a running event loop."""
        self._cooldown_started_at = monotonic()
        self.store_worker.start()
        self._tick()

    async def close(self) -> None:
        """Record a clean shutdown in the store, then close it."""
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        self.node.on_shutdown(clock())
        await self.store_worker.close()

    def set_bans(self, names: frozenset[str]) -> None:
        """Set the operators' bans from the shared folder; record the changes and update the core."""
        self.excluded.set_bans(names)

    def readmit(self, name: str) -> None:
        """Admit an engine again, on an operator's request, that was withheld for lack of agreement."""
        self.excluded.readmit(name)

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port; the keys are fixed by docs/recovery.md."""
        admission = self.admission
        return {
            "name": self.settings.name,
            **node_figures(self.node, monotonic(), clock()),
            "waiting": len(admission.waiting),
            "passed": admission.admitted,
            "refused_at_gate": admission.rejected,
            "work_out_ms": round(admission.in_flight_ms),
            "rate": round(admission.work_rate(clock()), 3),
            "warm": round(admission.warm_ratio(clock()), 3),
            "withheld_now": sorted(self.excluded.withheld)[:MAX_WITHHELD_SHOWN],
        }

    # Called by the fleet.

    def on_started(self, now: float, node: Any) -> None:
        """Pass the epoch to the node once the fleet port is bound.

        The cooldown of rights restarts at `now` (monotonic ms).
        """
        self._cooldown_started_at = now
        self.node.on_port_bound(now, clock(), node.epoch)
        self.flush_outputs()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Pass a member's message on the recovery channel to the node; `epoch` is not used."""
        self.node.on_message(now, clock(), name, data)
        self.flush_outputs()

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Pass a member's new state to the node; a suspect member counts as alive.

        When a member becomes alive, set this coordinator's share of the work rate to 1 / the number of live members,
        itself included.
        """
        self.node.on_member(now, clock(), name, state in ("alive", "suspect"))
        if state == "alive":
            self.admission.share = 1.0 / (1 + len(self.node.alive))
        self._schedule(0.0)

    # Called by the gate and the store's worker.

    def claim_ticket(self, request: ClientRequest) -> None:
        """Claim a load's ticket from its replicas; a ClaimResolved effect has the outcome."""
        self.node.loads.claim(monotonic(), clock(), request.number, request.ticket)
        self.flush_outputs()

    def retry_claim(self, number: int) -> None:
        """Claim the ticket of a load again if the load still waits."""
        entry = self.gate.waiting.get(number)
        if entry is not None and not self._closing:
            self.claim_ticket(entry.request)

    def on_load_ended(self, number: int, ran: bool) -> None:
        """Pass the end of a request to the node if it has a claim; `ran` False releases its ticket."""
        if self.node.loads.has_claim(number):
            self.node.loads.on_load_ended(monotonic(), clock(), number, ran)
            self.flush_outputs()

    def on_store_opened(self, opened: OpenedStore) -> None:
        """Pass the opened store to the node, after the configured engine list."""
        self._check_engine_list(monotonic(), clock())
        self.node.on_store_opened(monotonic(), clock(), opened)
        self.excluded.record_missing_bans()
        self.flush_outputs()

    def exchange_idle_mark(self) -> None:
        """Set the idle mark by whether rights to cold engines are lent, used or requested; pass its state back."""
        warming = self.program.warming
        if warming is None:
            return
        budgets = warming.budgets
        self.node.on_rights_idle(budgets is None or budgets.idle)
        if budgets is not None:
            budgets.set_store_state(monotonic(), self.node.idle_mark.marked, self.node.idle_mark.cooldown_waived)

    def flush_outputs(self, wake_writer: bool = True) -> None:
        """Send the node's messages, apply its effects and wake the store's writer."""
        outputs = self.node.outputs
        while outputs.pending:
            for name, data in outputs.take_messages():
                if self.program.fleet is not None:
                    self.program.fleet.post(name, self.channel, data)
            for effect in outputs.take_effects():
                self.effects.apply(effect)
        if wake_writer:
            self.store_worker.wake()

    # Time.

    def _schedule(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._closing:
            self._timer = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        now = monotonic()
        unix_ms = clock()
        stages = self.node.stages
        if now - self._list_checked_at >= LIST_CHECK_S * 1000.0:
            self._list_checked_at = now
            self._check_engine_list(now, unix_ms)
        if not stages.finished:
            self._update_admission(now, unix_ms)
        self.node.tick(now, unix_ms)
        self.exchange_idle_mark()
        self.flush_outputs()
        if not stages.finished:
            self.gate.apply(self.admission.poll(unix_ms))
        due_s = max(MIN_TICK_S, (self.node.next_due() - now) / 1000.0)
        self._schedule(min(due_s, LIST_CHECK_S if stages.finished else RECOVERING_TICK_S))

    def _update_admission(self, now: float, unix_ms: float) -> None:
        """Pass the engines and the start of service to the admission, and its backlog to the node."""
        self.admission.engines = tuple(
            ReadyEngine(engine.cores, engine.entry.since_ms)
            for engine in self.core.controller.engines.values()
            if engine.ready and not engine.ejected
        )
        if self.node.stages.stage < Stage.SERVICE:
            self.admission.expected_start = unix_ms + max(0.0, self.node.stages.next_due() - monotonic())
        elif not self._service_started_at:
            self._service_started_at = unix_ms
            self.admission.service_started = True
        elif unix_ms - self._service_started_at >= LOADS_DELAY_MS:
            self.admission.admits_non_idempotent = True
        self.node.on_backlog(now, unix_ms, len(self.admission.waiting), self.admission.warm_ratio(unix_ms))

    def _check_engine_list(self, now: float, unix_ms: float) -> None:
        """Pass on a changed engine list and the end of the cooldown; release engines once the bus has caught up."""
        bus = self.program.bus
        list_version = (bus.last, len(self.core.engines), self.effects.restarts_marked)
        if list_version != self._list_version:
            self._list_version = list_version
            self.node.on_engine_list(unix_ms, bus.last, self._engine_list())
        if self._cooldown_ended(now):
            self.node.on_cooldown_over(now, unix_ms)
        agreed = self.node.agreed
        if (
            self.excluded.withheld_by_lists
            and agreed is not None
            and bus.has_received_valid
            and bus.last >= agreed.last_event
        ):
            self.excluded.release_listed()

    def _cooldown_ended(self, now: float) -> bool:
        """Return whether the cooldown of rights is over and the node was not notified."""
        inputs = self.node.inputs
        if inputs.cooldown_over or now - self._cooldown_started_at < self.settings.cooldowns.rights_ms:
            return False
        return inputs.epoch > 0 or not inputs.in_fleet

    def _engine_list(self) -> dict[str, wire.ListedEngine]:
        config = self.program.config
        engines: dict[str, wire.ListedEngine] = {}
        for state in self.core.engines.values():
            if state.driver is not self.program.driver or len(state.name) > MAX_NAME:
                continue
            entry = state.listed_entry or state.entry
            engines[state.name] = wire.ListedEngine(
                name=state.name,
                address=f"{state.address[0]}:{state.address[1]}"[:MAX_NAME],
                zone=_name_at(config.zones, entry.zone),
                kind=_name_at(config.kinds, entry.kind),
                cell=entry.cell,
                health=int(entry.health),
                weight=entry.weight,
                started_ms=max(0.0, state.entry.since_ms),
                published_start_ms=max(0.0, entry.since_ms),
            )
        return engines


def _name_at(names: Sequence[str], index: int) -> str:
    return names[index][:MAX_NAME] if index < len(names) else ""


def _admission(program: ProgramContext) -> RecoveryAdmission:
    settings = program.config.settings
    classes = tuple(
        RequestClass(
            priority_weight=request_class.priority_weight,
            idempotent=request_class.idempotency != Idempotency.NON_IDEMPOTENT,
            late_value_ratio=request_class.late_value_ratio,
            latency_objective_ms=request_class.latency_objective_ms,
            mean_cost_ms=request_class.latency_objective_ms * request_class.threads / 2,
        )
        for request_class in settings.classes
    )
    return RecoveryAdmission(
        classes,
        SlowStartCurve(settings.slow_start_capacity, settings.slow_start_duration_ms),
        share=1.0 / settings.coordinators,
        max_waiting=max(MIN_WAITING, program.core.max_open_requests),
        seed=secrets.randbits(60),
        max_retry_ms=settings.max_retry_after_ms if settings.retry_after else 0.0,
    )


def _rights_cooldown_ms(config: Config, fleet: FleetSection | None) -> float:
    """Return how long after a start a previous process's rights may still be in use, by the slower clock, in ms."""
    if fleet is None:
        return 0.0
    drift_factor = 1 + fleet.drift
    cooldown_ms = 0.0
    if fleet.budget:
        window_ms = max(budget.window_ms for budget in fleet.budget)
        cooldown_ms = fleet.lease_ms * drift_factor / (1 - fleet.drift) + window_ms * drift_factor
    if fleet.cold:
        window_ms = config.settings.slow_start_window_ms
        cold_ms = fleet.cold_lease_ms * drift_factor / (1 - fleet.drift) + window_ms * drift_factor
        cooldown_ms = max(cooldown_ms, cold_ms)
    return cooldown_ms


def attach(program: ProgramContext) -> RecoveryService:
    """Create and register the recovery of a program under construction.

    The messages go through the program's fleet, if it has one.
    """
    operator = program.config.operator
    config = operator.recovery
    fleet = operator.fleet
    assert config is not None
    settings = RecoverySettings(
        name=(fleet.name if fleet else "") or program.config.name,
        seeds=tuple(seed.name for seed in fleet.seed) if fleet else (),
        timeouts=StageTimeouts(
            store_ms=config.store_ms,
            address_ms=config.address_ms,
            find_ms=config.find_ms,
            agree_ms=config.agree_ms,
            rights_ms=config.rights_ms,
            service_ms=config.service_ms,
        ),
        cooldowns=CooldownSettings(_rights_cooldown_ms(program.config, fleet), config.ticket_ms),
        claim_ms=config.claim_ms,
        first_start=config.first_start,
    )
    service = RecoveryService(program, settings)
    if program.fleet is not None:
        program.fleet.channels.append(service)
    if program.operator_server is not None:
        program.operator_server.handlers["show-recovery"] = service.figures
    return service
