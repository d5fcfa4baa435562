"""The core's admission gate: holds requests during recovery, and loads until their tickets are granted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from frostspindle.core import ClientRequest, Core, Response, ResponseStatus, clock
from frostspindle.policy import AttemptOutcome
from frostspindle.recovery.admission import AdmissionDecision, RecoveryAdmission
from frostspindle.recovery.node import RecoveryNode
from frostspindle.telemetry import Telemetry


@dataclass(slots=True)
class WaitingEntry:
    """A request that waits at the gate, and whether it is next in the order of its key."""

    request: ClientRequest
    key_order_reached: bool


class GateOwner(Protocol):
    """The parts of the recovery service that the gate uses."""

    core: Core
    telemetry: Telemetry
    node: RecoveryNode

    def claim_ticket(self, request: ClientRequest) -> None:
        """Claim the ticket of a load from its replicas."""

    def on_load_ended(self, number: int, ran: bool) -> None:
        """Process the end of a request that may have a claim."""

    def flush_outputs(self) -> None:
        """Send the node's messages and apply its effects."""


class RecoveryGate:
    """Implements core.AdmissionGate; used on the event loop's thread only."""

    def __init__(self, service: GateOwner, admission: RecoveryAdmission, non_idempotent: tuple[bool, ...]) -> None:
        self.service: GateOwner = service
        self.admission: RecoveryAdmission = admission
        self.non_idempotent: tuple[bool, ...] = non_idempotent  # by request class
        self.waiting: dict[int, WaitingEntry] = {}

    def enter(self, now: float, request: ClientRequest, turn: bool) -> bool:
        """Return whether the request proceeds now; otherwise it waits for Core.admit_waiting or Core.reject_waiting.

        Once admission is open, only loads wait (for their tickets), and requests whose key still has a queue. `turn`
        (whether the request is next in the order of its key) is stored and passed to Core.admit_waiting. Other
        requests that are admitted or displaced as a result are admitted or rejected at once.
        """
        is_load = self.non_idempotent[request.cls]
        if self.admission.open and not is_load and request.key not in self.admission.queues:
            return True
        self.waiting[request.number] = WaitingEntry(request, turn)
        decisions = self.admission.submit(
            now,
            request.number,
            request.cls,
            request.key,
            remaining_ms=request.timeout_ms - (now - request.received_ms),
            cost_ms=request.cost_ms,
            ticket_granted=not is_load,
        )
        if is_load:
            self.service.claim_ticket(request)
        admitted = AdmissionDecision(request.number, True)
        self.apply([decision for decision in decisions if decision != admitted])
        if admitted not in decisions:
            return False
        del self.waiting[request.number]
        return True

    def apply(self, decisions: list[AdmissionDecision]) -> None:
        """Admit or reject requests at the core by these decisions, if they still wait."""
        for decision in decisions:
            entry = self.waiting.pop(decision.number, None)
            if entry is None:
                continue
            core = self.service.core
            if decision.admitted:
                core.admit_waiting(decision.number, entry.key_order_reached)
            else:
                self.service.telemetry.count("recovery_refused")
                core.reject_waiting(decision.number, Response(ResponseStatus.REJECTED, None, decision.retry_ms))

    def on_key_order_reached(self, number: int) -> bool:
        """Note that the request is next in the order of its key, for Core.admit_waiting.

        Return whether it still waits at the gate.
        """
        entry = self.waiting.get(number)
        if entry is None:
            return False
        entry.key_order_reached = True
        return True

    def on_request_finished(self, number: int, ran: bool) -> None:
        """Remove a request that was answered or whose client disconnected; `ran` False releases a load's ticket."""
        self.waiting.pop(number, None)
        self.admission.remove(number)
        self.service.on_load_ended(number, ran)

    def on_attempt_ended(self, engine: str, outcome: int) -> None:
        """Pass an attempt's end to the node if it shows whether the engine accepts connections.

        Only a response proves that one was accepted: a broken connection may predate a power loss, and a stopped or
        cancelled attempt need not have reached the engine.
        """
        node = self.service.node
        if outcome in (AttemptOutcome.OK, AttemptOutcome.CONNECT_FAILED):
            node.on_attempt_ended(clock(), engine, outcome == AttemptOutcome.CONNECT_FAILED)
        if node.outputs.effects:
            self.service.flush_outputs()

    def close(self) -> list[int]:
        """Return the numbers of the requests that still wait, which the core answers at shutdown."""
        return list(self.waiting)
