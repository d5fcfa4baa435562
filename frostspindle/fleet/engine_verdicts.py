"""Judgements on engines: what other coordinators say of an engine, and when that may count.

Owns each coordinator's standing word on engines and the rule by which words of several become one that the decision
module may hear. It must never take one coordinator's word twice or passed on by another, never let fewer than `judges`
of them or a word older than `lasts_ms` count, and decides nothing about requests. Times are ms.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from frostspindle.fleet.wire import Verdict

SICK, SLOW, BANNED, COLD = range(4)
KINDS = ("sick", "slow", "banned", "cold")
MOST = 16  # of one coordinator: as many as a message holds
TELL_MS, MOST_TOLD = 500.0, 24  # how often some members hear the own word, and how many at the most


@dataclass(slots=True)
class _PeerVerdict:
    kind: int
    made: float
    evidence: tuple[float, ...]


class EngineVerdicts:
    """This coordinator's judgements on engines and those heard of others."""

    def __init__(self, judges: int, lasts_ms: float) -> None:
        self.judges, self.lasts_ms = judges, lasts_ms
        self.own: dict[tuple[str, int], tuple[float, tuple[float, ...]]] = {}  # engine, kind: since, evidence
        self._heard: dict[str, dict[tuple[str, int], _PeerVerdict]] = {}  # by coordinator
        self._untold: set[str] = set()  # who has yet to hear that the own word has ended

    # The own word.

    def judge(self, now: float, standing: dict[tuple[str, int], tuple[float, ...]], members: Collection[str]) -> bool:
        """Set the judgements that hold here now, the first MOST of them, with their evidence.

        Return whether the set has changed.
        """
        kept = dict(list(standing.items())[:MOST])
        changed = kept.keys() != self.own.keys()
        self.own = {
            place: (self.own[place][0] if place in self.own else now, evidence) for place, evidence in kept.items()
        }
        if changed:
            self._untold = set(members)
        return changed

    def many(self, size: int) -> int:
        """Return how many members to tell at a time, so that each hears the judgements three times before they expire,
        up to MOST_TOLD.
        """
        return min(MOST_TOLD, math.ceil(3.0 * size * TELL_MS / self.lasts_ms))

    def word(self, now: float, to: str) -> list[Verdict]:
        """Return the judgements to tell one member; empty if there are none (any more)."""
        self._untold.discard(to)
        return [
            Verdict(engine, kind, min(1e9, max(0.0, now - since)), list(evidence[:4]))
            for (engine, kind), (since, evidence) in self.own.items()
        ]

    @property
    def speaks(self) -> bool:
        """Whether any member needs to be told: there are judgements, or some have yet to hear that they ended."""
        return bool(self.own or self._untold)

    def tells(self, name: str) -> bool:
        """Tell whether that member needs to be told."""
        return bool(self.own) or name in self._untold

    # Others' words.

    def hear(self, now: float, name: str, verdicts: list[Verdict]) -> None:
        """Replace a coordinator's judgements by those that it sent itself; what is missing is withdrawn.

        A judgement's age counts from now, as its maker states only what holds.
        """
        self._heard[name] = {(v.engine, v.kind): _PeerVerdict(v.kind, now, tuple(v.evidence)) for v in verdicts}
        if not verdicts:
            del self._heard[name]

    def gone(self, name: str) -> None:
        """Drop the judgements of a coordinator that has left the fleet or was lost."""
        self._heard.pop(name, None)
        self._untold.discard(name)

    def judges_of(self, now: float, engine: str, kind: int) -> list[str]:
        """Return the other coordinators whose judgement of this kind on the engine is not older than `lasts_ms`."""
        return sorted(
            name
            for name, words in self._heard.items()
            if (word := words.get((engine, kind))) is not None and now - word.made <= self.lasts_ms
        )

    def agreed(self, now: float, kind: int) -> set[str]:
        """Return the engines that at least `judges` others judge so (quorum): the only ones on which their word may
        count.
        """
        engines = {engine for words in self._heard.values() for engine, of in words if of == kind}
        return {engine for engine in engines if len(self.judges_of(now, engine, kind)) >= self.judges}

    def table(self, now: float) -> list[dict[str, object]]:
        """Return for the operators' port each engine and kind, by whom it is judged so, and whether that counts."""
        places = {place for words in self._heard.values() for place in words} | self.own.keys()
        out: list[dict[str, object]] = []
        for engine, kind in sorted(places):
            others = self.judges_of(now, engine, kind)
            out.append(
                {
                    "engine": engine,
                    "kind": KINDS[kind],
                    "own": (engine, kind) in self.own,
                    "judges": len(others),
                    "by": others[:8],
                    "counts": len(others) >= self.judges,
                    "evidence": {name: list(self._heard[name][engine, kind].evidence) for name in others[:8]},
                }
            )
        return out
