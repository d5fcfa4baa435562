"""Assembles the settings of one program, starts and stops them, and registers their operators' calls.

Imported only if the program has a `[settings]` section.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from frostspindle.config import Config, ConfigError, TenantRule
from frostspindle.core import clock
from frostspindle.ownership.holder import LeaseSettings
from frostspindle.ownership.service import LeaseManager
from frostspindle.policy import Idempotency
from frostspindle.replica.local import LocalLog
from frostspindle.settings import canary
from frostspindle.settings.active_rules import RestoredVersions
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.applicability import ApplicabilityCheck, RunningProgram, inapplicability_reason
from frostspindle.settings.applied_rules import AppliedRules
from frostspindle.settings.canary import CanaryCheck, CanaryThresholds
from frostspindle.settings.document import parse_document
from frostspindle.settings.log_commands import TASK
from frostspindle.settings.operator_calls import OperatorCalls
from frostspindle.settings.response_figures import ResponseFigures
from frostspindle.settings.schema import InvalidSettingsError, Rules
from frostspindle.settings.service import SettingsService
from frostspindle.settings.task_ownership import LocalOwnership
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import Version
from frostspindle.store.base import StoreError
from frostspindle.store.opening import open_store
from frostspindle.store.sqlite_engine import SqliteEngine
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext as Program

EFFECTS = {Idempotency.IDEMPOTENT: "repeatable", Idempotency.WITH_KEY: "by_key", Idempotency.NON_IDEMPOTENT: "once"}
MAX_ERROR_LENGTH = 200


def describe_program(config: Config) -> RunningProgram:
    """Return the startup configuration that determines which versions this coordinator can apply."""
    tenant_rules: dict[str, tuple[TenantRule, ...]] = dict.fromkeys(config.tenants.names, ())
    tenant_rules.update({tenant.name: tuple(tenant.rule) for tenant in config.operator.tenant})
    return RunningProgram(
        classes={
            name: EFFECTS[config.settings.classes[number].idempotency] for number, name in enumerate(config.classes)
        },
        tenants=tenant_rules,
        has_event_bus=config.bus is not None,
        has_tds=config.operator.tds is not None,
        tds_classes=frozenset(config.plan.classes),
        tds_sizes=frozenset(config.plan.kinds),
        zones=config.zones,
        kinds=config.kinds,
        sockets=config.limits.sockets,
        memory_mb=config.limits.memory_mb,
    )


def open_version_store(folder: Path, name: str, telemetry: Telemetry) -> tuple[VersionStore | None, RestoredVersions]:
    """Open the store of versions and return it with the restored versions.

    Without a store (None) no version is acknowledged, and the publisher waits for this coordinator's lease to expire.
    """
    store: VersionStore | None = None
    try:
        store = VersionStore(
            open_store(folder, name, SqliteEngine, log=lambda event, **more: telemetry.log(f"settings_{event}", **more))
        )
        return store, store.load()
    except InvalidSettingsError as error:
        _report_store_failure(telemetry, error)
        return store, RestoredVersions()  # the store is intact but its records are invalid: they are overwritten
    except (StoreError, OSError, ValueError) as error:
        _report_store_failure(telemetry, error)
        return None, RestoredVersions()


def _report_store_failure(telemetry: Telemetry, error: Exception) -> None:
    telemetry.count("settings_store_failed")
    telemetry.log("settings_store_failed", error=str(error)[:MAX_ERROR_LENGTH])


class SettingsComponent:
    """The settings of one program, with all their components."""

    def __init__(self, program: Program) -> None:
        section = program.config.operator.settings
        assert section is not None
        self.program = program
        self.section = section  # [settings] of the operator's file
        self.telemetry = program.telemetry

        replica_log: Any = getattr(program, "replica", None)
        replica_section = program.config.operator.replica
        self.is_standalone: bool = replica_log is None
        self.log: Any = LocalLog(program.config.name) if self.is_standalone else replica_log
        name = program.config.name if replica_section is None else replica_section.me
        self.applied = AppliedRules(program, name)
        self.figures = ResponseFigures(program.core.observer, lambda: program.core.open)
        program.core.observer = self.figures
        store: VersionStore | None = None
        restored = RestoredVersions()
        if section.folder:
            store, restored = open_version_store(Path(section.folder), name, program.telemetry)
        self.lease_manager: LeaseManager | None = None  # used with [replica] but without [ownership]
        ownership = self._task_ownership(name)
        self.service = SettingsService(
            self.log,
            name,
            AgreementSettings(section.lease_ms, section.drift, section.trial_ms, section.alone),
            program.telemetry,
            self.applied.apply,
            ApplicabilityCheck(describe_program(program.config)),
            self.figures,
            ownership,
            store,
            restored,
            self._canary_check(),
        )
        self.applied.changed_keys = self.service.changed_keys
        self._initial_rules = self.read_local_file()
        if self.is_standalone and restored.versions:  # the local log is in memory and starts empty
            self._resume(max(restored.versions, key=lambda version: version.number))
        self.applied.refresh = self.service.refresh

    def _task_ownership(self, name: str) -> Any:
        """Return the owner of the publisher's lease: local, the program's [ownership], or a separate lease manager."""
        if self.is_standalone:
            return LocalOwnership()
        ownership_component: Any = getattr(self.program, "owners", None)
        if ownership_component is None:
            lease_settings = LeaseSettings(drift=self.section.drift)
            self.lease_manager = LeaseManager(self.log, name, lease_settings, self.telemetry)
        ownership = self.lease_manager or ownership_component.lease_manager
        ownership.add_candidacy(TASK)
        return ownership

    def _canary_check(self) -> CanaryCheck | None:
        section = self.section
        if not section.guard:
            return None
        guard_bands = {
            canary.FAILED: section.band_failed,
            canary.REJECTED: section.band_refused,
            canary.SLOW: section.band_slow,
        }
        return CanaryCheck(CanaryThresholds(guard_bands=guard_bands))

    def _resume(self, version: Version) -> None:
        """Make a restored version the active and confirmed one."""
        machine = self.service.machine
        machine.versions.add(dataclasses.replace(version, parent=-1, changes={}))
        machine.last_version = version.number
        machine.active_version = version.number
        machine.confirmed_version = version.number

    def start(self) -> None:
        """Start the lease manager and the service, and push the rules of the local file.

        The log and the core must have been started.
        """
        if self.lease_manager is not None:
            self.lease_manager.start()
        self.service.start()
        if self._initial_rules is not None:
            self.service.pushes.push_rules("file", self._initial_rules)

    def reload(self, tds: Any, rules: Rules | None) -> None:
        """Apply the reloaded local files (SIGHUP).

        The active rules have precedence. A standalone coordinator pushes its settings file as the next version.
        """
        self.applied.reapply(tds)
        if rules is not None:
            self.service.pushes.push_rules(f"file-{clock():.0f}", rules)

    def read_local_file(self) -> Rules | None:
        """Return the rules of a standalone coordinator's settings file, None without one. ConfigError names the key."""
        if not self.is_standalone or not self.section.file:
            return None
        try:
            rules = parse_document(Path(self.section.file).read_bytes())
            reason = inapplicability_reason(rules, describe_program(self.program.config))
            if reason:
                raise InvalidSettingsError(reason)
        except OSError as error:
            raise ConfigError(f"settings.file: {self.section.file}: {error.strerror}") from None
        except InvalidSettingsError as error:
            raise ConfigError(f"settings.file: {error}") from None
        return rules

    async def close(self) -> None:
        """Stop the engine list, then the settings service, then the lease manager."""
        self.applied.close()
        await self.service.close()
        if self.lease_manager is not None:
            await self.lease_manager.close()


