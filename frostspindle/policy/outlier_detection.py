"""Outlier detection: failure rates, silent engines, hung attempts, ejection and half-open tests."""

from __future__ import annotations

import math

from frostspindle.policy.actions import RunHealthCheck, WriteLog
from frostspindle.policy.engine_registry import EngineRegistry
from frostspindle.policy.engine_state import HALF_OPEN_BACKOFF_MS, EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.events import AttemptOutcome, HealthCheckCompleted, ProgressKind, ProgressReported
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import AttemptState
from frostspindle.policy.retries import Redispatcher

EJECT_AT_RATE = 0.5  # failure rate at which an engine is ejected
FAILURE_CHARGE = 0.3  # fraction of the distance to 1 by which one failure raises the failure rate
FAILURE_CHARGE_SMALL_SHARE = 0.6  # the same with a fractional share, where one failure must suffice for ejection
SUCCESS_FACTOR = 0.7
MAX_HALF_OPEN_BACKOFF_MS = 8000.0
REPEATED_EJECTION_MS = 5000.0  # an ejection this soon after readmission doubles the half-open backoff

MIN_SILENCE_MS = 1500.0  # minimum silence that counts while attempts are overdue; doubled for a single attempt
SILENCE_GAPS = 5.0  # silence is longer than this many mean activity gaps
SILENCE_PROGRESS_INTERVALS = 2.2

OVERDUE_AFTER_MS = 500.0  # an attempt is overdue this long after OVERDUE_RATIO times its expected time
OVERDUE_RATIO = 2.0
BAD_PLAN_GRACE_MS = 300.0  # an attempt counts as a bad plan this long after BAD_PLAN_RATIO times its expected time
BAD_PLAN_RATIO = 6.0
MIN_PROGRESS_RUN_RATIO = 0.5  # progress is not evaluated before this fraction of the expected time
MAX_MISSED_INTERVALS = 2.5  # an overdue attempt is hung after this many intervals without a progress report
REPORT_GRACE_MS = 375.0  # on a quiet engine any attempt is hung this long after a missed progress report
EXAMINE_EARLY_MS = 1.0

ENGINE_FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET)


