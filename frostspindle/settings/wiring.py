"""Ties settings to a program that has them in its operator's file; imported only then.

Owns how a version's rules reach the core while it runs: bans, drains and engines, bounds, shares, classes' times and
TDS log-ins. It must never change what a part does by itself, never hold the event loop for a long list (engines go in
slices, but whoever is out is out at once), and what a version does not speak of stays as the program's own files say.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from immutables import Map

from frostspindle.config import BusEvent, Config, ConfigError, Host, TdsEngine, TdsLogin, Topology
from frostspindle.core import Attempt, ClientRequest, EngineState, EventObserver, ResponseStatus, clock
from frostspindle.ownership.holder import LeaseSettings as LeaseTerms
from frostspindle.ownership.service import LeaseManager
from frostspindle.policy import Health, Idempotency
from frostspindle.replica.local import LocalLog
from frostspindle.settings import canary, schema
from frostspindle.settings.agreement import TASK
from frostspindle.settings.canary import BUCKETS, HEAD, CanaryCheck, CanaryThresholds
from frostspindle.settings.decisions import NOTHING, REFUSE, ActiveRules, AgreementSettings, RestoredVersions
from frostspindle.settings.schema import InvalidSettingsError, Rules, RunningProgram
from frostspindle.settings.service import LocalOwnership, SettingsService
from frostspindle.settings.version_store import VersionStore
from frostspindle.settings.versions import EMPTY, Version
from frostspindle.store.base import StoreError
from frostspindle.store.opening import open_store
from frostspindle.store.sqlite_engine import SqliteEngine
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext as Program

SLICE = 100  # engines told to the core in one turn of the event loop
EFFECTS = {Idempotency.IDEMPOTENT: "repeatable", Idempotency.WITH_KEY: "by_key", Idempotency.NON_IDEMPOTENT: "once"}
TDS_LIMITS = {
    "tds_sessions": "max_sessions",
    "tds_batch_bytes": "max_batch_bytes",
    "tds_result_bytes": "max_result_bytes",
    "tds_idle_ms": "idle_ms",
}


def running(config: Config) -> RunningProgram:
    """Return what this coordinator was started with, as far as a version must fit it."""
    rules: dict[str, tuple[Any, ...]] = dict.fromkeys(config.tenants.names, ())
    rules.update({tenant.name: tuple(tenant.rule) for tenant in config.operator.tenant})
    return RunningProgram(
        {name: EFFECTS[config.settings.classes[n].idempotency] for n, name in enumerate(config.classes)},
        rules,
        config.bus is not None,
        config.operator.tds is not None,
        frozenset(config.plan.classes),
        frozenset(config.plan.kinds),
        config.zones,
        config.kinds,
        config.limits.sockets,
        config.limits.memory_mb,
    )


class ResponseFigures:
    """This coordinator's figures since its process began; a witness of answers that passes them on to the next one."""

    def __init__(self, next_: EventObserver | None, open_: Callable[[], int]) -> None:
        self.next, self.open = next_, open_
        self.counts = [0] * (HEAD + BUCKETS)

    def answered(self, request: ClientRequest, how: str, engine: str) -> None:
        """Count an answer by outcome and by ms since the request was taken, then pass it on to the next witness."""
        counts = self.counts
        counts[0] += 1
        if how == "failed":
            counts[1] += 1
        elif how == ResponseStatus.REJECTED:
            counts[2] += 1
        counts[HEAD + canary.bucket(clock() - request.received_ms)] += 1
        if self.next is not None:
            self.next.answered(request, how, engine)

    def engine(self, name: str, change: str, state: int | None = None) -> None:
        """Pass an engine's change on to the next witness; nothing is counted."""
        if self.next is not None:
            self.next.engine(name, change, state)

    def __call__(self) -> tuple[int, ...]:
        """Return all figures, with the number of open requests as of now; the others only grow."""
        self.counts[canary.OPEN] = self.open()
        return tuple(self.counts)


