"""The driver of TDS engines: one attempt from its batch to its last DONE.

Owns the connections to those engines, the operator's list of them, and the Attention that frees an engine's
work. It must never write a batch to an engine that has begun to drain, never write one twice, never report a
good end without the whole answer in hand, and never hand on an answer that it could not walk. An engine that
says it shuts down is told to the core as draining until it takes log-ins again.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from collections.abc import Iterable

from frostspindle.config import HEALTH_CODES, TdsEngine, TdsSection, address
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.net import TaskDriver
from frostspindle.net.tds import codec
from frostspindle.net.tds.codec import MessageTooLongError
from frostspindle.policy import AttemptOutcome, EndpointListKind, EngineEntry, Health
from frostspindle.telemetry import Telemetry

SHUTTING_DOWN = {6005, 6006, 17142, 17147, 18401}  # the numbers of a server that stops or pauses
SOFT = 16  # up to this severity an error is the statement's own, and is its answer
DEADLOCK, TOO_LONG = 1205, 50003
ATTENTION_S = 1.0  # an engine that does not confirm an Attention by then loses the connection
IDLE_S, POOL = 30.0, 16  # idle connections of one engine
AGAIN_S = 0.5  # how often an engine that shut down is tried


class SessionUnavailableError(Exception):
    """No session was available; nothing of the batch was written."""

    def __init__(self, text: str, numbers: Iterable[int] = ()) -> None:
        super().__init__(text)
        self.numbers = set(numbers)


class _Connection:
    """One logged-in session at an engine."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, most: int) -> None:
        self.reader, self.writer = reader, writer
        self.used, self.idle_at = False, 0.0
        self.splitter = codec.Splitter(most)
        self._stray: asyncio.Task[bytes] | None = None

    @classmethod
    async def open(cls, at: tuple[str, int], tds: TdsSection, database: str, most: int) -> _Connection:
        try:
            reader, writer = await asyncio.open_connection(*at, limit=64 * 1024)
        except OSError as error:
            raise SessionUnavailableError(repr(error)) from None
        connection = cls(reader, writer, most)
        try:
            await connection._log_in(tds, database)
        except BaseException:
            connection.close()
            raise
        return connection

    async def _log_in(self, tds: TdsSection, database: str) -> None:
        try:
            self.writer.write(
                codec.packets(
                    codec.PRELOGIN,
                    codec.prelogin(
                        {
                            codec.O_VERSION: bytes((1, 0, 0, 0, 0, 0)),
                            codec.O_ENCRYPTION: bytes((codec.ENCRYPT_NOT_SUP,)),
                            codec.O_INSTANCE: b"\x00",
                            codec.O_THREAD: bytes(4),
                            codec.O_MARS: b"\x00",
                        }
                    ),
                )
            )
            options = codec.read_prelogin(await self.answer())
            if options.get(codec.O_ENCRYPTION, b"\x02")[0] not in (codec.ENCRYPT_NOT_SUP, codec.ENCRYPT_OFF):
                raise SessionUnavailableError("the engine asks for encryption, which is not spoken here")
            self.writer.write(
                codec.packets(codec.LOGIN7, codec.login(tds.engine_user, tds.engine_password, "frostspindle", database))
            )
            result = codec.read_result(await self.answer())
        except (OSError, EOFError, codec.ProtocolError) as error:
            raise SessionUnavailableError(f"no log-in: {error!r}") from None
        if not result.accepted or result.faults:
            raise SessionUnavailableError(
                "log-in refused: " + "; ".join(f.text for f in result.faults), [f.number for f in result.faults]
            )

    async def answer(self) -> bytes:
        """The next whole message, however it is cut."""
        while True:
            data = await self.reader.read(64 * 1024)
            if not data:
                raise EOFError("the engine ended its connection")
            for message in self.splitter.feed(data):
                if message.kind != codec.RESULT:
                    raise codec.ProtocolError(f"a message of type {message.kind} from an engine")
                return message.body

    def request(self, statement: str) -> None:
        """Write the batch; a session that was used before starts afresh."""
        status = codec.RESET_CONNECTION if self.used else 0
        self.used = True
        self.writer.write(codec.packets(codec.BATCH, codec.batch(statement), status=status))

    async def attention(self) -> bool:
        """Stop what runs here; True once the engine has confirmed it."""
        try:
            async with asyncio.timeout(ATTENTION_S):
                self.writer.write(codec.packets(codec.ATTENTION, b""))
                while True:
                    result = codec.read_result(await self.answer())
                    if result.status & codec.DONE_ATTN:
                        return True
        except (OSError, EOFError, TimeoutError, codec.ProtocolError):
            return False

    def park(self) -> None:
        """Left idle: whatever the engine writes now, or its end of the stream, makes this session stale."""
        self.idle_at = clock()
        self._stray = asyncio.ensure_future(self.reader.read(1))

    async def unpark(self) -> bool:
        """Take it up again; False: stale. A word left over must not be read as the next batch's answer."""
        assert self._stray is not None
        stray, self._stray = self._stray, None
        fresh = not stray.done() and clock() - self.idle_at < IDLE_S * 1000.0
        stray.cancel()
        await asyncio.wait((stray,))
        return fresh and stray.cancelled()

    def close(self) -> None:
        if self._stray is not None:
            self._stray.cancel()
        self.writer.transport.abort()