def attach(program: Any) -> SettingsComponent:
    """Create the settings of a program and register their operators' calls."""
    component = SettingsComponent(program)
    if program.operator_server is not None:
        _register_operator_calls(program.operator_server, component.service)
    return component


def _register_operator_calls(operator_server: Any, service: SettingsService) -> None:
    calls = OperatorCalls(service)
    pushes = service.pushes
    operator_server.handlers |= {
        "show-settings": calls.status,
        "settings-history": calls.history,
        "settings-push": _with_operator_errors(pushes.receive_piece),
        "settings-outcome": _with_operator_errors(pushes.outcome),
        "settings-rollback": _with_operator_errors(
            lambda name, version: pushes.push_rollback(name, _parse_version(version))
        ),
        "settings-diff": _with_operator_errors(lambda old, new: calls.diff(_parse_version(old), _parse_version(new))),
    }
    operator_server.arguments |= {
        "settings-push": "an id, a position and a piece",
        "settings-outcome": "an id",
        "settings-rollback": "an id and a version",
        "settings-diff": "two versions",
    }
    operator_server.long_calls.add("settings-push")
    operator_server.unlogged_calls.add("settings-outcome")


def _with_operator_errors(call: Callable[..., Any]) -> Callable[..., Any]:
    """Wrap a call so that an InvalidSettingsError is sent to the operator as the reply."""
    from frostspindle.net.operator import OperatorError

    def wrapped(*arguments: str) -> Any:
        try:
            return call(*arguments)
        except InvalidSettingsError as error:
            raise OperatorError(str(error)) from None

    return wrapped


def _parse_version(text: str) -> int:
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        raise InvalidSettingsError(f"not a version number: {text!r:.40}")
    return int(text)