class AppliedRules:
    """The rules as the parts of this program have them now."""

    def __init__(self, program: Any, name: str) -> None:
        self.program, self.name = program, name
        self.core, self.config, self.telemetry = program.core, program.config, program.telemetry
        self.acting = NOTHING
        self.rules: Map[str, Any] = EMPTY.rules
        self.staff: frozenset[str] = frozenset()  # banned by hand, here alone
        self.out: frozenset[str] = frozenset()  # by the rules: these two
        self._barred: set[str] = set()  # by bans and drains
        self._unlisted: frozenset[str] = frozenset()  # not on their front's list, or not active there
        self._keys: set[str] | None = None  # in which entries what is acted on may differ from what was before
        # The same of two actings; None: in any.
        self.between: Callable[[ActiveRules, ActiveRules], set[str] | None] = lambda old, new: None
        self.refuse = False
        self.look: Callable[[], Any] = lambda: None  # asked before each send
        self.part = 1.0
        self.base_tds = self.config.operator.tds
        self._told: Callable[[frozenset[str]], None] = self.core.ban
        self._passed, self.core.may_start = self.core.may_start, self.fence
        self._sent: dict[int, list[Attempt]] = {}  # what passed the fence and is not over, by engine
        self._tuned: dict[str, Any] = {}  # entries of tenants and classes, as told to the core
        self._engines: dict[str, Any] = {}  # of HTTP, as told to the core
        self._listed = False  # they are the version's
        self._listing: asyncio.Task[None] | None = None

    # Bans by hand and by rules.

    def follow(self, told: Callable[[frozenset[str]], None]) -> Callable[[frozenset[str]], None]:
        """Return a function to call in place of `told` with the engines that staff ban: it adds those barred by the
        rules.
        """
        self._told = told

        def bans(names: frozenset[str]) -> None:
            self.staff = names
            told(names | self.out)

        return bans

    # Before each send.

    def fence(self, state: EngineState, attempt: Attempt) -> bool:
        """Return whether an attempt may send its first byte under the rules in force now, within this coordinator's
        part of the bounds.
        """
        self.look()
        if self._passed is not None and not self._passed(state, attempt):
            return False
        if self.refuse or state.name in self.out:
            self.telemetry.count("settings_stopped")
            return False
        front = "tds" if state.driver is self.program.tds_driver else "http"
        engine, whole = self.rules.get(f"engine/{front}/{state.name}"), self.rules.get("limit/out")
        most = math.inf if engine is None or engine.most is None else math.floor(engine.most * self.part + 1e-9)
        room = math.inf if whole is None else math.floor(whole.value * self.part + 1e-9)
        if most == math.inf and room == math.inf:
            return True
        sent = self._sent[attempt.engine] = [a for a in self._sent.get(attempt.engine, ()) if not a.is_finished]
        if attempt in sent:
            return True
        if room != math.inf:
            for number in [number for number, rows in self._sent.items() if number != attempt.engine]:
                self._sent[number] = rows = [a for a in self._sent[number] if not a.is_finished]
                if not rows:
                    del self._sent[number]
        if len(sent) >= most or sum(map(len, self._sent.values())) >= room:
            self.telemetry.count("settings_bounded")
            return False
        sent.append(attempt)
        return True

    # What is acted on.

    def act(self, acting: ActiveRules) -> None:
        """Put rules into force here. A fault in one part is logged and does not keep the others from theirs."""
        self._keys = self.between(self.acting, acting)
        kinds = None if self._keys is None else {schema.kind_of(key) for key in self._keys}
        old, self.rules = self.rules, acting.rules
        refused, self.refuse, self.acting = self.refuse, acting.mode == REFUSE, acting
        for work, of in (
            (self._stop, {"ban", "drain", "engine", "scope", "coordinator"}),
            (self._bounds, {"limit"}),
            (self._tune, {"tenant", "class"}),
            (self._tds, {"engine", "scope", "login", "limit"}),
            (self._list, {"engine", "scope"}),
        ):
            if kinds is not None and not kinds & of and refused == self.refuse:
                continue  # ten thousand engines are not looked through for another's share
            try:
                work(old, acting.rules)
            except Exception as error:  # noqa: BLE001 - a version that was checked; the rest of it still counts
                self.telemetry.count("faults")
                self.telemetry.log("fault", error=repr(error), of=f"settings {work.__name__}")

    def again(self, tds: Any) -> None:
        """Apply the rules again on top of the program's own files, which were read anew."""
        self.base_tds = tds
        self._bounds(EMPTY.rules, self.rules)
        self._tds(EMPTY.rules, self.rules)

    def _stop(self, old: Rules, new: Rules) -> None:
        """Who takes nothing new, at once; the lists follow."""
        part = new.get(f"coordinator/{self.name}")
        self.part = 1.0 if "scope/coordinator" not in new else part.part if part is not None else 0.0
        if self._keys is None:
            self._barred = {entry.engine for key, entry in new.items() if key.startswith(("ban/", "drain/"))}
        else:  # ten thousand entries are not looked through for one ban
            for name in {key.partition("/")[2] for key in self._keys if key.startswith(("ban/", "drain/"))}:
                (self._barred.add if f"ban/{name}" in new or f"drain/{name}" in new else self._barred.discard)(name)
        if self._keys is None or any(key.startswith(("engine/", "scope/")) for key in self._keys):
            self._unlisted = self._not_listed(new)
        fresh = self._unlisted | self._barred
        if fresh != self.out:
            self.out = fresh
            self._told(self.staff | fresh)

    def _not_listed(self, new: Rules) -> frozenset[str]:
        """Engines that were sent to and are not to be by the lists. Who was never active here needs no ban: a list of
        thousands that are leaving would hold the core for as long as it is told of each."""
        out = set()
        for front, driver in (("http", self.program.driver), ("tds", self.program.tds_driver)):
            if f"scope/{front}" in new and driver is not None:
                for state in self.core.engines.values():
                    if state.driver is driver and (
                        state.name in self._unlisted or (state.listed_entry or state.entry).health == Health.READY
                    ):
                        engine = new.get(f"engine/{front}/{state.name}")
                        if engine is None or engine.state != "active":
                            out.add(state.name)
        return frozenset(out)

    def _bounds(self, old: Rules, new: Rules) -> None:
        limit = new.get("limit/open_requests")
        self.program.agreed_open_limit = None if limit is None else int(limit.value)
        self.program.update_open_limit()
        self.core.most_open = 0 if self.refuse else self.program.sockets // 2

    def _tune(self, old: Rules, new: Rules) -> None:
        """Shares of tenants, and the times of classes: the module's settings with them laid over the start's."""
        kinds = ("tenant/", "class/")
        one, keys = self._tuned, self._keys
        if keys is None:
            two = {key: entry for key, entry in new.items() if key.startswith(kinds)}
        else:
            touched = [key for key in keys if key.startswith(kinds)]
            two = {key: entry for key in (*one, *touched) if (entry := new.get(key)) is not None}
        self._tuned = two
        if one == two:
            return
        base = self.config.settings
        quotas, classes = list(base.tenant_quotas_per_s), list(base.classes)
        numbers = {name: number for number, name in enumerate(self.config.classes)}
        for key, entry in two.items():
            if key.startswith("tenant/"):
                number = self.config.tenants.numbers.get(entry.name)
                if number is not None and number < len(quotas) and entry.share_per_s is not None:
                    # To the module 0 is no bound: so little that nothing of it is within the share, is.
                    quotas[number] = max(entry.share_per_s, 1e-6)
            else:
                told = {
                    field: value
                    for field, value in (
                        ("latency_objective_ms", entry.aim_ms),
                        ("deadline_ms", entry.deadline_ms),
                        ("priority_weight", entry.worth),
                    )
                    if value is not None
                }
                for number in (numbers.get(entry.name), self.config.plan.classes.get(entry.name)):
                    if number is not None:
                        classes[number] = dataclasses.replace(classes[number], **told)
        self.core.apply_settings(
            dataclasses.replace(
                self.core.settings,
                tenant_quotas_per_s=tuple(quotas),
                classes=tuple(classes) + base.classes[len(classes) :],
            )
        )

    def _tds(self, old: Rules, new: Rules) -> None:
        program = self.program
        if program.tds is None or program.tds_driver is None:
            return
        base = self.base_tds
        told: dict[str, Any] = {}
        for name, field in TDS_LIMITS.items():
            if (limit := new.get(f"limit/{name}")) is not None:
                told[field] = limit.value if field == "idle_ms" else int(limit.value)
        if "scope/login" in new:
            logins = [entry for key, entry in sorted(new.items()) if key.startswith("login/")]
            told["login"] = [
                TdsLogin(
                    entry.cls, entry.application, entry.database, entry.deadline_ms, entry.cost_ms, entry.memory_mb
                )
                for entry in logins
            ]
        if "scope/tds" in new:
            told["engine"] = [
                TdsEngine(entry.name, entry.dial, entry.cores, entry.memory_mb, entry.state)
                for key, entry in sorted(new.items())
                if key.startswith("engine/tds/")
            ]
        fresh = msgspec.structs.replace(base, **told)
        if fresh != program.tds.tds:
            program.tds.tds = program.tds_driver.tds = fresh
            program.tds_driver.configure(fresh.engine)

    def _list(self, old: Rules, new: Rules) -> None:
        """HTTP engines, where no bus lists them: what has changed, in slices."""
        if "scope/http" not in new and not self._listed:
            return
        told = self._listing is None or (
            self._listing.done() and not self._listing.cancelled() and self._listing.exception() is None
        )
        if self._listing is not None:
            self._listing.cancel()
            self._listing = None
        if told and self._listed and self._keys is not None and "scope/http" not in self._keys:
            names = [key.removeprefix("engine/http/") for key in self._keys if key.startswith("engine/http/")]
            wanted = {name: entry for name in names if (entry := new.get(f"engine/http/{name}")) is not None}
        else:
            wanted = {entry.name: entry for key, entry in new.items() if key.startswith("engine/http/")}
            names = [*wanted, *(self._engines.keys() - wanted.keys())]
        if "scope/http" not in new:  # the list is no longer the version's: it is as the file has it
            hosts = {host.host: host for event in self.config.known if event.topology for host in event.topology.hosts}
            self._listed, self._engines = False, {}
            bus = self.program.bus
            bus.restore(BusEvent(bus.last + 1, Topology(list(hosts.values()), whole=True)))
            return
        zone, kind = (names[0] if names else "" for names in (self.config.zones, self.config.kinds))

        def host(name: str) -> Host:
            if (entry := wanted.get(name)) is None:
                return Host(name, health="left")
            return Host(
                entry.name, entry.dial, entry.zone or zone, entry.kind or kind, entry.block, entry.state, entry.weight
            )

        names = [name for name in names if self._engines.get(name) != wanted.get(name)]
        if not self._listed:  # what the start's file knew is not on the list
            self._listed = True
            known = {state.name for state in self.core.engines.values() if state.driver is self.program.driver}
            names += known - wanted.keys()
        if len(names) <= SLICE:
            self._say([host(name) for name in names], wanted)
        else:
            self._listing = asyncio.create_task(self._sliced(names, host, wanted))

    def _say(self, hosts: list[Host], wanted: dict[str, Any]) -> None:
        if hosts:
            for host in hosts:
                if host.host in wanted:
                    self._engines[host.host] = wanted[host.host]
                else:
                    self._engines.pop(host.host, None)
            bus = self.program.bus
            bus.restore(BusEvent(bus.last + 1, Topology(hosts)))

    async def _sliced(self, names: list[str], host: Callable[[str], Host], wanted: dict[str, Any]) -> None:
        for at in range(0, len(names), SLICE):
            self._say([host(name) for name in names[at : at + SLICE]], wanted)
            await asyncio.sleep(0)
            while self.core.has_pending_changes:
                await asyncio.sleep(0)

    def close(self) -> None:
        """Cancel the task that tells the core a long engine list in slices; what it has told stays."""
        if self._listing is not None:
            self._listing.cancel()


