"""Verdicts on engines: what other coordinators report about an engine, and the quorum at which it takes effect.

A verdict is accepted from its author only and never forwarded. It is valid for `valid_ms`, and takes effect only if at
least `quorum` coordinators share it. Makes no decisions about requests. No I/O and no clock: times are in ms of the
local monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from frostspindle.fleet.wire import Verdict

SICK, SLOW, BANNED, COLD = range(4)
KINDS = ("sick", "slow", "banned", "cold")
MAX_VERDICTS = 16  # of one coordinator; they must fit in one message
MAX_EVIDENCE = 4  # numbers per verdict
PUBLISH_INTERVAL_MS = 500.0  # between messages with the local verdicts to some of the members
MAX_RECIPIENTS = 24  # per publish interval
MAX_AUTHORS_SHOWN = 8  # per verdict in the operators' table

EngineKind = tuple[str, int]  # engine, kind
Evidence = tuple[float, ...]


@dataclass(slots=True, frozen=True)
class _OwnVerdict:
    set_at: float
    evidence: Evidence


@dataclass(slots=True, frozen=True)
class _PeerVerdict:
    received_at: float
    evidence: Evidence


class EngineVerdicts:
    """This coordinator's verdicts on engines, and those received from others."""

    def __init__(self, quorum: int, valid_ms: float) -> None:
        self.quorum = quorum
        self.valid_ms = valid_ms
        self.own: dict[EngineKind, _OwnVerdict] = {}
        self._received: dict[str, dict[EngineKind, _PeerVerdict]] = {}  # by coordinator
        self._to_notify: set[str] = set()  # members that have not received the last change

    # Local verdicts.

    def set_own(self, now: float, verdicts: Mapping[EngineKind, Evidence], members: Collection[str]) -> bool:
        """Replace the local verdicts, with their evidence; only the first MAX_VERDICTS are kept.

        Return whether the set of verdicts has changed; if so, all `members` are to be notified.
        """
        limited = dict(list(verdicts.items())[:MAX_VERDICTS])
        changed = limited.keys() != self.own.keys()
        self.own = {
            engine_kind: _OwnVerdict(self.own[engine_kind].set_at if engine_kind in self.own else now, evidence)
            for engine_kind, evidence in limited.items()
        }
        if changed:
            self._to_notify = set(members)
        return changed

    def recipients_at_a_time(self, size: int) -> int:
        """Return the number of recipients per publish interval in a fleet of `size`, at most MAX_RECIPIENTS.

        Below that limit, each member receives the verdicts three times before they expire.
        """
        return min(MAX_RECIPIENTS, math.ceil(3.0 * size * PUBLISH_INTERVAL_MS / self.valid_ms))

    def digest_for(self, now: float, member: str) -> list[Verdict]:
        """Return the verdicts to send to a member, which counts as notified; an empty list withdraws earlier ones."""
        self._to_notify.discard(member)
        return [
            Verdict(engine, kind, min(1e9, max(0.0, now - own.set_at)), list(own.evidence[:MAX_EVIDENCE]))
            for (engine, kind), own in self.own.items()
        ]

    @property
    def has_recipients(self) -> bool:
        """Whether any member must be sent a digest: there are verdicts, or some members missed their withdrawal."""
        return bool(self.own or self._to_notify)

    def is_recipient(self, member: str) -> bool:
        """Return whether a member must be sent a digest."""
        return bool(self.own) or member in self._to_notify

    # Verdicts of others.

    def on_digest(self, now: float, sender: str, verdicts: list[Verdict]) -> None:
        """Replace a coordinator's verdicts with those that it sent; missing ones are withdrawn.

        The validity of a verdict starts now, as its author sends only verdicts that still hold.
        """
        if not verdicts:
            self._received.pop(sender, None)
            return
        self._received[sender] = {
            (verdict.engine, verdict.kind): _PeerVerdict(now, tuple(verdict.evidence)) for verdict in verdicts
        }

    def remove_member(self, name: str) -> None:
        """Drop the verdicts of a coordinator that has left the fleet or died."""
        self._received.pop(name, None)
        self._to_notify.discard(name)

    def authors(self, now: float, engine: str, kind: int) -> list[str]:
        """Return the other coordinators with a valid verdict of this kind on an engine, sorted by name."""
        names = []
        for name, verdicts in self._received.items():
            verdict = verdicts.get((engine, kind))
            if verdict is not None and now - verdict.received_at <= self.valid_ms:
                names.append(name)
        return sorted(names)

    def agreed(self, now: float, kind: int) -> set[str]:
        """Return the engines on which a quorum of other coordinators shares a verdict of this kind."""
        engines = {
            engine for verdicts in self._received.values() for engine, verdict_kind in verdicts if verdict_kind == kind
        }
        return {engine for engine in engines if len(self.authors(now, engine, kind)) >= self.quorum}

    def table(self, now: float) -> list[dict[str, object]]:
        """Return a row per engine and kind for the operators' port: its authors and whether the quorum is reached."""
        known = {engine_kind for verdicts in self._received.values() for engine_kind in verdicts} | self.own.keys()
        return [self._table_row(now, engine, kind) for engine, kind in sorted(known)]

    def _table_row(self, now: float, engine: str, kind: int) -> dict[str, object]:
        authors = self.authors(now, engine, kind)
        shown = authors[:MAX_AUTHORS_SHOWN]
        return {
            "engine": engine,
            "kind": KINDS[kind],
            "own": (engine, kind) in self.own,
            "judges": len(authors),
            "by": shown,
            "counts": len(authors) >= self.quorum,
            "evidence": {name: list(self._received[name][engine, kind].evidence) for name in shown},
        }