class OutlierDetector:
    """Ejects engines that fail, go silent or do not run accepted requests, and readmits those that pass a test."""

    def __init__(
        self, state: PolicyState, estimates: Estimates, registry: EngineRegistry, redispatcher: Redispatcher
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._registry = registry
        self._redispatcher = redispatcher

    # Results of attempts.

    def record_success(self, engine: EngineState, now: float) -> None:
        """Record a successful response, which readmits an ejected engine."""
        engine.record_activity(now)
        if not engine.ejected:
            engine.failure_rate *= SUCCESS_FACTOR
            return
        engine.failure_rate *= 0.0
        engine.ejected = False
        engine.ejected_by_peer = False
        engine.readmitted_at_ms = now
        engine.slowdown = 1.0
        self._log(f"engine {engine.id:08x} readmitted after a successful response")

    def record_failure(self, attempt: AttemptState, outcome: int, now: float) -> None:
        """Charge an attempt's failure to its engine, or to the request if it also failed at another engine."""
        engine = attempt.engine
        if outcome in ENGINE_FAILURES:
            # An error at a second engine points to the request: the charge of the first engine is reverted.
            others = [
                other
                for other in attempt.request.attempts
                if other.engine is not engine and other.outcome == AttemptOutcome.ERROR
            ]
            if outcome != AttemptOutcome.ERROR or not others:
                self._charge_failure(engine, attempt, now, "failure rate too high")
            elif len(others) == 1:
                self._revert_charge(others[0])
        elif attempt.half_open and outcome != AttemptOutcome.NOT_SENT:  # NOT_SENT: the request ended first
            self.eject(engine, now, "failed its half-open test")

    def record_progress(self, engine: EngineState, attempt: AttemptState, event: ProgressReported, now: float) -> None:
        """Record a progress report: waiting time, fraction done, and whether the attempt is far over its estimate."""
        engine.record_activity(now)
        request = attempt.request
        if attempt.queued_for_memory:  # queued attempts send no reports, so it left the queue within one interval
            interval_ms = self._state.settings.progress_interval_ms
            attempt.waited_ms += max(0.0, now - attempt.progress_at_ms - interval_ms)
        attempt.queued_for_memory = event.kind == ProgressKind.WAITS and event.value == 1
        if event.kind == ProgressKind.WAITS:
            attempt.waited_ms += now - attempt.progress_at_ms
        elif event.kind == ProgressKind.PROGRESS and 0.0 < event.value <= 1.0 and not request.finished:
            self._evaluate_progress(engine, attempt, event.value, now)
        attempt.progress_at_ms = now

    def _evaluate_progress(self, engine: EngineState, attempt: AttemptState, done_ratio: float, now: float) -> None:
        request = attempt.request
        ran_ms = max(1.0, now - attempt.sent_at_ms - attempt.waited_ms)
        expected_ms = self._expected_ms(engine, attempt)
        is_bad_plan = ran_ms / done_ratio > BAD_PLAN_RATIO * expected_ms
        if is_bad_plan and now - attempt.sent_at_ms > MIN_PROGRESS_RUN_RATIO * expected_ms:
            self._redispatcher.relocate_or_demote(request, attempt, now)
        else:
            request.done_ratio = max(request.done_ratio, done_ratio)
            self._estimates.update_priority(request)

    def _charge_failure(self, engine: EngineState, attempt: AttemptState, now: float, reason: str) -> None:
        charge = FAILURE_CHARGE_SMALL_SHARE if self._state.fractional_share else FAILURE_CHARGE
        attempt.failure_charge = charge * (1.0 - engine.failure_rate)
        engine.failure_rate += attempt.failure_charge
        is_outlier = engine.failure_rate >= EJECT_AT_RATE and not engine.ejected  # one ejection per episode
        if attempt.half_open or is_outlier:
            self.eject(engine, now, reason)

    def _revert_charge(self, attempt: AttemptState) -> None:
        engine = attempt.engine
        engine.failure_rate -= min(attempt.failure_charge, engine.failure_rate)
        engine.ejected &= attempt.half_open or engine.failure_rate >= EJECT_AT_RATE

    # Ejection.

    def eject(self, engine: EngineState, now: float, reason: str) -> None:
        """Eject an engine until one small test request succeeds; never eject more than half of all engines."""
        if not engine.ejected and not self._may_eject_another():
            return
        is_repeated = engine.ejected or now - engine.readmitted_at_ms < REPEATED_EJECTION_MS
        engine.half_open_backoff_ms = HALF_OPEN_BACKOFF_MS if not is_repeated else self._longer_backoff_ms(engine)
        if not engine.ejected:
            self._log(f"engine {engine.id:08x} ejected ({reason})")
        engine.ejected = True
        engine.half_open_at_ms = now + engine.half_open_backoff_ms
        self._registry.refresh(now)
        for attempt in list(engine.attempts.values()):
            self._redispatcher.relocate(attempt.request, attempt, now)

    def apply_peer_verdict(self, engine: EngineState, is_ejected: bool, now: float) -> None:
        """Eject an engine that another worker has ejected; readmit it once a test of one worker has succeeded."""
        if is_ejected and not engine.ejected and not engine.ejected_by_peer:
            self.eject(engine, now, "another worker ejected it")
            engine.ejected_by_peer = engine.ejected
        elif engine.ejected_by_peer and not is_ejected:
            engine.ejected = False
            engine.ejected_by_peer = False
            engine.failure_rate = 0.0

    def _may_eject_another(self) -> bool:
        ready = [engine for engine in self._state.engines.values() if engine.ready]
        return 2 * (1 + sum(engine.ejected for engine in ready)) <= len(ready)

    def _longer_backoff_ms(self, engine: EngineState) -> float:
        return min(MAX_HALF_OPEN_BACKOFF_MS, engine.half_open_backoff_ms * 2.0)

    # Silent engines and hung attempts.

    def record_health_check(self, engine: EngineState, event: HealthCheckCompleted, now: float) -> None:
        """Record the result of a health check; a failure ejects a silent engine."""
        engine.health_checked_at_ms = now
        if event.outcome == AttemptOutcome.OK:
            engine.record_activity(now)
        elif self.is_silent(engine, now) and not engine.ejected:
            self.eject(engine, now, "silent and failed a health check")

    def is_silent(self, engine: EngineState, now: float) -> bool:
        """Return whether the engine has shown no activity for longer than is usual for it."""
        interval_ms = self._state.settings.progress_interval_ms
        usual_ms = max(MIN_SILENCE_MS, SILENCE_GAPS * engine.activity_gap_ms, SILENCE_PROGRESS_INTERVALS * interval_ms)
        return now - engine.last_activity_at_ms > usual_ms

    def examine(self, now: float) -> None:
        """Examine the engines whose examination is due."""
        for engine in [e for e in self._state.engines.values() if e.attempts and now >= e.examine_at_ms]:
            self._examine_engine(engine, now)

    def examine_at_ms(self, attempt: AttemptState) -> float:
        """Return the earliest time at which the attempt could count as hung or a bad plan, or its engine as silent."""
        interval_ms = self._state.settings.progress_interval_ms
        request = attempt.request
        unreported_at_ms = attempt.progress_at_ms + REPORT_GRACE_MS + (interval_ms or math.inf)
        bad_plan_at_ms = math.inf
        if not (request.done_ratio or request.bad_plan_handled):
            expected_ms = BAD_PLAN_RATIO * attempt.cost_ms / request.class_settings.threads
            bad_plan_at_ms = attempt.sent_at_ms + attempt.waited_ms + BAD_PLAN_GRACE_MS + expected_ms
        silence_ms = max(MIN_SILENCE_MS, SILENCE_PROGRESS_INTERVALS * interval_ms)
        silent_at_ms = attempt.engine.last_activity_at_ms + silence_ms
        return min(unreported_at_ms, bad_plan_at_ms, silent_at_ms) - EXAMINE_EARLY_MS

    def _examine_engine(self, engine: EngineState, now: float) -> None:
        is_silent = self.is_silent(engine, now)
        overdue = 0
        for attempt in list(engine.attempts.values()):
            overdue += self._examine_attempt(engine, attempt, is_silent, now)
        engine.examine_at_ms = min(map(self.examine_at_ms, engine.attempts.values()))
        if is_silent and overdue and not engine.ejected:
            self._check_silent_engine(engine, overdue, now)

    def _examine_attempt(self, engine: EngineState, attempt: AttemptState, is_silent: bool, now: float) -> bool:
        """Handle an attempt that is hung or far over its estimate; return whether it is overdue."""
        interval_ms = self._state.settings.progress_interval_ms
        report_timeout_ms = (interval_ms or math.inf) + REPORT_GRACE_MS
        ran_ms = now - attempt.sent_at_ms - attempt.waited_ms
        expected_ms = self._expected_ms(engine, attempt)
        is_overdue = ran_ms > OVERDUE_AFTER_MS + OVERDUE_RATIO * expected_ms
        unreported_ms = 0.0 if attempt.queued_for_memory else now - attempt.progress_at_ms
        if unreported_ms > report_timeout_ms:
            is_engine_active = engine.last_activity_at_ms > max(attempt.sent_at_ms, now - report_timeout_ms)
            is_withheld = is_engine_active and now < engine.withheld_until_ms.get(attempt.request.cls, -math.inf)
            is_engine_quiet = now - engine.last_activity_at_ms > report_timeout_ms
            if is_withheld or is_engine_quiet or (is_overdue and unreported_ms > MAX_MISSED_INTERVALS * interval_ms):
                self._on_hung_attempt(engine, attempt, is_engine_active, is_withheld, now)
        has_progress = attempt.request.done_ratio or attempt.queued_for_memory
        if not (has_progress or is_silent) and ran_ms > BAD_PLAN_GRACE_MS + BAD_PLAN_RATIO * expected_ms:
            self._redispatcher.relocate_or_demote(attempt.request, attempt, now)
        return is_overdue

    def _on_hung_attempt(
        self, engine: EngineState, attempt: AttemptState, is_engine_active: bool, is_withheld: bool, now: float
    ) -> None:
        """Charge the engine for a hung attempt, or withhold the class from it, and relocate the request."""
        cls = attempt.request.cls
        withheld_until_ms = engine.withheld_until_ms.get(cls, -math.inf)
        is_first = attempt.progress_at_ms == withheld_until_ms or now - withheld_until_ms > REPEATED_EJECTION_MS
        if not is_engine_active or (not is_withheld and is_first):
            self._charge_failure(engine, attempt, now, "does not run accepted requests")
            engine.withheld_until_ms[cls] = max(withheld_until_ms, now)
        elif self._has_alternative(cls, engine, now):
            if not is_withheld:
                self._log(f"engine {engine.id:08x} does not run class {cls}")
            engine.withheld_until_ms[cls] = now + REPEATED_EJECTION_MS  # it may still run other classes
        attempt.progress_at_ms = now
        if not engine.ejected:
            self._redispatcher.relocate(attempt.request, attempt, now)

    def _has_alternative(self, cls: int, engine: EngineState, now: float) -> bool:
        """Return whether another usable engine accepts requests of the class."""
        return any(
            other is not engine and now >= other.withheld_until_ms.get(cls, 0.0) for other in self._state.usable_engines
        )

    def _check_silent_engine(self, engine: EngineState, overdue: int, now: float) -> None:
        """Run a health check of a silent engine with overdue attempts, or eject it if health checks are disabled."""
        if self._state.settings.may_check_health:
            if now - engine.health_checked_at_ms > MIN_SILENCE_MS:
                engine.health_checked_at_ms = math.inf  # until the result arrives
                self._state.actions.append(RunHealthCheck(engine.id))
        elif overdue > 1 or now - engine.last_activity_at_ms > 2.0 * MIN_SILENCE_MS:
            self.eject(engine, now, "silent")

    def _expected_ms(self, engine: EngineState, attempt: AttemptState) -> float:
        """Return the expected run time of the attempt at its engine."""
        request = attempt.request
        latency_ratio = self._estimates.latency_ratio(engine, request.cls)
        return attempt.cost_ms / request.class_settings.threads * latency_ratio

    def _log(self, text: str) -> None:
        self._state.actions.append(WriteLog(text))
