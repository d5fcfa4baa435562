"""The supervisor process: starts and restarts the workers, and serves the operator port and SNMP for all of them.

Creates the listening sockets and the shared memory, runs the periodic tick and handles the signals. It accepts no
client connections. Operators' commands are answered from shared memory, so that they never wait for a worker. All
workers are terminated before the supervisor exits.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
from typing import Any

from frostspindle import config as configuration
from frostspindle import loop_reports, signals
from frostspindle.config import Config, ConfigError
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_publisher import ControlPublisher
from frostspindle.cores.layout import Layout
from frostspindle.cores.listening_sockets import ListeningSockets
from frostspindle.cores.operator_commands import OperatorCommands
from frostspindle.cores.resource_sharing import ResourceSharing
from frostspindle.cores.shared_memory import SharedMemoryBoard
from frostspindle.cores.status import CoordinatorStatus
from frostspindle.cores.worker_processes import WorkerProcesses
from frostspindle.net.operator import OperatorServer
from frostspindle.shared import Shared
from frostspindle.shutdown_plan import earliest_kill_s, longest_deadline_s
from frostspindle.telemetry import Telemetry

TICK_S = 0.02
STOP_TIMEOUT_S = 8.0  # from the platform's earliest kill until remaining workers are killed
MIN_BUCKET_BITS = 8  # the hash table of request ids in shared memory has at least 2**8 buckets


class Supervisor:
    """All workers of one coordinator, with the sockets and the shared memory that they share."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.stopping = asyncio.Event()
        self.failed = False  # the program stops because of a crash loop
        self._loop = asyncio.get_running_loop()
        self._tick_timer: asyncio.TimerHandle | None = None

        self.telemetry = Telemetry(config.name)
        self.shared = Shared(config.environ, config.name, self.telemetry)
        self.sockets = ListeningSockets(config)
        bucket_bits = max(MIN_BUCKET_BITS, (config.limits.sockets // 4 - 1).bit_length())
        self.board = SharedMemoryBoard.create(Layout(config.operator.cores.workers, buckets=1 << bucket_bits))
        self.control = ControlPublisher(self.board, self.telemetry)
        self.resources = ResourceSharing(config, self.board, self.control)
        self.workers = WorkerProcesses(
            config,
            self.board,
            self.control,
            self.resources,
            self.sockets,
            self.stopping,
            self._on_crash_loop,
            longest_deadline_s(config.settings),
            self.telemetry,
        )
        self.status = CoordinatorStatus(config, self.workers, self.board, self.control, self.shared, self.telemetry)
        self.commands = OperatorCommands(self.workers, self.control, self.shared, self.status, self.stopping.is_set)
        self.operator_server = self._create_operator_server()
        self.snmp_agent: Any = None
        self._own_order_folder: tempfile.TemporaryDirectory[str] | None = None

    def _create_operator_server(self) -> OperatorServer | None:
        if not self.config.operator_address:
            return None
        commands = {
            "ready": self.commands.ready,
            "show-stat": self.status.figures,
            "drain": self.commands.drain,
            "resume": self.commands.resume,
            "disable-server": self.commands.disable,
            "enable-server": self.commands.enable,
        }
        server = OperatorServer(self.config.operator_address, commands, self.telemetry)
        if self.config.operator.metrics:
            from frostspindle.net import metrics  # imported only if needed: the library takes memory

            server.handlers["metrics"] = lambda: metrics.text(self.status.figures())
        return server

    # Start and stop.

    async def start(self) -> None:
        """Bind the listening sockets, start the operators' port and all workers, and begin the periodic tick.

        Raise OSError, whose text names the setting, if an address can't be bound. Return before the workers serve;
        the operator command `ready` reports when they do.
        """
        if self.operator_server:
            try:
                await self.operator_server.start()
            except OSError as error:
                raise OSError(f"LB_OPERATOR: {error}") from None
        self.sockets.bind()
        self.workers.open_slots()
        self.shared.start(self._on_bans_changed, self._on_sharing_changed)
        self.workers.key_order_folder = self._key_order_folder()
        self.control.publish()
        self.workers.start()
        await self._start_snmp_agent()
        self._tick()

    def _key_order_folder(self) -> str:
        """Return the folder for what the workers share in files: the order of keys, and the ids of requests."""
        if self.shared.order is None:  # without $TMPDIR no other process shares it with these workers
            self._own_order_folder = tempfile.TemporaryDirectory(prefix="frostspindle-")
            return self._own_order_folder.name
        return str(self.shared.order)

    async def _start_snmp_agent(self) -> None:
        snmp = self.config.operator.snmp
        if not snmp:
            return
        from frostspindle.net.snmp import Agent

        self.snmp_agent = Agent(snmp, self.status, self.status, self.status.sessions)  # type: ignore[arg-type]
        await self.snmp_agent.start(self.config.inherited is not None)

    async def stop(self) -> None:
        """Drain and terminate all workers, then write the final report.

        Workers that still run STOP_TIMEOUT_S after the platform's earliest kill are killed.
        """
        self.commands.was_ready = False
        self.control.page.ending = True
        self.control.publish()
        self.telemetry.log("shutdown_started", open=self.status.inflight)
        self.workers.terminate()
        if self.config.inherited is not None:  # an upgrade: the new process listens on these addresses too
            if self.snmp_agent:
                self.snmp_agent.close()
            if self.sockets.tds:
                self.sockets.tds.close()
        kill_at = self._loop.time() + earliest_kill_s(self.config.settings) + STOP_TIMEOUT_S
        while self.workers.running:
            if self._loop.time() > kill_at:
                self.workers.kill_overdue()
                kill_at = self._loop.time() + STOP_TIMEOUT_S
            await asyncio.sleep(TICK_S)
        self.report()

    def close(self) -> None:
        """Kill the remaining workers; close the mesh sockets, the operator port, the SNMP agent and shared files."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self.workers.close()
        if self.operator_server:
            self.operator_server.close()
        if self.snmp_agent:
            self.snmp_agent.close()
        self.shared.close()
        if self._own_order_folder is not None:
            self._own_order_folder.cleanup()

    # The periodic tick, and callbacks of other parts.

    def _tick(self) -> None:
        self._tick_timer = self._loop.call_later(TICK_S, self._tick)
        now = monotonic_ms()
        self.workers.check_heartbeats(now)
        self.resources.lease_budgets(self.workers.slots, now)
        self.resources.divide_descriptors(self.workers.slots)
        self.control.expire_losses(now)
        self.control.publish_changes()
        if not self.commands.was_ready and not self.stopping.is_set() and self.workers.all_serve():
            self._on_ready()

    def _on_ready(self) -> None:
        self.commands.was_ready = True
        self.telemetry.log(
            "coordinator_started",
            listen=f"{self.config.listen[0]}:{self.sockets.http_port}",
            workers=len(self.workers.slots),
            tds=self.sockets.tds_port,
            snmp=self.snmp_agent.port if self.snmp_agent else None,
        )

    def _on_crash_loop(self) -> None:
        self.failed = True
        self.stopping.set()

    def _on_bans_changed(self, banned: frozenset[str]) -> None:
        self.control.page.bans = sorted(banned)
        self.control.publish()

    def _on_sharing_changed(self, is_sharing: bool) -> None:
        """Publish whether another process of an upgrade runs, with whose workers the descriptors are shared."""
        self.control.page.crowded = is_sharing
        self.control.publish()
        self.telemetry.log("descriptors_divided", crowded=is_sharing)

    # Signals.

    def report(self) -> None:
        """Write counters and figures to the log, and signal each worker to write its own; on SIGUSR1 and on exit."""
        self.status.log_report()
        for worker in self.workers.slots:
            worker.send_signal(signal.SIGUSR1)

    def reload(self) -> None:
        """Reload the configuration on SIGHUP: validate it here, then signal the workers to reload it.

        A configuration that is invalid or changes `cores` is logged and counted, and no worker is signalled.
        """
        try:
            new_config = configuration.read(self.config.environ)
            if new_config.operator.cores != self.config.operator.cores:
                raise ConfigError("cores: needs a new start")
        except Exception as error:  # noqa: BLE001 - a failed reload must not stop the program
            self.telemetry.count("reloads_failed")
            self.telemetry.log(
                "config_reload_failed", error=str(error) if isinstance(error, ConfigError) else repr(error)
            )
            return
        for worker in self.workers.slots:
            worker.send_signal(signal.SIGHUP)


async def run(config: Config) -> int:
    """Run a supervisor until SIGTERM, SIGINT or a crash loop; return the exit code, which is 1 after a crash loop.

    Raise OSError if an address can't be bound. SIGUSR1 writes a report, SIGHUP reloads the configuration.
    """
    supervisor = Supervisor(config)
    loop = asyncio.get_running_loop()
    loop_reports.install(loop, supervisor.telemetry)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, supervisor.stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, supervisor.report)
    loop.add_signal_handler(signal.SIGHUP, supervisor.reload)
    signals.unblock()
    try:
        await supervisor.start()
        await supervisor.stopping.wait()
        await supervisor.stop()
    finally:
        supervisor.close()
        signals.block()  # the handlers end with the event loop
    return int(supervisor.failed)
