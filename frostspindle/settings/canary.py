"""Whether a version harms: the fleet's figures in its first seconds against those of the seconds before it.

Owns the windows of figures and the verdict. It must never do I/O or read a clock, never judge by few requests, and
never by noise: a figure harms only where the lower bound of what is seen now passes the upper bound of what was usual
by more than a guard band, in at least two windows, with bounds as wide as the windows before it varied.

Three figures are judged, each as a part of the answered requests: failed, refused, and slow (longer than 99 in 100
were before). Besides, hardly any answers while no fewer requests wait than before is a stall; no requests is none.
Bounds are Wilson's score interval ("Probable inference", JASA 1927) over an effective number of requests: the real one
over the dispersion of the windows before (Pearson's chi-square by degrees of freedom), as for counts that come in
bursts.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_MS, RATIO, BUCKETS = 2.0, 1.5, 30  # of latencies: the first bucket ends at 2 ms, the last one holds all above
FAILED, REFUSED, SLOW = "failed", "refused", "slow"
CALM = "calm"
HEAD = 4  # answered, failed, refused, open now; then the buckets of latencies
OPEN = 3
STALL = 0.1  # part of the answers that usually come, and by how many windows with fewer a version has stalled
STALLED_WINDOWS = 4


def bucket(ms: float) -> int:
    """Return the index of a latency in ms among the buckets."""
    return 0 if ms <= FIRST_MS else min(BUCKETS - 1, math.ceil(math.log(ms / FIRST_MS) / math.log(RATIO)))


@dataclass(slots=True, frozen=True)
class CanaryThresholds:
    """Thresholds of the check for harm. `bands`: parts of the requests by which a figure may exceed what was usual."""

    window_ms: float = 500.0
    before: int = 40  # windows that tell what was usual
    after: int = 12  # windows of a version that are judged
    least: int = 200  # requests, before and since, or nothing is said
    z: float = 3.3  # of both bounds
    bands: Mapping[str, float] = field(default_factory=lambda: {FAILED: 0.01, REFUSED: 0.05, SLOW: 0.03})


def wilson(hits: float, count: float, z: float) -> tuple[float, float]:
    """Return lower and upper bound of a proportion (Wilson score interval); 0 and 1 without requests."""
    if count <= 0:
        return 0.0, 1.0
    part, square = hits / count, z * z / count
    middle = (part + square / 2.0) / (1.0 + square)
    wide = z / (1.0 + square) * math.sqrt(part * (1.0 - part) / count + square / 4.0 / count)
    return max(0.0, middle - wide), min(1.0, middle + wide)


def dispersion(rows: list[tuple[float, float]]) -> float:
    """Return how much more the (hits, count) rows of windows vary than by chance, at least 1."""
    rows = [(hits, count) for hits, count in rows if count > 0]
    count, hits = sum(c for _, c in rows), sum(h for h, _ in rows)
    part = hits / count if count else 0.0
    if len(rows) < 3 or not 0.0 < part < 1.0:
        return 1.0
    return max(1.0, sum((h - c * part) ** 2 / (c * part * (1.0 - part)) for h, c in rows) / (len(rows) - 1))


class BaselineFigures(NamedTuple):
    """What was usual before a version, carried by the command that makes it live, so that any later publisher judges
    alike.

    `waited`: requests open at the end of a window; `edge`: the first slow bucket; then for each figure its hits and its
    dispersion.
    """

    windows: float = 0.0
    answered: float = 0.0
    waited: float = 0.0
    edge: float = 0.0
    failed: float = 0.0
    refused: float = 0.0
    slow: float = 0.0
    loose_failed: float = 1.0
    loose_refused: float = 1.0
    loose_slow: float = 1.0


def summed(rows: list[list[int]]) -> BaselineFigures:
    """Return the figures of several windows together."""
    if not rows:
        return BaselineFigures()
    edge = _slow_from(rows)
    hits = {name: [(float(of(row, edge)), float(row[0])) for row in rows] for name, of in FIGURES.items()}
    return BaselineFigures(
        len(rows),
        sum(row[0] for row in rows),
        sum(row[OPEN] for row in rows) / len(rows),
        edge,
        *(sum(h for h, _ in told) for told in hits.values()),
        *(dispersion(told) for told in hits.values()),
    )


def _slow_from(rows: list[list[int]]) -> int:
    """The first bucket above which no more than one in a hundred was."""
    sums = [sum(row[HEAD + place] for row in rows) for place in range(BUCKETS)]
    whole, above = sum(sums), 0
    for place in range(BUCKETS - 1, -1, -1):
        above += sums[place]
        if above > whole / 100.0:
            return place + 1
    return 0


# How many of a window's requests were so, by the first slow bucket.
FIGURES: dict[str, Callable[[list[int], int], int]] = {
    FAILED: lambda row, edge: row[1],
    REFUSED: lambda row, edge: row[2],
    SLOW: lambda row, edge: sum(row[HEAD + edge :]),
}


class CanaryCheck:
    """The check of a version for harm, fed with each coordinator's figures since its process began, which may stand
    still, jump back or be missing.
    """

    def __init__(self, guard: CanaryThresholds = CanaryThresholds()) -> None:  # noqa: B008
        self.guard = guard
        self._last: dict[str, tuple[int, tuple[int, ...]]] = {}
        self._windows: deque[list[int]] = deque(maxlen=guard.before + guard.after + 2)
        self._edge = -math.inf  # when the open window began
        self._begun: float | None = None
        self._usual = BaselineFigures()
        self._open = 0  # requests at all of them, as last heard
        self._after: list[list[int]] = []
        self._said: tuple[int, str] = (-1, "")  # the verdict, and of how many windows

    def feed(self, now: float, told: Mapping[str, tuple[int, tuple[int, ...]]], gone: Iterable[str] = ()) -> None:
        """Take the figures of coordinators heard since the last call, and the names of those that are gone.

        With hundreds of coordinators only those that were heard are looked at.
        """
        if now - self._edge >= self.guard.window_ms:
            if self._begun is not None and self._windows and len(self._after) <= self.guard.after:
                self._after.append(self._windows[-1])
            self._windows.append([0] * (HEAD + BUCKETS))
            self._edge = now
        row = self._windows[-1]
        for name in (*gone, *(name for name, (_, seen) in told.items() if len(seen) != HEAD + BUCKETS)):
            if (known := self._last.pop(name, None)) is not None:
                self._open -= known[1][OPEN]
        for name, (process, seen) in told.items():
            known = self._last.get(name)
            if len(seen) != HEAD + BUCKETS or known is not None and known[1] is seen and known[0] == process:
                continue  # it has said nothing since
            self._last[name] = (process, seen)
            self._open += seen[OPEN] - (known[1][OPEN] if known is not None else 0)
            if known is None or known[0] != process:
                continue  # what a process did before it was first heard belongs to no window
            for place, (old, new) in enumerate(zip(known[1], seen, strict=True)):
                row[place] += max(0, new - old)
        row[OPEN] = self._open

    def usual(self) -> BaselineFigures:
        """Return what is usual now; while a version is being judged, what was usual before it."""
        if self._begun is None or len(self._after) > self.guard.after:
            return summed([row for row in self._windows if row[0]][-self.guard.before :])
        return self._usual

    def begin(self, now: float, usual: Sequence[float] = ()) -> None:
        """Start judging a version that is live from now on. `usual`: what its publisher saw; () if it told nothing."""
        self._usual = BaselineFigures(*usual) if len(usual) == len(BaselineFigures._fields) else self.usual()
        self._begun, self._after, self._said = now, [], (-1, "")
        self._windows.append([0] * (HEAD + BUCKETS))
        self._edge = now

    def verdict(self, now: float) -> str:
        """Return what harms, in words.

        CALM if the version passed all its windows or none is judged; "" if it is not decided yet.
        """
        if self._begun is None:
            return CALM
        if self._said[0] != len(self._after):  # a window that is over does not change
            self._said = (len(self._after), self._judged())
        return self._said[1]

    def _judged(self) -> str:
        after = self._after[1:]  # the first one still has answers from before: coordinators tell late
        if self._usual.answered >= self.guard.least:
            if why := self._stall(after):
                return why
            edge = int(self._usual.edge)
            for place, (name, of) in enumerate(FIGURES.items()):
                if why := self._harm(
                    name, self._usual[4 + place], self._usual[7 + place], [(of(row, edge), row[0]) for row in after]
                ):
                    return why
        return CALM if len(self._after) > self.guard.after else ""

    def _stall(self, after: list[list[int]]) -> str:
        last, usual = after[-STALLED_WINDOWS:], self._usual
        answers, expected = sum(row[0] for row in last), usual.answered / max(1.0, usual.windows) * len(last)
        if (
            len(last) < STALLED_WINDOWS
            or expected < self.guard.z**2 / STALL
            or answers > STALL * expected
            or any(row[OPEN] < max(1.0, usual.waited) for row in last)
        ):
            return ""
        return f"stalled: {answers} answers, usually {expected:.0f}; {last[-1][OPEN]} requests wait"

    def _harm(self, name: str, usual: float, loose: float, after: list[tuple[int, int]]) -> str:
        guard, before = self.guard, self._usual.answered
        hits, count = sum(h for h, _ in after), sum(c for _, c in after)
        if count < guard.least:
            return ""
        loose = max(1.0, loose)
        upper = wilson(usual / loose, before / loose, guard.z)[1]
        lower = wilson(hits / loose, count / loose, guard.z)[0]
        bound = upper + guard.bands[name]
        if lower <= bound or sum(h > bound * c for h, c in after if c) < 2:
            return ""
        return f"{name}: {hits / count:.1%} of {count} requests, {usual / before:.1%} of {before:.0f} before"
