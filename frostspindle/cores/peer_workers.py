"""What a worker makes of the other workers' rows: their load, their suspicions, their newest report on each engine.

Owns the rules by which rows are believed: whose load counts, for how long, and whose report of an engine's end of
service overrides a worker's own list. It must never read the board or a clock and decides nothing about requests: what
it makes is an event for the decision module, or an overlay on the engine list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.policy import Health, WorkerLoad

FORGOTTEN_MS = 2_100.0  # an engine drops what has not been asked for in 2 s (the platform's protocol)
FRESH_MS = 1_000.0  # a worker whose heart is older than this has no opinions


class EngineLoadRow(NamedTuple):
    """One worker's report on one engine; times are Unix ms, as the decision module's are."""

    engine: int
    version: int  # of the list event that told of it; 0: the list has no common numbers
    health: int
    suspect: bool
    threads: int
    granted_mb: float
    since_ms: float
    report_at: float
    report: tuple[float, ...]
    spent: float
    wished: float
    seen: int
    name: str
    address: str


class OrphanedLoad(NamedTuple):
    """Load that a worker which died left at an engine: it runs there until the engine forgets it."""

    engine: int
    threads: int
    granted_mb: float
    until_ms: float


@dataclass(slots=True)
class PeerWorker:
    """Another worker: the age of its last heartbeat in ms, and its rows by engine."""

    beat_age_ms: float
    rows: Mapping[int, EngineLoadRow]


def ghosts(rows: Iterable[EngineLoadRow], died_ms: float) -> list[OrphanedLoad]:
    """Return the load that a worker which died at `died_ms` (Unix ms) left, counted for FORGOTTEN_MS from then."""
    return [
        OrphanedLoad(row.engine, row.threads, row.granted_mb, died_ms + FORGOTTEN_MS) for row in rows if row.threads
    ]


def peer(
    engine: int, siblings: Iterable[PeerWorker], dead: Iterable[OrphanedLoad], now: float, part: float
) -> WorkerLoad:
    """Return what all other workers together report of one engine, in the form of the decision module's event.

    `now` is in Unix ms. A worker without a heartbeat for FORGOTTEN_MS counts for no load, one without for FRESH_MS for
    no suspicion and no report. `part` is this worker's part of a cold engine's budget.
    """
    threads, memory, suspect = 0, 0.0, False
    report: tuple[float, ...] = ()
    report_at = 0.0
    for sibling in siblings:
        row = sibling.rows.get(engine)
        if row is None:
            continue
        if sibling.beat_age_ms < FORGOTTEN_MS:  # a hung worker asks for nothing, so its queries end like a dead one's
            threads += row.threads
            memory += row.granted_mb
        if sibling.beat_age_ms < FRESH_MS:
            suspect |= row.suspect
            if row.report and row.report_at > report_at:
                report, report_at = row.report, row.report_at
    for ghost in dead:
        if ghost.engine == engine and now < ghost.until_ms:
            threads += ghost.threads
            memory += ghost.granted_mb
    return WorkerLoad(engine, threads, memory, suspect, part, report, max(0.0, now - report_at) if report else 0.0)


def stop(engine: int, version: int, siblings: Iterable[PeerWorker]) -> tuple[int, int] | None:
    """Return version and health of the newest report that the engine takes nothing new, if newer than our `version`.

    Only ends of service cross, never starts: a late start costs a moment, a late end breaks a rule. The age of the row
    does not matter: the list was received, whatever became of the worker that received it.
    """
    newest: tuple[int, int] | None = None
    for sibling in siblings:
        row = sibling.rows.get(engine)
        if row is not None and row.version > max(version, newest[0] if newest else 0):
            newest = (row.version, row.health)
    return newest if newest is not None and newest[1] != Health.READY else None
