"""Enforces this coordinator's share of the limits on queries in flight. No I/O."""

from __future__ import annotations

import math

from frostspindle.core import Attempt
from frostspindle.settings.schema import Rules

ROUNDING_TOLERANCE = 1e-9  # keeps floating-point error from rounding an integral share down


class SendLimits:
    """Counts admitted, unfinished attempts against the limits of the rules."""

    def __init__(self) -> None:
        self.share: float = 1.0  # of the limits that all coordinators share
        self._in_flight: dict[int, list[Attempt]] = {}  # by engine number

    def set_share(self, rules: Rules, name: str) -> None:
        """Set the share of the named coordinator: 1 if the rules have no shares, 0 if they have none for this name."""
        entry = rules.get(f"coordinator/{name}")
        if "scope/coordinator" not in rules:
            self.share = 1.0
        elif entry is None:
            self.share = 0.0
        else:
            self.share = entry.part

    def admit(self, rules: Rules, engine_key: str, attempt: Attempt) -> bool:
        """Whether an attempt is within the limits; if so, count it until it finishes."""
        engine = rules.get(engine_key)
        total = rules.get("limit/out")
        engine_limit = self._local_share(None if engine is None else engine.most)
        total_limit = self._local_share(None if total is None else total.value)
        if engine_limit == math.inf and total_limit == math.inf:
            return True
        in_flight = self._prune(attempt.engine)
        if attempt in in_flight:
            return True
        if total_limit != math.inf:
            for number in [number for number in self._in_flight if number != attempt.engine]:
                if not self._prune(number):
                    del self._in_flight[number]
        if len(in_flight) >= engine_limit or sum(map(len, self._in_flight.values())) >= total_limit:
            return False
        in_flight.append(attempt)
        return True

    def _local_share(self, limit: float | None) -> float:
        return math.inf if limit is None else math.floor(limit * self.share + ROUNDING_TOLERANCE)

    def _prune(self, engine: int) -> list[Attempt]:
        """Drop an engine's finished attempts and return the others."""
        in_flight = [attempt for attempt in self._in_flight.get(engine, ()) if not attempt.is_finished]
        self._in_flight[engine] = in_flight
        return in_flight
