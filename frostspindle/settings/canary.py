"""The canary check of a version: the fleet's figures in its first seconds against those of the seconds before it.

No I/O, no clock. Nothing is judged by few requests, and noise fails no version: a figure fails it only where the lower
bound of what is seen now exceeds the upper bound of the baseline by more than a guard band, in at least two windows,
with bounds as wide as the windows of the baseline varied.

Three figures are judged, each as a proportion of the answered requests: failed, rejected, and slow (longer than 99 in
100 were before). Besides, hardly any answers while no fewer requests wait than before is a stall; no requests is none.
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

FIRST_BUCKET_MS = 2.0  # upper end of the first latency bucket
BUCKET_RATIO = 1.5
LATENCY_BUCKETS = 30  # the last one holds all above
# Names of the judged figures, in reasons of a rollback.
FAILED = "failed"
REJECTED = "refused"
SLOW = "slow"
PASSED = "calm"  # the verdict on a version that did no harm
# A row of figures: answered, failed, rejected, open now; then the latency buckets.
ANSWERED_REQUESTS = 0
FAILED_REQUESTS = 1
REJECTED_REQUESTS = 2
OPEN_REQUESTS = 3
HEADER_FIGURES = 4
ROW_FIGURES = HEADER_FIGURES + LATENCY_BUCKETS
STALL_RATIO = 0.1  # of the usual answers: with fewer, and as many requests waiting, a version has stalled
STALL_WINDOWS = 4
MIN_HARMED_WINDOWS = 2
SLOW_QUANTILE_DIVISOR = 100.0  # one in so many requests before the version was slow

Row = list[int]


def latency_bucket(latency_ms: float) -> int:
    """Return the index of a latency in ms among the buckets."""
    if latency_ms <= FIRST_BUCKET_MS:
        return 0
    return min(LATENCY_BUCKETS - 1, math.ceil(math.log(latency_ms / FIRST_BUCKET_MS) / math.log(BUCKET_RATIO)))


@dataclass(slots=True, frozen=True)
class CanaryThresholds:
    """Thresholds of the check."""

    window_ms: float = 500.0
    baseline_windows: int = 40
    trial_windows: int = 12  # windows of a version that are judged
    min_requests: int = 200  # before and since, or nothing is judged
    z_score: float = 3.3  # of both bounds
    # Proportions of the requests by which a figure may exceed the baseline.
    guard_bands: Mapping[str, float] = field(default_factory=lambda: {FAILED: 0.01, REJECTED: 0.05, SLOW: 0.03})


DEFAULT_THRESHOLDS = CanaryThresholds()


def wilson_interval(hits: float, count: float, z_score: float) -> tuple[float, float]:
    """Return lower and upper bound of a proportion (Wilson score interval); 0 and 1 without requests."""
    if count <= 0:
        return 0.0, 1.0
    proportion = hits / count
    correction = z_score * z_score / count
    center = (proportion + correction / 2.0) / (1.0 + correction)
    half_width = (
        z_score / (1.0 + correction) * math.sqrt(proportion * (1.0 - proportion) / count + correction / 4.0 / count)
    )
    return max(0.0, center - half_width), min(1.0, center + half_width)


def dispersion(windows: list[tuple[float, float]]) -> float:
    """Return how much more the (hits, count) of windows vary than by chance, at least 1."""
    rows = [(hits, count) for hits, count in windows if count > 0]
    total_count = sum(count for _, count in rows)
    total_hits = sum(hits for hits, _ in rows)
    proportion = total_hits / total_count if total_count else 0.0
    if len(rows) < 3 or not 0.0 < proportion < 1.0:
        return 1.0
    chi_square = sum(
        (hits - count * proportion) ** 2 / (count * proportion * (1.0 - proportion)) for hits, count in rows
    )
    return max(1.0, chi_square / (len(rows) - 1))


class BaselineFigures(NamedTuple):
    """The figures before a version, sent with the command that activates it, so that any later publisher judges alike.

    For each judged figure its hits and its dispersion.
    """

    windows: float = 0.0
    answered: float = 0.0
    open_requests: float = 0.0  # at the end of a window, on average
    first_slow_bucket: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0
    slow: float = 0.0
    failed_dispersion: float = 1.0
    rejected_dispersion: float = 1.0
    slow_dispersion: float = 1.0


# How many of a window's requests count for a figure, by the first slow bucket.
COUNTED_HITS: dict[str, Callable[[Row, int], int]] = {
    FAILED: lambda row, first_slow: row[FAILED_REQUESTS],
    REJECTED: lambda row, first_slow: row[REJECTED_REQUESTS],
    SLOW: lambda row, first_slow: sum(row[HEADER_FIGURES + first_slow :]),
}


def summarize_windows(rows: list[Row]) -> BaselineFigures:
    """Return the figures of several windows together."""
    if not rows:
        return BaselineFigures()
    first_slow = _first_slow_bucket(rows)
    windows_by_figure = [
        [(float(count_hits(row, first_slow)), float(row[ANSWERED_REQUESTS])) for row in rows]
        for count_hits in COUNTED_HITS.values()
    ]
    return BaselineFigures(
        len(rows),
        sum(row[ANSWERED_REQUESTS] for row in rows),
        sum(row[OPEN_REQUESTS] for row in rows) / len(rows),
        first_slow,
        *(sum(hits for hits, _ in windows) for windows in windows_by_figure),
        *(dispersion(windows) for windows in windows_by_figure),
    )


def _first_slow_bucket(rows: list[Row]) -> int:
    """The first bucket at and above which no more than one in a hundred was."""
    totals = [sum(row[HEADER_FIGURES + bucket] for row in rows) for bucket in range(LATENCY_BUCKETS)]
    total = sum(totals)
    above = 0
    for bucket in range(LATENCY_BUCKETS - 1, -1, -1):
        above += totals[bucket]
        if above > total / SLOW_QUANTILE_DIVISOR:
            return bucket + 1
    return 0


class _MemberFigures(NamedTuple):
    """A coordinator's figures since its process began."""

    process: int
    figures: tuple[int, ...]


