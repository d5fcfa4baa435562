"""Sums over all workers, including dead ones, as the figures of one coordinator.

The sums are exact because a worker writes its counters to shared memory as it counts. They include a dead worker's
last counts; requests that it had taken without an outcome count as lost. Functions without I/O or clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from frostspindle.core import CLASS_FIGURES
from frostspindle.cores.peer_workers import EngineLoadRow
from frostspindle.policy import Health

CounterKey = tuple[str, str, str]  # counter, front, class of requests
OUTCOME_COUNTERS = ("served", "refused", "failed", "left")  # each request `taken` is counted in one of them


def lost_requests(counts: Mapping[CounterKey, int]) -> Counter[CounterKey]:
    """Return the number of requests that a dead worker had taken without an outcome, as counters `lost`."""
    lost: Counter[CounterKey] = Counter()
    for (counter, front, cls), taken in counts.items():
        if counter == "taken":
            unfinished = taken - sum(counts.get((outcome, front, cls), 0) for outcome in OUTCOME_COUNTERS)
            if unfinished > 0:
                lost["lost", front, cls] = unfinished
    return lost


@dataclass(slots=True, frozen=True)
class EngineSummary:
    """An engine's state, combined from the rows of all workers."""

    engine: int
    name: str
    address: tuple[str, int]
    health: int
    ejected: bool


def engine_summaries(workers: Iterable[Iterable[EngineLoadRow]], banned: frozenset[str]) -> dict[int, EngineSummary]:
    """Return each engine's state: its health in the newest list, and whether any worker has ejected it.

    A ready engine that is banned is shown as draining.
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
            class_figures[figure] += sum(counts.get((counter, front, name), 0) for counter in counters)
    listed = [engine for engine in engines.values() if engine.health != Health.GONE]
    return {
        "calls": calls,
        "backend_calls": sum(value for (counter, _, _), value in counts.items() if counter == "written"),
        "inflight": inflight,
        "hosts_listed": len(listed),
        "hosts_down": sum(engine.ejected or engine.name in banned for engine in listed),
    }
