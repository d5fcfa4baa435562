"""The canary check: compares the fleet's figures in a version's first seconds with a baseline from just before it.

No I/O, no clock. Three figures are judged, each as a proportion of the answered requests: failed, rejected, and slow
(slower than the 99th percentile of the baseline). A version fails on a figure if the lower confidence bound of the
trial exceeds the upper bound of the baseline by more than a guard band, and at least two windows exceed it too. It
also fails if it stalls: hardly any answers while at least as many requests are open as before. A lack of requests is
not a stall. With too few requests nothing is judged.

The bounds are Wilson score intervals ("Probable inference", JASA 1927). To keep noise and bursts from failing a
version, they use an effective sample size: the number of requests divided by the dispersion of the baseline's windows
(Pearson's chi-square over its degrees of freedom).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_BUCKET_MS = 2.0  # upper end of the first latency bucket
BUCKET_RATIO = 1.5
LATENCY_BUCKETS = 30  # the last one has no upper end
# Names of the judged figures in the reasons of a rollback.
FAILED = "failed"
REJECTED = "refused"
SLOW = "slow"
PASSED = "calm"  # the verdict on a version that passed its trial
# Indices in a row of figures: answered, failed, rejected and open requests; then the latency buckets.
ANSWERED_REQUESTS = 0
FAILED_REQUESTS = 1
REJECTED_REQUESTS = 2
OPEN_REQUESTS = 3
HEADER_FIGURES = 4
ROW_FIGURES = HEADER_FIGURES + LATENCY_BUCKETS
STALL_RATIO = 0.1  # of the baseline's answers; at or below it, with as many requests open, the version has stalled
STALL_WINDOWS = 4
MIN_HARMED_WINDOWS = 2
SLOW_QUANTILE_DIVISOR = 100.0  # one in this many baseline requests counts as slow

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
    trial_windows: int = 12  # windows after the activation that are judged
    min_requests: int = 200  # required in the baseline and in the trial, or nothing is judged
    z_score: float = 3.3  # of both bounds
    # By how much a proportion may exceed the baseline.
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
    """Return how much more the (hits, count) pairs of windows vary than by chance (overdispersion), at least 1."""
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
    """The figures before a version was activated, with the hits and the dispersion of each judged figure.

    They are part of the command that activates the version, so that a later publisher judges by the same baseline.
    """

    windows: float = 0.0
    answered: float = 0.0
    open_requests: float = 0.0  # average over the ends of the windows
    first_slow_bucket: float = 0.0
    failed: float = 0.0
    rejected: float = 0.0
    slow: float = 0.0
    failed_dispersion: float = 1.0
    rejected_dispersion: float = 1.0
    slow_dispersion: float = 1.0


# For each judged figure, how many requests of a window count as hits, given the first slow bucket.
HIT_COUNTERS: dict[str, Callable[[Row, int], int]] = {
    FAILED: lambda row, first_slow: row[FAILED_REQUESTS],
    REJECTED: lambda row, first_slow: row[REJECTED_REQUESTS],
    SLOW: lambda row, first_slow: sum(row[HEADER_FIGURES + first_slow :]),
}


def summarize_windows(rows: list[Row]) -> BaselineFigures:
    """Return the figures of several windows, summed up."""
    if not rows:
        return BaselineFigures()
    first_slow = _first_slow_bucket(rows)
    windows_by_figure = [
        [(float(count_hits(row, first_slow)), float(row[ANSWERED_REQUESTS])) for row in rows]
        for count_hits in HIT_COUNTERS.values()
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
    """Return the lowest bucket such that at most 1 % of the requests are in it or above."""
    totals = [sum(row[HEADER_FIGURES + bucket] for row in rows) for bucket in range(LATENCY_BUCKETS)]
    total = sum(totals)
    above = 0
    for bucket in range(LATENCY_BUCKETS - 1, -1, -1):
        above += totals[bucket]
        if above > total / SLOW_QUANTILE_DIVISOR:
            return bucket + 1
    return 0


class _MemberFigures(NamedTuple):
    """A coordinator's cumulative figures since its process started."""

    process: int
    figures: tuple[int, ...]


class _CachedVerdict(NamedTuple):
    """The verdict after a number of finished windows; it can only change with the next one."""

    windows: int
    verdict: str


NO_VERDICT = _CachedVerdict(-1, "")