class _VersionFitCheck:
    """Whether versions can be taken here: of a child of one that can, its changes are looked at alone."""

    def __init__(self, here: RunningProgram) -> None:
        self.here, self._good = here, {0: EMPTY.digest}

    def __call__(self, version: Version) -> str:
        why = schema.fits(version.rules, self.here, version.changes if version.parent in self._good else None)
        if not why:
            self._good[version.number] = version.digest
            while len(self._good) > 64:
                del self._good[next(iter(self._good))]
        return why


class SettingsComponent:
    """All parts of settings in one program."""

    def __init__(self, program: Program) -> None:
        config, operator = program.config, program.config.operator
        terms = operator.settings
        assert terms is not None
        self.program, self.terms, self.telemetry = program, terms, program.telemetry
        log: Any = getattr(program, "replica", None)
        self.alone = log is None
        self.local = LocalLog(config.name) if log is None else None
        name = config.name if operator.replica is None else operator.replica.me
        self.applied = AppliedRules(program, name)
        self.seen = program.core.observer = ResponseFigures(program.core.observer, lambda: program.core.open)
        keeper, kept = (
            self._open(Path(terms.folder), name, program.telemetry) if terms.folder else (None, RestoredVersions())
        )
        part: Any = getattr(program, "owners", None)  # of [ownership]; without it the task's lease is all there is
        self.owners = (
            LeaseManager(log, name, LeaseTerms(drift=terms.drift), program.telemetry)
            if (part is None and not self.alone)
            else None
        )
        owners: Any = self.owners or (LocalOwnership() if self.alone else part.owners)
        if not self.alone:
            owners.want(TASK)
        here = running(config)
        judge = (
            CanaryCheck(
                CanaryThresholds(
                    bands={
                        canary.FAILED: terms.band_failed,
                        canary.REFUSED: terms.band_refused,
                        canary.SLOW: terms.band_slow,
                    }
                )
            )
            if terms.guard
            else None
        )
        self.service = SettingsService(
            self.local or log,
            name,
            AgreementSettings(terms.lease_ms, terms.drift, terms.trial_ms, terms.alone),
            program.telemetry,
            self.applied.act,
            _VersionFitCheck(here),
            self.seen,
            owners,
            keeper,
            kept,
            judge,
        )
        self.applied.between = self.service.between
        self._first = self.file()
        if self.alone and kept.versions:  # a log in memory has forgotten them
            newest = max(kept.versions, key=lambda version: version.number)
            self._resume(newest)
        self.applied.look = self.service.look

    def _resume(self, version: Version) -> None:
        machine = self.service.machine
        machine.history.add(dataclasses.replace(version, parent=-1, changes={}))
        machine.last = machine.live = machine.proven = version.number

    @staticmethod
    def _open(folder: Path, name: str, telemetry: Telemetry) -> tuple[VersionStore | None, RestoredVersions]:
        """The store; without one nothing is acknowledged, and the fleet waits a lease for this coordinator."""
        try:
            keeper = VersionStore(
                open_store(
                    folder, name, SqliteEngine, note=lambda event, **more: telemetry.log(f"settings_{event}", **more)
                )
            )
            return keeper, keeper.load()
        except (StoreError, InvalidSettingsError, OSError, ValueError) as error:
            telemetry.count("settings_store_failed")
            telemetry.log("settings_store_failed", error=str(error)[:200])
            if isinstance(error, InvalidSettingsError):  # whole for the store, not for us: it is written anew
                return keeper, RestoredVersions()
            return None, RestoredVersions()

    def start(self) -> None:
        """Start ownership and the service, and push the own file's rules; the log and the core must have started."""
        if self.owners is not None:
            self.owners.start()
        self.service.start()
        if (rules := self._first) is not None:
            self.service.push_rules("file", rules)

    def reload(self, tds: Any, rules: dict[str, Any] | None) -> None:
        """Apply the program's own files again (SIGHUP).

        The rules in force have precedence; a coordinator that is alone pushes its file as its next version.
        """
        self.applied.again(tds)
        if rules is not None:
            self.service.push_rules(f"file-{clock():.0f}", rules)

    def file(self) -> dict[str, Any] | None:
        """Return the rules of the file of a coordinator that is alone, None without one; ConfigError names the key."""
        if not self.alone or not self.terms.file:
            return None
        try:
            rules = schema.read(Path(self.terms.file).read_bytes())
            if why := schema.fits(rules, running(self.program.config)):
                raise InvalidSettingsError(why)
        except OSError as error:
            raise ConfigError(f"settings.file: {self.terms.file}: {error.strerror}") from None
        except InvalidSettingsError as error:
            raise ConfigError(f"settings.file: {error}") from None
        return rules

    async def close(self) -> None:
        """Stop telling engine lists, then the settings service, then this coordinator's own task leases."""
        self.applied.close()
        await self.service.close()
        if self.owners is not None:
            await self.owners.close()


