"""Verdicts on engines: what other coordinators report of an engine, and the quorum from which that may count.

A verdict is taken from its maker only, never passed on by another; it counts for `valid_ms`, and only if at least
`quorum` coordinators share it. Decides nothing about requests. No I/O and no clock: times are ms of the own monotonic
clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from frostspindle.fleet.wire import Verdict

SICK, SLOW, BANNED, COLD = range(4)
KINDS = ("sick", "slow", "banned", "cold")
MAX_VERDICTS = 16  # of one coordinator: as many as a message holds
MAX_EVIDENCE = 4  # numbers of one verdict
PUBLISH_INTERVAL_MS = 500.0  # how often some members get the own verdicts
MAX_RECIPIENTS = 24  # at a time
MAX_NAMED = 8  # coordinators named in the operators' table

EngineKind = tuple[str, int]  # engine, kind
Evidence = tuple[float, ...]


@dataclass(slots=True, frozen=True)
class _OwnVerdict:
    since: float
    evidence: Evidence


@dataclass(slots=True, frozen=True)
class _PeerVerdict:
    received_at: float
    evidence: Evidence


class EngineVerdicts:
    """This coordinator's verdicts on engines, and those received of others."""

    def __init__(self, quorum: int, valid_ms: float) -> None:
        self.quorum = quorum
        self.valid_ms = valid_ms
        self.own: dict[EngineKind, _OwnVerdict] = {}
        self._received: dict[str, dict[EngineKind, _PeerVerdict]] = {}  # by coordinator
        self._to_notify: set[str] = set()  # members that have yet to receive the last change

    # The own verdicts.

    def set_own(self, now: float, verdicts: Mapping[EngineKind, Evidence], members: Collection[str]) -> bool:
        """Set the verdicts that hold here now, the first MAX_VERDICTS of them, with their evidence.

        Return whether the set has changed; then all `members` are to be notified.
        """
        kept = dict(list(verdicts.items())[:MAX_VERDICTS])
        changed = kept.keys() != self.own.keys()
        self.own = {
            place: _OwnVerdict(self.own[place].since if place in self.own else now, evidence)
            for place, evidence in kept.items()
        }
        if changed:
            self._to_notify = set(members)
        return changed

    def recipients_at_a_time(self, size: int) -> int:
        """Return how many members to send to at a time in a fleet of `size`: each gets the verdicts three times before
        they expire. At most MAX_RECIPIENTS.
        """
        return min(MAX_RECIPIENTS, math.ceil(3.0 * size * PUBLISH_INTERVAL_MS / self.valid_ms))

    def digest_for(self, now: float, member: str) -> list[Verdict]:
        """Return the verdicts to send to a member, which counts as notified; empty if there are none (any more)."""
        self._to_notify.discard(member)
        return [
            Verdict(engine, kind, min(1e9, max(0.0, now - own.since)), list(own.evidence[:MAX_EVIDENCE]))
            for (engine, kind), own in self.own.items()
        ]

    @property
    def has_recipients(self) -> bool:
        """Whether any member is to get a digest: there are verdicts, or some have yet to learn that they ended."""
        return bool(self.own or self._to_notify)

    def is_recipient(self, member: str) -> bool:
        """Tell whether that member is to get a digest."""
        return bool(self.own) or member in self._to_notify

    # Others' verdicts.

    def on_digest(self, now: float, sender: str, verdicts: list[Verdict]) -> None:
        """Replace a coordinator's verdicts by those that it sent itself; what is missing is withdrawn.

        A verdict's age counts from now, as its maker states only what holds.
        """
        if not verdicts:
            self._received.pop(sender, None)
            return
        self._received[sender] = {
            (verdict.engine, verdict.kind): _PeerVerdict(now, tuple(verdict.evidence)) for verdict in verdicts
        }

    def remove_member(self, name: str) -> None:
        """Drop the verdicts of a coordinator that has left the fleet or was lost."""
        self._received.pop(name, None)
        self._to_notify.discard(name)

    def makers(self, now: float, engine: str, kind: int) -> list[str]:
        """Return the other coordinators whose verdict of this kind on the engine is not older than `valid_ms`."""
        names = []
        for name, verdicts in self._received.items():
            verdict = verdicts.get((engine, kind))
            if verdict is not None and now - verdict.received_at <= self.valid_ms:
                names.append(name)
        return sorted(names)

    def agreed(self, now: float, kind: int) -> set[str]:
        """Return the engines on which a quorum of others shares a verdict: the only ones on which it may count."""
        engines = {
            engine for verdicts in self._received.values() for engine, verdict_kind in verdicts if verdict_kind == kind
        }
        return {engine for engine in engines if len(self.makers(now, engine, kind)) >= self.quorum}

    def table(self, now: float) -> list[dict[str, object]]:
        """Return for the operators' port each engine and kind, by whom it is reported so, and whether that counts."""
        places = {place for verdicts in self._received.values() for place in verdicts} | self.own.keys()
        return [self._table_row(now, engine, kind) for engine, kind in sorted(places)]

    def _table_row(self, now: float, engine: str, kind: int) -> dict[str, object]:
        makers = self.makers(now, engine, kind)
        named = makers[:MAX_NAMED]
        return {
            "engine": engine,
            "kind": KINDS[kind],
            "own": (engine, kind) in self.own,
            "judges": len(makers),
            "by": named,
            "counts": len(makers) >= self.quorum,
            "evidence": {name: list(self._received[name][engine, kind].evidence) for name in named},
        }