class CanaryCheck:
    """The canary check of a version, fed with each coordinator's cumulative figures.

    Figures may be missing, unchanged, or reset by a restart. Times are in ms of the caller's clock.
    """

    def __init__(self, thresholds: CanaryThresholds = DEFAULT_THRESHOLDS) -> None:
        self.thresholds: CanaryThresholds = thresholds
        self._members: dict[str, _MemberFigures] = {}
        self._open_requests: int = 0  # sum over all members, as last reported
        self._windows: deque[Row] = deque(maxlen=thresholds.baseline_windows + thresholds.trial_windows + 2)
        self._window_began_at: float = -math.inf
        self._trial_began_at: float | None = None
        self._baseline = BaselineFigures()
        self._trial_windows: list[Row] = []
        self._cached: _CachedVerdict = NO_VERDICT

    def observe(
        self, now: float, reported: Mapping[str, tuple[int, tuple[int, ...]]], removed: Iterable[str] = ()
    ) -> None:
        """Add the (process, figures) of the coordinators that reported since the last call.

        `removed` names coordinators that left or were removed. Only the named coordinators are visited, as there may be
        hundreds.
        """
        if now - self._window_began_at >= self.thresholds.window_ms:
            self._begin_window(now)
        window = self._windows[-1]
        malformed = [name for name, (_, figures) in reported.items() if len(figures) != ROW_FIGURES]
        for name in (*removed, *malformed):
            self._forget_member(name)
        for name, (process, figures) in reported.items():
            if len(figures) == ROW_FIGURES:
                self._add_to_window(window, name, process, figures)
        window[OPEN_REQUESTS] = self._open_requests

    def baseline(self) -> BaselineFigures:
        """Return the baseline: the current figures or, during a trial, those from before the version."""
        if self._trial_began_at is None or len(self._trial_windows) > self.thresholds.trial_windows:
            rows = [row for row in self._windows if row[ANSWERED_REQUESTS]]
            return summarize_windows(rows[-self.thresholds.baseline_windows :])
        return self._baseline

    def start_trial(self, now: float, baseline: Sequence[float] = ()) -> None:
        """Start the trial of a version that has just become active.

        `baseline` is the baseline of the publisher that activated it, or () if it had none.
        """
        is_complete = len(baseline) == len(BaselineFigures._fields)
        self._baseline = BaselineFigures(*baseline) if is_complete else self.baseline()
        self._trial_began_at = now
        self._trial_windows = []
        self._cached = NO_VERDICT
        self._append_window(now)

    def verdict(self, now: float) -> str:
        """Return the reason why the version fails.

        PASSED if it passed all its windows or there is no trial; "" if it is not decided yet.
        """
        if self._trial_began_at is None:
            return PASSED
        if self._cached.windows != len(self._trial_windows):
            self._cached = _CachedVerdict(len(self._trial_windows), self._judge())
        return self._cached.verdict

    # Windows.

    def _begin_window(self, now: float) -> None:
        in_trial = self._trial_began_at is not None and len(self._trial_windows) <= self.thresholds.trial_windows
        if in_trial and self._windows:
            self._trial_windows.append(self._windows[-1])
        self._append_window(now)

    def _append_window(self, now: float) -> None:
        self._windows.append([0] * ROW_FIGURES)
        self._window_began_at = now

    def _forget_member(self, name: str) -> None:
        previous = self._members.pop(name, None)
        if previous is not None:
            self._open_requests -= previous.figures[OPEN_REQUESTS]

    def _add_to_window(self, window: Row, name: str, process: int, figures: tuple[int, ...]) -> None:
        previous = self._members.get(name)
        if previous is not None and previous.figures is figures and previous.process == process:
            return  # no new report
        self._members[name] = _MemberFigures(process, figures)
        self._open_requests += figures[OPEN_REQUESTS] - (previous.figures[OPEN_REQUESTS] if previous is not None else 0)
        if previous is None or previous.process != process:
            return  # figures from before a process's first report belong to no window
        for index, (old, new) in enumerate(zip(previous.figures, figures, strict=True)):
            window[index] += max(0, new - old)

    # Verdict.

    def _judge(self) -> str:
        rows = self._trial_windows[1:]  # the first one has answers from before the activation, as reports lag
        if self._baseline.answered >= self.thresholds.min_requests:
            reason = self._stall_reason(rows)
            if reason:
                return reason
            for name in HIT_COUNTERS:
                reason = self._excess_reason(name, rows)
                if reason:
                    return reason
        return PASSED if len(self._trial_windows) > self.thresholds.trial_windows else ""

    def _stall_reason(self, rows: list[Row]) -> str:
        baseline = self._baseline
        recent_rows = rows[-STALL_WINDOWS:]
        answered = sum(row[ANSWERED_REQUESTS] for row in recent_rows)
        expected = baseline.answered / max(1.0, baseline.windows) * len(recent_rows)
        if len(recent_rows) < STALL_WINDOWS or expected < self.thresholds.z_score**2 / STALL_RATIO:
            return ""
        if answered > STALL_RATIO * expected:
            return ""
        if any(row[OPEN_REQUESTS] < max(1.0, baseline.open_requests) for row in recent_rows):
            return ""
        return f"stalled: {answered} answers, usually {expected:.0f}; {recent_rows[-1][OPEN_REQUESTS]} requests wait"

    def _baseline_of(self, name: str) -> tuple[float, float]:
        """Return the hits and the dispersion of a judged figure in the baseline."""
        baseline = self._baseline
        if name == FAILED:
            return baseline.failed, baseline.failed_dispersion
        if name == REJECTED:
            return baseline.rejected, baseline.rejected_dispersion
        return baseline.slow, baseline.slow_dispersion

    def _excess_reason(self, name: str, rows: list[Row]) -> str:
        """Return the reason if a figure is significantly above its baseline, else ""."""
        thresholds = self.thresholds
        first_slow = int(self._baseline.first_slow_bucket)
        windows = [(HIT_COUNTERS[name](row, first_slow), row[ANSWERED_REQUESTS]) for row in rows]
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
