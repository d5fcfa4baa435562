"""The figures of all workers as one coordinator's: exact sums, also over workers that have died.

Owns the sums and what stands in them for a dead worker: its last counts stay, and what it had taken without an answer
counts as lost. It must never read the board by itself and never guess: a worker's counts are written as it counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from frostspindle.core import CLASS_FIGURES
from frostspindle.cores.peer_workers import EngineLoadRow
from frostspindle.policy import Health

Key = tuple[str, str, str]
ENDS = ("served", "refused", "failed", "left")


def lost(counts: Mapping[Key, int]) -> Counter[Key]:
    """Return, as `lost` by class, what a dead worker had taken and neither answered nor seen its client leave."""
    out: Counter[Key] = Counter()
    for (what, front, cls), taken in counts.items():
        if what == "taken":
            missing = taken - sum(counts.get((end, front, cls), 0) for end in ENDS)
            if missing > 0:
                out["lost", front, cls] = missing
    return out


@dataclass(slots=True, frozen=True)
class EngineSummary:
    """An engine as all workers together report it."""

    engine: int
    name: str
    address: tuple[str, int]
    health: int
    suspect: bool


def standings(workers: Iterable[Iterable[EngineLoadRow]], banned: frozenset[str]) -> dict[int, EngineSummary]:
    """Return each engine's state: the newest list's health, suspected if any worker suspects it.

    A ready engine that is banned shows as draining.
    """
    newest: dict[int, EngineLoadRow] = {}
    suspects: set[int] = set()
    for rows in workers:
        for row in rows:
            if row.suspect:
                suspects.add(row.engine)
            if row.engine not in newest or row.version > newest[row.engine].version:
                newest[row.engine] = row
    out = {}
    for engine, row in newest.items():
        health = Health.DRAINING if row.health == Health.READY and row.name in banned else row.health
        place, _, port = row.address.rpartition(":")
        out[engine] = EngineSummary(
            engine, row.name, (place, int(port) if port.isdecimal() else 0), health, engine in suspects
        )
    return out


def figures(
    classes: Sequence[tuple[str, str]],
    counts: Mapping[Key, int],
    inflight: int,
    engines: Mapping[int, EngineSummary],
    banned: frozenset[str],
) -> dict[str, Any]:
    """Return the sums over all workers, in the form of a single process's `Core.figures`."""
    calls: dict[str, dict[str, int]] = {}
    for front, name in classes:
        row = calls.setdefault(name, dict.fromkeys(CLASS_FIGURES, 0))
        for figure, counters in CLASS_FIGURES.items():
            row[figure] += sum(counts.get((what, front, name), 0) for what in counters)
    listed = [state for state in engines.values() if state.health != Health.GONE]
    return {
        "calls": calls,
        "backend_calls": sum(n for (what, _, _), n in counts.items() if what == "written"),
        "inflight": inflight,
        "hosts_listed": len(listed),
        "hosts_down": sum(state.suspect or state.name in banned for state in listed),
    }
