"""Timing parameters of the agreement protocol. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass

from frostspindle.settings.active_rules import RulesMode


@dataclass(slots=True, frozen=True)
class AgreementSettings:
    """Lease and trial times in ms, and the clock drift. All but `isolation_mode` must be equal at all coordinators."""

    lease_ms: float = 2_000.0
    drift: float = 0.01
    trial_ms: float = 10_000.0  # how long an activated version is on trial and can be rolled back by the canary check
    isolation_mode: str = RulesMode.INTERSECTION  # or REJECT; the mode once the lease has expired

    @property
    def own_lease_ms(self) -> float:
        """Time in ms for which a coordinator relies on its own lease: the lease shortened by the drift."""
        return self.lease_ms * (1.0 - self.drift)

    @property
    def peer_lease_ms(self) -> float:
        """Time in ms after which any other coordinator's lease has expired: the lease lengthened by the drift."""
        return self.lease_ms * (1.0 + self.drift)

    @property
    def renew_interval_ms(self) -> float:
        """Interval in ms between lease renewals: a quarter of the lease."""
        return self.lease_ms / 4.0
