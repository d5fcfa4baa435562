"""Recovery in a running coordinator: the store and its thread, the timer, the gate, the ties to fleet, bus and core.

Owns when the node is called and where its outcomes go: log lines, the core's bans and starts, the bus's list, the gate.
It must never decide about trust or requests by itself, never block the event loop for the store, and never let a fault
of the disk end the process.
"""

from __future__ import annotations

import asyncio
import math
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from frostspindle.config import BusEvent, Host, Topology
from frostspindle.core import ClientRequest, Response, ResponseStatus, clock
from frostspindle.policy import AttemptOutcome, Health, Idempotency
from frostspindle.recovery import agreement, tickets, wire
from frostspindle.recovery.admission import (
    AdmissionDecision,
    ReadyEngine,
    RecoveryAdmission,
    RequestClass,
    SlowStartCurve,
)
from frostspindle.recovery.node import (
    ClaimResolved,
    MarkRestarted,
    OpenedStore,
    RecoveryNode,
    RecoverySettings,
    WriteLogLine,
)
from frostspindle.recovery.stages import Stage, StageTimeouts, StageTransition
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.store.base import Store, StoreError, StoreFullError
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import StoreLockedError, StoreRefusedError, open_store
from frostspindle.store.opening_decision import OpeningAction
from frostspindle.store.opening_decision import StoreCondition as Found
from frostspindle.store.sqlite_engine import SqliteEngine

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext

TURN_S = 0.05  # the longest wait of the timer: the gate, engines and the list are looked at so often
LOOK_S = 0.25  # the list of engines, and whether rights have rested
AGAIN_S = 0.25  # a store that another process holds is tried again
LOADS_MS = 1_000.0  # of service: so long only what may be repeated goes on
_HEALTH = {Health.READY: "active", Health.DRAINING: "leaving", Health.GONE: "left"}


def monotonic() -> float:
    """Return milliseconds of a clock that runs on while the process is stopped; the fleet's clock."""
    return time.monotonic() * 1000.0


def open_at(folder: str, witness: str, owner: str, note: Any) -> tuple[Store | None, OpenedStore]:
    """Open and judge the store; without a folder return a store in memory.

    Held if another process has it; any other fault is returned as the verdict, not raised.
    """
    if not folder:
        return MemoryStore(), OpenedStore("none is set up", True, False)
    try:
        store = open_store(Path(folder), owner, SqliteEngine, witness=Path(witness) if witness else None, note=note)
    except StoreLockedError:
        raise
    except StoreRefusedError as error:
        return None, OpenedStore(str(error.ruling.verdict), False, False)
    except (StoreError, OSError) as error:
        note("store", folder=folder, verdict="unreadable", why=str(error))
        return None, OpenedStore("unreadable", False, False)
    known = store.known
    return store, OpenedStore(
        str(store.ruling.verdict),
        True,
        store.ruling.action is OpeningAction.USE,
        store.ruling.verdict is Found.FRESH and known.life == 1,  # a later life: a store of ours is known of
        wire.StoreState(known.id, known.life, known.generation),
        tuple(store.scan()),
    )


class RecoveryGate:
    """The gate before the module, as the core calls it; see core.Gate."""

    def __init__(self, service: RecoveryService, intake: RecoveryAdmission, once: tuple[bool, ...]) -> None:
        self.service, self.intake, self.once = service, intake, once
        self.asks: dict[int, tuple[ClientRequest, bool]] = {}  # those that wait, and whether their turn has come

    def enter(self, now: float, request: ClientRequest, turn: bool) -> bool:
        """Return whether the request goes on now; else it waits for Core.admit_waiting or Core.reject_waiting.

        With the gate open, only loads wait (for their tickets), and requests whose key still has a line. `turn` is kept
        and given to Core.admit_waiting. Requests that this one lets through or displaces are admitted or rejected at
        once.
        """
        once = self.once[request.cls]
        if self.intake.open and not once and request.key not in self.intake.lines:
            return True
        self.asks[request.number] = request, turn
        outs = self.intake.enter(
            now,
            request.number,
            request.cls,
            request.key,
            request.left_ms - (now - request.received_ms),
            request.cost_ms,
            not once,
        )
        if once:
            self.service.claim(request)
        here = next((out for out in outs if out.number == request.number and out.passes), None)
        self.service.carry([out for out in outs if out is not here])
        if here is not None:
            del self.asks[request.number]
        return here is not None

    def turned(self, number: int) -> bool:
        """Note that the request's turn has come.

        Return whether it still waits here, with the turn kept for Core.admit_waiting.
        """
        if number not in self.asks:
            return False
        self.asks[number] = self.asks[number][0], True
        return True

    def over(self, number: int, ran: bool) -> None:
        """Forget a request that was answered or whose client left; `ran` False frees the ticket of a load."""
        self.asks.pop(number, None)
        self.intake.drop(number)
        self.service.settled(number, ran)

    def ended(self, engine: str, verdict: int) -> None:
        """Tell the node of an attempt's end, if it shows whether the engine takes connections.

        Only an answer proves that one was taken: a broken connection may be older than a loss of power, and an attempt
        that was stopped or cancelled need not have reached the engine.
        """
        node = self.service.node
        if verdict in (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED):
            node.ended(clock(), engine, verdict == AttemptOutcome.CONNECT_FAILED)
        if node.effects:
            self.service.drain()

    def close(self) -> list[int]:
        """Return the numbers of the requests that still wait, for the core to answer at shutdown."""
        return list(self.asks)


