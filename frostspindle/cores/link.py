"""A worker's link to the supervisor and the other workers, by shared memory and the mesh.

In each tick the worker reads and writes the shared memory and applies the supervisor's control page to its program,
without waiting for another process. Directly before the first byte of each attempt it checks again whether the attempt
may be sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path

from frostspindle.config import Config
from frostspindle.core import Attempt, EngineState, clock
from frostspindle.cores import ownership
from frostspindle.cores.applied_leases import AppliedLeases
from frostspindle.cores.bootstrap import WorkerBootstrap, monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.layout import HeadCell, WorkerState
from frostspindle.cores.leases import MAX_SEND_DELAY_MS
from frostspindle.cores.limits import RESERVED_DESCRIPTORS
from frostspindle.cores.load_publisher import LoadPublisher
from frostspindle.cores.mesh import WorkerMesh
from frostspindle.cores.ownership import RequestOwner
from frostspindle.cores.peer_loads import PeerLoads
from frostspindle.cores.request_relay import RequestRelay
from frostspindle.cores.shared_memory import ControlPage, RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.program import Program

TICK_S = 0.02  # interval of heartbeats and of polls of the other workers' rows
FULL_POLL_TICKS = 25  # interval of evaluating all engines, as loads and reports expire without a row change


class SharedMemoryLink:
    """One worker's link to the others, in place of the `Shared` of a single process.

    To be used only in the worker's event loop.
    """

    def __init__(self, bootstrap: WorkerBootstrap, board: SharedMemoryBoard, config: Config) -> None:
        self.bootstrap = bootstrap
        self.board = board
        self.config = config
        self.identity = RequestOwner(bootstrap.slot, bootstrap.incarnation)
        self.region = WorkerRegion(board, bootstrap.slot)
        self.snapshots = {
            slot: RowSnapshot(WorkerRegion(board, slot)) for slot in range(bootstrap.slots) if slot != bootstrap.slot
        }
        self.banned: frozenset[str] = frozenset()
        self.is_sharing = False  # another process of an upgrade runs and uses part of the descriptors
        self.orphaned = False  # the supervisor has exited
        self.open_elsewhere: int | None = None  # open requests of an upgrade's other process; never known in a worker
        self._tick_timer: asyncio.TimerHandle | None = None
        self._ticks = 0

    @property
    def order(self) -> Path | None:
        """Folder of the order of keys and the ids of requests, which the workers share."""
        return Path(self.bootstrap.order) if self.bootstrap.order else None

    @property
    def ending(self) -> bool:
        """Whether the whole program shuts down, so that no other process accepts connections."""
        self.control.refresh()  # the page may have been published just before the signal
        return self.control.page.ending and not self.orphaned

    # Interface to the program.

    def bind(self, program: Program) -> None:
        """Connect this worker to the program's core, front and counters; clear its region and mark it as starting."""
        self.program = program
        self.core = program.core
        self.telemetry = program.telemetry
        self.region.clear()
        self.region.write_cell(HeadCell.PID, 0)
        self.region.write_cell(HeadCell.INCARNATION, self.identity.incarnation)
        self.region.write_cell(HeadCell.STATE, WorkerState.STARTING)
        self._create_parts(program)
        self.telemetry.on_count_changed = self.region.store_counter
        self.core.may_start = self._may_start
        self.core.on_engine_changed = self._on_engine_changed
        program.platform.relay = self.relay
        program.platform.prefix = ownership.path_prefix(self.identity)

    def _create_parts(self, program: Program) -> None:
        core = program.core
        telemetry = program.telemetry
        front = program.platform
        mesh = WorkerMesh(self.bootstrap.mesh, self.bootstrap.paths, front)
        self.control = ControlReader(self.board, self._apply_control, telemetry)
        self.leases = AppliedLeases(self.identity.slot, self.board, self.control)
        self.publisher = LoadPublisher(self.region, core, self.leases, telemetry)
        self.peer_loads = PeerLoads(self.snapshots, core, self.control, self.leases, telemetry)
        self.relay = RequestRelay(self.identity, self.region, self.snapshots, self.control, mesh, front, telemetry)

    def start(
        self, on_bans_changed: Callable[[frozenset[str]], None], on_sharing_changed: Callable[[bool], None]
    ) -> None:
        """Start the periodic exchange over the shared memory, and listen on the mesh.

        `on_bans_changed` is called with the set of banned engines, `on_sharing_changed` with whether another process
        of an upgrade runs; each at once if already set, and on every change.
        """
        self._on_bans_changed = on_bans_changed
        self._on_sharing_changed = on_sharing_changed
        self.control.refresh()
        self._tick()
        self.relay.start()

    def serving(self) -> None:
        """Publish that this worker accepts clients; the coordinator is ready once all workers do.

        The engines come first, as an operator may name one as soon as the coordinator is ready.
        """
        self.publisher.flush()
        self.region.write_cell(HeadCell.STATE, WorkerState.SERVING)

    def leaving(self) -> None:
        """Publish that this worker drains, so that the others ignore its connections when they balance theirs."""
        self.region.write_cell(HeadCell.STATE, WorkerState.DRAINING)

    def close(self) -> None:
        """Cancel timers and open relayed calls, publish the last state and mark the worker as ended."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        self.relay.close()
        self.publisher.flush()
        self._publish_head()
        self.region.write_cell(HeadCell.STATE, WorkerState.ENDED)

    # The periodic tick.

    def _tick(self) -> None:
        self._tick_timer = asyncio.get_running_loop().call_later(TICK_S, self._tick)
        try:
            self._exchange()
        except Exception as error:  # noqa: BLE001 - the next tick tries again
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="link")

    def _exchange(self) -> None:
        """Read the state of the supervisor and the other workers, and publish this worker's own."""
        self._ticks += 1
        is_full_poll = self._ticks % FULL_POLL_TICKS == 0
        # The heartbeat renews this worker's leases: skip it if the control page, which may revoke them, is unreadable.
        if self.control.refresh():
            self._publish_head()
        engines = self.peer_loads.poll()
        if is_full_poll:
            engines |= self.core.engines.keys()
        self.publisher.publish_demands(is_full_poll)
        engines |= self.publisher.demands.keys()
        if engines:
            self.peer_loads.report(engines)

    def _publish_head(self) -> None:
        """Publish this worker's heartbeat and figures."""
        platform = self.program.platform
        tds = self.program.tds
        descriptors = platform.connections + self.program.driver.connections + RESERVED_DESCRIPTORS
        self.region.heartbeat_ms = monotonic_ms()
        self.region.write_cell(HeadCell.OPEN_REQUESTS, self.core.open)
        self.region.write_cell(HeadCell.CLIENT_CONNECTIONS, platform.connections)
        self.region.write_cell(HeadCell.TDS_SESSIONS, len(tds.sessions) if tds else 0)
        self.region.write_cell(HeadCell.DESCRIPTORS_USED, descriptors)
        self.region.write_cell(HeadCell.CONTROL_VERSION, self.control.version)
        self.region.write_cell(HeadCell.HELD_BYTES, self.core.held_memory.held_bytes)
        self.region.write_cell(HeadCell.HELD_LIMIT, self.core.held_memory.held_limit)

    # The supervisor's control page.

    def _apply_control(self, previous: ControlPage) -> None:
        """Apply the differences between the new control page and the previous one to the program."""
        page = self.control.page
        self._apply_bans(frozenset(page.bans))
        if page.draining != previous.draining:
            self._apply_draining(page.draining)
        if page.crowded != self.is_sharing:
            self.is_sharing = page.crowded
            self._on_sharing_changed(self.is_sharing)
        quota = page.sockets.get(self.identity.slot, 0)
        if quota and quota != previous.sockets.get(self.identity.slot, 0):
            self.program.resize(quota)
        if page.leases != previous.leases or page.ghosts != previous.ghosts:
            engines = page.leases.keys() | previous.leases.keys()
            engines |= {load.engine for load in [*page.ghosts, *previous.ghosts]}
            self.peer_loads.report(engines)

    def _apply_bans(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self._on_bans_changed(banned)

    def _apply_draining(self, draining: bool) -> None:
        if draining:
            self.program.drain()
        elif not self.program.stopping.is_set():
            self.program.resume()

    # Callbacks of the core.

    def _on_engine_changed(self, engine: int, load_report: tuple[float, ...]) -> None:
        """Publish an engine's changed load or state; `load_report` is empty if there is no new one."""
        if engine in self.core.engines:
            self.publisher.engine_changed(engine, load_report)
            return
        self.publisher.forget(engine)
        self.peer_loads.forget(engine)
        self.leases.forget(engine)

    def _may_start(self, state: EngineState, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent; called directly before its first byte, after the newest changes.

        Return False, counted as `cold_stopped`, if the engine is cold and either the attempt has waited for over
        MAX_SEND_DELAY_MS or this worker's leases have expired.
        """
        self.control.refresh()
        self.peer_loads.poll_urgent()
        engine_started_ms = state.entry.since_ms
        is_cold = engine_started_ms > 0 and clock() - engine_started_ms < self.core.settings.slow_start_duration_ms
        if is_cold and (clock() - attempt.sent_ms > MAX_SEND_DELAY_MS or self.leases.is_expired):
            self.telemetry.count("cold_stopped")
            return False
        return True
