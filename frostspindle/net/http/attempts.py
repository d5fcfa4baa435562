"""The protocol of one attempt at an engine: POST, polls, result pages, priority updates, and cancellation by DELETE.

A POST that may have reached an engine is never sent again. The end of an attempt is reported only when the engine can
no longer be running the query, and success only with all rows. The core chooses engines and deadlines.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from frostspindle.core import UNKNOWN_COST, Attempt, Core, MeasuredCost, clock
from frostspindle.held_memory import RESERVED_RESULT_BYTES
from frostspindle.net.http.connection_pool import (
    MAX_BROKEN_RESPONSES,
    RESPONSE_TIMEOUT_S,
    ConnectionPool,
    EngineDrainedError,
    PoolExhaustedError,
)
from frostspindle.net.http.duplicate_responses import confirmation_time_s
from frostspindle.net.http.engine_connection import ConnectionBrokenError, EngineConnection, RequestNotWrittenError
from frostspindle.net.http.engine_log import EngineLog, PollFailure
from frostspindle.net.http.load_reports import LoadReportParser
from frostspindle.net.http.replies import MAX_PAGE_BYTES, MAX_RESULT_BYTES, EngineReply, InvalidReplyError
from frostspindle.net.http.results import ResultText
from frostspindle.net.result_room import wait_for_room
from frostspindle.policy import AttemptOutcome, Idempotency
from frostspindle.pools import AttemptProgress
from frostspindle.telemetry import Telemetry

OK_STATUS = 200
PENDING_STATUS = 202
ERROR_STATUS = 500
SHED_STATUSES = (503, 504)
MAX_DELETE_ATTEMPTS = 2
CANCEL_TIMEOUT_S = 0.3  # of one DELETE
LONGER_RESULT_BYTES = MAX_RESULT_BYTES + MAX_PAGE_BYTES - RESERVED_RESULT_BYTES  # beyond what each request has
KEEP_RESULT_S = 1.0  # interval of polls while a result waits at its engine; engines keep it for 2 s
CANCEL_POLL_S = 0.05  # interval at which older connections are checked for responses


class AttemptEnd(NamedTuple):
    """The end of an attempt, in the order of the arguments of `Core.attempt_ended`."""

    outcome: int  # an AttemptOutcome
    report: tuple[float, ...] = ()  # the engine's load
    result: ResultText | None = None
    cost: MeasuredCost = UNKNOWN_COST


class ReleaseReason(StrEnum):
    """Why a cancelled query is considered ended; the values are parts of counter names."""

    DELETED = "deleted"  # its process answered the DELETE
    DELETE_WRITTEN = "delete_written"  # the complete DELETE reached a live machine
    REFUSED = "refused"  # no connection for the DELETE; the query is never sent again, so nothing waits for its end
    EXPIRED = "expired"  # not polled for so long that the engine must have dropped it


def poll_failure(error: Exception) -> PollFailure:
    """Return why a poll got no usable response, by the exception of `ConnectionPool.call`."""
    match error:
        case PoolExhaustedError():
            if error.not_attempted:
                return PollFailure.NOT_ATTEMPTED
            return PollFailure.REFUSED if error.refused else PollFailure.UNAVAILABLE
        case TimeoutError():
            return PollFailure.TIMEOUT
        case InvalidReplyError():
            return PollFailure.INVALID_RESPONSE
    return PollFailure.BROKEN


class AttemptRunner:
    """Runs attempts at HTTP engines; the state of each is in its AttemptProgress."""

    def __init__(self, core: Core, telemetry: Telemetry, load_reports: LoadReportParser, log: EngineLog) -> None:
        self.core, self.telemetry, self.load_reports, self.log = core, telemetry, load_reports, log

    def header_fields(self, attempt: Attempt, progress: AttemptProgress) -> str:
        """Return the header fields of the POST; built as it is written, as waiting for a connection takes time."""
        progress.priority = attempt.priority
        grant = f"X-Memory-Mb: {attempt.grant_mb:.3f}\r\n" if attempt.grant_mb > 0 else ""
        nonce = f"X-Nonce: {attempt.request.idempotency_key}\r\n" if attempt.request.idempotency_key else ""
        return (
            f"X-Ticket: {attempt.request.ticket}\r\nX-Queue: {attempt.class_name}\r\n"
            f"X-Max-Ms: {max(1, int(attempt.remaining_ms(clock())))}\r\n"
            f"X-Priority: {attempt.priority}\r\n{grant}{nonce}"
        )

    async def follow(
        self,
        pool: ConnectionPool,
        attempt: Attempt,
        progress: AttemptProgress,
        received: EngineReply | Exception | None = None,
    ) -> AttemptEnd:
        """Run an attempt from its POST, or from the response or error in `received`, to the last page; return its end.

        After RESET and CANCELLED the query may still be running.
        """
        if received is None:
            try:
                received = await self._post(pool, attempt, progress)
            except EngineDrainedError:
                return AttemptEnd(attempt.unsent_outcome)
            except PoolExhaustedError as error:  # nothing was written, so nothing ran
                self._log_connect_failure(pool, error)
                return AttemptEnd(AttemptOutcome.OVERLOADED if error.full else AttemptOutcome.CONNECT_FAILED)
            except (ConnectionBrokenError, InvalidReplyError, TimeoutError) as error:
                received = error
        else:
            progress.record_poll(progress.last_poll_ms, clock())
        if isinstance(received, RequestNotWrittenError):
            progress.wired[0] = False
            self._log_connect_failure(pool, received)
            return AttemptEnd(attempt.unsent_outcome)
        if isinstance(received, EngineReply):
            return await self._follow_reply(pool, attempt, progress, received)
        self._record_failure(pool, attempt, received)  # the query may be running: poll it
        progress.is_doubtful = True
        progress.was_unanswered = isinstance(received, TimeoutError)
        return await self._follow_reply(pool, attempt, progress, None)

    def _log_connect_failure(self, pool: ConnectionPool, error: Exception) -> None:
        self.telemetry.log("connect_failed", engine=pool.state.name, error=str(error))

    async def _follow_reply(
        self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress, reply: EngineReply | None
    ) -> AttemptEnd:
        """Poll until the query has ended, starting with `reply` if there is one."""
        path = f"/v1/store/{attempt.request.ticket}/"
        report: tuple[float, ...] = ()
        while True:
            if reply is None:
                if progress.priority != attempt.priority:
                    progress.priority = attempt.priority
                    await self._send_priority(pool, attempt, progress)
                reply = await self.poll(pool, attempt, path, 0, progress)
                if reply is None:
                    return AttemptEnd(AttemptOutcome.RESET, report)
            report = self.load_reports.report(reply) or report
            if reply.status != PENDING_STATUS:
                return await self._end_from(pool, attempt, path, progress, reply, report)
            note = self.load_reports.note(reply)
            if note is not None:
                self.core.report_progress(attempt, *note)
            reply = None

    async def _end_from(
        self,
        pool: ConnectionPool,
        attempt: Attempt,
        path: str,
        progress: AttemptProgress,
        reply: EngineReply,
        report: tuple[float, ...],
    ) -> AttemptEnd:
        """Return the end that a reply reports, with all rows if it succeeded."""
        if progress.is_doubtful and reply.status == ERROR_STATUS:
            # The engine is alive and does not know the query: the POST was lost, or the process has restarted.
            # The query has probably ended, but that is not proven.
            self.telemetry.count("queries_unknown")
            return AttemptEnd(AttemptOutcome.CANCELLED, report)
        if reply.status != OK_STATUS:
            return AttemptEnd(self._failure_outcome(reply), report)
        result = await self._fetch_pages(pool, attempt, path, reply, progress)
        outcome = AttemptOutcome.OK if result is not None else AttemptOutcome.ERROR
        return AttemptEnd(outcome, report, result, self.load_reports.needed(reply))

    async def _post(self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress) -> EngineReply:
        """Send the query; raise the exceptions of `ConnectionPool.call`."""
        statement = attempt.request.statement.encode()
        is_open = True
        try:
            reply = await pool.call(
                "POST",
                "/v1/store",
                lambda: self.header_fields(attempt, progress),
                statement,
                attempt,
                progress.wired,
                page=0,
                until_ms=attempt.ends_at_ms,
            )
            is_open = False
            return reply
        except (ConnectionBrokenError, InvalidReplyError, TimeoutError):
            is_open = False
            raise
        finally:
            if progress.wired[0]:
                progress.record_poll(progress.last_poll_ms, clock(), is_open)

    @staticmethod
    def _failure_outcome(reply: EngineReply) -> AttemptOutcome:
        has_never_run = reply.status in SHED_STATUSES and reply.headers.get(b"x-shed") == b"1"
        return AttemptOutcome.OVERLOADED if has_never_run else AttemptOutcome.ERROR

    def immediate_end(self, reply: EngineReply) -> AttemptEnd | None:
        """Return the end if the response to a POST is final, else None."""
        if reply.status == PENDING_STATUS or reply.pages > 1:
            return None
        report = self.load_reports.report(reply)
        if reply.status != OK_STATUS:
            return AttemptEnd(self._failure_outcome(reply), report)
        return AttemptEnd(AttemptOutcome.OK, report, ResultText([reply.body]), self.load_reports.needed(reply))

    def _record_failure(self, pool: ConnectionPool, attempt: Attempt, error: Exception) -> None:
        if isinstance(error, InvalidReplyError):
            self.telemetry.count("engine_bad_replies")
            self.telemetry.log(
                "engine_reply_rejected", engine=pool.state.name, ticket=attempt.request.ticket, error=str(error)
            )
        elif isinstance(error, ConnectionBrokenError):
            self.telemetry.count("engine_breaks")

    async def poll(
        self, pool: ConnectionPool, attempt: Attempt, path: str, number: int, progress: AttemptProgress
    ) -> EngineReply | None:
        """Poll for progress or a page, on a new connection after a broken response.

        Engines repeat responses, so a damaged one can be polled again. The last of MAX_BROKEN_RESPONSES decides: None
        for a broken connection, InvalidReplyError for a damaged response. None also if the process has ended.
        """
        broken, new_connection = 0, False
        while True:
            wired, began_ms, is_open = [False], clock(), True
            try:
                reply = await pool.call(
                    "GET",
                    f"{path}{number}",
                    wired=wired,
                    new_connection=new_connection,
                    page=number,
                    same_process=True,
                    until_ms=progress.ends_at_ms,
                )
                wired[0] = reply.status != 500  # a process that does not know the query keeps nothing running
                is_open = False
                return reply
            except PoolExhaustedError as error:
                self._log_failed_poll(pool, attempt, error)
                if error.refused or error.not_attempted:
                    return None
            except TimeoutError as error:  # no response: poll again until the attempt's deadline
                self._log_failed_poll(pool, attempt, error)
                is_open = False
                progress.was_unanswered = True
            except (ConnectionBrokenError, InvalidReplyError) as error:
                is_open = False
                self._log_failed_poll(pool, attempt, error)
                self._record_failure(pool, attempt, error)
                broken += 1
                if broken >= MAX_BROKEN_RESPONSES:
                    if isinstance(error, InvalidReplyError):
                        raise
                    return None
            finally:
                if wired[0]:  # without a connection it was no poll that keeps the query alive
                    progress.record_poll(began_ms, clock(), is_open)
            new_connection = progress.is_doubtful = True
            await asyncio.sleep(0.0 if wired[0] else 0.2)

    def _log_failed_poll(self, pool: ConnectionPool, attempt: Attempt, error: Exception) -> None:
        self.log.poll_failed(pool.state.name, attempt.request.ticket, poll_failure(error), repr(error))

    async def _fetch_pages(
        self, pool: ConnectionPool, attempt: Attempt, path: str, first: EngineReply, progress: AttemptProgress
    ) -> ResultText | None:
        """Return all rows of the result, in order; None if a page is lost."""
        pages = [first.body]
        size = len(first.body)
        longest_page = size
        has_room = False
        for number in range(1, first.pages):
            if not has_room and size + longest_page > RESERVED_RESULT_BYTES:
                if not await self._reserve_longest_result(pool, attempt, path, progress):
                    return None
                has_room = True
            reply = await self.poll(pool, attempt, path, number, progress)
            if reply is None or reply.status != 200:
                return None
            size += len(reply.body)
            if size > MAX_RESULT_BYTES:
                raise InvalidReplyError("the result is too long")
            pages.append(reply.body)
            longest_page = max(longest_page, len(reply.body))
        return ResultText(pages)

    async def _reserve_longest_result(
        self, pool: ConnectionPool, attempt: Attempt, path: str, progress: AttemptProgress
    ) -> bool:
        """Wait for room for the longest result, and meanwhile poll the engine, which keeps the pages only so long.

        Return False if the engine has lost the result.
        """
        while True:
            try:
                async with asyncio.timeout(KEEP_RESULT_S) as limit:
                    await wait_for_room(self.core.held_memory, attempt.request, LONGER_RESULT_BYTES)
                return True
            except TimeoutError:
                if not limit.expired():
                    raise
            reply = await self.poll(pool, attempt, path, 0, progress)
            if reply is None or reply.status != OK_STATUS:
                return False

    async def give_up(self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress) -> None:
        """Cancel the query at the engine and return once it can no longer be running.

        After a timeout or a broken response the process that gets the DELETE may be a successor of the one that got the
        query: a restarted machine answers 204 to an unknown id. Only a connection as old as the query proves that the
        process is the same. A query that is never sent again needs no such proof, unless its end releases the next
        request of its key.
        """
        if not progress.wired[0]:
            return
        began_ms = clock()
        reason = await self._end_query(pool, attempt, progress)
        self.telemetry.count(f"attempts_released_{reason}")
        now_ms = clock()
        self.telemetry.log(
            "attempt_released",
            request=attempt.request.number,
            ticket=attempt.request.ticket,
            attempt=attempt.number,
            engine=pool.state.name,
            reason=reason,
            waited_ms=round(now_ms - began_ms, 1),
            unpolled_ms=round(now_ms - progress.polled_until_ms, 1),
            unanswered=progress.was_unanswered,
        )

    async def _end_query(self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress) -> ReleaseReason:
        """Send the DELETE; wait for expiry if its response, or the lack of one, does not prove the end."""
        class_settings = self.core.settings.classes[attempt.request.cls]
        holds_key = bool(class_settings.in_order and attempt.request.key)
        never_resent = class_settings.idempotency == Idempotency.NON_IDEMPOTENT and not holds_key
        path = f"/v1/store/{attempt.request.ticket}"
        delete_sent = [False]  # it may have reached the engine
        for _ in range(MAX_DELETE_ATTEMPTS):
            is_repeated = delete_sent[0]
            may_be_other_process = progress.may_be_other_process(clock())
            try:
                reply = await self._delete(
                    pool, path, delete_sent, new_connection=is_repeated, oldest=may_be_other_process
                )
                if not may_be_other_process or never_resent or progress.is_same_process(reply.connection_opened_ms):
                    return ReleaseReason.DELETED
                break
            except PoolExhaustedError as error:
                if never_resent and (error.refused or error.not_attempted):
                    return ReleaseReason.REFUSED
            except (ConnectionBrokenError, TimeoutError, InvalidReplyError) as error:
                if isinstance(error, RequestNotWrittenError):
                    delete_sent[0] = is_repeated
                if is_repeated and delete_sent[0] and (never_resent or not may_be_other_process):
                    return ReleaseReason.DELETE_WRITTEN  # a live machine has the complete call but does not answer
        await self._wait_for_expiry(pool, path, progress, delete_sent)
        return ReleaseReason.EXPIRED

    async def _delete(
        self, pool: ConnectionPool, path: str, delete_sent: list[bool], new_connection: bool, oldest: bool
    ) -> EngineReply:
        return await pool.call(
            "DELETE",
            path,
            wired=delete_sent,
            within_s=CANCEL_TIMEOUT_S,
            new_connection=new_connection,
            oldest=oldest,
            same_process=True,
        )

    async def _wait_for_expiry(
        self, pool: ConnectionPool, path: str, progress: AttemptProgress, delete_sent: list[bool]
    ) -> None:
        """Return once the query has expired; send a DELETE that was not sent before on an idle connection."""
        deleted_ms = clock() if delete_sent[0] else math.inf  # without a DELETE no response ends the wait
        while (left_ms := progress.remaining_wait_ms(clock(), deleted_ms, pool.established)) > 0:
            await asyncio.sleep(min(CANCEL_POLL_S, left_ms / 1000.0))
            if delete_sent[0] or not pool.idle:
                continue
            deleted_ms = clock()
            try:
                await self._delete(pool, path, delete_sent, new_connection=False, oldest=True)
            except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
                if not delete_sent[0]:
                    deleted_ms = math.inf

    async def _send_priority(self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress) -> None:
        try:
            reply = await pool.call("PUT", f"/v1/store/{attempt.request.ticket}", body=b"%d" % attempt.priority)
            self.telemetry.count("ranked" if reply.status == 204 else "rank_failed")
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("rank_failed")
            progress.is_doubtful = True


class DirectAttempt:
    """An attempt whose POST is in flight, without a task: most attempts end with its response.

    It is the connection's waiter. It calls exactly one of `on_ended` (the response was final), `on_continued` (with a
    response that is not final, or an error) and `on_cancelled`, once.
    """

    __slots__ = (
        "runner",
        "pool",
        "attempt",
        "progress",
        "on_ended",
        "on_continued",
        "on_cancelled",
        "connection",
        "is_over",
    )
    connection: EngineConnection

    def __init__(
        self,
        runner: AttemptRunner,
        pool: ConnectionPool,
        attempt: Attempt,
        on_ended: Callable[[DirectAttempt, AttemptEnd], None],
        on_continued: Callable[[DirectAttempt, EngineReply | Exception], None],
        on_cancelled: Callable[[DirectAttempt], None],
    ) -> None:
        self.runner, self.pool, self.attempt = runner, pool, attempt
        self.progress = AttemptProgress(clock(), attempt.ends_at_ms)
        self.on_ended, self.on_continued, self.on_cancelled = on_ended, on_continued, on_cancelled
        self.is_over = False

    def send(self, connection: EngineConnection) -> None:
        """Write the POST; called once, in the turn of the event loop in which engine and connection were checked."""
        self.connection, self.attempt.task, self.progress.wired[0] = connection, self, True
        self.pool.request(
            connection,
            "POST",
            "/v1/store",
            self.runner.header_fields(self.attempt, self.progress),
            self.attempt.request.statement.encode(),
            self.attempt,
            RESPONSE_TIMEOUT_S,
            self,
            confirmation_time_s(self.attempt.remaining_ms(clock()) / 1000.0),
        )

    # Interface of ResponseWaiter.

    def done(self) -> bool:
        """Return whether it has a response or an error, or was cancelled."""
        return self.is_over

    def set_result(self, reply: EngineReply) -> None:
        """Take the response to the POST: release the connection, then call `on_ended` or `on_continued`.

        An invalid response is passed on as an InvalidReplyError, and its connection is not reused.
        """
        received: EngineReply | Exception = reply
        end: AttemptEnd | None = None
        try:
            end = self.runner.immediate_end(self.pool.check_response(self.connection, reply, 0))
        except InvalidReplyError as error:
            self.connection.is_reusable, received = False, error
        self._release_connection()
        if end is not None:
            self.on_ended(self, end)
        else:
            self.on_continued(self, received)

    def set_exception(self, error: Exception) -> None:
        """Release the connection and pass the error to `on_continued`: the engine may have the query."""
        self._release_connection()
        self.on_continued(self, error)

    def _release_connection(self) -> None:
        self.is_over, self.attempt.task = True, None  # breaks a reference cycle
        self.connection.end_call()
        self.pool.release(self.connection)

    # Interface for the driver.

    def cancel(self) -> None:
        """Cancel the attempt and call `on_cancelled`; no effect once it is over.

        The connection is kept for the outstanding response if `EngineConnection.detach` allows it, else released. A
        POST that was not completely written counts as not sent.
        """
        if not self.is_over:
            self.is_over, self.attempt.task = True, None
            if not self.connection.detach():
                self.connection.end_call()
                self.progress.wired[0] = not self.connection.has_unwritten
                self.pool.release(self.connection)
            self.progress.record_poll(self.progress.last_poll_ms, clock(), is_open=True)
            self.on_cancelled(self)
