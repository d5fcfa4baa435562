"""Audit of log lines: how long any two coordinators acted on contradicting versions, outside an intersection.

No I/O. Reads the lines `settings_rules_activated` and `settings_version_received`. No coordinator is trusted to say
that versions are compatible: that follows from their rules, or from the keys that the lines of the versions name. The
lines of all processes on one host have the time of that host's clock (`mono_ms`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple


@dataclass(slots=True, frozen=True)
class ActivePeriod:
    """Period during which one coordinator acted on a single version: [begins, ends) in ms of one clock."""

    node: str
    version: int
    begins: float
    ends: float


@dataclass(slots=True, frozen=True)
class AuditResult:
    """The longest continuous and the total contradiction in ms, and the first pair of periods of the longest."""

    longest_ms: float = 0.0
    total_ms: float = 0.0
    pair: tuple[ActivePeriod, ActivePeriod] | None = None


class _Contradiction(NamedTuple):
    begins: float
    ends: float
    pair: tuple[ActivePeriod, ActivePeriod]


def find_longest_contradiction(periods: Iterable[ActivePeriod], contradict: Callable[[int, int], bool]) -> AuditResult:
    """Search all pairs of coordinators; contradictions that touch or overlap, of any pairs, count as one."""
    longest_ms = 0.0
    longest_pair: tuple[ActivePeriod, ActivePeriod] | None = None
    total_ms = 0.0
    run_begins = 0.0  # of the current run of contradictions that touch or overlap
    run_ends = -math.inf
    run_pair: tuple[ActivePeriod, ActivePeriod] | None = None
    found = _find_contradictions(periods, contradict)
    for contradiction in sorted(found, key=lambda item: (item.begins, item.ends)):
        if contradiction.begins > run_ends:
            run_begins = contradiction.begins
            run_ends = contradiction.begins
            run_pair = contradiction.pair
        total_ms += max(0.0, contradiction.ends - run_ends)
        run_ends = max(run_ends, contradiction.ends)
        if run_ends - run_begins > longest_ms:
            longest_ms = run_ends - run_begins
            longest_pair = run_pair
    return AuditResult(longest_ms, total_ms, longest_pair)


def _find_contradictions(
    periods: Iterable[ActivePeriod], contradict: Callable[[int, int], bool]
) -> list[_Contradiction]:
    found: list[_Contradiction] = []
    overlapping: list[ActivePeriod] = []
    nonempty = (period for period in periods if period.ends > period.begins)
    for period in sorted(nonempty, key=lambda period: period.begins):
        overlapping = [other for other in overlapping if other.ends > period.begins]
        for other in overlapping:
            if (
                other.node != period.node
                and other.version != period.version
                and contradict(other.version, period.version)
            ):
                found.append(_Contradiction(period.begins, min(period.ends, other.ends), (other, period)))
        overlapping.append(period)
    return found


class _OpenPeriod(NamedTuple):
    """A period whose end is not known yet, but is at most `ends_by`."""

    version: int
    begins: float
    ends_by: float


def read_active_periods(
    lines: Iterable[Mapping[str, Any]], latest_ends: Mapping[str, float] | None = None, last: float = math.inf
) -> list[ActivePeriod]:
    """Return the periods that the log lines describe.

    `latest_ends` maps a node whose process was killed to the latest time at which it can have acted. A period also
    ends when the lease expires: its line is logged later, but has the time of expiry (`until_ms`). `last` is the end of
    all periods that are still open.
    """
    periods: list[ActivePeriod] = []
    open_periods: dict[str, _OpenPeriod] = {}

    def close(node: str, end_ms: float) -> None:
        period = open_periods.pop(node, None)
        if period is not None:
            periods.append(ActivePeriod(node, period.version, period.begins, min(end_ms, period.ends_by)))

    for line in lines:
        if line.get("event") != "settings_rules_activated":
            continue
        node = str(line["node"])
        begins = float(line["mono_ms"])
        close(node, min(begins, float(line.get("until_ms") or math.inf)))
        if line["mode"] == "version":
            ends_by = (latest_ends or {}).get(node, math.inf)
            open_periods[node] = _OpenPeriod(int(line["versions"][0]), begins, ends_by)
    for node in list(open_periods):
        close(node, last)
    return periods


def read_contradictions(lines: Iterable[Mapping[str, Any]]) -> Callable[[int, int], bool]:
    """Return a predicate for whether two versions contradict each other, from `settings_version_received` lines.

    Each line names the keys in which a version contradicts its parent. Two versions count as contradicting if any
    version on the path between them contradicts its parent, which can only overestimate.
    """
    parents: dict[int, int] = {}
    contradicts_parent: dict[int, bool] = {}
    for line in lines:
        if line.get("event") != "settings_version_received":
            continue
        number = int(line["version"])
        parent = int(line["parent"])
        if parent >= 0:
            parents[number] = parent
            contradicts_parent[number] = bool(line["contradicts"])
        else:  # the version came from a snapshot or the store: its parent is unknown
            contradicts_parent.setdefault(number, True)

    def ancestry(number: int) -> list[int]:
        path: list[int] = []
        while number and number in contradicts_parent:
            path.append(number)
            number = parents.get(number, 0)
        return path

    def contradict(first: int, second: int) -> bool:
        between = set(ancestry(first)) ^ set(ancestry(second))
        return any(contradicts_parent[number] for number in between) or not between

    return contradict