def attach(program: Any) -> SettingsComponent:
    """Create the settings of a program and register them at the operators' port."""
    wired = SettingsComponent(program)
    service = wired.service
    if program.operator_server is not None:
        from frostspindle.net.operator import OperatorError

        def no(call: Callable[..., Any]) -> Callable[..., Any]:
            def called(*words: str) -> Any:
                try:
                    return call(*words)
                except InvalidSettingsError as error:
                    raise OperatorError(str(error)) from None

            return called

        def number(text: str) -> int:
            if not text.isascii() or not text.isdecimal() or len(text) > 9:
                raise InvalidSettingsError(f"not a version: {text!r:.40}")
            return int(text)

        program.operator_server.does |= {
            "show-settings": service.figures,
            "settings-history": service.history,
            "settings-push": no(service.push_piece),
            "settings-outcome": no(service.outcome),
            "settings-rollback": no(lambda name, to: service.push_back(name, number(to))),
            "settings-diff": no(lambda one, two: service.diff(number(one), number(two))),
        }
        program.operator_server.takes |= {
            "settings-push": "an id, a place and a piece",
            "settings-outcome": "an id",
            "settings-rollback": "an id and a version",
            "settings-diff": "two versions",
        }
        program.operator_server.long.add("settings-push")
        program.operator_server.quiet.add("settings-outcome")
    return wired
