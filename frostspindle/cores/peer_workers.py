"""Evaluation of the other workers' rows: their load, their ejections and the newest load report of each engine.

Defines whose load counts, for how long, and whose report of an engine's end of service overrides a worker's own
endpoint list. Functions without I/O or clock; the results become an event for the decision module or an overlay on the
endpoint list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.policy import Health, WorkerLoad

ENGINE_FORGETS_AFTER_MS = 2_100.0  # an engine drops a query that nobody has polled for 2 s (the platform's protocol)
HEARTBEAT_FRESH_MS = 1_000.0  # with an older heartbeat a worker's ejections and load reports don't count


class EngineLoadRow(NamedTuple):
    """One worker's report on one engine; times are Unix ms, as the decision module's are."""

    engine: int
    version: int  # of the endpoint list's event with this health; 0: the list has no common numbers
    health: int
    ejected: bool
    threads: int
    granted_mb: float
    since_ms: float
    reported_at_ms: float
    report: tuple[float, ...]  # the newest load report
    spent: float  # fractions of a cold engine's budget
    wanted: float
    lease_serial: int  # of the newest lease that the worker has applied
    name: str
    address: str


class OrphanedLoad(NamedTuple):
    """Load of a dead worker at an engine: it runs there until the engine drops it."""

    engine: int
    threads: int
    granted_mb: float
    until_ms: float


@dataclass(slots=True)
class PeerWorker:
    """Another worker: the age of its last heartbeat in ms, and its rows by engine."""

    heartbeat_age_ms: float
    rows: Mapping[int, EngineLoadRow]


def orphaned_loads(rows: Iterable[EngineLoadRow], died_ms: float) -> list[OrphanedLoad]:
    """Return the load that a worker left when it died (Unix ms); it counts for ENGINE_FORGETS_AFTER_MS from then."""
    return [
        OrphanedLoad(row.engine, row.threads, row.granted_mb, died_ms + ENGINE_FORGETS_AFTER_MS)
        for row in rows
        if row.threads
    ]


def combined_load(
    engine: int,
    peers: Iterable[PeerWorker],
    orphaned: Iterable[OrphanedLoad],
    now_ms: float,
    budget_fraction: float,
) -> WorkerLoad:
    """Return what all other workers together report of one engine, in the form of the decision module's event.

    `now_ms` is Unix time. The load of a worker without a heartbeat for ENGINE_FORGETS_AFTER_MS does not count; without
    one for HEARTBEAT_FRESH_MS its ejection and load report don't. `budget_fraction` is this worker's fraction of a cold
    engine's budget.
    """
    threads = 0
    memory_mb = 0.0
    ejected = False
    report: tuple[float, ...] = ()
    reported_at_ms = 0.0
    for peer in peers:
        row = peer.rows.get(engine)
        if row is None:
            continue
        if (
            peer.heartbeat_age_ms < ENGINE_FORGETS_AFTER_MS
        ):  # a hung worker does not poll either: its queries are dropped
            threads += row.threads
            memory_mb += row.granted_mb
        if peer.heartbeat_age_ms < HEARTBEAT_FRESH_MS:
            ejected |= row.ejected
            if row.report and row.reported_at_ms > reported_at_ms:
                report = row.report
                reported_at_ms = row.reported_at_ms
    for load in orphaned:
        if load.engine == engine and now_ms < load.until_ms:
            threads += load.threads
            memory_mb += load.granted_mb
    report_age_ms = max(0.0, now_ms - reported_at_ms) if report else 0.0
    return WorkerLoad(engine, threads, memory_mb, ejected, budget_fraction, report, report_age_ms)


def newest_end_of_service(engine: int, version: int, peers: Iterable[PeerWorker]) -> tuple[int, int] | None:
    """Return version and health of the newest list event by which the engine accepts nothing new, if after `version`.

    Only ends of service are taken from other workers, never starts: a late start costs a moment, a late end breaks a
    rule. The age of the row does not matter: the event was received, even if that worker has died since.
    """
    newest: tuple[int, int] | None = None
    for peer in peers:
        row = peer.rows.get(engine)
        if row is not None and row.version > max(version, newest[0] if newest else 0):
            newest = (row.version, row.health)
    if newest is None or newest[1] == Health.READY:
        return None
    return newest
