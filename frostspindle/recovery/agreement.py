"""Agreement on engines and bans between coordinators: by a quorum of seeds, else by the safest known state.

Implements the conflict rules that `state_kinds.TABLE` names; no I/O. Without a quorum of the seeds, one report is not
enough to use an engine that another report has as draining, removed or banned.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from frostspindle.policy import Health
from frostspindle.recovery import state_kinds
from frostspindle.recovery.state_kinds import ConflictRule
from frostspindle.recovery.wire import BanStatement, ListedEngine

MAX_BANS = 1_000
LIFTED_BAN_RETENTION_MS = 7 * 86_400_000.0
MIN_WITNESS_UPTIME_MS = 10_000.0  # a coordinator with a shorter uptime may have lost power at the same time


@dataclass(slots=True, frozen=True)
class MemberReport:
    """One coordinator's report of its engine list and its own recovery."""

    origin: str
    last_event: int  # number of the last bus event that it received
    engines: Mapping[str, ListedEngine]
    settled: bool = False  # it is past its own agreement, with a quorum
    store_lost: bool = False  # so a missing ban does not mean that there is none
    uptime_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class AgreedState:
    """Outcome of an agreement.

    `engines` replaces the local engine list if `last_event` is higher than the local one. `withheld`: engines not to
    use; `banned`: this coordinator's own bans; `engine_starts`: the starts (Unix ms) of the engines that are known to
    have kept running through its power loss. All other engines are taken for cold.
    """

    has_quorum: bool
    last_event: int
    engines: tuple[ListedEngine, ...] = ()
    withheld: frozenset[str] = frozenset()
    banned: frozenset[str] = frozenset()
    engine_starts: Mapping[str, float] = field(default_factory=dict)


class BanTable:
    """The operators' bans at all coordinators: the newest statement by origin and engine."""

    def __init__(self, statements: Iterable[BanStatement] = ()) -> None:
        self.statements: dict[tuple[str, str], BanStatement] = {}
        for statement in statements:
            self.merge(statement)

    def merge(self, statement: BanStatement) -> bool:
        """Merge a statement; return whether it changed the table.

        Of two statements with the same time, the ban wins. A full table drops its oldest lifted ban to make room, and
        ignores the statement if it has none.
        """
        key = statement.origin, statement.engine
        old = self.statements.get(key)
        if old is not None and (old.at_ms, old.banned) >= (statement.at_ms, statement.banned):
            return False
        if old is None and len(self.statements) >= MAX_BANS:
            lifted = [other for other, known in self.statements.items() if not known.banned]
            if not lifted:
                return False
            del self.statements[min(lifted, key=lambda other: self.statements[other].at_ms)]
        self.statements[key] = statement
        return True

    def prune(self, unix_ms: float) -> list[tuple[str, str]]:
        """Remove bans lifted more than LIFTED_BAN_RETENTION_MS before `unix_ms`; return their keys.

        A key is an origin and an engine. Bans in force are kept.
        """
        old = [
            key
            for key, statement in self.statements.items()
            if not statement.banned and unix_ms - statement.at_ms > LIFTED_BAN_RETENTION_MS
        ]
        for key in old:
            del self.statements[key]
        return old

    def banned_by(self, origin: str) -> frozenset[str]:
        """Return the engines that are banned at this coordinator."""
        return frozenset(
            engine
            for (stated_by, engine), statement in self.statements.items()
            if stated_by == origin and statement.banned
        )

    def banned_by_any(self) -> frozenset[str]:
        """Return the engines that are banned at any coordinator."""
        return frozenset(engine for (_, engine), statement in self.statements.items() if statement.banned)


_BANNED: dict[ConflictRule, Callable[[BanTable, str], frozenset[str]]] = {
    ConflictRule.NEWEST: lambda bans, name: bans.banned_by(name),
    ConflictRule.UNION: lambda bans, name: bans.banned_by_any(),
}