class RecoveryService:
    """One process's recovery, and its part in that of others."""

    channel = wire.CHANNEL

    def __init__(self, program: ProgramContext, terms: RecoverySettings) -> None:
        config = program.config.operator.recovery
        assert config is not None
        self.program, self.core, self.telemetry, self.config = program, program.core, program.telemetry, config
        self.terms = terms
        self.node = RecoveryNode(terms, monotonic(), clock(), secrets.randbits(60))
        settings = program.config.settings
        classes = tuple(
            RequestClass(
                c.priority_weight,
                c.idempotency != Idempotency.NON_IDEMPOTENT,
                c.late_value_ratio,
                c.latency_objective_ms,
                c.latency_objective_ms * c.threads / 2,
            )
            for c in settings.classes
        )
        retry_ms = settings.max_retry_after_ms if settings.retry_after else 0.0
        self.intake = RecoveryAdmission(
            classes,
            SlowStartCurve(settings.slow_start_capacity, settings.slow_start_duration_ms),
            1.0 / settings.coordinators,
            max(16, program.core.most_open),
            secrets.randbits(60),
            retry_ms,
        )
        self.gate = RecoveryGate(
            self, self.intake, tuple(c.idempotency == Idempotency.NON_IDEMPOTENT for c in settings.classes)
        )
        self.core.admission_gate = self.gate
        self.store: Store | None = None
        self.files: frozenset[str] = frozenset()  # the bans by hand as the shared files have them
        self.withheld: frozenset[str] = frozenset()
        self._held_back: frozenset[str] = frozenset()  # of these, by the lists and not by bans
        self._listed: tuple[int, int, int] = (-1, -1, -1)
        self._chills = 0
        self._looked = 0.0
        self._service_at = 0.0
        self._tasks: list[asyncio.Task[None]] = []
        self._wake: asyncio.Event = asyncio.Event()  # of the writer
        self._timer: asyncio.TimerHandle | None = None
        self._began = monotonic()
        self._closing = False
        self.staged: Callable[[str, str], None] = lambda stage, state: None  # told of each: begun, done or weak

    # The program's calls.

    def start(self) -> None:
        """Start opening the store, the writer task and the timer; needs a running event loop."""
        self._began = monotonic()
        self._tasks.append(asyncio.create_task(self._open()))
        self._tasks.append(asyncio.create_task(self._write()))
        self._tick()

    async def close(self) -> None:
        """Record in the store that this process ended in good order, then close it."""
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks[:1]:
            task.cancel()
        self.node.end(clock())
        self._wake.set()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self.store is not None:
            await asyncio.to_thread(self.store.close)

    def bans(self, names: frozenset[str]) -> None:
        """Set the bans by hand, as the shared files have them; changes are recorded and the core told."""
        for name in names ^ self.files:
            self.node.ban(clock(), name, name in names)
        self.files = names
        self.core.ban(names | self.withheld)

    def allow(self, name: str) -> None:
        """Admit an engine again, on staff's order, that was left out for want of agreement."""
        if name in self.withheld:
            self.withheld -= {name}
            self.node.ban(clock(), name, False)
            self.core.ban(self.files | self.withheld)

    def figures(self) -> dict[str, Any]:
        """Return the figures for the operators' port."""
        intake = self.intake
        return {
            "name": self.terms.name,
            **self.node.figures(monotonic(), clock()),
            "waiting": len(intake.waiting),
            "passed": intake.passed,
            "refused_at_gate": intake.refused,
            "work_out_ms": round(intake.work),
            "rate": round(intake.rate(clock()), 3),
            "warm": round(intake.warm(clock()), 3),
            "withheld_now": sorted(self.withheld)[:64],
        }

    # The fleet's calls.

    def on_started(self, now: float, node: Any) -> None:
        """Tell the node that the fleet's port is ours and under which epoch.

        The rest of rights counts anew from `now` (monotonic ms).
        """
        self._began = now
        self.node.begin(now, clock(), node.epoch)
        self._drain()

    def on_message(self, now: float, name: str, epoch: int, data: bytes) -> None:
        """Hand a member's message on the recovery channel to the node; `epoch` is not used."""
        self.node.hear(now, clock(), name, data)
        self._drain()

    def on_member_changed(self, now: float, name: str, state: str) -> None:
        """Tell the node of a member's new state (suspect counts as alive).

        When one becomes alive, set this coordinator's share of the intake rate to one part of all live members, itself
        included.
        """
        self.node.member(now, clock(), name, state in ("alive", "suspect"))
        if state == "alive":
            self.intake.share = 1.0 / (1 + len(self.node.alive))
        self._plan(0.0)

    # The store.

    async def _open(self) -> None:
        held = False
        while self.store is None:
            try:
                store, opened = await asyncio.to_thread(
                    open_at, self.config.folder, self.config.witness, self.terms.name, self.telemetry.log
                )
            except StoreLockedError:
                held = True  # by our predecessor in an upgrade
                await asyncio.sleep(AGAIN_S)
                continue
            except Exception as error:  # noqa: BLE001 - whatever the disk does, the coordinator serves without
                self.telemetry.log("fault", error=repr(error), of="recovery store")
                store, opened = None, OpenedStore("unreadable", False, False)
            late = self.node.stages.stage > Stage.STORE
            if late and not held and opened.trusted:  # nobody was asked whether it is the last one
                opened = OpenedStore(opened.verdict, opened.usable, False, False, opened.known)
            self.store = store
            self._look(monotonic(), clock())  # the list that the configuration has, before others' are weighed
            self.node.opened(monotonic(), clock(), opened)
            for name in self.files:  # files know of bans that a new store does not
                if name not in self.node.bans.of(self.terms.name):
                    self.node.ban(clock(), name, True)
            self._drain()
            if store is None:
                return

    async def _write(self) -> None:
        """One batch at a time, in a thread; what comes meanwhile is the next one."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self.store is not None and (batch := self.node.batch()) is not None:
                ok = full = False
                try:
                    await asyncio.to_thread(self.store.apply, batch)
                    ok = True
                except StoreFullError as error:
                    full = True
                    self.telemetry.count("recovery_store_full")
                    self.telemetry.log("recovery_store_full", error=str(error))
                except Exception as error:  # noqa: BLE001 - the disk's faults never end the process
                    self.telemetry.log("recovery_store_broken", error=str(error))
                self.node.written(monotonic(), clock(), ok, full)
                self._keep()
                self._drain(wake=False)
                if full:
                    break  # the next change or beat tries again
            if self._closing:
                return

    # The gate.

    def claim(self, request: ClientRequest) -> None:
        """Ask the homes of a load's ticket to grant it; the outcome comes as a Settled effect."""
        self.node.claim(monotonic(), clock(), request.number, request.ticket)
        self._drain()

    def _claim_again(self, number: int) -> None:
        if number in self.gate.asks and not self._closing:
            self.claim(self.gate.asks[number][0])

    def settled(self, number: int, ran: bool) -> None:
        """Tell the node that a request with a claim has ended; `ran` False frees its ticket. No claim: ignored."""
        if number in self.node._nonces:
            self.node.settled(monotonic(), clock(), number, ran)
            self._drain()

    def carry(self, outs: list[AdmissionDecision]) -> None:
        """Tell the core what the gate decided on each request."""
        for out in outs:
            asked = self.gate.asks.pop(out.number, None)
            if asked is None:
                continue
            if out.passes:
                self.core.admit_waiting(out.number, asked[1])
            else:
                self.telemetry.count("recovery_refused")
                self.core.reject_waiting(out.number, Response(ResponseStatus.REJECTED, None, out.retry_ms))

    # Time.

    def _plan(self, wait_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self._closing:
            self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _tick(self) -> None:
        now, unix = monotonic(), clock()
        running = self.node.stages.over
        if now - self._looked >= LOOK_S * 1000.0:
            self._looked = now
            self._look(now, unix)
        if not running:
            self.intake.engines = tuple(
                ReadyEngine(e.cores, e.entry.since_ms)
                for e in self.core.controller.engines.values()
                if e.ready and not e.suspect
            )
            self._begin_service(unix)
            self.node.backlog(now, unix, len(self.intake.waiting), self.intake.warm(unix))
        self.node.tick(now, unix)
        self._keep()
        self._drain()
        if not self.node.stages.over:
            self.carry(self.intake.look(unix))
        due_s = max(0.002, (self.node.due() - now) / 1000.0)
        self._plan(min(due_s, LOOK_S if self.node.stages.over else TURN_S))

    def _keep(self) -> None:
        """What the store says of cold engines' rights, and is to say."""
        if (warming := self.program.warming) is not None:
            cold = warming.budgets
            self.node.quiet(cold is None or cold.idle)
            if cold is not None:
                cold.set_store_state(monotonic(), self.node.marked, self.node.spared)

    def _begin_service(self, unix: float) -> None:
        """The gate's times: when service is expected to begin, and that loads go on a little later."""
        if self.node.stages.stage < Stage.SERVICE:
            self.intake.expected = unix + max(0.0, self.node.stages.due() - monotonic())
        elif not self._service_at:
            self._service_at, self.intake.begun = unix, True
        elif unix - self._service_at >= LOADS_MS:
            self.intake.loads = True

    def _look(self, now: float, unix: float) -> None:
        """The list as it stands, whether rights have rested, and whether the bus has the last word again."""
        at = (self.program.bus.last, len(self.core.engines), self._chills)
        if at != self._listed:
            self._listed = at
            self.node.holds(now, unix, self.program.bus.last, self._listing())
        if (
            not self.node.facts.rested
            and now - self._began >= self.terms.rests.rights_ms
            and (self.node.facts.epoch or not self.node.facts.fleet)
        ):
            self.node.rested(now, unix)
        agreed = self.node.agreed
        if (
            self._held_back
            and agreed is not None
            and self.program.bus.spoke
            and (self.program.bus.last >= agreed.number)
        ):
            self._withhold(self.withheld - self._held_back, frozenset())

    def _listing(self) -> dict[str, wire.ListedEngine]:
        config, out = self.program.config, {}
        for state in self.core.engines.values():
            entry = state.listed or state.entry
            if state.driver is self.program.driver and len(state.name) <= 64:
                out[state.name] = wire.ListedEngine(
                    state.name,
                    f"{state.address[0]}:{state.address[1]}"[:64],
                    _at(config.zones, entry.zone),
                    _at(config.kinds, entry.kind),
                    entry.cell,
                    int(entry.health),
                    entry.weight,
                    max(0.0, state.entry.since_ms),
                    max(0.0, entry.since_ms),
                )
        return out

    # What the node wants done.

    def drain(self) -> None:
        """Send the node's messages, apply its effects and wake the store's writer."""
        self._drain()

    def _drain(self, wake: bool = True) -> None:
        node = self.node
        while node.effects or node.out:
            out, node.out = node.out, []
            for name, data in out:
                if self.program.fleet is not None:
                    self.program.fleet.post(name, self.channel, data)
            effects, node.effects = node.effects, []
            for effect in effects:
                self._effect(effect)
        if wake:
            self._wake.set()

    def _effect(self, effect: Any) -> None:
        if isinstance(effect, StageTransition):
            self.telemetry.log(
                "recovery_stage",
                stage=effect.stage.name.lower(),
                left=effect.left.name.lower(),
                why=effect.why,
                weak=effect.weak,
                ms=round(effect.took_ms, 1),
            )
            self.staged(effect.left.name.lower(), "weak" if effect.weak else "done")
            self.staged(effect.stage.name.lower(), "begun")
            if effect.stage is Stage.OPEN:
                self.carry(self.intake.release())
        elif isinstance(effect, WriteLogLine):
            self.telemetry.log(effect.event, **effect.fields)
        elif isinstance(effect, MarkRestarted):
            self._chills += 1
            self.core.mark_restarted(effect.starts)
            self.telemetry.log(
                "recovery_cold",
                engines=len(effect.starts),
                names=sorted(effect.starts)[:16],
                starts=sorted(set(effect.starts.values()))[:16],
            )
        elif isinstance(effect, agreement.AgreedState):
            self._agreed(effect)
        elif isinstance(effect, ClaimResolved):
            self._settle(effect)

    def _settle(self, effect: ClaimResolved) -> None:
        if effect.how == tickets.GO:
            self.intake.clear(effect.number)
            self.carry(self.intake.look(clock()))
        elif effect.number in self.gate.asks and effect.how == tickets.UNSURE and not self.node.stages.over:
            # Its homes may be on their way back too: it waits on for as long as it has hope.
            asyncio.get_running_loop().call_later(AGAIN_S, self._claim_again, effect.number)
        elif effect.number in self.gate.asks:
            del self.gate.asks[effect.number]
            self.telemetry.count("loads_repeated" if effect.how == tickets.RAN else "loads_without_ticket")
            # Homes that rest do so for long: who comes back soon is refused again.
            wait_ms = self.config.claim_ms if effect.how == tickets.UNSURE else math.inf
            self.core.reject_waiting(
                effect.number,
                Response(ResponseStatus.FAILED)
                if effect.how == tickets.RAN
                else Response(ResponseStatus.REJECTED, None, self.intake.wait_ms(clock(), clock() + wait_ms)),
            )

    def _agreed(self, agreed: agreement.AgreedState) -> None:
        """Lists and bans are settled, by enough of the seeds or, for now, by the safest of what is known."""
        self.telemetry.log(
            "recovery_agreed",
            enough=agreed.enough,
            number=agreed.number,
            engines=len(agreed.list),
            banned=sorted(agreed.banned)[:16],
            withheld=sorted(agreed.withheld)[:16],
        )
        for name in agreed.banned - self.files:
            try:
                self.program.shared.ban(name, True)
            except OSError as error:
                self.telemetry.log("recovery_ban", name=name, error=error.strerror)
                agreed = agreement.AgreedState(
                    agreed.enough, agreed.number, agreed.list, agreed.withheld | {name}, agreed.banned, agreed.starts
                )
        if agreed.enough and agreed.number > self.program.bus.last and agreed.list:
            self.program.bus.restore(
                BusEvent(
                    agreed.number,
                    Topology(
                        [
                            Host(e.name, e.dial, e.site, e.kind, e.block, _HEALTH[Health(e.health)], e.share, e.told_ms)
                            for e in agreed.list
                        ],
                        agreed.number,
                        True,
                    ),
                )
            )
        banned = self.node.bans.anybody()
        self._withhold(agreed.withheld, agreed.withheld - banned)

    def _withhold(self, names: frozenset[str], by_lists: frozenset[str]) -> None:
        if names != self.withheld:
            self.telemetry.log("recovery_withheld", names=sorted(names)[:16])
        self.withheld, self._held_back = names, by_lists
        self.core.ban(self.files | names)


def _at(names: tuple[str, ...], place: int) -> str:
    return names[place][:64] if place < len(names) else ""


def attach(program: ProgramContext) -> RecoveryService:
    """Create the recovery of a program under construction and register it.

    Its fleet, if it has one, carries the messages.
    """
    operator = program.config.operator
    config, fleet = operator.recovery, operator.fleet
    assert config is not None
    rights_ms = 0.0
    if fleet is not None and fleet.budget:
        rights_ms = fleet.lease_ms * (1 + fleet.drift) / (1 - fleet.drift) + max(b.window_ms for b in fleet.budget) * (
            1 + fleet.drift
        )
    if fleet is not None and fleet.cold:
        rights_ms = max(
            rights_ms,
            fleet.cold_lease_ms * (1 + fleet.drift) / (1 - fleet.drift)
            + program.config.settings.slow_start_window_ms * (1 + fleet.drift),
        )
    terms = RecoverySettings(
        (fleet.name if fleet else "") or program.config.name,
        tuple(seed.name for seed in fleet.seed) if fleet else (),
        StageTimeouts(
            config.store_ms,
            config.address_ms,
            config.find_ms,
            config.agree_ms,
            config.rights_ms,
            service_ms=config.service_ms,
        ),
        CooldownSettings(rights_ms, config.ticket_ms),
        config.claim_ms,
        config.first_start,
    )
    service = RecoveryService(program, terms)
    if program.fleet is not None:
        program.fleet.parts.append(service)
    if program.desk is not None:
        program.desk.does["show-recovery"] = service.figures
    return service
