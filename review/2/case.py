"""At a planned restart TDS batches are sent to an engine and never answered; a load that is sent again runs twice."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path[:0] = [str(Path(__file__).resolve().parent.parent), str(Path(__file__).resolve().parent.parent.parent)]

from stand_ins import (  # noqa: E402 - found by the path above
    BROKEN,
    HELD,
    TROUBLE,
    Bus,
    CaseError,
    Coordinator,
    Record,
    free_port,
    run_case,
    site_settings,
)

from frostspindle.net.tds import codec  # noqa: E402 - found by the path above

SEED = 53
LOOKUP_CLIENTS, LOAD_CLIENTS = 4, 4
SERVING_S = 5.0  # until SIGTERM
KILL_AFTER_S = 3.0 + 0.7  # the longest deadline, counted as 3 s, and 0.7 s more
LAST_S = 6.0
WORK_S = {"calls": (0.05, 0.3), "loads": (0.4, 0.9)}  # of one batch, by database
CROSSING_S = 0.05  # a batch that crosses the end of its session within this time is sent again, once
RECONNECT_S = 4.0  # within which a client that has to do that finds the coordinator again
PAUSE_S = (0.02, 0.15)  # of a client between an answer and its next batch

OPERATOR_FILE = """
[tds]
listen = "127.0.0.1:{listen}"

[[tds.login]]
database = "loads"
class = "load"
deadline_ms = 20000
cost_ms = 3500
memory_mb = 512

[[tds.login]]
class = "lookup"
deadline_ms = 7500
cost_ms = 300
memory_mb = 128

[[tds.engine]]
name = "tds-1"
dial = "127.0.0.1:{first}"

