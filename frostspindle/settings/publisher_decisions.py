"""The decisions of the publisher, the coordinator that holds the lease of the task "settings".

No I/O, no clock. A pending version is activated once no coordinator can act on the previous one alone any more (see
member_decisions). After its trial it is confirmed or rolled back, depending on the canary check.
"""

from __future__ import annotations

from typing import NamedTuple

from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.canary import PASSED, CanaryCheck
from frostspindle.settings.log_commands import (
    Activate,
    Command,
    Confirm,
    PublishVersion,
    RemoveMember,
    Rollback,
    Withdraw,
)
from frostspindle.settings.state_machine import MAX_REASON_LENGTH, SettingsStateMachine


class _ObservedRenewal(NamedTuple):
    """A coordinator's last renewal, and the local time at which it was observed."""

    process: int
    number: int
    observed_at_ms: float


class _ObservedVersion(NamedTuple):
    """The version that is pending or on trial (0: none), and since when in local time."""

    version: int
    since_ms: float


class PublisherDecisions:
    """The publisher's decisions. Every coordinator observes the members, only the lease holder proposes commands."""

    def __init__(
        self, settings: AgreementSettings, machine: SettingsStateMachine, canary: CanaryCheck | None = None
    ) -> None:
        self.settings: AgreementSettings = settings
        self.machine: SettingsStateMachine = machine
        self.canary: CanaryCheck | None = canary
        self.token: int = 0  # fencing token; 0: this coordinator is not the publisher
        self._observe_all: bool = True  # visit all members and not only the updated ones
        self._last_renewals: dict[str, _ObservedRenewal] = {}  # by coordinator, ordered by time of observation
        self._pending_since = _ObservedVersion(0, 0.0)
        self._trial_since = _ObservedVersion(0, 0.0)

    def on_lease_acquired(self, now: float, token: int) -> None:
        """Start publishing with a new fencing token.

        All timeouts and a running trial start again; the trial's baseline is in the state machine.
        """
        self.token = token
        self._observe_all = True
        self._last_renewals = {}
        self._pending_since = _ObservedVersion(0, 0.0)
        self._trial_since = _ObservedVersion(0, 0.0)

    def on_lease_lost(self) -> None:
        """Drop the fencing token, so that nothing is proposed until `on_lease_acquired`."""
        self.token = 0

    def next_command(self, now: float) -> Command | None:
        """Return the next command to propose, None if there is none.

        Called after each log entry and periodically. Without a token it only observes.
        """
        self._observe_members(now)
        self._observe_versions(now)
        if not self.token:
            return None
        if self.machine.pending_version:
            return self._decide_pending(now)
        verdict = self._trial_verdict(now)
        if verdict and verdict != PASSED:
            return Rollback(self.token, self._trial_since.version, verdict)
        draft = self.machine.first_complete_draft()
        if draft is not None:
            return PublishVersion(self.token, draft.first_piece.key)
        trial = self._trial_since
        if trial.version and verdict == PASSED and now - trial.since_ms >= self.settings.trial_ms:
            return Confirm(self.token, trial.version)
        return self._remove_silent_member(now)

    def _observe_members(self, now: float) -> None:
        """Record the renewals of updated members and pass their figures to the canary check."""
        machine = self.machine
        names = [*machine.members, *machine.updated_members] if self._observe_all else [*machine.updated_members]
        machine.updated_members.clear()
        self._observe_all = False
        figures: dict[str, tuple[int, tuple[int, ...]]] = {}
        removed: list[str] = []
        for name in names:
            member = machine.members.get(name)
            if member is None:
                self._last_renewals.pop(name, None)
                removed.append(name)
                continue
            renewal = member.renewal
            figures[name] = (renewal.process, renewal.figures)
            previous = self._last_renewals.get(name)
            if previous is None or previous[:2] != (renewal.process, renewal.number):
                self._last_renewals.pop(name, None)
                self._last_renewals[name] = _ObservedRenewal(renewal.process, renewal.number, now)
        if self.canary is not None:
            self.canary.observe(now, figures, removed)

    def _observe_versions(self, now: float) -> None:
        machine = self.machine
        if self._pending_since.version != machine.pending_version:
            self._pending_since = _ObservedVersion(machine.pending_version, now)
        trial = machine.active_version if machine.trial_index else 0
        if self._trial_since.version != trial:
            self._trial_since = _ObservedVersion(trial, now)
            if self.canary is not None and trial:
                self.canary.start_trial(now, machine.baseline)

    def _decide_pending(self, now: float) -> Command | None:
        """Return the command that activates or withdraws the pending version, None to wait.

        Coordinators that can't apply the version act on the intersection while it is pending.
        """
        number = self.machine.pending_version
        all_acknowledged = True
        for name, member in self.machine.members.items():
            if member.renewal.rejected == number:
                return Withdraw(self.token, number, f"{name}: {member.renewal.reason}"[:MAX_REASON_LENGTH])
            if member.renewal.acknowledged < number:
                all_acknowledged = False
        if all_acknowledged or now - self._pending_since.since_ms >= self.settings.peer_lease_ms:
            return Activate(self.token, number, self.canary.baseline() if self.canary is not None else ())
        return None

    def _trial_verdict(self, now: float) -> str:
        """Return the canary check's verdict on the version on trial; PASSED without a trial or a check."""
        trial = self._trial_since.version
        machine = self.machine
        if not trial or self.canary is None:
            return PASSED
        if machine.version(machine.confirmed_version).digest == machine.version(trial).digest:
            return PASSED
        return self.canary.verdict(now)

    def _remove_silent_member(self, now: float) -> Command | None:
        """Return the command that removes the longest silent coordinator, if it has not renewed for two leases."""
        for name, renewal in self._last_renewals.items():
            if now - renewal.observed_at_ms >= 2.0 * self.settings.peer_lease_ms:
                return RemoveMember(self.token, name, renewal.process, renewal.number)
            return None
        return None
