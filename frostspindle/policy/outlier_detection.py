"""Outlier detection: failure rates, silence and hung attempts, ejection of engines and half-open tests."""

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

EJECT_AT_RATE = 0.5  # share of recent failures at which an engine is ejected
FAILURE_CHARGE = 0.3  # part of the way to 1 that one failure moves the rate
FAILURE_CHARGE_SMALL_SHARE = 0.6  # the same where our share is so small that one failure must do
SUCCESS_FACTOR = 0.7
MAX_HALF_OPEN_BACKOFF_MS = 8000.0
REPEATED_EJECTION_MS = 5000.0  # ejected again so soon after a passed test, the next test waits twice as long

MIN_SILENCE_MS = 1500.0  # least silence that counts while answers are overdue; for a single one: twice that
SILENCE_GAPS = 5.0  # usual gaps between signs of life that are a silence
SILENCE_PROGRESS_INTERVALS = 2.2

OVERDUE_AFTER_MS = 500.0  # an attempt is overdue so long after OVERDUE_RATIO times its expected time
OVERDUE_RATIO = 2.0
BAD_PLAN_GRACE_MS = 300.0  # an attempt is taken for a bad plan so long after BAD_PLAN_RATIO times it
BAD_PLAN_RATIO = 6.0
MIN_PROGRESS_RUN_RATIO = 0.5  # progress is not judged before this part of the expected time
MAX_MISSED_INTERVALS = 2.5  # an overdue attempt without progress reports for so many intervals does not run
REPORT_GRACE_MS = 375.0  # likewise any attempt so long past one interval, if nothing else is heard from the engine
EXAMINE_EARLY_MS = 1.0

ENGINE_FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET)


