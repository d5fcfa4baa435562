"""Evaluation of the other workers' rows: their load, their ejections and the newest load report of each engine.

Determines for how long each worker's load counts, and when another worker's row overrides this worker's endpoint list.
Functions without I/O or clock; the results are passed to the decision module as an event or override the endpoint list.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.policy import Health, WorkerLoad

ENGINE_FORGETS_AFTER_MS = 2_100.0  # by the platform's protocol an engine drops a query not polled for 2 s
HEARTBEAT_FRESH_MS = 1_000.0  # a worker's ejections and load reports are ignored if its heartbeat is older


class EngineLoadRow(NamedTuple):
    """One worker's published state of one engine; times are Unix ms, as in the decision module."""

    engine: int
    version: int  # of the endpoint list event with this health; 0: the list has no versions common to all workers
    health: int
    ejected: bool
    threads: int
    granted_mb: float
    since_ms: float
    reported_at_ms: float
    report: tuple[float, ...]  # values of the newest load report
    spent: float  # as `wanted`, a fraction of a cold engine's budget
    wanted: float
    lease_serial: int  # of the newest lease that the worker has applied
    name: str
    address: str


class OrphanedLoad(NamedTuple):
    """Load of a dead worker, which runs on an engine until the engine drops it."""

    engine: int
    threads: int
    granted_mb: float
    until_ms: float


@dataclass(slots=True)
class PeerWorker:
    """The age of another worker's last heartbeat in ms, and its rows by engine."""

    heartbeat_age_ms: float
    rows: Mapping[int, EngineLoadRow]


def orphaned_loads(rows: Iterable[EngineLoadRow], died_ms: float) -> list[OrphanedLoad]:
    """Return the load left by a worker that died at `died_ms` (Unix); it expires after ENGINE_FORGETS_AFTER_MS."""
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
    """Return the combined load of all other workers on an engine, as an event of the decision module.

    `now_ms` is Unix time. A worker's load is ignored if its heartbeat is ENGINE_FORGETS_AFTER_MS old, its ejection and
    load report if it is HEARTBEAT_FRESH_MS old. `budget_fraction` is this worker's fraction of a cold engine's budget.
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
        if peer.heartbeat_age_ms < ENGINE_FORGETS_AFTER_MS:  # a hung worker does not poll, so its queries are dropped
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
    """Return version and health of the newest list event if it is after `version` and ends the engine's service.

    Only ends of service are taken from other workers, not starts: a start that is noticed late only delays work, but
    sending to an engine after its end of service violates the protocol. Rows of any age count, because the event was
    received even if that worker has died since.
    """
    newest: tuple[int, int] | None = None
    for peer in peers:
        row = peer.rows.get(engine)
        if row is not None and row.version > max(version, newest[0] if newest else 0):
            newest = (row.version, row.health)
    if newest is None or newest[1] == Health.READY:
        return None
    return newest
