"""The driver of TDS engines: runs attempts from the SQL batch to the final DONE.

Manages the sessions to the engines of the operator's file and cancels batches by Attention. A batch is written at most
once, and not to an engine that has begun to drain. Success is reported only with a complete response that was parsed
without errors. An engine that reports its shutdown counts as draining until it accepts logins again.
"""

from __future__ import annotations

import asyncio
import zlib
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from enum import StrEnum
from typing import NamedTuple

from frostspindle.config import HEALTH_CODES, TdsEngine, TdsSection, address
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.held_memory import RESERVED_RESULT_BYTES
from frostspindle.net import TaskDriver
from frostspindle.net.result_room import wait_for_room
from frostspindle.net.tds import codec
from frostspindle.net.tds.codec import MessageTooLongError
from frostspindle.policy import AttemptOutcome, EndpointListKind, EngineEntry, Health
from frostspindle.telemetry import Telemetry

SHUTTING_DOWN = {6005, 6006, 17142, 17147, 18401}  # error numbers of a server that stops or pauses
MAX_STATEMENT_SEVERITY = 16  # errors up to this severity are caused by the statement and returned to the client
DEADLOCK, RESULT_TOO_LONG = 1205, 50003
READ_BYTES = 16 * 1024
RESULT_COPIES = 2  # of a result while it is parsed: the message and its tokens
UNRESERVED_RESULT_BYTES = RESERVED_RESULT_BYTES // 4  # with its copy, and what the reader has buffered
ATTENTION_TIMEOUT_S = 1.0  # then the connection is closed
IDLE_TIMEOUT_S, MAX_IDLE_SESSIONS = 30.0, 16  # of one engine and database
RECONNECT_INTERVAL_S = 0.5  # login attempts at an engine that shut down


class SessionUnavailableError(Exception):
    """No session was available; nothing of the batch was written."""

    def __init__(self, text: str, numbers: Iterable[int] = ()) -> None:
        super().__init__(text)
        self.numbers = set(numbers)


class BatchEnd(StrEnum):
    """How a batch that got no complete response ended here; the values are parts of counter names."""

    ATTENTION_CONFIRMED = "attention_confirmed"
    ATTENTION_UNCONFIRMED = "attention_unconfirmed"
    CONNECTION_LOST = "connection_lost"
    INVALID_RESPONSE = "invalid_response"
    FAULT = "fault"


class _EngineProcess(NamedTuple):
    """One process of an engine: a later start, or another address, is another process."""

    address: tuple[str, int]
    since_ms: float


def _process_of(state: EngineState) -> _EngineProcess:
    return _EngineProcess(state.address, state.entry.since_ms)