class _CachedVerdict(NamedTuple):
    """The verdict on a number of finished windows, which do not change."""

    windows: int
    verdict: str


NO_VERDICT = _CachedVerdict(-1, "")


class CanaryCheck:
    """The check of a version, fed with each coordinator's figures since its process began.

    These may stand still, jump back or be missing. Times are in ms of the caller's clock.
    """

    def __init__(self, thresholds: CanaryThresholds = DEFAULT_THRESHOLDS) -> None:
        self.thresholds: CanaryThresholds = thresholds
        self._members: dict[str, _MemberFigures] = {}
        self._open_requests: int = 0  # at all members, as last reported
        self._windows: deque[Row] = deque(maxlen=thresholds.baseline_windows + thresholds.trial_windows + 2)
        self._window_began_at: float = -math.inf
        self._trial_began_at: float | None = None
        self._baseline = BaselineFigures()
        self._trial_windows: list[Row] = []
        self._cached: _CachedVerdict = NO_VERDICT

    def observe(
        self, now: float, reported: Mapping[str, tuple[int, tuple[int, ...]]], removed: Iterable[str] = ()
    ) -> None:
        """Take the figures (process, figures) of coordinators that reported since the last call.

        `removed`: names of coordinators that are gone. With hundreds of them only those that reported are looked at.
        """
        if now - self._window_began_at >= self.thresholds.window_ms:
            self._begin_window(now)
        window = self._windows[-1]
        of_another_form = [name for name, (_, figures) in reported.items() if len(figures) != ROW_FIGURES]
        for name in (*removed, *of_another_form):
            self._forget_member(name)
        for name, (process, figures) in reported.items():
            if len(figures) == ROW_FIGURES:
                self._add_to_window(window, name, process, figures)
        window[OPEN_REQUESTS] = self._open_requests

    def baseline(self) -> BaselineFigures:
        """Return the figures now; while a version is being judged, those before it."""
        if self._trial_began_at is None or len(self._trial_windows) > self.thresholds.trial_windows:
            rows = [row for row in self._windows if row[ANSWERED_REQUESTS]]
            return summarize_windows(rows[-self.thresholds.baseline_windows :])
        return self._baseline

    def start_trial(self, now: float, baseline: Sequence[float] = ()) -> None:
        """Start judging a version that is active from now on.

        `baseline`: what its publisher saw before; () if it reported nothing.
        """
        known = len(baseline) == len(BaselineFigures._fields)
        self._baseline = BaselineFigures(*baseline) if known else self.baseline()
        self._trial_began_at = now
        self._trial_windows = []
        self._cached = NO_VERDICT
        self._append_window(now)

    def verdict(self, now: float) -> str:
        """Return why the version fails, in words.

        PASSED if it passed all its windows or none is judged; "" if it is not decided yet.
        """
        if self._trial_began_at is None:
            return PASSED
        if self._cached.windows != len(self._trial_windows):
            self._cached = _CachedVerdict(len(self._trial_windows), self._judge())
        return self._cached.verdict

    # Windows.

    def _begin_window(self, now: float) -> None:
        trial_runs = self._trial_began_at is not None and len(self._trial_windows) <= self.thresholds.trial_windows
        if trial_runs and self._windows:
            self._trial_windows.append(self._windows[-1])
        self._append_window(now)

    def _append_window(self, now: float) -> None:
        self._windows.append([0] * ROW_FIGURES)
        self._window_began_at = now

    def _forget_member(self, name: str) -> None:
        known = self._members.pop(name, None)
        if known is not None:
            self._open_requests -= known.figures[OPEN_REQUESTS]

    def _add_to_window(self, window: Row, name: str, process: int, figures: tuple[int, ...]) -> None:
        known = self._members.get(name)
        if known is not None and known.figures is figures and known.process == process:
            return  # it has reported nothing since
        self._members[name] = _MemberFigures(process, figures)
        self._open_requests += figures[OPEN_REQUESTS] - (known.figures[OPEN_REQUESTS] if known is not None else 0)
        if known is None or known.process != process:
            return  # what a process did before its first report belongs to no window
        for index, (old, new) in enumerate(zip(known.figures, figures, strict=True)):
            window[index] += max(0, new - old)

    # Verdict.

    def _judge(self) -> str:
        rows = self._trial_windows[1:]  # the first one still has answers from before: coordinators report late
        if self._baseline.answered >= self.thresholds.min_requests:
            reason = self._why_stalled(rows)
            if reason:
                return reason
            for name in COUNTED_HITS:
                reason = self._why_exceeded(name, rows)
                if reason:
                    return reason
        return PASSED if len(self._trial_windows) > self.thresholds.trial_windows else ""

    def _why_stalled(self, rows: list[Row]) -> str:
        baseline = self._baseline
        last = rows[-STALL_WINDOWS:]
        answered = sum(row[ANSWERED_REQUESTS] for row in last)
        expected = baseline.answered / max(1.0, baseline.windows) * len(last)
        if len(last) < STALL_WINDOWS or expected < self.thresholds.z_score**2 / STALL_RATIO:
            return ""
        if answered > STALL_RATIO * expected:
            return ""
        if any(row[OPEN_REQUESTS] < max(1.0, baseline.open_requests) for row in last):
            return ""
        return f"stalled: {answered} answers, usually {expected:.0f}; {last[-1][OPEN_REQUESTS]} requests wait"

    def _baseline_of(self, name: str) -> tuple[float, float]:
        """Hits and dispersion of a judged figure in the baseline."""
        baseline = self._baseline
        if name == FAILED:
            return baseline.failed, baseline.failed_dispersion
        if name == REJECTED:
            return baseline.rejected, baseline.rejected_dispersion
        return baseline.slow, baseline.slow_dispersion

    def _why_exceeded(self, name: str, rows: list[Row]) -> str:
        """Why a figure is significantly above its baseline, "" if it is not."""
        thresholds = self.thresholds
        first_slow = int(self._baseline.first_slow_bucket)
        windows = [(COUNTED_HITS[name](row, first_slow), row[ANSWERED_REQUESTS]) for row in rows]
        hits = sum(window_hits for window_hits, _ in windows)
        count = sum(window_count for _, window_count in windows)
        if count < thresholds.min_requests:
            return ""
        baseline_count = self._baseline.answered
        baseline_hits, baseline_dispersion = self._baseline_of(name)
        scale = max(1.0, baseline_dispersion)
        _, upper = wilson_interval(baseline_hits / scale, baseline_count / scale, thresholds.z_score)
        lower, _ = wilson_interval(hits / scale, count / scale, thresholds.z_score)
        bound = upper + thresholds.guard_bands[name]
        harmed_windows = sum(
            window_hits > bound * window_count for window_hits, window_count in windows if window_count
        )
        if lower <= bound or harmed_windows < MIN_HARMED_WINDOWS:
            return ""
        return (
            f"{name}: {hits / count:.1%} of {count} requests, "
            f"{baseline_hits / baseline_count:.1%} of {baseline_count:.0f} before"
        )
