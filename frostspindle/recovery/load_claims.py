"""Claims of load tickets between this coordinator and the tickets' replicas, which may include itself."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from frostspindle.recovery import wire
from frostspindle.recovery.outputs import ClaimResolved, NodeOutputs
from frostspindle.recovery.tickets import (
    ClaimOutcome,
    TicketClaims,
    TicketJournal,
    TicketMessage,
    ticket_id,
    ticket_replicas,
)
from frostspindle.recovery.wire import TicketStatus


class LoadClaims:
    """Both sides of the ticket protocol for one node. No I/O; `now` in ms monotonic; `unix_ms` is Unix time."""

    def __init__(
        self,
        name: str,
        seeds: tuple[str, ...],
        claim_ms: float,
        journal: TicketJournal,
        rng: random.Random,
        outputs: NodeOutputs,
        own_store: Callable[[], wire.StoreState | None],
    ) -> None:
        self.journal: TicketJournal = journal
        self.claims: TicketClaims = TicketClaims(claim_ms)
        self.accepts_new: bool = False  # set after the agreement, which shows whether the journal's store is outdated
        self._name: str = name
        self._seeds: tuple[str, ...] = seeds
        self._random: random.Random = rng
        self._outputs: NodeOutputs = outputs
        self._own_store: Callable[[], wire.StoreState | None] = own_store
        self._number_by_nonce: dict[int, int] = {}  # the core's number of each load
        self._nonce_by_number: dict[int, int] = {}

    def has_claim(self, number: int) -> bool:
        """Return whether a load has a claim."""
        return number in self._nonce_by_number

    def claim(self, now: float, unix_ms: float, number: int, request_id: str) -> None:
        """Claim a load's ticket from its replicas; a ClaimResolved effect has the outcome."""
        ticket = ticket_id(request_id)
        nonce = self._random.getrandbits(62)
        self._number_by_nonce[nonce] = number
        self._nonce_by_number[number] = nonce
        messages = self.claims.begin(now, ticket, nonce, ticket_replicas(ticket, self._seeds))
        if not messages:
            self._resolve(nonce, ClaimOutcome.NO_QUORUM)
        self._deliver(now, unix_ms, messages)

    def on_load_ended(self, now: float, unix_ms: float, number: int, ran: bool) -> None:
        """Process that a load has ended or its client has disconnected; `ran` False releases its ticket."""
        nonce = self._nonce_by_number.pop(number, None)
        if nonce is None:
            return
        self._number_by_nonce.pop(nonce, None)
        messages = self.claims.on_load_ended(now, nonce, ran) + self.claims.cancel(now, nonce)
        self._deliver(now, unix_ms, messages)

    def on_claim(self, unix_ms: float, sender: str, message: wire.TicketClaim) -> None:
        """Answer another coordinator's claim, immediately or when its record is durable."""
        status = self._claim_locally(unix_ms, sender, message.ticket, message.nonce)
        if status is not None:
            self._reply(sender, message.ticket, message.nonce, status)

    def on_reply(self, now: float, unix_ms: float, replica: str, nonce: int, status: TicketStatus) -> None:
        """Process a replica's reply to a claim of this coordinator."""
        resolved = self.claims.on_reply(now, replica, nonce, status)
        if resolved is None:
            return
        outcome, messages = resolved
        self._resolve(nonce, outcome)
        self._deliver(now, unix_ms, messages)

    def on_batch_written(self, now: float, unix_ms: float, ok: bool, full: bool) -> None:
        """Process the outcome of the journal's batch and answer the claimants that waited for it."""
        for waiter, status in self.journal.on_batch_written(ok, full):
            if waiter.name == self._name:
                self.on_reply(now, unix_ms, waiter.name, waiter.nonce, status)
            else:
                self._reply(waiter.name, waiter.ticket, waiter.nonce, status)

    def tick(self, now: float, unix_ms: float) -> None:
        """Resend messages that are due and resolve claims that are past their deadline."""
        messages, ended = self.claims.tick(now)
        for nonce, outcome in ended:
            self._resolve(nonce, outcome)
        self._deliver(now, unix_ms, messages)

    def _resolve(self, nonce: int, outcome: ClaimOutcome) -> None:
        number = self._number_by_nonce.get(nonce)
        if number is not None:
            self._outputs.effects.append(ClaimResolved(number, outcome))
        self._outputs.counters[f"claims_{outcome.replace(' ', '_')}"] += 1

    def _deliver(self, now: float, unix_ms: float, messages: Iterable[TicketMessage]) -> None:
        for message in messages:
            if message.replica != self._name:
                message_type = wire.TicketRelease if message.release else wire.TicketClaim
                self._outputs.send(message.replica, message_type(message.ticket, message.nonce))
            elif message.release:
                self.journal.release(self._name, message.ticket, message.nonce)
            else:
                status = self._claim_locally(unix_ms, self._name, message.ticket, message.nonce)
                if status is not None:
                    self.on_reply(now, unix_ms, self._name, message.nonce, status)

    def _claim_locally(self, unix_ms: float, claimant: str, ticket: bytes, nonce: int) -> TicketStatus | None:
        if not self.accepts_new and ticket not in self.journal.records:
            return None  # no reply, as if the claim was lost: the claimant resends it
        return self.journal.claim(unix_ms, claimant, ticket, nonce)

    def _reply(self, receiver: str, ticket: bytes, nonce: int, status: TicketStatus) -> None:
        self._outputs.send(receiver, wire.TicketReply(ticket, nonce, status, self._own_store()))
