"""Audit of log lines: whether any two coordinators acted on contradicting versions outside the meet, and for how long.

Owns the reading of log lines `settings_acting` and `settings_version` and the search over spans of time. It must never
do I/O and never take a coordinator's word on whether versions contradict each other: that follows from their rules, or
from the keys that lines of the versions name.

A span is one coordinator acting plainly on one version, [begins, ends) in ms of one clock. Lines of processes on one
host bear that host's monotonic clock (`mono_ms`).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class ActivePeriod:
    """Time in which one coordinator acted plainly on one version: [begins, ends) in ms of one clock."""

    node: str
    version: int
    begins: float
    ends: float


@dataclass(slots=True, frozen=True)
class AuditResult:
    """The longest unbroken time in ms in which any two coordinators contradicted each other, all such time, and who
    did.
    """

    longest_ms: float = 0.0
    whole_ms: float = 0.0
    who: tuple[ActivePeriod, ActivePeriod] | None = None


def longest(spans: Iterable[ActivePeriod], contradict: Callable[[int, int], bool]) -> AuditResult:
    """Search all pairs of coordinators for contradictions; times of different pairs that touch count as one."""
    rows = sorted((span for span in spans if span.ends > span.begins), key=lambda span: span.begins)
    live: list[ActivePeriod] = []
    clashes: list[tuple[float, float, ActivePeriod, ActivePeriod]] = []
    for span in rows:
        live = [other for other in live if other.ends > span.begins]
        for other in live:
            if other.node != span.node and other.version != span.version and contradict(other.version, span.version):
                clashes.append((span.begins, min(span.ends, other.ends), other, span))
        live.append(span)
    best, whole, until, begun, who = AuditResult(), 0.0, -math.inf, 0.0, None
    for begins, ends, one, two in sorted(clashes, key=lambda clash: clash[:2]):
        if begins > until:
            begun, who, until = begins, (one, two), begins
        whole += max(0.0, ends - until)
        until = max(until, ends)
        if until - begun > best.longest_ms:
            best = AuditResult(until - begun, 0.0, who)
    return AuditResult(best.longest_ms, whole, best.who)


def spans(
    lines: Iterable[Mapping[str, Any]], ends: Mapping[str, float] | None = None, last: float = math.inf
) -> list[ActivePeriod]:
    """Return the spans that log lines tell of.

    `ends`: until when a process that was killed can have acted, by node. A lease that ran out ends its span by itself:
    the line comes late, but names the time (`until_ms`).
    """
    found, open_ = [], dict[str, tuple[int, float, float]]()

    def close(node: str, at: float) -> None:
        if (was := open_.pop(node, None)) is not None:
            version, begins, until = was
            found.append(ActivePeriod(node, version, begins, min(at, until)))

    for line in lines:
        if line.get("event") != "settings_acting":
            continue
        node, at = str(line["node"]), float(line["mono_ms"])
        close(node, min(at, float(line.get("until_ms") or math.inf)))
        if line["mode"] == "version":
            open_[node] = (int(line["versions"][0]), at, (ends or {}).get(node, math.inf))
    for node in list(open_):
        close(node, last)
    return found


def contradictions(lines: Iterable[Mapping[str, Any]]) -> Callable[[int, int], bool]:
    """Return a test of whether two versions contradict each other, from lines `settings_version`.

    Each line names the keys in which a version contradicts its parent. Two versions contradict each other if any on the
    way from one to the other does so, which errs to more.
    """
    parent: dict[int, int] = {}
    clash: dict[int, bool] = {}
    for line in lines:
        if line.get("event") == "settings_version":
            number = int(line["version"])
            if int(line["parent"]) >= 0:
                parent[number] = int(line["parent"])
                clash[number] = bool(line["contradicts"])
            else:  # of one that had it from a snapshot, or the disk: it can't tell
                clash.setdefault(number, True)

    def contradict(one: int, two: int) -> bool:
        ways = []
        for at in (one, two):
            way = []
            while at and at in clash:
                way.append(at)
                at = parent.get(at, 0)
            ways.append(way)
        apart = set(ways[0]) ^ set(ways[1])
        return any(clash[number] for number in apart) or not apart

    return contradict