class OutlierDetector:
    """Ejects engines that fail, fall silent or do not run what they take, and readmits those that pass a test."""

    def __init__(
        self, state: PolicyState, estimates: Estimates, registry: EngineRegistry, redispatcher: Redispatcher
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._registry = registry
        self._redispatcher = redispatcher

    # Results of attempts.

    def record_success(self, engine: EngineState, now: float) -> None:
        """Note a good response: it readmits an ejected engine."""
        engine.record_activity(now)
        if not engine.ejected:
            engine.failure_rate *= SUCCESS_FACTOR
            return
        engine.failure_rate *= 0.0
        engine.ejected = False
        engine.ejected_by_peer = False
        engine.readmitted_at_ms = now
        engine.slowdown = 1.0
        self._log(f"engine {engine.id:08x} answers again")

    def record_failure(self, attempt: AttemptState, outcome: int, now: float) -> None:
        """Charge an attempt's failure to its engine or, as other engines failed alike, to the request."""
        engine = attempt.engine
        if outcome in ENGINE_FAILURES:
            # An error at a second engine speaks against the request, and in favour of the first.
            others = [
                other
                for other in attempt.request.attempts
                if other.engine is not engine and other.outcome == AttemptOutcome.ERROR
            ]
            if outcome != AttemptOutcome.ERROR or not others:
                self._charge_failure(engine, attempt, now, "fails")
            elif len(others) == 1:
                self._revert_charge(others[0])
        elif attempt.half_open and outcome != AttemptOutcome.NOT_SENT:  # not sent: its request was over
            self.eject(engine, now, "failed its test")

    def record_progress(self, engine: EngineState, attempt: AttemptState, event: ProgressReported, now: float) -> None:
        """Take in a progress report: waiting time, the part done, and whether the attempt is far over its estimate."""
        engine.record_activity(now)
        request = attempt.request
        if attempt.queued_for_memory:  # no reports come from there: it left the line an interval ago at most
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
        is_outlier = engine.failure_rate >= EJECT_AT_RATE and not engine.ejected  # one episode counts once
        if attempt.half_open or is_outlier:
            self.eject(engine, now, reason)

    def _revert_charge(self, attempt: AttemptState) -> None:
        engine = attempt.engine
        engine.failure_rate -= min(attempt.failure_charge, engine.failure_rate)
        engine.ejected &= attempt.half_open or engine.failure_rate >= EJECT_AT_RATE

    # Ejection.

    def eject(self, engine: EngineState, now: float, reason: str) -> None:
        """Send no new work until one small request has come back; never eject more than half of all engines."""
        if not engine.ejected and not self._may_eject_another():
            return
        is_repeated = engine.ejected or now - engine.readmitted_at_ms < REPEATED_EJECTION_MS
        engine.half_open_backoff_ms = HALF_OPEN_BACKOFF_MS if not is_repeated else self._longer_backoff_ms(engine)
        if not engine.ejected:
            self._log(f"engine {engine.id:08x} {reason}: suspected")
        engine.ejected = True
        engine.half_open_at_ms = now + engine.half_open_backoff_ms
        self._registry.refresh(now)
        for attempt in list(engine.attempts.values()):
            self._redispatcher.relocate(attempt.request, attempt, now)

    def apply_peer_verdict(self, engine: EngineState, is_ejected: bool, now: float) -> None:
        """Eject what another worker has ejected; one worker's passed test speaks for all."""
        if is_ejected and not engine.ejected and not engine.ejected_by_peer:
            self.eject(engine, now, "is suspected by another worker")
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

    # Silence, and attempts that do not run.

    def record_health_check(self, engine: EngineState, event: HealthCheckCompleted, now: float) -> None:
        """Take in a health check's result: a failed one ejects an engine that is silent."""
        engine.health_checked_at_ms = now
        if event.outcome == AttemptOutcome.OK:
            engine.record_activity(now)
        elif self.is_silent(engine, now) and not engine.ejected:
            self.eject(engine, now, "is silent and fails its probe")

    def is_silent(self, engine: EngineState, now: float) -> bool:
        """Tell whether no sign of life came for longer than is usual for the engine."""
        interval_ms = self._state.settings.progress_interval_ms
        usual_ms = max(MIN_SILENCE_MS, SILENCE_GAPS * engine.activity_gap_ms, SILENCE_PROGRESS_INTERVALS * interval_ms)
        return now - engine.last_activity_at_ms > usual_ms

    def examine(self, now: float) -> None:
        """Examine the engines at which a fault may be found by now."""
        for engine in [e for e in self._state.engines.values() if e.attempts and now >= e.examine_at_ms]:
            self._examine_engine(engine, now)

    def examine_at_ms(self, attempt: AttemptState) -> float:
        """Return the earliest time at which the attempt could be found hung or badly planned, or its engine silent."""
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
        """Deal with an attempt that does not run or is far over its estimate; tell whether it is overdue."""
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
        """An attempt was taken and is not run: blame the engine, or withhold the class from it, and go elsewhere."""
        cls = attempt.request.cls
        withheld_until_ms = engine.withheld_until_ms.get(cls, -math.inf)
        is_first = attempt.progress_at_ms == withheld_until_ms or now - withheld_until_ms > REPEATED_EJECTION_MS
        if not is_engine_active or (not is_withheld and is_first):
            self._charge_failure(engine, attempt, now, "keeps what it takes")
            engine.withheld_until_ms[cls] = max(withheld_until_ms, now)
        elif self._has_alternative(cls, engine, now):
            if not is_withheld:
                self._log(f"engine {engine.id:08x} keeps class {cls}")
            engine.withheld_until_ms[cls] = now + REPEATED_EJECTION_MS  # though it may answer others
        attempt.progress_at_ms = now
        if not engine.ejected:
            self._redispatcher.relocate(attempt.request, attempt, now)

    def _has_alternative(self, cls: int, engine: EngineState, now: float) -> bool:
        """Tell whether another usable engine may have requests of the class."""
        return any(
            other is not engine and now >= other.withheld_until_ms.get(cls, 0.0) for other in self._state.usable_engines
        )

    def _check_silent_engine(self, engine: EngineState, overdue: int, now: float) -> None:
        """Run a health check of a silent engine with overdue attempts; without health checks eject it."""
        if self._state.settings.may_check_health:
            if now - engine.health_checked_at_ms > MIN_SILENCE_MS:
                engine.health_checked_at_ms = math.inf  # until its result
                self._state.actions.append(RunHealthCheck(engine.id))
        elif overdue > 1 or now - engine.last_activity_at_ms > 2.0 * MIN_SILENCE_MS:
            self.eject(engine, now, "is silent")

    def _expected_ms(self, engine: EngineState, attempt: AttemptState) -> float:
        """Return how long the attempt should run at its engine."""
        request = attempt.request
        latency_ratio = self._estimates.latency_ratio(engine, request.cls)
        return attempt.cost_ms / request.class_settings.threads * latency_ratio

    def _log(self, text: str) -> None:
        self._state.actions.append(WriteLog(text))
