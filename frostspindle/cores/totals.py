"""Sums over all workers as one coordinator's figures: exact, also over workers that have died.

Functions without I/O or clock. A dead worker's last counts stay in the sums, and the requests that it had taken without
an outcome count as lost. The sums are exact because a worker writes its counters to shared memory as it counts.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from frostspindle.core import CLASS_FIGURES
from frostspindle.cores.peer_workers import EngineLoadRow
from frostspindle.policy import Health

CounterKey = tuple[str, str, str]  # what is counted, front, request class
OUTCOME_COUNTERS = ("served", "refused", "failed", "left")  # one of them for each request `taken`


def lost_requests(counts: Mapping[CounterKey, int]) -> Counter[CounterKey]:
    """Return, as counters `lost`, the requests that a dead worker had taken and that have no outcome."""
    lost: Counter[CounterKey] = Counter()
    for (what, front, cls), taken in counts.items():
        if what == "taken":
            missing = taken - sum(counts.get((outcome, front, cls), 0) for outcome in OUTCOME_COUNTERS)
            if missing > 0:
                lost["lost", front, cls] = missing
    return lost


@dataclass(slots=True, frozen=True)
class EngineSummary:
    """An engine as all workers together report it."""

    engine: int
    name: str
    address: tuple[str, int]
    health: int
    ejected: bool


def engine_summaries(workers: Iterable[Iterable[EngineLoadRow]], banned: frozenset[str]) -> dict[int, EngineSummary]:
    """Return each engine's state: the newest list's health, ejected if any worker has ejected it.

    A ready engine that is banned shows as draining.
    """
    newest: dict[int, EngineLoadRow] = {}
    ejected_engines: set[int] = set()
    for rows in workers:
        for row in rows:
            if row.ejected:
                ejected_engines.add(row.engine)
            if row.engine not in newest or row.version > newest[row.engine].version:
                newest[row.engine] = row
    summaries = {}
    for engine, row in newest.items():
        health = Health.DRAINING if row.health == Health.READY and row.name in banned else row.health
        host, _, port = row.address.rpartition(":")
        address = (host, int(port) if port.isdecimal() else 0)
        summaries[engine] = EngineSummary(engine, row.name, address, health, engine in ejected_engines)
    return summaries


def figures(
    classes: Sequence[tuple[str, str]],
    counts: Mapping[CounterKey, int],
    inflight: int,
    engines: Mapping[int, EngineSummary],
    banned: frozenset[str],
) -> dict[str, Any]:
    """Return the sums over all workers, in the form of a single process's `Core.figures`."""
    calls: dict[str, dict[str, int]] = {}
    for front, name in classes:
        class_figures = calls.setdefault(name, dict.fromkeys(CLASS_FIGURES, 0))
        for figure, counters in CLASS_FIGURES.items():
            class_figures[figure] += sum(counts.get((what, front, name), 0) for what in counters)
    listed = [engine for engine in engines.values() if engine.health != Health.GONE]
    return {
        "calls": calls,
        "backend_calls": sum(value for (what, _, _), value in counts.items() if what == "written"),
        "inflight": inflight,
        "hosts_listed": len(listed),
        "hosts_down": sum(engine.ejected or engine.name in banned for engine in listed),
    }
