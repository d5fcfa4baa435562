"""What ties one worker to the others: it keeps the board and the worker's core, front and limits in step.

Owns this worker's region of the board and its view of all others. It must never wait for another worker, never judge
what it reads (fleet.py, leases.py and ownership.py do), and never let a send pass that the board forbids: `fence` is
asked right before the first byte of each.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from frostspindle.config import Config
from frostspindle.core import Attempt, EngineState, clock
from frostspindle.cores import layout as form
from frostspindle.cores import leases, ownership, peer_workers
from frostspindle.cores.mesh import WorkerGoneError, WorkerMesh
from frostspindle.cores.ownership import RequestOwner, Route
from frostspindle.cores.peer_workers import EngineLoadRow, PeerWorker
from frostspindle.cores.shared_memory import ControlPage, RowSnapshot, SharedMemoryBoard, WorkerRegion
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.calls import FRONT, PendingCall
from frostspindle.policy import Health, WorkerLoad
from frostspindle.program import Program

TICK_S = 0.02  # how often the others' rows are read and the heart beats
FLUSH_S = 0.005  # changes of own rows are written together, so late at most
ALL_TICKS = 25  # every so many ticks all engines are looked at, for what ages without a change
DECIDED_MS = 400.0  # a send to a cold engine that has waited longer for a connection counts under no lease any more


def mono() -> float:
    """Return CLOCK_MONOTONIC in ms, which all processes of one machine share."""
    return time.monotonic() * 1000.0


class WorkerBootstrap(msgspec.Struct):
    """What the supervisor hands to a worker at its start, as JSON in its environment."""

    slot: int
    incarnation: int
    slots: int
    nonce: int
    sockets: int  # the share of descriptors at the start
    board: int  # descriptors, as `life` and `mesh`, and `listener`, `tds` for those who serve
    life: int
    mesh: int
    listener: int
    paths: dict[int, str]
    tds: int | None = None
    order: str = ""  # the folder in which processes keep the order of their keys


class SharedMemoryLink:
    """One worker's connection to the others; it takes the place of `Shared`, which a single process has."""

    def __init__(self, passport: WorkerBootstrap, board: SharedMemoryBoard, config: Config) -> None:
        self.passport, self.board, self.config = passport, board, config
        self.me = RequestOwner(passport.slot, passport.incarnation)
        self.region = WorkerRegion(board, passport.slot)
        self.sights = {
            slot: RowSnapshot(WorkerRegion(board, slot)) for slot in range(passport.slots) if slot != passport.slot
        }
        self.version, self.told = 0, ControlPage()
        self.lost: frozenset[int] = frozenset()
        self.is_sharing = self.orphaned = False
        # What the other processes of an upgrade have open: not told among workers.
        self.open_elsewhere: int | None = None
        self.banned: frozenset[str] = frozenset()
        self.dirty: set[int] = set()
        self.reports: dict[int, tuple[float, tuple[float, ...]]] = {}
        self.peers: dict[int, WorkerLoad] = {}
        self.seen: dict[int, int] = {}  # of each cold engine: the lease serial that is obeyed
        self._urgent = dict.fromkeys(self.sights, -1)
        self._flusher: asyncio.TimerHandle | None = None
        self._ticker: asyncio.TimerHandle | None = None
        self._ticks = 0
        self._cold: dict[int, tuple[float, float]] = {}
        self._full = False
        self._asking: set[asyncio.Task[None]] = set()

    @property
    def order(self) -> Path | None:
        """Folder in which the processes keep the order of their keys; None: no class keeps order."""
        return Path(self.passport.order) if self.passport.order else None

    @property
    def ending(self) -> bool:
        """Whether the whole program ends, so that no other process accepts connections any more."""
        self._obey()  # its word may have come with the signal
        return self.told.ending and not self.orphaned

    # What the program calls.

    def bind(self, program: Program) -> None:
        """Hook this worker into the program's core, front and counters; clear its region and mark it as starting."""
        self.program, self.core, self.telemetry = program, program.core, program.telemetry
        self.loop = asyncio.get_running_loop()
        self.region.clear()
        put = self.region.put
        put(form.PID, 0)
        put(form.INCARNATION, self.me.incarnation)
        put(form.STATE, form.STARTING)
        self.telemetry.mirror = self.region.count
        self.core.may_start, self.core.on_engine_changed = self.fence, self.watch
        program.platform.relay, program.platform.prefix = self, ownership.prefix(self.me)
        self.mesh = WorkerMesh(self.passport.mesh, self.passport.paths, program.platform)

    def start(self, told: Callable[[frozenset[str]], None], crowd: Callable[[bool], None]) -> None:
        """Start the periodic exchange over the board and the listening end of the mesh.

        `told` is called with the set of banned engines, `crowd` with whether another process of an upgrade runs, each
        now if already set and whenever it changes.
        """
        self._told, self._crowd = told, crowd
        self._obey()
        self._tick()
        task = self.loop.create_task(self.mesh.start())
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    def serving(self) -> None:
        """Tell the supervisor that this worker accepts clients; readiness needs it of all workers."""
        self.region.put(form.STATE, form.SERVING)

    def leaving(self) -> None:
        """Tell the others that this worker drains, so that its connections no longer count in `accepts`."""
        self.region.put(form.STATE, form.LEAVING)

    def close(self) -> None:
        """Cancel timers and open relayed calls, write the last state to the board and mark the worker as ended."""
        for timer in (self._ticker, self._flusher):
            if timer is not None:
                timer.cancel()
        for task in self._asking:
            task.cancel()
        self.mesh.close()
        self._flush()
        self._head()
        self.region.put(form.STATE, form.ENDED)

    # The board to the core.

    def _tick(self) -> None:
        self._ticker = self.loop.call_later(TICK_S, self._tick)
        try:
            self._step()
        except Exception as error:  # noqa: BLE001 - the next tick reads all again
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of="link")

    def _step(self) -> None:
        self._ticks += 1
        if self._obey():  # a heartbeat renews leases: who has not heard that they were taken back must not send one
            self._head()
        changed: set[int] = set()
        for slot in self.sights:
            changed |= self._look(slot)
        if self._ticks % ALL_TICKS == 0:
            changed |= self.core.engines.keys()
        self._needs()
        changed |= self._cold.keys()
        if changed:
            self._hear(changed)

    def _head(self) -> None:
        region, program = self.region, self.program
        region.beat = mono()
        region.put(form.OPEN, self.core.open)
        region.put(form.CLIENTS, program.platform.connections)
        region.put(form.TDS, len(program.tds.sessions) if program.tds else 0)
        region.put(form.SOCKETS, program.platform.connections + program.driver.connections + SPARE)
        region.put(form.SEEN, self.version)

    def _obey(self) -> bool:
        """Take the supervisor's newest word; False if it could not be read."""
        if self.board.version == self.version:
            return True
        if (read := self.board.control()) is None:
            self.telemetry.count("board_torn")
            return False
        before, (self.version, self.told) = self.told, read
        self.lost = frozenset(self.told.lost)
        if (banned := frozenset(self.told.bans)) != self.banned:
            self.banned = banned
            self._told(banned)
        if self.told.draining != before.draining:
            self.program.drain() if self.told.draining else self.program.resume()
        if self.told.crowded != self.is_sharing:
            self.is_sharing = self.told.crowded
            self._crowd(self.is_sharing)
        share = self.told.sockets.get(self.me.slot, 0)
        if share and share != before.sockets.get(self.me.slot, 0):
            self.program.resize(share)
        if self.told.leases != before.leases or self.told.ghosts != before.ghosts:
            self._hear(
                self.told.leases.keys()
                | before.leases.keys()
                | {ghost.engine for ghost in [*self.told.ghosts, *before.ghosts]}
            )
        return True

    def _look(self, slot: int) -> set[int]:
        """Another worker's rows; its word on engines that end goes over our list at once."""
        sight = self.sights[slot]
        torn = sight.torn
        urgent = sight.region.get(form.URGENT)
        changed = sight.look()
        if sight.torn != torn:
            self.telemetry.count("board_torn")
        if changed and urgent != self._urgent[slot]:
            siblings = [PeerWorker(0.0, sight.rows)]
            for engine in changed:
                state = self.core.engines.get(engine)
                if (
                    state is not None
                    and state.version
                    and (word := peer_workers.stop(engine, state.version, siblings)) is not None
                ):
                    self.core.mark_draining(state.name, word[0])
        self._urgent[slot] = urgent
        return changed

    def _part(self, engine: int) -> float:
        units, serials = self.told.leases.get(engine, ((), ()))
        if self.me.slot >= len(units):
            return 0.0
        self.seen[engine] = serials[self.me.slot]
        return leases.part(units[self.me.slot], self.board.horizon(self.me.slot), mono())

    def _hear(self, engines: set[int]) -> None:
        """Tell the module what the others have out, think and know, where that has changed."""
        now, beat = clock(), mono()
        siblings = [
            PeerWorker(beat - sight.region.beat, sight.rows)
            for slot, sight in self.sights.items()
            if slot in self.told.living
        ]  # what a dead one left is told as ghosts
        entries = []
        for engine in engines & self.core.engines.keys():
            entry = peer_workers.peer(engine, siblings, self.told.ghosts, now, self._part(engine))
            before = self.peers.get(engine)
            if before is None or before[:5] != entry[:5] or (entry.report and entry.report != before.report):
                entries.append(entry)
            self.peers[engine] = entry
        if entries:
            self.core.update_worker_loads(tuple(entries))

    # The core to the board.

    def watch(self, engine: int, report: tuple[float, ...]) -> None:
        """The engine's work or standing has changed."""
        if report:
            self.reports[engine] = (clock(), report)
        if engine not in self.core.engines:
            for table in (self.reports, self.peers, self.seen):
                table.pop(engine, None)
            self.region.erase(engine)
            return
        self.dirty.add(engine)
        state = self.core.engines[engine]
        if state.entry.health != Health.READY and state.version:
            self._flush()  # an end that was told here is the others' affair at once
            self.region.bump(form.URGENT)
        elif self._flusher is None:
            self._flusher = self.loop.call_later(FLUSH_S, self._flush)

    def _needs(self) -> None:
        """Each cold engine's row says what was spent, what is wished for, and which lease is obeyed."""
        cold = self.core.controller.slow_start.needs(clock())
        for engine in cold.keys() | self._cold.keys():
            if cold.get(engine) != self._cold.get(engine) or self._ticks % ALL_TICKS == 0:
                self.dirty.add(engine)
        self._cold = cold
        for engine in self.seen.keys() - cold.keys():
            del self.seen[engine]
        for engine in cold:
            before = self.seen.get(engine)
            self._part(engine)
            if self.seen.get(engine) != before:
                self.dirty.add(engine)
        if self.dirty:
            self._flush()

    def _flush(self) -> None:
        if self._flusher is not None:
            self._flusher.cancel()
            self._flusher = None
        dirty, self.dirty = self.dirty, set()
        for engine in dirty:
            if (state := self.core.engines.get(engine)) is not None and not self.region.write(self._row(engine, state)):
                if not self._full:
                    self._full = True
                    self.telemetry.log("board", error="more engines than it has rows for", engine=state.name)
        if dirty:
            self.region.bump(form.FLUSHES)

    def _row(self, engine: int, state: EngineState) -> EngineLoadRow:
        believed = self.core.controller.engines.get(engine)
        listed = state.listed_entry or state.entry
        at, report = self.reports.get(engine, (0.0, ()))
        spent, wished = self._cold.get(engine, (0.0, 0.0))
        suspect = believed is not None and believed.ejected and not believed.ejected_by_peer
        return EngineLoadRow(
            engine,
            state.version,
            listed.health,
            suspect,
            believed.threads if believed else 0,
            believed.granted_mb if believed else 0.0,
            state.entry.since_ms,
            at,
            report,
            spent,
            wished,
            self.seen.get(engine, 0),
            state.name,
            f"{state.address[0]}:{state.address[1]}",
        )

    # Before each send.

    def fence(self, state: EngineState, attempt: Attempt) -> bool:
        """Read the board once more right before an attempt's first byte; return whether it may be sent.

        Takes in bans and ends of engines. False, counted as `cold_stopped`, if the engine is cold and the attempt has
        waited for over DECIDED_MS or this worker's lease has run out.
        """
        self._obey()
        for slot, sight in self.sights.items():
            if sight.region.get(form.URGENT) != self._urgent[slot]:
                self._look(slot)
        since = state.entry.since_ms
        if (
            since > 0
            and clock() - since < self.core.settings.slow_start_duration_ms
            and (clock() - attempt.sent_ms > DECIDED_MS or mono() >= self.board.horizon(self.me.slot))
        ):
            self.telemetry.count("cold_stopped")
            return False
        return True

    # The front's relay.

    def accepts(self) -> bool:
        """Return whether to take a new connection now, by what the workers that live and serve hold."""
        now, mine = mono(), self.program.platform.held
        self.region.put(form.CLIENTS, mine)  # at once: others compare while a burst is being accepted
        others = [
            sight.region.get(form.CLIENTS)
            for sight in self.sights.values()
            if sight.region.get(form.STATE) == form.SERVING and now - sight.region.beat < peer_workers.FRESH_MS
        ]
        return ownership.accepts(mine, others)

    def claim(self, ticket: str) -> CallRejectedError | None:
        """Enter a request's id (hex) for this worker; return the refusal if it can't be had.

        409: it is open at another worker; 502: it was open at a worker that died; 503: its bucket of the board is full.
        Of two workers that claim one id at the same moment at least one is refused, maybe both. Id 0 is never entered.
        """
        number = int(ticket, 16)
        if not number:
            return None  # stands for an empty cell; each worker's own check holds for it
        self._obey()
        if number in self.lost:
            return CallRejectedError(502, "Failed")
        # Written first, then looked for elsewhere: of two workers at the same moment at least one sees the other.
        if not self.region.add(number):
            self.telemetry.count("full", FRONT)
            return CallRejectedError(503, "Busy")
        if self.region.elsewhere(number):
            self.region.remove(number)
            return CallRejectedError(409, "X-Request-Id: this request is already open")
        return None

    def release(self, ticket: str) -> None:
        """Take a settled request's id (hex) off the board."""
        if number := int(ticket, 16):
            self.region.remove(number)

    def passes(self, slot: PendingCall, method: bytes, path: str, url: bytes) -> bool:
        """Return whether a call on a path unknown here belongs to another worker, and see to its answer.

        Only GET and DELETE pass. A call whose owner lives is relayed to it. Of an owner that died, a DELETE is answered
        204, a GET 502: the request may have run.
        """
        if method not in (b"GET", b"DELETE"):
            return False
        self._obey()  # a worker that has just died is known to have
        way = ownership.route(path, self.me, self.told.living)
        if way is Route.DIED:
            slot.reply(204) if method == b"DELETE" else slot.reply(502, {"failure": "Failed"})
        elif way is Route.ASK:
            owner = ownership.owner_of(path)
            assert owner is not None
            task = self.loop.create_task(self._ask(slot, owner.slot, method, path, url))
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)
        return way is not Route.UNKNOWN

    async def _ask(self, slot: PendingCall, owner: int, method: bytes, path: str, url: bytes) -> None:
        self.telemetry.count("relayed", FRONT)
        try:
            status, body, extra, last = await self.mesh.ask(owner, method, url)
        except WorkerGoneError as gone:
            self.telemetry.log("relay", owner=owner, error=str(gone))
            if method == b"DELETE":
                slot.reply(503, {"failure": "Busy"})
            else:  # it asks again, and finds the owner's answer or the word that it died
                slot.reply(200, {"next": url.decode("latin-1")})
            return
        slot.reply(status, body, extra, last)


SPARE = 12  # descriptors of a worker beside its connections