class TdsEngines(TaskDriver):
    """The driver of the TDS engines in the operator's file."""

    def __init__(
        self, tds: TdsSection, kinds: dict[tuple[float, float], int], core: Core, telemetry: Telemetry
    ) -> None:
        super().__init__(core)
        self.tds, self.kinds, self.telemetry = tds, kinds, telemetry
        self.states: dict[int, EngineState] = {}
        self._names: dict[str, int] = {}
        self._idle: dict[tuple[int, str], deque[_Connection]] = {}
        self._watched: set[int] = set()
        self._version = 0

    # The operator's list.

    def configure(self, engines: Iterable[TdsEngine], how: int = EndpointListKind.DELTA) -> None:
        """Apply the operator's list, at the start and again on SIGHUP; engines no longer in it are gone."""
        changed, named = [], set()
        for engine in engines:
            number = self._number(engine.name)
            named.add(number)
            state = self._state(engine, number)
            known = self.states.get(number)
            if known is None or (known.entry, known.address) != (state.entry, state.address):
                changed.append(state)
        changed += [
            self._with(s, Health.GONE)
            for n, s in self.states.items()
            if n not in named and s.entry.health != Health.GONE
        ]
        self._tell(changed, how)

    def _state(self, engine: TdsEngine, number: int) -> EngineState:
        known = self.states.get(number)
        since = known.entry.since_ms if known else 0.0
        if known is not None and known.entry.health == Health.GONE and HEALTH_CODES[engine.state] == Health.READY:
            since = clock()  # it comes back, and comes back cold
        entry = EngineEntry(
            number, 0, self.kinds[engine.cores, engine.memory_mb], 0, HEALTH_CODES[engine.state], 1.0, since
        )
        return EngineState(entry, engine.name, address(engine.dial, engine.name), self)

    def _with(self, state: EngineState, health: int, since: float | None = None) -> EngineState:
        entry = state.entry._replace(health=health, since_ms=state.entry.since_ms if since is None else since)
        return EngineState(entry, state.name, state.address, self)

    def _tell(self, states: list[EngineState], how: int = EndpointListKind.DELTA) -> None:
        if states:
            self._version += 1
            self.states.update({state.entry.engine: state for state in states})
            self.core.update_endpoints(self, states, how, self._version)

    def _number(self, name: str) -> int:
        if name not in self._names:
            number = zlib.crc32(b"tds " + name.encode())
            while number in self._names.values() or number in self.core.engines:
                number = (number + 1) & 0xFFFFFFFF
            self._names[name] = number
        return self._names[name]

    def _drains(self, number: int) -> None:
        """The engine itself says that it stops: no new work, until it takes log-ins again."""
        state = self.states[number]
        if state.entry.health == Health.READY:
            self.telemetry.count("shutdowns_heard", "tds")
            self._tell([self._with(state, Health.DRAINING)])
        if number not in self._watched:
            self._watched.add(number)
            self.spawn(self._watch(number))

    async def _watch(self, number: int) -> None:
        """Wait for an engine that shut down to take log-ins again; it then counts as just started."""
        try:
            while self.states[number].entry.health == Health.DRAINING:
                await asyncio.sleep(AGAIN_S)
                state = self.states[number]
                try:
                    async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                        connection = await _Connection.open(state.address, self.tds, "", 65536)
                except (SessionUnavailableError, TimeoutError):
                    continue
                connection.close()
                if self.states[number].entry.health == Health.DRAINING:
                    self._tell([self._with(self.states[number], Health.READY, clock())])
        finally:
            self._watched.discard(number)

    # The core's interface.

    def update_engine(self, engine: EngineState) -> None:
        """Close the idle sessions of an engine that is gone; nothing else of the list needs work here."""
        if engine.entry.health == Health.GONE:
            for key in [key for key in self._idle if key[0] == engine.entry.engine]:
                for connection in self._idle.pop(key):
                    connection.close()

    def update_priority(self, attempt: Attempt) -> None:
        """Do nothing: TDS has no way to change a priority."""

    async def close(self) -> None:
        """Cancel all attempts, wait for their ends, and close the idle sessions."""
        await super().close()
        for line in self._idle.values():
            for connection in line:
                connection.close()

    # One attempt.

    async def attempt(self, attempt: Attempt) -> None:
        """Run an attempt to its end and report that once, by Core.attempt_ended.

        Errors up to severity SOFT are the statement's own and go to the client; a result beyond `max_result_bytes` is
        answered with an ERROR token. After a timeout or a cancel the engine is freed by Attention first.
        """
        connection: _Connection | None = None
        outcome, tokens = AttemptOutcome.CONNECT_FAILED, None
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                connection = await self._connect(attempt)
                await self.core.catch_up()
                # A wait for a connection may have been long: the engine may have begun to drain meanwhile.
                if connection is not None and not self.core.may_send(attempt):
                    outcome = attempt.unsent_outcome
                elif connection is not None:
                    outcome = AttemptOutcome.RESET
                    connection.request(attempt.request.statement)
                    self.core.count_written(attempt)
                    outcome, tokens = self._read(attempt, await connection.answer())
                    self._put_back(attempt, connection)
                    connection = None
        except (OSError, EOFError) as error:
            self.telemetry.log("tds_engine_failed", engine=self.states[attempt.engine].name, error=repr(error))
        except MessageTooLongError:
            outcome = AttemptOutcome.OK
            tokens = codec.error(TOO_LONG, f"The result passes {self.tds.max_result_bytes} bytes") + codec.done(
                codec.DONE_ERROR
            )
            self.telemetry.count("results_too_long", "tds")
        except codec.ProtocolError as error:
            outcome = AttemptOutcome.ERROR
            self.telemetry.count("engine_bad_replies", "tds")
            self.telemetry.log("engine_reply_rejected", engine=self.states[attempt.engine].name, error=str(error))
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT if connection is not None else outcome
        except asyncio.CancelledError:
            outcome = AttemptOutcome.CANCELLED
        except Exception as error:  # noqa: BLE001 - one attempt's fault is its own
            outcome = AttemptOutcome.ERROR if connection is not None else outcome
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="tds attempt")
        if connection is not None and connection.used and outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED):
            # A task of its own: a further cancel must not cut short what frees the engine.
            self.spawn(self._free(attempt, connection, outcome))
            return
        if connection is not None:
            connection.close()
        self.core.attempt_ended(attempt, outcome, (), tokens)

    async def _connect(self, attempt: Attempt) -> _Connection | None:
        """An idle session of the engine for this database, or a new one; None: none could be had."""
        key = (attempt.engine, attempt.request.database)
        while line := self._idle.get(key):
            connection = line.pop()
            if not line:
                del self._idle[key]  # clients name the databases: what is empty is not kept
            if await connection.unpark():
                return connection
            connection.close()
        state = self.states[attempt.engine]
        try:
            async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                return await _Connection.open(
                    state.address, self.tds, attempt.request.database, self.tds.max_result_bytes
                )
        except (SessionUnavailableError, TimeoutError) as error:
            self.telemetry.log("connect_failed", engine=state.name, error=str(error))
            if isinstance(error, SessionUnavailableError) and error.numbers & SHUTTING_DOWN:
                self._drains(attempt.engine)
            return None

    def _read(self, attempt: Attempt, body: bytes) -> tuple[int, bytes | None]:
        """What a whole answer says of the attempt."""
        result = codec.read_result(body)
        numbers = {fault.number for fault in result.faults}
        if numbers & SHUTTING_DOWN:
            self._drains(attempt.engine)
            return AttemptOutcome.ERROR, None
        hard = [f for f in result.faults if f.severity > SOFT or f.number == DEADLOCK]
        if hard:
            self.telemetry.log(
                "tds_engine_failed", engine=self.states[attempt.engine].name, error=hard[0].text, number=hard[0].number
            )
            return AttemptOutcome.ERROR, None
        if result.faults:  # the statement's own: repeating it elsewhere would only fail again
            self.telemetry.count("statement_errors", "tds")
        return AttemptOutcome.OK, result.tokens

    def _put_back(self, attempt: Attempt, connection: _Connection) -> None:
        line = self._idle.setdefault((attempt.engine, attempt.request.database), deque())
        connection.park()
        line.append(connection)
        before = clock() - IDLE_S * 1000.0
        for key, others in list(self._idle.items()):
            while others and (others[0].idle_at < before or len(others) > POOL):
                others.popleft().close()
            if not others:
                del self._idle[key]
        if sum(map(len, self._idle.values())) > 8 * POOL:
            key = min(self._idle, key=lambda key: self._idle[key][0].idle_at)
            self._idle[key].popleft().close()
            if not self._idle[key]:
                del self._idle[key]

    async def _free(self, attempt: Attempt, connection: _Connection, outcome: int) -> None:
        """End the engine's work by Attention; a session that does not confirm it is closed, which ends it too."""
        try:
            if await connection.attention():
                self.telemetry.count("attentions_confirmed", "tds")
        finally:
            connection.close()
            self.core.attempt_ended(attempt, outcome)

    async def health_check(self, engine: int) -> None:
        """Log in to the engine within the connect timeout and report it by Core.health_check_completed."""
        began, state = clock(), self.states[engine]
        outcome = AttemptOutcome.OK
        try:
            async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                (await _Connection.open(state.address, self.tds, "", 65536)).close()
        except SessionUnavailableError as error:
            outcome = AttemptOutcome.CONNECT_FAILED
            if error.numbers & SHUTTING_DOWN:
                self._drains(engine)
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT
        self.core.health_check_completed(engine, outcome, clock() - began)
