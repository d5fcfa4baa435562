"""Applies a recovery node's effects: log lines, engine starts, agreed lists and bans, and outcomes of claims."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from frostspindle.config import BusEvent, Host, Topology
from frostspindle.config.recovery import RecoverySection
from frostspindle.core import Core, Response, ResponseStatus, clock
from frostspindle.host import ProgramContext
from frostspindle.policy import Health
from frostspindle.recovery.admission import RecoveryAdmission
from frostspindle.recovery.agreement import AgreedState
from frostspindle.recovery.excluded_engines import MAX_LOGGED, ExcludedEngines
from frostspindle.recovery.gate import RecoveryGate
from frostspindle.recovery.node import RecoveryNode
from frostspindle.recovery.outputs import ClaimResolved, Effect, MarkRestarted, WriteLogLine
from frostspindle.recovery.stages import Stage, StageTransition
from frostspindle.recovery.tickets import ClaimOutcome
from frostspindle.recovery.wire import ListedEngine
from frostspindle.telemetry import Telemetry

CLAIM_RETRY_S = 0.25
_HOST_STATE = {Health.READY: "active", Health.DRAINING: "leaving", Health.GONE: "left"}


class EffectOwner(Protocol):
    """The parts of the recovery service that the effect handler uses."""

    program: ProgramContext
    core: Core
    telemetry: Telemetry
    config: RecoverySection
    node: RecoveryNode
    admission: RecoveryAdmission
    gate: RecoveryGate
    excluded: ExcludedEngines
    on_stage: Callable[[str, str], None]

    def retry_claim(self, number: int) -> None:
        """Claim the ticket of a load again if the load still waits."""


class EffectHandler:
    """Applies effects to the program of a recovery service; used on the event loop's thread only."""

    def __init__(self, service: EffectOwner) -> None:
        self.restarts_marked: int = 0  # number of MarkRestarted effects applied
        self._service: EffectOwner = service

    def apply(self, effect: Effect) -> None:
        """Apply one effect."""
        match effect:
            case StageTransition():
                self._on_stage(effect)
            case WriteLogLine():
                self._service.telemetry.log(effect.event, **effect.fields)
            case MarkRestarted():
                self._mark_restarted(effect)
            case AgreedState():
                self.on_agreed(effect)
            case ClaimResolved():
                self.on_claim_resolved(effect)

    def _on_stage(self, transition: StageTransition) -> None:
        service = self._service
        previous = transition.previous.name.lower()
        stage = transition.stage.name.lower()
        service.telemetry.log(
            "recovery_stage_changed",
            stage=stage,
            left=previous,
            why=transition.reason,
            weak=transition.timed_out,
            ms=round(transition.duration_ms, 1),
        )
        service.on_stage(previous, "weak" if transition.timed_out else "done")
        service.on_stage(stage, "begun")
        if transition.stage is Stage.OPEN:
            service.gate.apply(service.admission.open_gate())

    def _mark_restarted(self, effect: MarkRestarted) -> None:
        service = self._service
        self.restarts_marked += 1
        service.core.mark_restarted(effect.starts)
        service.telemetry.log(
            "recovery_engines_marked_restarted",
            engines=len(effect.starts),
            names=sorted(effect.starts)[:MAX_LOGGED],
            starts=sorted(set(effect.starts.values()))[:MAX_LOGGED],
        )

    def on_agreed(self, agreed: AgreedState) -> None:
        """Apply the lists and bans that a quorum has agreed on or, without one, the safest known state."""
        service = self._service
        service.telemetry.log(
            "recovery_state_agreed",
            enough=agreed.has_quorum,
            number=agreed.last_event,
            engines=len(agreed.engines),
            banned=sorted(agreed.banned)[:MAX_LOGGED],
            withheld=sorted(agreed.withheld)[:MAX_LOGGED],
        )
        agreed = self._share_bans(agreed)
        bus = service.program.bus
        if agreed.has_quorum and agreed.last_event > bus.last and agreed.engines:
            hosts = [_host(engine) for engine in agreed.engines]
            bus.restore(BusEvent(agreed.last_event, Topology(hosts, agreed.last_event, True)))
        banned = service.node.bans.banned_by_any()
        service.excluded.withhold(agreed.withheld, agreed.withheld - banned)

    def _share_bans(self, agreed: AgreedState) -> AgreedState:
        """Write this coordinator's bans to the shared folder; withhold an engine whose ban can't be written."""
        service = self._service
        for name in agreed.banned - service.excluded.operator_bans:
            try:
                service.program.shared.ban(name, True)
            except OSError as error:
                service.telemetry.log("recovery_ban_received", name=name, error=error.strerror)
                agreed = replace(agreed, withheld=agreed.withheld | {name})
        return agreed

    def on_claim_resolved(self, resolved: ClaimResolved) -> None:
        """Admit a load whose ticket is granted; otherwise claim the ticket again or answer the load."""
        service = self._service
        number = resolved.number
        outcome = resolved.outcome
        if outcome == ClaimOutcome.GRANTED:
            service.admission.grant_ticket(number)
            service.gate.apply(service.admission.poll(clock()))
        elif number not in service.gate.waiting:
            return
        elif outcome == ClaimOutcome.NO_QUORUM and not service.node.stages.finished:
            # The replicas may be recovering too: the load keeps waiting until its deadline.
            asyncio.get_running_loop().call_later(CLAIM_RETRY_S, service.retry_claim, number)
        else:
            del service.gate.waiting[number]
            self._answer_load(number, outcome)

    def _answer_load(self, number: int, outcome: ClaimOutcome) -> None:
        service = self._service
        may_have_run = outcome == ClaimOutcome.MAY_HAVE_RUN
        service.telemetry.count("loads_repeated" if may_have_run else "loads_without_ticket")
        if may_have_run:
            response = Response(ResponseStatus.FAILED)
        else:
            # Replicas stay in cooldown for long: a client that retries soon would be rejected again.
            wait_ms = service.config.claim_ms if outcome == ClaimOutcome.NO_QUORUM else math.inf
            retry_ms = service.admission.retry_after_ms(clock(), clock() + wait_ms)
            response = Response(ResponseStatus.REJECTED, None, retry_ms)
        service.core.reject_waiting(number, response)


def _host(engine: ListedEngine) -> Host:
    """Return an engine as an entry of the bus, with the start that the bus published."""
    return Host(
        engine.name,
        engine.address,
        engine.zone,
        engine.kind,
        engine.cell,
        _HOST_STATE[Health(engine.health)],
        engine.weight,
        engine.published_start_ms,
    )