def has_quorum(reports: Iterable[MemberReport], seeds: Iterable[str]) -> bool:
    """Return whether more than half of the seeds have reported; a seed that lost its store does not count."""
    seed_names = frozenset(seeds)
    answered = {report.origin for report in reports if report.origin in seed_names and not report.store_lost}
    return 2 * len(answered) > len(seed_names)


def agree(name: str, reports: list[MemberReport], bans: BanTable, seeds: Iterable[str]) -> AgreedState:
    """Return what the coordinator `name` is to use of engines and bans, by the rules of `state_kinds.TABLE`.

    `reports` includes this coordinator's own; `bans` has the statements of all reports.
    """
    quorum = has_quorum(reports, seeds)
    credible = [report for report in reports if not report.store_lost] or reports
    latest = max(credible, key=lambda report: (report.last_event, bool(report.engines), report.settled, report.origin))
    engines: tuple[ListedEngine, ...] = ()
    withheld: frozenset[str] = frozenset()
    if state_kinds.conflict_rule("engines", quorum) is ConflictRule.HIGHEST:
        engines = tuple(latest.engines.values())
    else:
        withheld = _withheld_without_quorum(credible, latest)
    banned = _BANNED[state_kinds.conflict_rule("bans", quorum)](bans, name)
    if not quorum:
        withheld |= banned
        banned = bans.banned_by(name)
    starts: dict[str, float] = {}
    if state_kinds.conflict_rule("warmth", quorum) is ConflictRule.WARMEST_KNOWN:
        starts = _starts_of_running_engines(name, reports, frozenset(seeds))
    return AgreedState(quorum, latest.last_event, engines, withheld, banned, starts)


def _withheld_without_quorum(reports: list[MemberReport], latest: MemberReport) -> frozenset[str]:
    """Return the engines that are missing or not ready in any list.

    If that leaves no engine to use, only those that a list has as not ready.
    """
    lists = [report.engines for report in reports if report.engines]
    names = {name for engines in lists for name in engines}
    withheld = frozenset(
        name for name in names if any(name not in engines or engines[name].health != Health.READY for engines in lists)
    )
    usable = {name for name, engine in latest.engines.items() if engine.health == Health.READY} - withheld
    if usable:
        return withheld
    return frozenset(
        name for report in reports for name, engine in report.engines.items() if engine.health != Health.READY
    )


def _starts_of_running_engines(name: str, reports: list[MemberReport], seeds: frozenset[str]) -> dict[str, float]:
    """Return the starts (Unix ms) of the engines that kept running, as a majority of the seeds saw them."""
    witnesses = [
        report
        for report in reports
        if report.settled and report.uptime_ms >= MIN_WITNESS_UPTIME_MS and report.origin != name
    ]
    if 2 * sum(report.origin in seeds for report in witnesses) <= len(seeds):
        return {}
    # One coordinator that was refused a connection is enough to assume that the engine has restarted.
    refusing = {engine.name for report in witnesses for engine in report.engines.values() if not engine.start_confirmed}
    starts: dict[str, float] = {}
    for report in witnesses:
        for engine in report.engines.values():
            if engine.name not in refusing:
                starts[engine.name] = max(starts.get(engine.name, 0.0), engine.started_ms)
    return starts


def cold_engines(
    listed: Mapping[str, float], starts: Mapping[str, float], last_heartbeat_ms: float | None, clean_shutdown: bool
) -> frozenset[str]:
    """Return the engines that must be treated as just started.

    `listed`: each engine's start in the engine list, Unix ms; `starts`: the starts of those known to have kept running;
    `last_heartbeat_ms`: when the previous process was last known to run (None: unknown).
    """
    if clean_shutdown:
        return frozenset()
    return frozenset(
        name
        for name, started_ms in listed.items()
        if name not in starts and (last_heartbeat_ms is None or started_ms <= last_heartbeat_ms)
    )
