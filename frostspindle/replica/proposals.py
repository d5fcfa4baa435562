"""Proposals of one member that have no outcome yet: their bound, time limits and resubmission.

No I/O and no clock: times are seconds of a monotonic clock, passed in.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pysyncobj import FAIL_REASON

from frostspindle.replica import wire
from frostspindle.replica.base import AppliedEntry, LogUnavailableError, OutcomeUnknownError

MAX_SUBMITTED_PER_TICK = 64
NOT_APPENDED = {
    FAIL_REASON.QUEUE_FULL,
    FAIL_REASON.MISSING_LEADER,
    FAIL_REASON.NOT_LEADER,
    FAIL_REASON.REQUEST_DENIED,
    FAIL_REASON.DISCARDED,  # an entry of another term was committed at its index, so it never will be
}
OUTCOME_UNKNOWN = {FAIL_REASON.LEADER_CHANGED, FAIL_REASON.UNKNOWN_OUTCOME}

Outcome = AppliedEntry | LogUnavailableError | OutcomeUnknownError
ResponseHandler = Callable[[Any, int], None]  # called by the library with result and FAIL_REASON
Submit = Callable[[bytes, ResponseHandler], None]


@dataclass(slots=True)
class PendingProposal:
    """A proposal without an outcome yet."""

    command: bytes
    deadline: float
    on_done: Callable[[Outcome], None]
    is_no_op: bool
    min_remaining: float  # not submitted with less time left, as its outcome could not arrive in time
    submitted: bool = False
    lost_in_term: int | None = None  # term in which the leader that it was forwarded to was lost

    def is_expired(self, now: float) -> bool:
        """Whether its time limit is exceeded, or too little time is left to submit it."""
        reserve = 0.0 if self.submitted else self.min_remaining
        return now >= self.deadline - reserve

    def fail(self, unknown_text: str, unavailable_text: str) -> None:
        """Complete it with OutcomeUnknownError if it was submitted, else with LogUnavailableError."""
        if self.submitted:
            self.on_done(OutcomeUnknownError(unknown_text))
        else:
            self.on_done(LogUnavailableError(unavailable_text))


class ProposalQueue:
    """The open proposals of one member, by the token in their entries."""

    def __init__(self, token_prefix: bytes, max_open: int, heartbeat_s: float) -> None:
        """`token_prefix`: 8 bytes unique to this incarnation of this member."""
        self.pending: dict[bytes, PendingProposal] = {}
        self._token_prefix: bytes = token_prefix
        self._max_open: int = max_open
        self._heartbeat_s: float = heartbeat_s
        self._has_lost: bool = False  # some were forwarded to a leader that was lost
        self._last_number: int = 0

    def add(self, now: float, topic: str, command: bytes, timeout_s: float, on_done: Callable[[Outcome], None]) -> None:
        """Queue a proposal; an empty topic makes it a no-op. It fails at once if too many are open."""
        if len(self.pending) >= self._max_open:
            on_done(LogUnavailableError(f"{self._max_open} proposals are open"))
            return
        self._last_number += 1
        token = self._token_prefix + self._last_number.to_bytes(8, "big")
        self.pending[token] = PendingProposal(
            command=wire.encode_body(topic, command, token),
            deadline=now + timeout_s,
            on_done=on_done,
            is_no_op=not topic,
            min_remaining=min(self._heartbeat_s, timeout_s / 4.0),
        )

    @property
    def has_unsubmitted(self) -> bool:
        """Whether a proposal is not submitted yet."""
        return any(not proposal.submitted for proposal in self.pending.values())

    def expire_and_submit(self, now: float, term: int, leader_is_known: Callable[[], bool], submit: Submit) -> None:
        """Fail expired proposals, and submit up to MAX_SUBMITTED_PER_TICK others if there is a leader.

        `term`: the member's current term.
        """
        submitted = 0
        for token, proposal in list(self.pending.items()):
            if proposal.is_expired(now):
                del self.pending[token]
                proposal.fail("the time limit was exceeded", "no known leader within the time limit")
            elif not proposal.submitted and submitted < MAX_SUBMITTED_PER_TICK and leader_is_known():
                proposal.submitted = True
                submitted += 1
                submit(proposal.command, self._response_handler(token, term))

    def _response_handler(self, token: bytes, term: int) -> ResponseHandler:
        def on_response(_result: Any, error: int) -> None:
            proposal = self.pending.get(token)
            if proposal is None:
                return
            if error in NOT_APPENDED:
                proposal.submitted = False  # it was not appended and never will be, so it is submitted again
            elif error == FAIL_REASON.UNKNOWN_OUTCOME:
                self._on_covered_by_snapshot(token, proposal)
            elif error == FAIL_REASON.LEADER_CHANGED:
                self._on_leader_lost(proposal, term)

        return on_response

    def _on_covered_by_snapshot(self, token: bytes, proposal: PendingProposal) -> None:
        """End a proposal whose entry a snapshot may cover, so that its result is unknown; submit no-ops again."""
        if proposal.is_no_op:
            proposal.submitted = False
            return
        del self.pending[token]
        proposal.on_done(OutcomeUnknownError("a snapshot may contain the entry"))

    def _on_leader_lost(self, proposal: PendingProposal, term: int) -> None:
        """Mark a proposal whose leader was lost before it reported the outcome; submit no-ops again."""
        if proposal.is_no_op:
            proposal.submitted = False
            return
        proposal.lost_in_term = term
        self._has_lost = True

    def fail_lost(self, applied_term: int) -> None:
        """End proposals of lost leaders from terms before `applied_term`, as an entry of that term was applied.

        Entries of a former leader that survive are applied before any entry of a later term. The proposals' outcome
        is still unknown: the former leader may yet read and append a forwarded message.
        """
        if not self._has_lost:
            return
        for token, proposal in list(self.pending.items()):
            if proposal.lost_in_term is not None and proposal.lost_in_term < applied_term:
                del self.pending[token]
                proposal.on_done(OutcomeUnknownError("the leader that received the proposal was lost"))
        self._has_lost = any(proposal.lost_in_term is not None for proposal in self.pending.values())

    def resubmit_no_ops(self) -> None:
        """Submit all no-ops again, after a snapshot was restored that may cover them."""
        for proposal in self.pending.values():
            if proposal.is_no_op:
                proposal.submitted = False

    def complete(self, token: bytes, index: int, result: bytes) -> None:
        """Complete the proposal of an applied entry, if this member proposed it."""
        proposal = self.pending.pop(token, None)
        if proposal is not None:
            proposal.on_done(AppliedEntry(index, result))

    def close(self) -> None:
        """Fail all proposals; later ones fail at once."""
        self._max_open = 0
        for proposal in self.pending.values():
            proposal.fail("the log is stopping", "the log is stopping")
        self.pending.clear()
