"""One process that serves: its parts, their wiring, and what each signal does.

Owns the order in which the parts start and stop and what each signal does: SIGTERM and SIGINT end the
program in good order, SIGUSR1 prints the counters, SIGHUP reads the configuration and the operator's file
again. It decides nothing about requests, speaks no wire and reads no command line.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from frostspindle import config as configuration
from frostspindle import signals
from frostspindle.config import Config, ConfigError
from frostspindle.core import SUBREQUEST_FRONT, Core
from frostspindle.handover import open_request_limit
from frostspindle.ledger.tenants import RequestAttributes
from frostspindle.net.discovery import EndpointWatcher
from frostspindle.net.engines import HttpEngines
from frostspindle.net.http.calls import FRONT
from frostspindle.net.http.statements import schema, table_group
from frostspindle.net.operator import OperatorError, OperatorServer
from frostspindle.net.platform import HttpFront
from frostspindle.policy import EndpointListKind
from frostspindle.reserved_descriptor import ReservedDescriptor
from frostspindle.shared import Shared
from frostspindle.telemetry import Telemetry

if TYPE_CHECKING:
    from frostspindle.net.tds.driver import TdsEngines
    from frostspindle.net.tds.front import TdsFront

ACCEPT_S = 0.75  # after SIGTERM new work still comes for up to 0.6 s, and is owed its answer
OPEN_PART = 0.29  # of all descriptors, open requests
KILL_S, LAST_S = 5.0, 0.5  # an upgrade kills after the longest deadline, KILL_S at most, and 0.7 s
# The system may be told to kill so long after the longest deadline; all is answered and gone so long before that.
MERCY_S, LEAVE_S = 0.7, 0.2
LOOK_S = 0.02  # so often it is looked whether anything is still open
FLUSH_S = 0.1  # for the last answers to leave
MEMORY_EVERY_S = 60.0  # a line of what the process holds: growth shows over a long day, at no cost to requests
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


class WorkerLink(Protocol):
    """What ties this process to other workers of one coordinator; it stands where a single process has `Shared`."""

    crowded: bool

    @property
    def order(self) -> Path | None:
        """Where processes keep the order of their keys; None: nowhere."""

    @property
    def ending(self) -> bool:
        """Nobody else accepts any more."""

    def bind(self, program: Program) -> None:
        """Take the program whose part this is, before it starts."""

    def start(self, told: Callable[[frozenset[str]], None], crowd: Callable[[bool], None]) -> None:
        """Tell the bans now, and again whenever they change; likewise whether another process runs."""

    def serving(self) -> None:
        """Clients are served from now on."""

    def leaving(self) -> None:
        """Nothing more is accepted."""

    def close(self) -> None:
        """The program has ended."""


class Program:
    """All parts of one running coordinator."""

    def __init__(self, config: Config, link: WorkerLink | None = None) -> None:
        self.config, self.link = config, link
        self.sockets = config.limits.sockets
        self.telemetry = Telemetry(config.name, worker=config.worker)
        classes = [(FRONT, name) for name in config.classes] + [("tds", name) for name in config.plan.classes]
        if config.scatter is not None:  # by class and site, in the order in which the settings have them
            classes += [(SUBREQUEST_FRONT, config.classes[cls]) for cls, _ in config.scatter.classes]
        self.core = Core(config.settings, classes, config.seed, self.telemetry, config.limits.sockets // 2)
        self.driver = HttpEngines(config, self.core, self.telemetry)
        self.bus = EndpointWatcher(config, self.core, self.driver, self.telemetry)
        self.platform = HttpFront(config, self.core, self.telemetry)
        self.tds: TdsFront | None = None
        self.tds_driver: TdsEngines | None = None
        if tds := config.operator.tds:
            from frostspindle.net.tds.driver import TdsEngines  # a tenth of a start's imports, only where it is set up
            from frostspindle.net.tds.front import TdsFront

            self.tds_driver = TdsEngines(tds, config.plan.kinds, self.core, self.telemetry)
            self.tds = TdsFront(
                tds,
                configuration.address(tds.listen, "tds.listen"),
                config.plan.classes,
                config.seed,
                self.core,
                self.telemetry,
                table_group,
            )
        if config.tenants.on:
            self.platform.tenant = config.tenants.number
            if self.tds:
                self.tds.tenant = lambda login, at, statement: config.tenants.number(
                    RequestAttributes("tds", at, {}, login.user, login.application, login.database, schema(statement))
                )
        self.order: Any = None
        self.fleet = self._fleet() if config.operator.fleet else None
        self.warming: Any = None
        if config.operator.fleet and config.operator.fleet.cold:
            from frostspindle.fleet import slow_start_service

            self.warming = slow_start_service.attach(self)
        self.scatter: Any = None
        self.agent: Any = None
        self.desk: OperatorServer | None = None
        if config.desk:
            self.desk = OperatorServer(
                config.desk,
                {
                    "ready": self.ready,
                    "show-stat": self.core.figures,
                    "drain": self.drain,
                    "resume": self.resume,
                    "disable-server": self.disable,
                    "enable-server": self.enable,
                },
                self.telemetry,
            )
            if self.fleet:
                self.desk.does["show-fleet"] = self.fleet.figures
            if config.operator.metrics:
                from frostspindle.net import metrics  # the library costs memory that only its users pay

                self.desk.does["metrics"] = lambda: metrics.text(self.core.figures())
            if self.warming:
                self.desk.does["show-cold"] = self.warming.figures
        self.replica: Any = None
        if config.operator.replica:
            from frostspindle.replica.service import attach as replicate  # loads the Raft library

            self.replica = replicate(self)
        self.owners: Any = None
        if config.operator.ownership:
            from frostspindle.ownership.wiring import attach as own  # only where it is set up

            self.owners = own(self)
        self.recovery: Any = None
        if config.operator.recovery:
            from frostspindle.recovery.service import attach as recover  # only where it is set up

            self.recovery = recover(self)
        if config.scatter is not None:
            from frostspindle.scatter.wiring import attach as spread  # loads the SQL parser

            self.scatter = spread(self)
        self.subscriptions: Any = None
        if config.operator.subscriptions:
            from frostspindle.subscriptions.wiring import attach  # lark and others are its users' only

            self.subscriptions = attach(self)
            if self.scatter:
                self.scatter.loaded = self.subscriptions.loaded
            if self.recovery:
                self.recovery.staged = self.subscriptions.stage
        self.most_open: int | None = None  # of the agreed settings
        self.settings: Any = None
        if config.operator.settings:
            from frostspindle.settings.wiring import attach as agree  # persistent maps, the log, the store

            self.settings = agree(self)
        self.shared = link or Shared(config.environ, config.name, self.telemetry)
        if link is not None:
            link.bind(self)
        self.files = ReservedDescriptor()  # for a reload, while clients hold all other descriptors
        self.serving = False
        self.stopping, self.failed = asyncio.Event(), False
        self.tasks: list[asyncio.Task[Any]] = []

    def _fleet(self) -> Any:
        """This coordinator's part in a fleet, where the operator's file has one."""
        from frostspindle.fleet.node import Budget, FleetSettings
        from frostspindle.fleet.service import FleetService

        fleet = self.config.operator.fleet
        assert fleet is not None
        terms = FleetSettings(
            {seed.name: configuration.address(seed.address, "fleet.seed") for seed in fleet.seed},
            tuple(Budget(b.name, b.units, b.window_ms) for b in fleet.budget),
            fleet.lease_ms,
            fleet.drift,
            fleet.probe_ms,
            fleet.timeout_ms,
            fleet.judges,
            fleet.verdict_ms,
        )
        service = FleetService(
            fleet.name or self.config.name,
            configuration.address(fleet.listen, "fleet.listen"),
            configuration.address(fleet.advertise, "fleet.advertise") if fleet.advertise else None,
            terms,
            {self.config.tenants.numbers[b.tenant]: b.name for b in fleet.budget if b.tenant},
            self.core,
            self.telemetry,
        )
        if service.tenants:
            self.core.quota_allows = service.within
        return service

    async def start(self) -> None:
        """Start all parts; the HTTP front accepts last, once the core knows the engine list and the bans.

        Raises OSError, which names the setting for the operators', replica's and HTTP addresses, if one can't be had.
        """
        if self.desk:
            try:
                await self.desk.start()
            except OSError as error:
                raise OSError(f"LB_OPERATOR: {error}") from None
        self.bus.start()
        self._bound(False)
        if isinstance(self.shared, Shared):
            self.shared.follow(lambda: self.core.open, lambda: self._bound(self.shared.crowded))
        bans = self.recovery.bans if self.recovery else self.core.ban
        self.shared.start(self.settings.applied.follow(bans) if self.settings else bans, self.crowd)
        if self.shared.order is not None and any(cls.in_order for cls in self.config.settings.classes):
            from frostspindle.order.service import KeyOrderService  # only where a class keeps order

            try:
                self.order = KeyOrderService(self.shared.order, self.core, self.telemetry)
            except OSError as error:  # as with the bans: serving goes before what an upgrade needs
                self.telemetry.log("order", folder=str(self.shared.order), error=repr(error))
        for work in (self.core.run(), self.bus.run()):
            task = asyncio.create_task(work)
            task.add_done_callback(self._ended)
            self.tasks.append(task)
        self.tasks.append(asyncio.create_task(self._memory()))
        if self.recovery:
            self.recovery.start()
        if self.subscriptions:
            self.subscriptions.start()
        if self.fleet:
            await self.fleet.start()
        if self.replica:
            try:
                await self.replica.start()
            except OSError as error:
                raise OSError(f"replica.listen: {error}") from None
        if self.owners:
            self.owners.start()
        if self.settings:
            self.settings.start()
        if self.tds and self.tds_driver:
            self.tds_driver.configure(self.tds.tds.engine, EndpointListKind.FULL)
            await self.tds.start(self.config.inherited is not None, self.config.tds_listener)
        if snmp := self.config.operator.snmp:
            from frostspindle.net.snmp import Agent  # pysnmp costs memory that only its users pay

            self.agent = Agent(snmp, self.core, self.telemetry, self.sessions)
            await self.agent.start(self.config.inherited is not None)
        while self.core.has_pending_changes and not self.stopping.is_set():
            await asyncio.sleep(0)  # who is accepted meets a core that knows engines and bans
        try:
            self.platform.start()
        except OSError as error:
            raise OSError(f"LB_LISTEN: {error}") from None
        self.serving = True
        if self.link is not None:
            self.link.serving()
        self.telemetry.log(
            "ready",
            listen=f"{self.config.listen[0]}:{self.platform.port}",
            tds=self.tds.port if self.tds else None,
            snmp=self.agent.port if self.agent else None,
        )

    def crowd(self, crowded: bool) -> None:
        """Another process of this coordinator has come or gone: an upgrade."""
        self.platform.crowd(crowded)
        self.driver.crowd(crowded)
        self._bound(crowded)
        self.telemetry.log("crowd", crowded=crowded)

    def _bound(self, crowded: bool) -> None:
        """Clients have a third of the descriptors, for both processes: past that, nobody finds a connection."""
        whole = int(self.sockets * OPEN_PART)
        if crowded:
            whole = open_request_limit(whole, self.shared.theirs, self.stopping.is_set())
        self.core.set_open_limit(max(16, whole if self.most_open is None else min(whole, self.most_open)))

    def bound(self) -> None:
        """The agreed bound on open requests has changed."""
        self._bound(self.shared.crowded)

    def resize(self, sockets: int) -> None:
        """So many descriptors are this process's from now on; who is over its part makes room."""
        self.sockets = self.platform.sockets = self.driver.sockets = sockets
        self.core.most_open = sockets // 2
        self.platform.crowd(self.shared.crowded)
        self.driver.crowd(self.shared.crowded)
        self._bound(self.shared.crowded)

    # What operators call.

    def ready(self) -> None:
        """Raise Nak unless the program serves and clients are not being sent away; for readiness checks."""
        if not self.serving:
            raise OperatorError("not yet" if not self.stopping.is_set() else "the program ends")
        if self.platform.draining:
            raise OperatorError("clients are being sent away")

    def disable(self, name: str) -> None:
        """Ban an engine from new work; Nak if no engine of that name was ever listed or the ban can't be kept."""
        self._ban(name, True)

    def enable(self, name: str) -> None:
        """End an engine's ban; Nak if no engine of that name was ever listed or the ban can't be removed."""
        self._ban(name, False)

    def _ban(self, name: str, on: bool) -> None:
        if name not in self.core.names:
            raise OperatorError(f"{name} was never listed")
        if self.recovery and not on:
            self.recovery.allow(name)
        try:
            self.shared.ban(name, on)
        except OSError as error:
            raise OperatorError(f"the ban can't be kept: {error.strerror}") from None

    def drain(self) -> None:
        """Begin a drain of the HTTP and TDS fronts: open requests are finished, clients sent away."""
        self.platform.drain()
        if self.tds:
            self.tds.drain()

    def resume(self) -> None:
        """End a drain of the HTTP and TDS fronts."""
        self.platform.resume()
        if self.tds:
            self.tds.resume()

    # What is told.

    async def _memory(self) -> None:
        """Every MEMORY_EVERY_S: resident MB, Python's blocks, and the sizes of what grows with load."""
        while True:
            await asyncio.sleep(MEMORY_EVERY_S)
            try:
                with open("/proc/self/statm", "rb") as statm:
                    rss_mb: float | None = round(int(statm.read().split()[1]) * PAGE_MB, 1)
            except (OSError, ValueError, IndexError):
                rss_mb = None  # a host without /proc: the other figures still tell
            self.telemetry.log(
                "memory",
                rss_mb=rss_mb,
                blocks=sys.getallocatedblocks(),
                open=self.core.open,
                clients=self.platform.connections,
                **self.core.sizes(),
            )

    def sessions(self) -> dict[str, int]:
        """Connections that clients hold now, by front."""
        return {FRONT: self.platform.connections, "tds": len(self.tds.sessions) if self.tds else 0}

    def report(self) -> None:
        """SIGUSR1 and the end: the counters, and what is believed of engines and requests."""
        if self.link is not None:  # the supervisor tells the sums
            self.telemetry.log("worker", clients=self.sessions(), **self.core.snapshot())
            return
        self.telemetry.report(clients=self.sessions(), figures=self.core.figures(), **self.core.snapshot())

    def _ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.telemetry.log("fault", error=repr(task.exception()), of="task")
            self.failed = True  # without its core or its engine list the program is of no use: a new start is
            self.stopping.set()

    def reload(self) -> None:
        """SIGHUP: both files again. A file with a fault changes nothing, of the other neither."""
        try:
            with self.files.lent():
                fresh = configuration.read(self.config.environ)
            if fresh.operator.cores != self.config.operator.cores:
                raise ConfigError("cores: needs a new start")
            if fresh.operator.fleet != self.config.operator.fleet:
                raise ConfigError("fleet: needs a new start")
            if fresh.operator.recovery != self.config.operator.recovery:
                raise ConfigError("recovery: needs a new start")
            if fresh.operator.scatter != self.config.operator.scatter:
                raise ConfigError("scatter: needs a new start")
            if fresh.operator.subscriptions != self.config.operator.subscriptions:
                raise ConfigError("subscriptions: needs a new start")
            if fresh.operator.replica != self.config.operator.replica:
                raise ConfigError("replica: needs a new start")
            if fresh.operator.ownership != self.config.operator.ownership:
                raise ConfigError("ownership: needs a new start")
            if fresh.operator.settings != self.config.operator.settings:
                raise ConfigError("settings: needs a new start")
            if fresh.operator.tenant != self.config.operator.tenant:
                raise ConfigError("tenant: needs a new start")
            with self.files.lent():
                rules = self.settings.file() if self.settings else None
            if self.tds and self.tds_driver:
                self._reload_tds(fresh.operator.tds)
            if self.settings:
                self.settings.reload(fresh.operator.tds, rules)
        except Exception as error:  # noqa: BLE001 - whatever the files hold, the program goes on as it was
            self.telemetry.count("reloads_failed")
            self.telemetry.log("reload", error=str(error) if isinstance(error, ConfigError) else repr(error))
            return
        self.bus.move(fresh.bus)
        self.telemetry.count("reloads")
        self.telemetry.log("reload", bus=fresh.bus)

    def _reload_tds(self, tds: configuration.Tds | None) -> None:
        """Take engines, their states and logins; what the module was told at the start needs a new start."""
        assert self.tds and self.tds_driver
        if tds is None:
            raise ConfigError("tds: can't be turned off while running")
        for number, engine in enumerate(tds.engine):
            if (engine.cores, engine.memory_mb) not in self.config.plan.kinds:
                raise ConfigError(f"tds.engine[{number}].cores: a size that needs a new start")
        for number, login in enumerate(tds.login):
            if login.cls not in self.config.plan.classes:
                raise ConfigError(f"tds.login[{number}].class: a class that needs a new start")
        self.tds.tds = self.tds_driver.tds = tds
        self.tds_driver.configure(tds.engine)

    @property
    def _unsent(self) -> bool:
        """Answers wait here for clients that read slowly: they would end with the process."""
        return any(client.transport.get_write_buffer_size() for client in self.platform.clients)

    async def stop(self) -> None:
        """Go on accepting for a while, finish what was taken, then let go of everything.

        On a socket that the platform holds a successor accepts already: clients are sent there, as in a drain.
        """
        clock = asyncio.get_running_loop().time
        self.serving = False
        if self.link is not None:
            self.link.leaving()
        longest_s = max(3.0, *(c.deadline_ms / 1000.0 for c in self.config.settings.classes))
        last = clock() + longest_s + MERCY_S - LEAVE_S
        # Others accept at the same socket, or nobody does any more.
        elsewhere = self.link is not None and not self.link.ending
        if self.config.inherited is not None or elsewhere:
            self.platform.leave()
            self.drain()
            self._bound(self.shared.crowded)
            if self.tds:
                self.tds.leave()
            if self.agent:
                self.agent.close()
            last = clock() + min(longest_s, KILL_S) + LAST_S
        self.telemetry.log("stopping", open=self.core.open, last_s=round(last - clock(), 2))
        if self.owners:
            self.tasks.append(asyncio.create_task(self.owners.close()))
        await asyncio.sleep(ACCEPT_S)
        # Also what is answered but not yet fetched, a long result comes in several calls; and what is half read.
        while clock() < last and (self.core.open or self.platform.owing or self.platform.coming or self._unsent):
            await asyncio.sleep(LOOK_S)
        self.platform.finish()
        await asyncio.sleep(LOOK_S)  # the core takes what came before
        if self.scatter:
            self.scatter.give_up()
        self.core.fail_open_requests()
        await asyncio.sleep(FLUSH_S)
        await self.platform.close()
        if self.tds and self.tds_driver:
            await self.tds.close()
            await self.tds_driver.close()
        if self.agent:
            self.agent.close()
        if self.desk:
            self.desk.close()
        if self.warming:
            self.warming.close()
        if self.settings:
            await self.settings.close()
        if self.replica:
            await self.replica.close()
        if self.recovery:
            await self.recovery.close()
        if self.scatter:
            self.scatter.close()
        if self.subscriptions:
            self.subscriptions.close()
        if self.fleet:
            self.fleet.close()
        await self.driver.close()
        if self.order:
            self.order.close()
        self.shared.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run(config: Config, link: WorkerLink | None = None) -> int:
    """Run one process until SIGTERM or SIGINT; return 1 if the core or the bus reader failed, else 0.

    Raises ConfigError for a fault in a file that a part reads for itself, OSError for an address that can't be had.
    """
    program = Program(config, link)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, program.report)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    signals.release()
    await program.start()
    # What was built at the start stays: collections then need not walk it, which would hold up answers.
    gc.collect()
    gc.freeze()
    await program.stopping.wait()
    await program.stop()
    if link is None:
        program.report()
    signals.hold()  # the handlers go with the loop
    return int(program.failed)
