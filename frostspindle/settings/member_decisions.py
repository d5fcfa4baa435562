"""One coordinator's lease, and its choice between a single version and an intersection.

No I/O, no clock. A coordinator never acts on a single version after its lease has expired, and never acknowledges a
version that it has not made durable and applied.

Why no two coordinators act on contradicting versions (D is the lease, d the drift, clock rates are within d of true
time):

- A lease starts before its renewal is proposed and lasts D(1 - d) of the coordinator's clock, so at most D of true
  time. It is extended only when the renewal is applied locally; by then all earlier entries of the log are applied too.
- So each renewal after the entry that publishes v+1 makes its coordinator act on the intersection of v and v+1, and
  leases renewed before that entry expire at most D after it was committed. The publisher activates v+1 only when all
  coordinators with leases have acknowledged it, or D(1 + d) of its own clock after it applied the entry.
- Until a coordinator applies the entry that activates v+1, it acts on that intersection; after its lease has expired,
  it acts on the intersection of all versions that may be active as far as it knows.

At most two adjacent versions are active at once, as in Rae et al., "Online, Asynchronous Schema Change in F1", VLDB
2013; the intersection takes the place of F1's intermediate states. A coordinator that is isolated for longer misses
later versions, which its intersection can't cover. For this case and the mode that rejects all queries instead
(`alone = "refuse"`) see docs/design/settings.md.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable

from frostspindle.settings.active_rules import (
    NOTHING_AGREED,
    ActiveRules,
    RestoredVersions,
    RulesMode,
    RulesReason,
)
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.intersection import intersect_all, intersect_with_child
from frostspindle.settings.log_commands import MemberLeaving, RenewLease, decode_command
from frostspindle.settings.state_machine import MAX_REASON_LENGTH, OK, SettingsStateMachine
from frostspindle.settings.versions import Version

MAX_RENEWALS_IN_FLIGHT = 8  # proposed and not yet applied
MAX_REMEMBERED_CHECKS = 64
NO_VERSIONS = RestoredVersions()

CacheKey = tuple[bool, bool, tuple[int, ...], int, str | None]


class MemberDecisions:
    """One coordinator's lease and choice of rules.

    `inapplicability_reason(version)` returns why this coordinator can't apply a version, or ""; it must be pure.
    """

    def __init__(
        self,
        name: str,
        process: int,
        settings: AgreementSettings,
        machine: SettingsStateMachine,
        now: float,
        inapplicability_reason: Callable[[Version], str] = lambda version: "",
        restored: RestoredVersions = NO_VERSIONS,
    ) -> None:
        self.name: str = name
        self.process: int = process
        self.settings: AgreementSettings = settings
        self.machine: SettingsStateMachine = machine
        self.inapplicability_reason: Callable[[Version], str] = inapplicability_reason
        self.restored: RestoredVersions = restored
        self.lease_until_ms: float = -math.inf  # on this coordinator's clock
        self.has_renewed: bool = False  # a renewal by this process has been applied
        self.durable_digests: dict[int, int] = {version.number: version.digest for version in restored.versions}
        self.counts: Counter[str] = Counter()
        self.applied: ActiveRules = NOTHING_AGREED  # the rules in force in the core
        self._renewals_in_flight: dict[int, float] = {}  # renewal number to the time of its proposal
        self._last_renewal: int = 0
        self._renewal_due_ms: float = now
        self._last_reported: tuple[int, int] = (0, 0)  # acknowledged and rejected version
        self._rejection_reasons: dict[int, str] = {0: ""}  # by version; "" if it is applicable
        self._cached: tuple[CacheKey, ActiveRules] | None = None
        self._has_left: bool = False

    # Log entries.

    def on_entry_applied(self, now: float, command: bytes, result: bytes) -> None:
        """Handle an entry that was applied to the state machine; `command` and `result` are empty for a snapshot.

        A renewal by this process extends the lease, counted from its proposal.
        """
        decoded = decode_command(command) if command else None
        if isinstance(decoded, RenewLease) and decoded.name == self.name and decoded.process == self.process:
            self._on_own_renewal(decoded.number, result)
        self._check_versions()

    def _on_own_renewal(self, number: int, result: bytes) -> None:
        proposed_at = self._renewals_in_flight.get(number)
        for earlier in [other for other in self._renewals_in_flight if other <= number]:
            del self._renewals_in_flight[earlier]
        if result != OK:
            self.counts["hold_refused"] += 1
        elif proposed_at is not None and not self._has_left:
            self.lease_until_ms = max(self.lease_until_ms, proposed_at + self.settings.own_lease_ms)
            self.has_renewed = True

    def _check_versions(self) -> None:
        """Check whether the active and the pending version are applicable, once for each version."""
        numbers = (self.machine.active_version, self.machine.pending_version)
        for number in numbers:
            if number not in self._rejection_reasons:
                self._rejection_reasons[number] = self.inapplicability_reason(self.machine.version(number))
        if len(self._rejection_reasons) > MAX_REMEMBERED_CHECKS:
            current = {number: self._rejection_reasons[number] for number in numbers}
            self._rejection_reasons = {0: "", **current}

    # Active rules.

    def current_rules(self, now: float) -> ActiveRules:
        """Return the rules to act on now.

        Called before each step, so that an expired lease takes effect at once.
        """
        machine = self.machine
        lease_is_valid = now < self.lease_until_ms and not self._has_left
        key: CacheKey = (
            lease_is_valid,
            self.has_renewed,
            machine.candidate_versions,
            machine.pending_version,
            self._rejection_reasons.get(machine.active_version),
        )
        if self._cached is not None and self._cached[0] == key:
            return self._cached[1]
        rules = self._rules_with_lease() if lease_is_valid else self._rules_without_lease()
        if (
            self._cached is not None
            and rules.reason == RulesReason.ISOLATED
            and self._cached[1].reason != RulesReason.ISOLATED
        ):
            self.counts["leases_lost"] += 1
        self._cached = (key, rules)
        return rules

    def _rules_with_lease(self) -> ActiveRules:
        machine = self.machine
        active = machine.version(machine.active_version)
        if machine.pending_version:
            pending = machine.version(machine.pending_version)
            return self._intersection((active, pending), RulesReason.PENDING)
        if self._rejection_reasons.get(active.number):
            confirmed = machine.version(machine.confirmed_version)
            return self._intersection((confirmed, active), RulesReason.NOT_APPLICABLE)
        if not active.number:
            return NOTHING_AGREED
        return ActiveRules(RulesMode.VERSION, (active.number,), active.rules)

    def _rules_without_lease(self) -> ActiveRules:
        """Return the intersection of all versions that may be active; in the strict mode with all queries rejected."""
        candidates = {number: self.machine.version(number) for number in self.machine.candidate_versions}
        if not self.has_renewed:
            candidates = {version.number: version for version in self.restored.versions} | candidates
            if len(candidates) > 1:
                candidates.pop(0, None)
        reason = RulesReason.ISOLATED if self.has_renewed else RulesReason.STARTED
        numbers = tuple(sorted(candidates))
        if self.settings.isolation_mode == RulesMode.REJECT and any(numbers):
            rules = intersect_all(version.rules for version in candidates.values())
            return ActiveRules(RulesMode.REJECT, numbers, rules, reason)
        return self._intersection(tuple(candidates[number] for number in numbers), reason)

    def _intersection(self, versions: tuple[Version, ...], reason: RulesReason) -> ActiveRules:
        numbers = tuple(dict.fromkeys(version.number for version in versions))
        if not any(numbers):
            return NOTHING_AGREED
        prepared = self.machine.prepared_intersection
        if numbers == (prepared.parent, prepared.child):
            rules = prepared.rules
        elif len(versions) == 2 and versions[1].parent == versions[0].number:
            parent, child = versions
            rules = intersect_with_child(parent.rules, child.rules, child.changes)
        else:
            rules = intersect_all(version.rules for version in versions)
        return ActiveRules(RulesMode.INTERSECTION, numbers, rules, reason)

    def on_rules_applied(self, rules: ActiveRules) -> None:
        """Record that these rules are in force in the core."""
        self.applied = rules

    # Store.

    def versions_to_persist(self, include_removals: bool = True) -> tuple[Version, ...]:
        """Return the versions to make durable, empty if there is nothing to write.

        Without `include_removals`, surplus durable versions alone are no reason to write: a coordinator starts with the
        intersection of all durable versions, so a surplus one is safe. Returns nothing until a renewal by this process
        has been applied, as the state machine may still be behind the store.
        """
        if not self.has_renewed:
            return ()
        needed = tuple(
            self.machine.version(number)
            for number in self.machine.candidate_versions
            if number and not self._rejection_reasons.get(number)
        )
        digests = {version.number: version.digest for version in needed}
        if digests == self.durable_digests:
            return ()
        if not include_removals and digests.items() <= self.durable_digests.items():
            return ()
        return needed

    def on_persisted(self, versions: Iterable[Version]) -> None:
        """Record that exactly these versions are durable."""
        self.durable_digests = {version.number: version.digest for version in versions}

    # Proposals.

    def next_renewal(self, now: float, figures: tuple[int, ...] = ()) -> RenewLease | None:
        """Return the renewal to propose now, None if none is due. The caller must propose it at once."""
        if self._has_left:
            return None
        acknowledged = self._acknowledged_version()
        rejected = self._rejected_version()
        is_due = now >= self._renewal_due_ms
        if not is_due and (acknowledged, rejected) == self._last_reported:
            return None
        if len(self._renewals_in_flight) >= MAX_RENEWALS_IN_FLIGHT:
            if not is_due:
                return None
            del self._renewals_in_flight[next(iter(self._renewals_in_flight))]
        self._last_renewal += 1
        self._renewals_in_flight[self._last_renewal] = now
        self._last_reported = (acknowledged, rejected)
        self._renewal_due_ms = now + self.settings.renew_interval_ms
        reason = self._rejection_reasons.get(rejected, "")[:MAX_REASON_LENGTH] if rejected else ""
        return RenewLease(
            self.name,
            self.process,
            self._last_renewal,
            acknowledged,
            self.applied.sole_version,
            rejected,
            reason,
            figures,
        )

    def rejection_reason(self, number: int) -> str:
        """Return why this coordinator can't apply a version; "" if it can or has not checked it."""
        return self._rejection_reasons.get(number, "")

    def leave(self) -> MemberLeaving:
        """Give up the lease for good and return the command that announces it."""
        self._has_left = True
        return MemberLeaving(self.name, self.process)

    def _newest_version(self) -> int:
        return self.machine.pending_version or self.machine.active_version

    def _acknowledged_version(self) -> int:
        newest = self._newest_version()
        is_applied = newest in self.applied.versions and not self._rejection_reasons.get(newest)
        version = self.machine.version(newest)
        if newest and is_applied and self.durable_digests.get(newest) == version.digest:
            return newest
        last_acknowledged = self._last_reported[0]
        return last_acknowledged if last_acknowledged <= newest else 0

    def _rejected_version(self) -> int:
        newest = self._newest_version()
        return newest if self._rejection_reasons.get(newest) else 0