[[tds.engine]]
name = "tds-2"
dial = "127.0.0.1:{second}"
"""


@dataclass
class Batch:
    """One batch of a client: when it was written whole, when an engine had it whole, and what came of it."""

    tag: str
    database: str
    written_at: float
    at_engine: list[float] = field(default_factory=list)
    answer: str = ""
    closed_at: float = 0.0
    is_resent: bool = False


@dataclass
class Day:
    """All batches of a run by their tags."""

    record: Record
    batches: dict[str, Batch] = field(default_factory=dict)


class TdsEngine:
    """A sound TDS engine: it answers each batch after its work, and ends one on an Attention."""

    def __init__(self, name: str, day: Day) -> None:
        self.name, self.day = name, day
        self.random = random.Random(f"{SEED} {name}")
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> TdsEngine:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        splitter = codec.PacketReassembler(1 << 20)
        running: asyncio.Task[None] | None = None
        try:
            while data := await reader.read(65536):
                for message in splitter.feed(data):
                    if message.kind == codec.BATCH:
                        running = asyncio.create_task(self._run(writer, codec.read_batch(message.body)))
                        continue
                    if message.kind == codec.ATTENTION and running is not None:
                        running.cancel()
                    writer.write(codec.packets(codec.RESULT, self._answer(message.kind)))
                    await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass  # the coordinator has gone, or the case is over
        finally:
            self._writers.discard(writer)
            writer.close()

    @staticmethod
    def _answer(kind: int) -> bytes:
        if kind == codec.PRELOGIN:
            return codec.prelogin({codec.O_ENCRYPTION: bytes((codec.ENCRYPT_NOT_SUP,))})
        if kind == codec.LOGIN7:
            return codec.login_ack("calls", codec.DEFAULT_PACKET_BYTES)
        return codec.done(codec.DONE_ATTN)

    async def _run(self, writer: asyncio.StreamWriter, statement: str) -> None:
        tag = statement.split("'")[1]
        batch = self.day.batches[tag]
        batch.at_engine.append(self.day.record.write(self.name, "batch", tag=tag, database=batch.database))
        await asyncio.sleep(self.random.uniform(*WORK_S[batch.database]))
        if not writer.is_closing():
            writer.write(codec.packets(codec.RESULT, codec.text_result(("engine", "tag"), [(self.name, tag)])))

    def close(self) -> None:
        """End the engine."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class TdsClient:
    """A TDS client that sends one batch after the other on its session, until the session ends or it has to stop."""

    def __init__(self, port: int, day: Day, number: int, database: str) -> None:
        self.port, self.day, self.database = port, day, database
        self.name = f"{database}-{number}"
        self.random = random.Random(f"{SEED} {self.name}")
        self.stops = False
        self.crossing: Batch | None = None  # written within CROSSING_S before its session ended
        self._waiting: list[codec.Message] = []
        self._splitter = codec.PacketReassembler(1 << 20)

    async def _message(self, reader: asyncio.StreamReader) -> codec.Message | None:
        while not self._waiting:
            try:
                data = await reader.read(65536)
            except OSError:
                return None
            if not data:
                return None
            self._waiting.extend(self._splitter.feed(data))
        return self._waiting.pop(0)

    async def run(self) -> None:
        """Send batches; after the end of the session, send again what crossed it."""
        while not self.stops and self.crossing is None:
            await self._session()
        if self.crossing is not None:
            await self._session()

    async def _session(self) -> None:
        """Log in and send batches until the session ends."""
        reader, writer = await self._connect()
        try:
            writer.write(codec.packets(codec.PRELOGIN, codec.prelogin({codec.O_ENCRYPTION: b"\x00"})))
            await self._message(reader)
            writer.write(codec.packets(codec.LOGIN7, codec.login("me", "any", "app", self.database)))
            await self._message(reader)
            if self.crossing is not None:
                self.crossing.is_resent = True
                self.day.record.write(self.name, "sends again", tag=self.crossing.tag)
                await self._send(self.crossing, reader, writer)
                return
            while not self.stops and await self._new_batch(reader, writer):
                await asyncio.sleep(self.random.uniform(*PAUSE_S))
        finally:
            writer.close()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        until = time.time() + RECONNECT_S
        while True:
            try:
                return await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                if time.time() > until:
                    raise
                await asyncio.sleep(0.05)

    async def _new_batch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a new batch and wait for its answer; return False if the session has ended."""
        if reader.at_eof() or writer.is_closing():
            self.stops = True
            return False
        tag = f"{self.random.getrandbits(48):012x}"
        batch = self.day.batches[tag] = Batch(tag, self.database, time.time())
        self.day.record.write(self.name, "batch written", tag=tag)
        if await self._send(batch, reader, writer):
            return True
        self.stops = True
        if batch.closed_at - batch.written_at <= CROSSING_S:
            self.crossing = batch
        return False

    async def _send(self, batch: Batch, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        word = (
            "INSERT INTO calls_17.notes VALUES"
            if self.database == "loads"
            else "SELECT * FROM calls_17.notes WHERE t ="
        )
        writer.write(codec.packets(codec.BATCH, codec.batch(f"{word} ('{batch.tag}')")))
        message = await self._message(reader)
        if message is None:
            batch.closed_at = self.day.record.write(self.name, "session ended without an answer", tag=batch.tag)
            return False
        errors = [error.number for error in codec.read_result(message.body).errors]
        batch.answer = f"error {errors[0]}" if errors else "served"
        self.day.record.write(self.name, batch.answer, tag=batch.tag)
        return True


async def play(record: Record, folder: Path) -> int:
    """Play the case and return the verdict."""
    day = Day(record)
    bus = await Bus(record).start()
    engines = [await TdsEngine(f"tds-{number}", day).start() for number in (1, 2)]
    coordinator = Coordinator("n1", record, folder)
    coordinator.operator_file = coordinator.folder / "operator.toml"
    port = free_port()
    coordinator.operator_file.write_text(
        OPERATOR_FILE.format(listen=port, first=engines[0].port, second=engines[1].port)
    )
    bus.say(whole=True)
    coordinator.write_config(bus, site_settings())
    coordinator.start()
    clients = [TdsClient(port, day, number, "calls") for number in range(LOOKUP_CLIENTS)]
    clients += [TdsClient(port, day, number, "loads") for number in range(LOAD_CLIENTS)]
    sessions: list[asyncio.Task[None]] = []
    try:
        await coordinator.ready()
        sessions = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(SERVING_S)
        if TROUBLE:
            coordinator.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_S)
        for client in clients:
            client.stops = True
        if TROUBLE:
            record.write("n1", "ended" if not coordinator.is_alive else "still runs: SIGKILL")
            coordinator.end()
            coordinator.start()  # the planned restart: under its name and addresses
            await coordinator.ready()
        await asyncio.wait(sessions, timeout=LAST_S)
        return judge(day)
    finally:
        for session in sessions:
            session.cancel()
        await asyncio.gather(*sessions, return_exceptions=True)
        coordinator.end()
        for part in (*engines, bus):
            part.close()


def judge(day: Day) -> int:
    """Return BROKEN if a batch that an engine has was never answered, or if a load came to engines twice.

    An engine has what the coordinator has read. What no engine has may have crossed the end of its session: that does
    not count.
    """
    answered = sum(bool(batch.answer) for batch in day.batches.values())
    lost = [batch for batch in day.batches.values() if batch.closed_at and batch.at_engine and not batch.is_resent]
    twice = [batch for batch in day.batches.values() if batch.database == "loads" and len(batch.at_engine) > 1]
    for what, batches in (("LOST", lost), ("RAN TWICE", twice)):
        for batch in batches:
            day.record.write(
                "case",
                what,
                tag=batch.tag,
                database=batch.database,
                written=f"{day.record.since_start(batch.written_at):.3f}",
                at_engine=",".join(f"{day.record.since_start(at):.3f}" for at in batch.at_engine),
                closed=f"{day.record.since_start(batch.closed_at):.3f}",
                answer=batch.answer or "none",
            )
    resent = sum(batch.is_resent for batch in day.batches.values())
    counts = {"answered": answered, "resent": resent, "lost": len(lost), "loads_twice": len(twice)}
    day.record.write("case", "counts", batches=len(day.batches), **counts)
    if answered < 50:
        raise CaseError(f"too little was played: {answered} answers")
    return BROKEN if lost or twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(__file__, play))
