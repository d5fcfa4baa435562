"""The settings service of a running coordinator: drives the decisions and carries out their results.

Runs the timer, the proposals to the log, the writes to the store and their tasks in the event loop's thread; one more
thread does the store's I/O and the compression of large drafts, so the event loop never waits for the log or the disk.
All decisions about versions are made in member_decisions and publisher_decisions. Logs the events of rollout_log, and
`settings_publisher_changed` and `settings_version_store_failed`.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog
from frostspindle.settings.active_rules import ActiveRules, RestoredVersions
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.canary import CanaryCheck
from frostspindle.settings.log_commands import TASK, TOPIC, PublishVersion, encode_command
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.publisher_decisions import PublisherDecisions
from frostspindle.settings.pushes import PushService
from frostspindle.settings.rollout_log import RolloutLog
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.task_ownership import TaskLease, TaskOwnership
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import Version
from frostspindle.store.base import StoreError
from frostspindle.telemetry import Telemetry

TICK_S = 0.05
PUBLISH_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 0.5
REFRESH_S = 30.0  # how often the stored versions get a new timestamp, which says when they were last current
# Surplus versions remain stored for this long, so that each version of a quick series costs a single batch.
REMOVAL_DELAY_S = 1.0
MAX_ERROR_LENGTH = 200


def clock() -> float:
    """Return ms of a monotonic clock that also advances while the process is stopped or the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class SettingsService:
    """One coordinator's settings service. It must be created before the coordinator's log starts."""

    _timer: asyncio.TimerHandle | None = None
    _is_publishing: bool = False
    _is_persisting: bool = False
    _is_building: bool = False
    _is_closed: bool = False
    _persisted_at: float = 0.0

    def __init__(
        self,
        log: ReplicatedLog,
        name: str,
        settings: AgreementSettings,
        telemetry: Telemetry,
        apply_rules: Callable[[ActiveRules], None],
        inapplicability_reason: Callable[[Version], str],
        figures: Callable[[], tuple[int, ...]],
        ownership: TaskOwnership,
        store: VersionStore | None,
        restored: RestoredVersions,
        canary: CanaryCheck | None,
        now: Callable[[], float] = clock,
    ) -> None:
        """Attach the state machine to the log, without starting the timer.

        `apply_rules` puts rules into force in the core and must not raise; `figures` returns the current figures.
        """
        self.log: ReplicatedLog = log
        self.settings: AgreementSettings = settings
        self.telemetry: Telemetry = telemetry
        self.apply_rules: Callable[[ActiveRules], None] = apply_rules
        self.figures: Callable[[], tuple[int, ...]] = figures
        self.ownership: TaskOwnership = ownership
        self.store: VersionStore | None = store  # None: no version is durable, so none is acknowledged
        self.now: Callable[[], float] = now

        process = int(time.time() * 1000.0)
        self.machine = SettingsStateMachine()
        self.member = MemberDecisions(name, process, settings, self.machine, now(), inapplicability_reason, restored)
        self.publisher = PublisherDecisions(settings, self.machine, canary)
        self.active_rules: ActiveRules | None = None
        self.counts: Counter[str] = Counter()
        self.executor = ThreadPoolExecutor(1, "settings")
        self.pushes = PushService(self)

        self._rollout_log = RolloutLog(self.machine, self.member, telemetry)
        self._tasks: set[asyncio.Task[Any]] = set()
        log.attach(TOPIC, self.machine)
        log.watch(TOPIC, self._on_entry_applied)

    # Timer and log.

    def start(self) -> None:
        """Run one step and start the timer; needs a running event loop."""
        self.step()
        self._tick()

    def _tick(self) -> None:
        if self._is_closed:
            return
        self._timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        try:
            self.step()
        except Exception as error:  # noqa: BLE001 - the next tick retries every step
            self._report_exception(error)

    def _on_entry_applied(self, index: int, command: bytes, result: bytes) -> None:
        self.member.on_entry_applied(self.now(), command, result)
        self.step()

    def step(self) -> None:
        """Run each duty once: events, lease, store, renewal, drafts, publication. Does nothing after `close`."""
        if self._is_closed:
            return
        self._report_events()
        self.refresh()
        now = self.now()
        self._persist_if_needed(now)
        self._renew_if_due(now)
        self._prebuild_draft()
        self._publish(now)

    def _report_events(self) -> None:
        self._rollout_log.log_versions()
        for event in self._rollout_log.take_new_events():
            self.pushes.on_event(event)
            if self.publisher.token:
                self._rollout_log.log_event(event, self.now())

    # Active rules.

    def refresh(self) -> ActiveRules:
        """Return the current rules, and put them into force first if they have changed. Called before each send."""
        now = self.now()
        rules = self.member.current_rules(now)
        if rules is not self.active_rules:
            self._set_active_rules(rules, now)
        return rules

    def _set_active_rules(self, rules: ActiveRules, now: float) -> None:
        previous = self.active_rules
        self.active_rules = rules
        self.apply_rules(rules)
        self.member.on_rules_applied(rules)
        self._rollout_log.log_active_rules(previous, rules, self.member.restored, now)

    def changed_keys(self, old: ActiveRules, new: ActiveRules) -> set[str] | None:
        """Return the keys in which two active rules may differ.

        None (any key) unless all versions but the oldest have their parent among them.
        """
        numbers = {*old.versions, *new.versions}
        keys: set[str] = set()
        for number in numbers - {min(numbers)}:
            version = self.machine.versions.get(number)
            if version is None or version.parent not in numbers:
                return None
            keys.update(version.changes)
        if "limit/out" in new.rules or "limit/out" in old.rules:
            keys.add("limit/out")  # an intersection may lower this limit
        return keys

    # Store.

    def _persist_if_needed(self, now: float) -> None:
        age_ms = now - self._persisted_at
        versions = self.member.versions_to_persist(include_removals=age_ms >= REMOVAL_DELAY_S * 1000.0)
        if self.store is None or self._is_persisting:
            return
        durable = self.member.durable_digests
        if not versions and self.member.has_renewed and durable and age_ms > REFRESH_S * 1000.0:
            versions = tuple(self.machine.version(number) for number in durable)
        if versions:
            self._is_persisting = True
            self.spawn(self._persist(self.store, versions))

    async def _persist(self, store: VersionStore, versions: tuple[Version, ...]) -> None:
        unix_ms = time.time() * 1000.0
        try:
            await asyncio.get_running_loop().run_in_executor(self.executor, store.save, versions, unix_ms)
        except (StoreError, OSError, KeyError) as error:
            self.counts["keep_failed"] += 1
            self.telemetry.count("settings_keep_failed")
            self.telemetry.log("settings_version_store_failed", error=str(error)[:MAX_ERROR_LENGTH])
            self.store = None  # stop acknowledging: the publisher then waits for this coordinator's lease to expire
        else:
            self.member.on_persisted(versions)
            self._persisted_at = self.now()
        finally:
            self._is_persisting = False
        self.step()

    # Proposals.

    def _renew_if_due(self, now: float) -> None:
        figures = self.figures() if self.publisher.canary is not None else ()
        renewal = self.member.next_renewal(now, figures)
        if renewal is not None:
            self.spawn(self.propose(encode_command(renewal), self.settings.lease_ms / 1000.0))

    def _prebuild_draft(self) -> None:
        if not self._is_building and self.machine.has_unbuilt_draft:
            self._is_building = True
            self.spawn(self._build_draft())

    async def _build_draft(self) -> None:
        """Build the version of a long draft before its publication, one slice per iteration of the event loop."""
        try:
            while self.machine.has_unbuilt_draft:
                self.machine.build_slice()
                await asyncio.sleep(0)
        finally:
            self._is_building = False
        self.step()

    def _publish(self, now: float) -> None:
        lease = self.ownership.lease(TASK)
        self._update_token(lease, now)
        command = self.publisher.next_command(now)
        if command is None or self._is_publishing or lease is None or not lease.holds():
            return
        if self._is_building and isinstance(command, PublishVersion):
            return
        self._is_publishing = True
        self.spawn(self._propose_as_publisher(encode_command(command)))

    def _update_token(self, lease: TaskLease | None, now: float) -> None:
        token = lease.token if lease is not None else 0
        if token == self.publisher.token:
            return
        if token:
            self.publisher.on_lease_acquired(now, token)
        else:
            self.publisher.on_lease_lost()
        self.telemetry.log("settings_publisher_changed", token=token)

    async def _propose_as_publisher(self, command: bytes) -> None:
        try:
            await self.propose(command, PUBLISH_TIMEOUT_S)
        finally:
            self._is_publishing = False
        self.step()

    async def propose(self, command: bytes, timeout_s: float) -> bytes | None:
        """Propose a command and return its result; None if there is none in time."""
        try:
            entry = await self.log.propose(TOPIC, command, timeout_s)
            return entry.result
        except LogUnavailableError:
            self.counts["unavailable"] += 1
        except OutcomeUnknownError:
            self.counts["uncertain"] += 1
        return None

    # Tasks and shutdown.

    def count(self, event: str) -> None:
        """Count an event for the operators' port."""
        self.counts[event] += 1

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work in a task that `close` cancels; its exceptions are logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._report_exception(error)

    def _report_exception(self, error: BaseException) -> None:
        self.telemetry.count("faults")
        self.telemetry.log("exception_caught", error=repr(error), of="settings")

    async def close(self) -> None:
        """Stop the service after giving up the lease.

        Giving it up is announced in the log, so that the publisher need not wait for the lease to expire.
        """
        if self._is_closed:
            return
        leaving = self.member.leave()
        self.refresh()
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self.log.leader is not None:
            await self.propose(encode_command(leaving), LEAVE_TIMEOUT_S)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.executor.shutdown(wait=True)
        if self.store is not None:
            self.store.store.close()
