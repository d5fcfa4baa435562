"""The times of the agreement among coordinators. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from frostspindle.settings.active_rules import RulesMode


@dataclass(slots=True, frozen=True)
class AgreementSettings:
    """Times in ms and clock drift that all coordinators must have alike, except `isolation_mode`."""

    lease_ms: float = 2_000.0
    drift: float = 0.01
    trial_ms: float = 10_000.0  # time in which a version may be rolled back by its figures
    isolation_mode: str = RulesMode.INTERSECTION  # or REJECT: what to do once no renewal was applied for a lease

    @property
    def own_lease_ms(self) -> float:
        """Time in ms for which a coordinator counts its own lease: shortened by the drift."""
        return self.lease_ms * (1.0 - self.drift)

    @property
    def peer_lease_ms(self) -> float:
        """Time in ms after which every lease of others is over: lengthened by the drift."""
        return self.lease_ms * (1.0 + self.drift)

    @property
    def renew_interval_ms(self) -> float:
        """Interval in ms at which a coordinator renews its lease: a quarter of it."""
        return self.lease_ms / 4.0
