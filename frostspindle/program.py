"""Assembles one serving process, and starts and stops its parts in order.

Request decisions, network protocols and the command line are handled elsewhere. The optional parts are listed in
`components/registry.py`.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from frostspindle import loop_reports, signals
from frostspindle.components.base import BanListener
from frostspindle.components.registry import Components, Phase
from frostspindle.config import Config
from frostspindle.core import SUBREQUEST_FRONT, Core
from frostspindle.descriptor_sharing import DescriptorSharing
from frostspindle.memory_log import log_memory
from frostspindle.net.discovery import EndpointWatcher
from frostspindle.net.engines import HttpEngines
from frostspindle.net.http.calls import FRONT
from frostspindle.net.operator import OperatorError
from frostspindle.net.platform import HttpFront
from frostspindle.reload import Reloader
from frostspindle.shared import Shared
from frostspindle.shutdown_plan import make_shutdown_plan
from frostspindle.telemetry import Telemetry

DRAIN_POLL_INTERVAL_S = 0.02  # between checks for open requests during shutdown
RESPONSE_FLUSH_S = 0.1  # time for the last responses to be sent


class WorkerLink(Protocol):
    """Connects a worker to the other workers of its coordinator; a single process uses `Shared` instead."""

    is_sharing: bool  # another process of this coordinator is running
    open_elsewhere: int | None  # requests open in the other processes; None if one of them does not report it

    @property
    def order(self) -> Path | None:
        """Folder in which processes share the order of keyed requests; None if there is none."""

    @property
    def ending(self) -> bool:
        """Whether no other process accepts connections any more."""

    def bind(self, program: Any) -> None:
        """Set the program that this link belongs to; called before the program starts."""

    def start(
        self, on_bans_changed: Callable[[frozenset[str]], None], on_sharing_changed: Callable[[bool], None]
    ) -> None:
        """Call both functions now and on each change: with the bans, and with whether another process is running."""

    def serving(self) -> None:
        """Note that this process accepts clients from now on."""

    def leaving(self) -> None:
        """Note that this process is shutting down."""

    def close(self) -> None:
        """Release the resources of the link after the program has stopped."""


class Program:
    """All parts of one running coordinator."""

    def __init__(self, config: Config, link: WorkerLink | None = None) -> None:
        self.config = config
        self.link = link
        self.telemetry = Telemetry(config.name, worker=config.worker)
        self.core = Core(
            config.settings,
            request_classes(config),
            config.seed,
            self.telemetry,
            config.limits.sockets // 2,
            config.limits.memory_mb,
        )
        self.driver = HttpEngines(config, self.core, self.telemetry)
        self.bus = EndpointWatcher(config, self.core, self.driver, self.telemetry)
        self.platform = HttpFront(config, self.core, self.telemetry)
        self.descriptors = DescriptorSharing(config.limits.sockets, self.core, self.platform, self.driver)
        self.serving = False
        self.stopping = asyncio.Event()
        self.failed = False
        self.tasks: list[asyncio.Task[Any]] = []

        # Services of the optional parts, set by their components; see `host.ProgramContext`.
        self.tds: Any = None
        self.tds_driver: Any = None
        self.fleet: Any = None
        self.warming: Any = None
        self.operator_server: Any = None
        self.replica: Any = None
        self.owners: Any = None
        self.recovery: Any = None
        self.scatter: Any = None
        self.subscriptions: Any = None
        self.settings: Any = None
        self.order: Any = None
        self.agent: Any = None
        self.components = Components()
        self.components.create(self)

        self.shared = link or Shared(config.environ, config.name, self.telemetry)
        if link is not None:
            link.bind(self)
        self.reloader = Reloader(config, self.components, self.bus, self.telemetry)

    async def start(self) -> None:
        """Start all parts. The HTTP front accepts last, once the core knows the engine list and the bans.

        Raise OSError if an address can't be bound; for the operators', replica and HTTP addresses it names the setting.
        """
        await self.components.start(Phase.BEFORE_ENDPOINTS)
        self.bus.start()
        self._start_sharing()
        await self.components.start(Phase.WITH_ENGINES)
        self._start_tasks()
        await self.components.start(Phase.WITH_CORE)
        await self._accept()

    def _start_sharing(self) -> None:
        """Start watching the bans and the other processes of this coordinator."""
        self._limit_open_requests(False)
        if isinstance(self.shared, Shared):
            self.shared.publish_open_requests(lambda: self.core.open, self.update_open_limit)
        on_bans_changed: BanListener = self.core.ban
        for component in self.components:
            on_bans_changed = component.wrap_ban_listener(on_bans_changed)
        self.shared.start(on_bans_changed, self.on_sharing_changed)

    def _start_tasks(self) -> None:
        for work in (self.core.run(), self.bus.run()):
            task = asyncio.create_task(work)
            task.add_done_callback(self._on_task_done)
            self.tasks.append(task)
        self.tasks.append(
            asyncio.create_task(log_memory(self.core, self.platform, self.telemetry, self.config.limits.memory_mb))
        )

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.telemetry.log("exception_caught", error=repr(task.exception()), of="task")
            self.failed = True  # the program can't serve without its core or engine list and must be restarted
            self.stopping.set()

    async def _accept(self) -> None:
        """Accept HTTP clients and log that the program is ready. Raise OSError, which names LB_LISTEN."""
        while self.core.has_pending_changes and not self.stopping.is_set():
            await asyncio.sleep(0)  # the first request must find the engines and bans in the core
        try:
            self.platform.start()
        except OSError as error:
            raise OSError(f"LB_LISTEN: {error}") from None
        self.serving = True
        if self.link is not None:
            self.link.serving()
        self.telemetry.log(
            "coordinator_started",
            listen=f"{self.config.listen[0]}:{self.platform.port}",
            tds=self.components.port("tds"),
            snmp=self.components.port("snmp"),
        )

    # Descriptors and other processes of this coordinator.

    @property
    def sockets(self) -> int:
        """Number of file descriptors that this process may use."""
        return self.descriptors.sockets

    @property
    def agreed_open_limit(self) -> int | None:
        """Limit on open requests from the agreed settings; None if they set none."""
        return self.descriptors.agreed_open_limit

    @agreed_open_limit.setter
    def agreed_open_limit(self, limit: int | None) -> None:
        self.descriptors.agreed_open_limit = limit

    def on_sharing_changed(self, is_sharing: bool) -> None:
        """Divide the limits again: during an upgrade another process of this coordinator started or ended."""
        self.descriptors.limit_connections(is_sharing)
        self.core.held_memory.share(is_sharing)
        self._limit_open_requests(is_sharing)
        self.telemetry.log("descriptors_divided", crowded=is_sharing)

    def _limit_open_requests(self, is_sharing: bool) -> None:
        open_elsewhere = self.shared.open_elsewhere if is_sharing else None
        self.descriptors.limit_open_requests(is_sharing, open_elsewhere, self.stopping.is_set())

    def update_open_limit(self) -> None:
        """Recompute the limit on open requests; call after the agreed limit or the other process's requests changed."""
        self._limit_open_requests(self.shared.is_sharing)

    def resize(self, sockets: int) -> None:
        """Set the number of descriptors of this process; connections over the new limits are closed once idle."""
        self.descriptors.resize(sockets, self.shared.is_sharing)
        self.update_open_limit()

    # Operators' calls.

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the operators' calls of the program and of the components created so far."""
        calls: dict[str, Callable[..., Any]] = {
            "ready": self.ready,
            "show-stat": self.core.figures,
            "drain": self.drain,
            "resume": self.resume,
            "disable-server": self.disable,
            "enable-server": self.enable,
        }
        for component in self.components:
            calls |= component.operator_calls()
        return calls

    def ready(self) -> None:
        """Raise OperatorError unless the program serves and does not drain; used for readiness checks."""
        if not self.serving:
            raise OperatorError("not yet" if not self.stopping.is_set() else "the program ends")
        if self.platform.draining:
            raise OperatorError("clients are being sent away")

    def disable(self, name: str) -> None:
        """Ban an engine from new work. Raise OperatorError if it was never listed or the ban can't be stored."""
        self._check_listed(name)
        self._ban(name, True)

    def enable(self, name: str) -> None:
        """Lift an engine's ban. Raise OperatorError if it was never listed or the ban can't be removed."""
        self._check_listed(name)
        for component in self.components:
            component.on_engine_enabled(name)
        self._ban(name, False)

    def _check_listed(self, name: str) -> None:
        if name not in self.core.names:
            raise OperatorError(f"{name} was never listed")

    def _ban(self, name: str, is_banned: bool) -> None:
        try:
            self.shared.ban(name, is_banned)
        except OSError as error:
            raise OperatorError(f"the ban can't be kept: {error.strerror}") from None

    def drain(self) -> None:
        """Start draining the HTTP and TDS fronts: open requests finish and clients are sent away."""
        self.platform.drain()
        for component in self.components:
            component.drain()

    def resume(self) -> None:
        """Stop draining the HTTP and TDS fronts. Raise OperatorError during shutdown, which sends clients away."""
        if self.stopping.is_set():
            raise OperatorError("the program ends")
        self.platform.resume()
        for component in self.components:
            component.resume()

    # Logging.

    def sessions(self) -> dict[str, int]:
        """Return the number of open client connections by front."""
        return {FRONT: self.platform.connections, "tds": self.components.client_connections("tds")}

    def report(self) -> None:
        """Log the counters and the state of engines and requests; called on SIGUSR1 and at exit."""
        if self.link is not None:  # the supervisor logs the totals of all workers
            self.telemetry.log("worker_reported", clients=self.sessions(), **self.core.snapshot())
            return
        self.telemetry.report(clients=self.sessions(), figures=self.core.figures(), **self.core.snapshot())

    def reload(self) -> None:
        """Reload both files on SIGHUP; a fault in either leaves the whole configuration unchanged."""
        self.reloader.reload()

    # Shutdown.

    async def stop(self) -> None:
        """Accept for a short time, finish the open requests, then release all resources.

        Where a successor already accepts on the same socket, clients are sent away to it, as in a drain.
        """
        clock = asyncio.get_running_loop().time
        started_s = clock()
        plan = make_shutdown_plan(self.config.settings, has_supervisor=self.link is not None)
        self.serving = False
        if self.link is not None:
            self.link.leaving()
        if self._has_successor:
            self._hand_over()
        self.telemetry.log(
            "shutdown_started",
            open=self.core.open,
            last_s=round(plan.answer_by_s, 2),
            exit_s=round(plan.exit_by_s, 2),
        )
        for component in self.components:
            component.on_stopping()
        await asyncio.sleep(started_s + plan.accept_until_s - clock())
        for component in self.components:
            component.stop_accepting()
        while clock() < started_s + plan.answer_by_s and self._has_unfinished_work:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self._finish_requests()
        await self._close(started_s + plan.exit_by_s)

    @property
    def _has_successor(self) -> bool:
        """Whether another process accepts on the same socket: the platform's new process, or another worker."""
        return self.config.inherited is not None or (self.link is not None and not self.link.ending)

    def _hand_over(self) -> None:
        self.platform.leave()
        self.drain()
        self.update_open_limit()
        for component in self.components:
            component.hand_over()

    @property
    def _has_unfinished_work(self) -> bool:
        """Whether a request is open or partly read, or a result is not yet fetched (long ones take several calls)."""
        return bool(
            self.core.open
            or self.platform.unfetched_responses
            or self.platform.is_receiving_request
            or self._has_unsent_responses
            or any(component.has_unfinished_work for component in self.components)
        )

    @property
    def _has_unsent_responses(self) -> bool:
        """Whether responses for slow clients are still buffered; they would be lost with the process."""
        return any(client.transport.get_write_buffer_size() for client in self.platform.clients)

    async def _finish_requests(self) -> None:
        """Answer the requests that are still open, and give the responses time to be sent."""
        self.platform.finish()
        for component in self.components:
            component.finish()
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)  # the core handles the requests received so far
        for component in self.components:
            component.abandon_requests()
        self.core.fail_open_requests()
        await asyncio.sleep(RESPONSE_FLUSH_S)

    async def _close(self, exit_at_s: float) -> None:
        await asyncio.gather(
            self.platform.close(exit_at_s), *(component.close_clients(exit_at_s) for component in self.components)
        )
        await self.components.stop(Phase.WITH_CORE)
        await self.driver.close()
        await self.components.stop(Phase.WITH_ENGINES)
        self.shared.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def request_classes(config: Config) -> list[tuple[str, str]]:
    """Return front and name of each request class, in the order of the settings."""
    classes = [(FRONT, name) for name in config.classes]
    classes += [("tds", name) for name in config.plan.classes]
    if config.scatter is not None:  # one for each class and site
        classes += [(SUBREQUEST_FRONT, config.classes[number]) for number, _ in config.scatter.classes]
    return classes


async def run(config: Config, link: WorkerLink | None = None) -> int:
    """Run one process until SIGTERM or SIGINT; return 1 if the core or the bus reader failed, else 0.

    Raise ConfigError for a fault in a file that an optional part reads, OSError for an address that can't be bound.
    """
    program = Program(config, link)
    loop_reports.install(asyncio.get_running_loop(), program.telemetry)
    signals.handle(asyncio.get_running_loop(), program.stopping.set, program.report, program.reload)
    await program.start()
    # Exclude the long-lived objects of the start from garbage collection, whose pauses would delay responses.
    gc.collect()
    gc.freeze()
    await program.stopping.wait()
    await program.stop()
    if link is None:
        program.report()
    signals.block()  # the handlers end with the event loop
    return int(program.failed)
