"""A worker's connection to the supervisor and the other workers, by shared memory and the mesh.

Composes the parts that read and write the shared memory, runs them once a tick and applies the supervisor's control
page to the worker's program. It never waits for another process. Right before the first byte of each attempt it checks
once more whether the attempt may be sent.
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

TICK_S = 0.02  # interval of heartbeats and of polls of the others' rows
FULL_POLL_TICKS = 25  # interval at which all engines are evaluated, for what ages without a change


class SharedMemoryLink:
    """One worker's link to the others; it takes the place of `Shared`, which a single process has.

    For the worker's event loop only.
    """

    def __init__(self, bootstrap: WorkerBootstrap, board: SharedMemoryBoard, config: Config) -> None:
        self.bootstrap = bootstrap
        self.board = board
        self.config = config
        self.own = RequestOwner(bootstrap.slot, bootstrap.incarnation)
        self.region = WorkerRegion(board, bootstrap.slot)
        self.snapshots = {
            slot: RowSnapshot(WorkerRegion(board, slot)) for slot in range(bootstrap.slots) if slot != bootstrap.slot
        }
        self.banned: frozenset[str] = frozenset()
        self.is_sharing = False  # another process of an upgrade runs, and shares the descriptors
        self.orphaned = False  # the supervisor has died
        self.open_elsewhere: int | None = None  # open requests of an upgrade's other process: unknown to workers
        self._tick_timer: asyncio.TimerHandle | None = None
        self._ticks = 0

    @property
    def order(self) -> Path | None:
        """Folder in which the processes keep the order of their keys; None: no class keeps order."""
        return Path(self.bootstrap.order) if self.bootstrap.order else None

    @property
    def ending(self) -> bool:
        """Whether the whole program ends, so that no other process accepts connections any more."""
        self.control.refresh()  # the page may have been published just before the signal
        return self.control.page.ending and not self.orphaned

    # What the program calls.

    def bind(self, program: Program) -> None:
        """Hook this worker into the program's core, front and counters; clear its region and mark it as starting."""
        self.program = program
        self.core = program.core
        self.telemetry = program.telemetry
        self.region.clear()
        self.region.write_cell(HeadCell.PID, 0)
        self.region.write_cell(HeadCell.INCARNATION, self.own.incarnation)
        self.region.write_cell(HeadCell.STATE, WorkerState.STARTING)
        self._create_parts(program)
        self.telemetry.on_count_changed = self.region.store_counter
        self.core.may_start = self._may_start
        self.core.on_engine_changed = self._on_engine_changed
        program.platform.relay = self.relay
        program.platform.prefix = ownership.path_prefix(self.own)

    def _create_parts(self, program: Program) -> None:
        core = program.core
        telemetry = program.telemetry
        front = program.platform
        mesh = WorkerMesh(self.bootstrap.mesh, self.bootstrap.paths, front)
        self.control = ControlReader(self.board, self._apply_control, telemetry)
        self.leases = AppliedLeases(self.own.slot, self.board, self.control)
        self.publisher = LoadPublisher(self.region, core, self.leases, telemetry)
        self.peer_loads = PeerLoads(self.snapshots, core, self.control, self.leases, telemetry)
        self.relay = RequestRelay(self.own, self.region, self.snapshots, self.control, mesh, front, telemetry)

    def start(
        self, on_bans_changed: Callable[[frozenset[str]], None], on_crowded_changed: Callable[[bool], None]
    ) -> None:
        """Start the periodic exchange over the shared memory and the listening end of the mesh.

        `on_bans_changed` is called with the set of banned engines, `on_crowded_changed` with whether another process
        of an upgrade runs, each now if already set and whenever it changes.
        """
        self._on_bans_changed = on_bans_changed
        self._on_crowded_changed = on_crowded_changed
        self.control.refresh()
        self._tick()
        self.relay.start()

    def serving(self) -> None:
        """Publish that this worker accepts clients; the program is ready once all workers do."""
        self.region.write_cell(HeadCell.STATE, WorkerState.SERVING)

    def leaving(self) -> None:
        """Publish that this worker drains, so that its connections no longer count in the others' accept balance."""
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
        except Exception as error:  # noqa: BLE001 - the next tick reads everything again
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="link")

    def _exchange(self) -> None:
        """Read what the supervisor and the other workers have published, and publish this worker's own state."""
        self._ticks += 1
        is_full_poll = self._ticks % FULL_POLL_TICKS == 0
        # A heartbeat renews the leases, so that a worker that can't read their revocation must not send one.
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
        """Publish a heartbeat and the figures of this worker."""
        platform = self.program.platform
        tds = self.program.tds
        descriptors = platform.connections + self.program.driver.connections + RESERVED_DESCRIPTORS
        self.region.heartbeat_ms = monotonic_ms()
        self.region.write_cell(HeadCell.OPEN_REQUESTS, self.core.open)
        self.region.write_cell(HeadCell.CLIENT_CONNECTIONS, platform.connections)
        self.region.write_cell(HeadCell.TDS_SESSIONS, len(tds.sessions) if tds else 0)
        self.region.write_cell(HeadCell.DESCRIPTORS_USED, descriptors)
        self.region.write_cell(HeadCell.CONTROL_VERSION, self.control.version)

    # The supervisor's control page.

    def _apply_control(self, former: ControlPage) -> None:
        """Apply to the program what has changed on the control page since the former one."""
        page = self.control.page
        self._apply_bans(frozenset(page.bans))
        if page.draining != former.draining:
            self._apply_draining(page.draining)
        if page.crowded != self.is_sharing:
            self.is_sharing = page.crowded
            self._on_crowded_changed(self.is_sharing)
        quota = page.sockets.get(self.own.slot, 0)
        if quota and quota != former.sockets.get(self.own.slot, 0):
            self.program.resize(quota)
        if page.leases != former.leases or page.ghosts != former.ghosts:
            engines = page.leases.keys() | former.leases.keys()
            engines |= {load.engine for load in [*page.ghosts, *former.ghosts]}
            self.peer_loads.report(engines)

    def _apply_bans(self, banned: frozenset[str]) -> None:
        if banned != self.banned:
            self.banned = banned
            self._on_bans_changed(banned)

    def _apply_draining(self, draining: bool) -> None:
        if draining:
            self.program.drain()
        else:
            self.program.resume()

    # What the core calls.

    def _on_engine_changed(self, engine: int, load_report: tuple[float, ...]) -> None:
        """Publish that an engine's load or state has changed here; `load_report` is empty if there is no new one."""
        if engine in self.core.engines:
            self.publisher.engine_changed(engine, load_report)
            return
        self.publisher.forget(engine)
        self.peer_loads.forget(engine)
        self.leases.forget(engine)

    def _may_start(self, state: EngineState, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent, right before its first byte, by the newest bans and ends of service.

        False, counted as `cold_stopped`, if the engine is cold and the attempt has waited for over MAX_SEND_DELAY_MS or
        this worker's leases have expired.
        """
        self.control.refresh()
        self.peer_loads.poll_urgent()
        since_ms = state.entry.since_ms
        is_cold = since_ms > 0 and clock() - since_ms < self.core.settings.slow_start_duration_ms
        if is_cold and (clock() - attempt.sent_ms > MAX_SEND_DELAY_MS or self.leases.is_expired):
            self.telemetry.count("cold_stopped")
            return False
        return True