class _Connection:
    """One logged-in session at an engine."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, max_bytes: int) -> None:
        self.reader, self.writer = reader, writer
        writer.transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # read at a time; asyncio's is 256 KB
        self.process: _EngineProcess | None = None  # that it leads to, once it is logged in
        self.used, self.idle_at = False, 0.0
        self.splitter = codec.PacketReassembler(max_bytes)
        self._stray_read: asyncio.Task[bytes] | None = None

    @classmethod
    async def open(cls, engine_address: tuple[str, int], tds: TdsSection, database: str, max_bytes: int) -> _Connection:
        try:
            reader, writer = await asyncio.open_connection(*engine_address, limit=READ_BYTES)
        except OSError as error:
            raise SessionUnavailableError(repr(error)) from None
        connection = cls(reader, writer, max_bytes)
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
            options = codec.read_prelogin(await self.read_message())
            if options.get(codec.O_ENCRYPTION, b"\x02")[0] not in (codec.ENCRYPT_NOT_SUP, codec.ENCRYPT_OFF):
                raise SessionUnavailableError("the engine requires encryption, which is not supported")
            self.writer.write(
                codec.packets(codec.LOGIN7, codec.login(tds.engine_user, tds.engine_password, "frostspindle", database))
            )
            result = codec.read_result(await self.read_message())
        except (OSError, EOFError, codec.ProtocolError) as error:
            raise SessionUnavailableError(f"login failed: {error!r}") from None
        if not result.accepted or result.errors:
            raise SessionUnavailableError(
                "login rejected: " + "; ".join(token.text for token in result.errors),
                [token.number for token in result.errors],
            )

    async def read_message(self, make_room: Callable[[], Awaitable[None]] | None = None) -> bytes:
        """Read the next complete message; before it outgrows the room that each request has, await `make_room`."""
        while True:
            if make_room is not None and self.splitter.held_bytes > UNRESERVED_RESULT_BYTES:
                await make_room()
                make_room = None
            data = await self.reader.read(READ_BYTES)
            if not data:
                raise EOFError("the engine ended its connection")
            for message in self.splitter.feed(data):
                if message.kind != codec.RESULT:
                    raise codec.ProtocolError(f"unexpected message type {message.kind} from an engine")
                return message.body

    def request(self, statement: str) -> None:
        """Write the batch; a session that was used before is reset."""
        status = codec.RESET_CONNECTION if self.used else 0
        self.used = True
        self.writer.write(codec.packets(codec.BATCH, codec.batch(statement), status=status))

    async def attention(self) -> bool:
        """Cancel the running batch; return whether the engine confirmed it."""
        try:
            async with asyncio.timeout(ATTENTION_TIMEOUT_S):
                self.writer.write(codec.packets(codec.ATTENTION, b""))
                while True:
                    result = codec.read_result(await self.read_message())
                    if result.status & codec.DONE_ATTN:
                        return True
        except (OSError, EOFError, TimeoutError, codec.ProtocolError):
            return False

    def set_idle(self) -> None:
        """Mark the session idle; any input or the end of the stream makes it stale."""
        self.idle_at = clock()
        self._stray_read = asyncio.ensure_future(self.reader.read(1))

    async def reuse(self) -> bool:
        """Reuse the idle session; return False if stale, as stray input must not be read as the next response."""
        assert self._stray_read is not None
        stray, self._stray_read = self._stray_read, None
        is_recent = not stray.done() and clock() - self.idle_at < IDLE_TIMEOUT_S * 1000.0
        stray.cancel()
        await asyncio.wait((stray,))
        return is_recent and stray.cancelled()

    def close(self) -> None:
        if self._stray_read is not None:
            self._stray_read.cancel()
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
        self._watched_engines: set[int] = set()
        self._version = 0

    # The operator's engine list.

    def configure(self, engines: Iterable[TdsEngine], list_kind: int = EndpointListKind.DELTA) -> None:
        """Apply the operator's list, at the start and on SIGHUP; engines no longer listed are removed."""
        changed, named = [], set()
        for engine in engines:
            number = self._engine_id(engine.name)
            named.add(number)
            state = self._state(engine, number)
            known_state = self.states.get(number)
            if known_state is None or (known_state.entry, known_state.address) != (state.entry, state.address):
                changed.append(state)
        changed += [
            self._with_health(unlisted_state, Health.GONE)
            for engine_id, unlisted_state in self.states.items()
            if engine_id not in named and unlisted_state.entry.health != Health.GONE
        ]
        self._publish(changed, list_kind)

    def _state(self, engine: TdsEngine, number: int) -> EngineState:
        known_state = self.states.get(number)
        since_ms = known_state.entry.since_ms if known_state else 0.0
        if (
            known_state is not None
            and known_state.entry.health == Health.GONE
            and HEALTH_CODES[engine.state] == Health.READY
        ):
            since_ms = clock()  # it returns with a cold cache
        health = HEALTH_CODES[engine.state]
        if health == Health.READY and self._reports_shutdown(number, engine):
            health = Health.DRAINING  # by its own word, until it accepts log-ins again
        entry = EngineEntry(number, 0, self.kinds[engine.cores, engine.memory_mb], 0, health, 1.0, since_ms)
        return EngineState(entry, engine.name, address(engine.dial, engine.name), self)

    def _reports_shutdown(self, number: int, engine: TdsEngine) -> bool:
        """Return whether the process at an engine's address has told that it shuts down."""
        known_state = self.states.get(number)
        if known_state is None or known_state.address != address(engine.dial, engine.name):
            return False
        return number in self._watched_engines and known_state.entry.health == Health.DRAINING

    def _with_health(self, state: EngineState, health: int, since_ms: float | None = None) -> EngineState:
        entry = state.entry._replace(health=health, since_ms=state.entry.since_ms if since_ms is None else since_ms)
        return EngineState(entry, state.name, state.address, self)

    def _publish(self, states: list[EngineState], list_kind: int = EndpointListKind.DELTA) -> None:
        if states:
            self._version += 1
            self.states.update({state.entry.engine: state for state in states})
            self.core.update_endpoints(self, states, list_kind, self._version)

    def _engine_id(self, name: str) -> int:
        if name not in self._names:
            number = zlib.crc32(b"tds " + name.encode())
            while number in self._names.values() or number in self.core.engines:
                number = (number + 1) & 0xFFFFFFFF
            self._names[name] = number
        return self._names[name]

    def _mark_draining(self, number: int) -> None:
        """Mark an engine that reports its shutdown as draining, until it accepts logins again."""
        state = self.states[number]
        if state.entry.health == Health.READY:
            self.telemetry.count("shutdowns_heard", "tds")
            self._publish([self._with_health(state, Health.DRAINING)])
        if number not in self._watched_engines:
            self._watched_engines.add(number)
            self.spawn(self._watch(number))

    async def _watch(self, number: int) -> None:
        """Wait until an engine that shut down accepts logins again; it then counts as just started."""
        try:
            while self.states[number].entry.health == Health.DRAINING:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                state = self.states[number]
                try:
                    async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                        connection = await _Connection.open(state.address, self.tds, "", 65536)
                except (SessionUnavailableError, TimeoutError):
                    continue
                connection.close()
                if self.states[number].entry.health == Health.DRAINING:
                    self._publish([self._with_health(self.states[number], Health.READY, clock())])
        finally:
            self._watched_engines.discard(number)

    # The core's interface.

    def update_engine(self, engine: EngineState) -> None:
        """Close the idle sessions of an engine's process that was removed or replaced by another one."""
        is_gone = engine.entry.health == Health.GONE
        for key in [key for key in self._idle if key[0] == engine.entry.engine]:
            if is_gone or self._idle[key][0].process != _process_of(engine):
                for connection in self._idle.pop(key):
                    connection.close()

    def update_priority(self, attempt: Attempt) -> None:
        """Do nothing: TDS cannot change a priority."""

    async def close(self) -> None:
        """Cancel all attempts, wait for their ends, and close the idle sessions."""
        await super().close()
        for idle in self._idle.values():
            for connection in idle:
                connection.close()

    # One attempt.

    async def attempt(self, attempt: Attempt) -> None:
        """Run an attempt to its end and report it once by Core.attempt_ended.

        Errors up to MAX_STATEMENT_SEVERITY are returned to the client; a result over `max_result_bytes` is replaced by
        an ERROR token. After a timeout or cancellation the batch is first cancelled by Attention. A batch whose
        connection broke may still be running, and no protocol step shows when it has ended.
        """
        connection: _Connection | None = None
        was_written = False
        outcome, tokens = AttemptOutcome.CONNECT_FAILED, None
        batch_end: BatchEnd | None = None
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                connection = await self._connect(attempt)
                await self.core.catch_up()
                # The engine may have begun to drain, or been replaced, during the wait for a connection.
                if connection is not None and not self._may_send(attempt, connection):
                    outcome = attempt.unsent_outcome
                elif connection is not None:
                    outcome, was_written = AttemptOutcome.RESET, True
                    connection.request(attempt.request.statement)
                    self.core.count_written(attempt)
                    body = await connection.read_message(lambda: self._reserve_longest_result(attempt))
                    outcome, tokens = self._interpret(attempt, body)
                    self._return_to_pool(attempt, connection)
                    connection = None
        except (OSError, EOFError) as error:
            batch_end = BatchEnd.CONNECTION_LOST
            self.telemetry.log("tds_engine_failed", engine=self.states[attempt.engine].name, error=repr(error))
        except MessageTooLongError:
            outcome = AttemptOutcome.OK
            tokens = codec.error(RESULT_TOO_LONG, f"The result passes {self.tds.max_result_bytes} bytes") + codec.done(
                codec.DONE_ERROR
            )
            self.telemetry.count("results_too_long", "tds")
        except codec.ProtocolError as error:
            outcome = AttemptOutcome.ERROR
            batch_end = BatchEnd.INVALID_RESPONSE
            self.telemetry.count("engine_bad_replies", "tds")
            self.telemetry.log("engine_reply_rejected", engine=self.states[attempt.engine].name, error=str(error))
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT if was_written else outcome
        except asyncio.CancelledError:
            outcome = AttemptOutcome.CANCELLED
        except Exception as error:  # noqa: BLE001 - a fault must not affect other attempts
            outcome = AttemptOutcome.ERROR if was_written else outcome
            batch_end = BatchEnd.FAULT
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="tds attempt")
        if connection is not None and was_written and outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED):
            # A separate task: another cancel must not interrupt it before the engine is free.
            self.spawn(self._free(attempt, connection, outcome))
            return
        if connection is not None:
            connection.close()
        may_still_run = was_written and batch_end is not None
        if may_still_run:
            self._log_batch_end(attempt, batch_end)
        self.core.attempt_ended(attempt, outcome, (), tokens, may_still_run=may_still_run)

    def _log_batch_end(self, attempt: Attempt, reason: BatchEnd) -> None:
        self.telemetry.count(f"batches_released_{reason}", "tds")
        self.telemetry.log(
            "attempt_released",
            request=attempt.request.number,
            ticket=attempt.request.ticket,
            attempt=attempt.number,
            engine=self.states[attempt.engine].name,
            reason=reason,
        )

    def _may_send(self, attempt: Attempt, connection: _Connection) -> bool:
        return self._leads_to_current(attempt.engine, connection) and self.core.may_send(attempt)

    def _leads_to_current(self, engine: int, connection: _Connection) -> bool:
        """Return whether a session leads to the engine's present process."""
        return connection.process == _process_of(self.states[engine])

    async def _reserve_longest_result(self, attempt: Attempt) -> None:
        """Wait for room for the longest result; the engine waits meanwhile, as nothing more is read."""
        size = RESULT_COPIES * self.tds.max_result_bytes
        await wait_for_room(self.core.held_memory, attempt.request, size)

    async def _connect(self, attempt: Attempt) -> _Connection | None:
        """Return an idle session for the engine and database, or a new one; None if neither is available."""
        key = (attempt.engine, attempt.request.database)
        while idle := self._idle.get(key):
            connection = idle.pop()
            if not idle:
                del self._idle[key]  # clients choose database names: keep no empty entries
            if await connection.reuse():
                return connection
            connection.close()
        state = self.states[attempt.engine]
        try:
            async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                connection = await _Connection.open(
                    state.address, self.tds, attempt.request.database, self.tds.max_result_bytes
                )
                connection.process = _process_of(state)
                return connection
        except (SessionUnavailableError, TimeoutError) as error:
            self.telemetry.log("connect_failed", engine=state.name, error=str(error))
            if isinstance(error, SessionUnavailableError) and error.numbers & SHUTTING_DOWN:
                self._mark_draining(attempt.engine)
            return None

    def _interpret(self, attempt: Attempt, body: bytes) -> tuple[int, bytes | None]:
        """Return the outcome of a complete response, and its tokens for the client."""
        result = codec.read_result(body)
        numbers = {fault.number for fault in result.errors}
        if numbers & SHUTTING_DOWN:
            self._mark_draining(attempt.engine)
            return AttemptOutcome.ERROR, None
        engine_errors = [
            error_token
            for error_token in result.errors
            if error_token.severity > MAX_STATEMENT_SEVERITY or error_token.number == DEADLOCK
        ]
        if engine_errors:
            self.telemetry.log(
                "tds_engine_failed",
                engine=self.states[attempt.engine].name,
                error=engine_errors[0].text,
                number=engine_errors[0].number,
            )
            return AttemptOutcome.ERROR, None
        if result.errors:  # caused by the statement: it would fail on other engines too
            self.telemetry.count("statement_errors", "tds")
        return AttemptOutcome.OK, result.tokens

    def _return_to_pool(self, attempt: Attempt, connection: _Connection) -> None:
        if not self._leads_to_current(attempt.engine, connection):
            connection.close()
            return
        idle = self._idle.setdefault((attempt.engine, attempt.request.database), deque())
        connection.set_idle()
        idle.append(connection)
        before = clock() - IDLE_TIMEOUT_S * 1000.0
        for key, others in list(self._idle.items()):
            while others and (others[0].idle_at < before or len(others) > MAX_IDLE_SESSIONS):
                others.popleft().close()
            if not others:
                del self._idle[key]
        if sum(map(len, self._idle.values())) > 8 * MAX_IDLE_SESSIONS:
            key = min(self._idle, key=lambda key: self._idle[key][0].idle_at)
            self._idle[key].popleft().close()
            if not self._idle[key]:
                del self._idle[key]

    async def _free(self, attempt: Attempt, connection: _Connection, outcome: int) -> None:
        """Cancel the batch by Attention and close the session; without a confirmation it may still be running."""
        batch_end = BatchEnd.ATTENTION_UNCONFIRMED
        try:
            if await connection.attention():
                batch_end = BatchEnd.ATTENTION_CONFIRMED
                self.telemetry.count("attentions_confirmed", "tds")
        finally:
            connection.close()
            self._log_batch_end(attempt, batch_end)
            may_still_run = batch_end is BatchEnd.ATTENTION_UNCONFIRMED
            self.core.attempt_ended(attempt, outcome, may_still_run=may_still_run)

    async def health_check(self, engine: int) -> None:
        """Log in to the engine within the connect timeout and report the outcome by Core.health_check_completed."""
        began_ms, state = clock(), self.states[engine]
        outcome = AttemptOutcome.OK
        try:
            async with asyncio.timeout(self.core.settings.connect_timeout_ms / 1000.0):
                (await _Connection.open(state.address, self.tds, "", 65536)).close()
        except SessionUnavailableError as error:
            outcome = AttemptOutcome.CONNECT_FAILED
            if error.numbers & SHUTTING_DOWN:
                self._mark_draining(engine)
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT
        self.core.health_check_completed(engine, outcome, clock() - began_ms)
