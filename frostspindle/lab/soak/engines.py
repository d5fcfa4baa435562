"""Stand-in engines of the soak, with faults that are switched on and off and a record of each query."""

from __future__ import annotations

import asyncio
import random
import time

from frostspindle.lab.engines import Engine, EngineConnection, EngineRequest
from frostspindle.lab.soak.plan import FaultKind
from frostspindle.lab.soak.records import EngineRun

QUERY_EXPIRY_S = 2.0  # an engine ends a query that was not polled for this long
EXPIRY_SWEEP_S = 0.05
USUAL_DELAYS_S = (0.0, 0.01, 0.05, 0.2, 0.6)
SLOW_DELAYS_S = (0.8, 1.5, 2.5)
COPY_RATE = 0.3
MAX_COPY_DELAY_S = 0.03


class FaultyConnection(EngineConnection):
    """A connection that may write a response twice, and be given the bytes of a POST late, also after its end."""

    _held = 0  # chunks that are held back

    def data_received(self, data: bytes) -> None:
        """Take data now, or later while POSTs are held back and until those before it were taken."""
        engine = self.engine
        assert isinstance(engine, FaultyEngine)
        if not self._held and not (engine.post_delay_s and data.startswith(b"POST")):
            super().data_received(data)
            return
        self._held += 1
        asyncio.get_running_loop().call_later(engine.post_delay_s, self._take_held, data, engine.process, time.time())

    def _take_held(self, data: bytes, process: int, sent_at: float) -> None:
        self._held -= 1
        self.first = self.first or sent_at
        engine = self.engine
        assert isinstance(engine, FaultyEngine)
        if process == engine.process:  # else the process that it was meant for has ended
            super().data_received(data)

    def say(self, status: int, body: bytes = b"", head: str = "") -> None:
        """Write a response; an engine that duplicates sometimes writes a second copy some milliseconds later."""
        super().say(status, body, head)
        engine = self.engine
        assert isinstance(engine, FaultyEngine)
        if engine.duplicates and engine.rng.random() < COPY_RATE:
            delay_s = engine.rng.uniform(0.0, MAX_COPY_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, super().say, status, body, head)


class FaultyEngine(Engine):
    """An engine with faults that records each query it received completely."""

    connection_class = FaultyConnection

    def __init__(self, name: str, seed: int) -> None:
        super().__init__(name, delay_s=0.01)
        self.rng = random.Random(f"soak {seed} {name}")
        self.duplicates = False
        self.sheds = False
        self.slow = False
        self.post_delay_s = 0.0  # for which the network holds POSTs back
        self.process = 0  # number of restarts
        self.runs: list[EngineRun] = []
        self._open_runs: dict[str, EngineRun] = {}  # by ticket
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> FaultyEngine:
        """Listen on 127.0.0.1, on a free port if `port` is 0, and return self."""
        await super().start(port)
        self._expiry_task = asyncio.create_task(self._expire_queries())
        return self

    # Queries.

    def call(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Record a call, and answer it unless a fault prevents that."""
        now = time.time()
        method, segments = request.method, request.segments
        if method == b"POST":
            if self.sheds:
                connection.say(503, head="X-Shed: 1\r\n")
                return
            self._record_post(request, now)
        elif method == b"GET" and len(segments) == 4 and segments[2] in self._open_runs:
            self._open_runs[segments[2]].polled_at = now
        elif method == b"DELETE" and len(segments) > 2:
            self._end_run(segments[2], now, "deleted")
        super().call(connection, request)

    def _record_post(self, request: EngineRequest, now: float) -> None:
        run = EngineRun(request.ticket, self.name, request.first_byte_at, now, request.max_ms, polled_at=now)
        self.runs.append(run)
        self._open_runs[request.ticket] = run
        self.delay_s = self.rng.choice(SLOW_DELAYS_S if self.slow else USUAL_DELAYS_S)

    def _respond(self, connection: EngineConnection, ticket: str) -> None:
        is_finished = self.results.get(ticket) is not None
        super()._respond(connection, ticket)
        if is_finished:
            self._end_run(ticket, time.time(), "answered")

    def _end_run(self, ticket: str, now: float, ending: str) -> None:
        run = self._open_runs.pop(ticket, None)
        if run is not None:
            run.ended_at = now
            run.ending = ending

    async def _expire_queries(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_SWEEP_S)
            now = time.time()
            for ticket, run in list(self._open_runs.items()):
                if now - run.polled_at > QUERY_EXPIRY_S:
                    self._end_run(ticket, now, "expired")
                    self.results.pop(ticket, None)

    # Faults.

    def begin(self, kind: FaultKind) -> None:
        """Switch a fault on."""
        match kind:
            case FaultKind.SLOW:
                self.slow = True
            case FaultKind.HUNG:
                self.silent = True
            case FaultKind.RESET:
                self._abort_connections()
            case FaultKind.DRAIN:
                self.server.close()
            case FaultKind.CRASH:
                self.server.close()
                self._abort_connections()
                self.forget_queries()
            case FaultKind.DUPLICATE:
                self.duplicates = True
            case FaultKind.SHED:
                self.sheds = True
            case FaultKind.DRAIN_RESET:
                self.server.close()
                self._abort_connections()
            case _:
                pass

    async def finish(self, kind: FaultKind) -> None:
        """Switch a fault off; a drained or crashed engine restarts at the same address."""
        match kind:
            case FaultKind.SLOW:
                self.slow = False
            case FaultKind.HUNG:
                self.silent = False
            case FaultKind.DRAIN | FaultKind.CRASH | FaultKind.DRAIN_RESET:
                await self.restart()
            case FaultKind.DUPLICATE:
                self.duplicates = False
            case FaultKind.SHED:
                self.sheds = False
            case _:
                pass

    async def restart(self) -> None:
        """End the process with its queries and start another one at the same address."""
        self.process += 1
        self._abort_connections()
        self.forget_queries()
        await self._listen_again()

    async def _listen_again(self) -> None:
        self.server.close()
        self.server = await self.listen(self.port)

    def _abort_connections(self) -> None:
        for connection in list(self.lines):
            connection.transport.abort()

    def hold_posts(self, delay_s: float) -> None:
        """Let the network hold POSTs back for so long; 0: no longer."""
        self.post_delay_s = delay_s

    def forget_queries(self) -> None:
        """Drop all queries, as an ended process does; their runs stay open, as the coordinator can't see the end."""
        self.results.clear()
        self.waiting.clear()
        self.queue.clear()
        self._open_runs.clear()

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        self.server.close()
        self._abort_connections()
