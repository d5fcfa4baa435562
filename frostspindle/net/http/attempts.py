"""The protocol of one attempt at an engine: POST, polls, result pages and priority updates.

A POST that may have reached an engine is never sent again. Success is reported only with all rows; an end without proof
is reported as one after which the query may still be running, and query_cancellation.py then waits for its end. The
core chooses engines and deadlines.
"""

from __future__ import annotations

import asyncio

from frostspindle.core import Attempt, Core, clock
from frostspindle.held_memory import RESERVED_RESULT_BYTES
from frostspindle.net.http.connection_pool import MAX_BROKEN_RESPONSES, EngineDrainedError, PoolExhaustedError
from frostspindle.net.http.engine_call import EngineCall
from frostspindle.net.http.engine_connection import ConnectionBrokenError, RequestNotWrittenError
from frostspindle.net.http.engine_log import EngineLog, PollFailure
from frostspindle.net.http.engine_query import STORE_PATH, AttemptEnd, EngineQuery
from frostspindle.net.http.load_reports import LoadReportParser
from frostspindle.net.http.replies import MAX_PAGE_BYTES, MAX_RESULT_BYTES, EngineReply, InvalidReplyError
from frostspindle.net.http.results import ResultText
from frostspindle.net.result_room import wait_for_room
from frostspindle.policy import AttemptOutcome
from frostspindle.query_lifetime import UNCONFIRMED_POST_LIMIT_MS, QueryLifetime
from frostspindle.telemetry import Telemetry

OK_STATUS = 200
PENDING_STATUS = 202
ERROR_STATUS = 500
PRIORITY_STATUS = 204  # of the response to a priority that was taken
LONGER_RESULT_BYTES = MAX_RESULT_BYTES + MAX_PAGE_BYTES - RESERVED_RESULT_BYTES  # beyond what each request has
KEEP_RESULT_S = 1.0  # interval of polls while a result waits at its engine; engines keep it for 2 s
POLL_RETRY_S = 0.2  # delay after a poll that was not written


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
    """Runs attempts at HTTP engines; the state of each is in its EngineQuery."""

    def __init__(self, core: Core, telemetry: Telemetry, load_reports: LoadReportParser, log: EngineLog) -> None:
        self.core, self.telemetry, self.load_reports, self.log = core, telemetry, load_reports, log

    def post_call(self, attempt: Attempt, lifetime: QueryLifetime) -> EngineCall:
        """Return the call that sends a query."""
        return EngineCall(
            "POST",
            STORE_PATH,
            attempt.request.statement.encode(),
            lambda: self._header_fields(attempt, lifetime),
            late_s=UNCONFIRMED_POST_LIMIT_MS / 1000.0,
            page=0,
            until_ms=attempt.ends_at_ms,
            sending=attempt,
        )

    @staticmethod
    def _header_fields(attempt: Attempt, lifetime: QueryLifetime) -> str:
        """Return the header fields of the POST; built as it is written, as waiting for a connection takes time."""
        lifetime.priority = attempt.priority
        grant = f"X-Memory-Mb: {attempt.grant_mb:.3f}\r\n" if attempt.grant_mb > 0 else ""
        nonce = f"X-Nonce: {attempt.request.idempotency_key}\r\n" if attempt.request.idempotency_key else ""
        return (
            f"X-Ticket: {attempt.request.ticket}\r\nX-Queue: {attempt.class_name}\r\n"
            f"X-Max-Ms: {max(1, int(attempt.remaining_ms(clock())))}\r\n"
            f"X-Priority: {attempt.priority}\r\n{grant}{nonce}"
        )

    async def follow(self, query: EngineQuery, received: EngineReply | Exception | None = None) -> AttemptEnd:
        """Run an attempt from its POST, or from the response or error in `received`, to the last page; return its end.

        Raise InvalidReplyError if responses stay invalid; the query may still be running then.
        """
        if received is None:
            try:
                received = await self._post(query)
            except EngineDrainedError:
                return AttemptEnd(query.attempt.unsent_outcome)
            except PoolExhaustedError as error:  # nothing was written, so nothing ran
                self._log_connect_failure(query, error)
                return AttemptEnd(AttemptOutcome.OVERLOADED if error.full else AttemptOutcome.CONNECT_FAILED)
            except (ConnectionBrokenError, InvalidReplyError, TimeoutError) as error:
                received = error
        if isinstance(received, RequestNotWrittenError):
            query.lifetime.was_written = False
            self._log_connect_failure(query, received)
            return AttemptEnd(query.attempt.unsent_outcome)
        if isinstance(received, EngineReply):
            return await self._follow_reply(query, received)
        self._record_failure(query, received)  # the query may be running: poll it
        query.lifetime.was_unanswered = isinstance(received, TimeoutError)
        return await self._follow_reply(query, None)

    async def _post(self, query: EngineQuery) -> EngineReply:
        """Send the query; raise the exceptions of `ConnectionPool.call`."""
        call = self.post_call(query.attempt, query.lifetime)
        is_abandoned = False
        try:
            reply = await query.pool.call(call)
        except asyncio.CancelledError:
            is_abandoned = True
            raise
        finally:
            if call.was_written:
                query.record_post(call, clock(), is_abandoned)
        query.lifetime.record_post_answered()
        return reply

    def _log_connect_failure(self, query: EngineQuery, error: Exception) -> None:
        self.telemetry.log("connect_failed", engine=query.pool.state.name, error=str(error))

    async def _follow_reply(self, query: EngineQuery, reply: EngineReply | None) -> AttemptEnd:
        """Poll until the query has ended, starting with `reply`, the response to the POST, if there is one."""
        report: tuple[float, ...] = ()
        while True:
            if reply is None:
                await self._update_priority(query)
                reply = await self.poll(query, 0)
                if reply is None:
                    return AttemptEnd(AttemptOutcome.RESET, report, may_still_run=True)
            report = self.load_reports.report(reply) or report
            if reply.status != PENDING_STATUS:
                return await self._end_from(query, reply, report)
            note = self.load_reports.note(reply)
            if note is not None:
                self.core.report_progress(query.attempt, *note)
            reply = None

    async def _end_from(self, query: EngineQuery, reply: EngineReply, report: tuple[float, ...]) -> AttemptEnd:
        """Return the end that a reply reports, with all rows if it succeeded."""
        if reply.status != OK_STATUS:
            return self._failure(query, reply, report)
        result = await self._fetch_pages(query, reply)
        outcome = AttemptOutcome.OK if result is not None else AttemptOutcome.ERROR
        return AttemptEnd(outcome, report, result, self.load_reports.needed(reply))

    def _failure(self, query: EngineQuery, reply: EngineReply, report: tuple[float, ...]) -> AttemptEnd:
        """Return the end that an error reports."""
        if reply.may_be_copy:
            return AttemptEnd(AttemptOutcome.ERROR, report, may_still_run=True)
        if not query.is_from_its_process(reply):
            # The process does not know the query: the POST was lost, or this is not the one that has it.
            self.telemetry.count("queries_unknown")
            return AttemptEnd(AttemptOutcome.CANCELLED, report, may_still_run=True)
        if reply.status == ERROR_STATUS:
            return AttemptEnd(AttemptOutcome.ERROR, report)
        if reply.headers.get(b"x-shed") == b"1":
            return AttemptEnd(AttemptOutcome.OVERLOADED, report)
        # Without X-Shed the protocol gives 503 and 504 no meaning.
        return AttemptEnd(AttemptOutcome.ERROR, report, may_still_run=True)

    def immediate_end(self, query: EngineQuery, reply: EngineReply) -> AttemptEnd | None:
        """Return the end if the response to a POST is final, else None."""
        if reply.status == PENDING_STATUS or reply.pages > 1:
            return None
        report = self.load_reports.report(reply)
        if reply.status != OK_STATUS:
            return self._failure(query, reply, report)
        return AttemptEnd(AttemptOutcome.OK, report, ResultText([reply.body]), self.load_reports.needed(reply))

    def _record_failure(self, query: EngineQuery, error: Exception) -> None:
        if isinstance(error, InvalidReplyError):
            self.telemetry.count("engine_bad_replies")
            self.telemetry.log(
                "engine_reply_rejected", engine=query.pool.state.name, ticket=query.ticket, error=str(error)
            )
        elif isinstance(error, ConnectionBrokenError):
            self.telemetry.count("engine_breaks")

    async def poll(self, query: EngineQuery, number: int) -> EngineReply | None:
        """Poll for progress or a page, on a new connection after a broken response.

        Engines repeat responses, so a damaged one can be polled again. The last of MAX_BROKEN_RESPONSES decides: None
        for a broken connection, InvalidReplyError for a damaged response. None also if no connection can be opened.
        """
        broken, is_repeated = 0, False
        while True:
            call = self._poll_call(query, number, is_repeated)
            try:
                return await self._ask(query, call)
            except PoolExhaustedError as error:
                self._log_failed_poll(query, error)
                if error.refused or error.not_attempted:
                    return None
            except TimeoutError as error:  # no response: poll again until the attempt's deadline
                self._log_failed_poll(query, error)
                query.lifetime.was_unanswered = True
            except (ConnectionBrokenError, InvalidReplyError) as error:
                self._log_failed_poll(query, error)
                self._record_failure(query, error)
                broken += 1
                if broken >= MAX_BROKEN_RESPONSES:
                    if isinstance(error, InvalidReplyError):
                        raise
                    return None
            is_repeated = True
            await asyncio.sleep(0.0 if call.was_written else POLL_RETRY_S)

    @staticmethod
    def _poll_call(query: EngineQuery, number: int, is_repeated: bool) -> EngineCall:
        return EngineCall(
            "GET",
            f"{query.path}/{number}",
            page=number,
            until_ms=query.lifetime.ends_at_ms,
            new_connection=is_repeated,
            must_reach_process=True,
            query=query.lifetime if query.pool.is_retired else None,
        )

    @staticmethod
    async def _ask(query: EngineQuery, call: EngineCall) -> EngineReply:
        """Make a call that keeps the query alive, and record it; raise the exceptions of `ConnectionPool.call`."""
        is_abandoned = False
        is_known = True
        try:
            reply = await query.pool.call(call)
            is_known = reply.status != ERROR_STATUS
            if reply.status in (OK_STATUS, PENDING_STATUS):
                query.lifetime.record_known(reply.connection)
            return reply
        except asyncio.CancelledError:
            is_abandoned = True
            raise
        finally:
            # A process that does not know the query keeps nothing running.
            if call.was_written and is_known:
                query.lifetime.record_call(call.written_ms, call.may_arrive_until_ms(clock(), is_abandoned))

    def _log_failed_poll(self, query: EngineQuery, error: Exception) -> None:
        self.log.poll_failed(query.pool.state.name, query.ticket, poll_failure(error), repr(error))

    async def _fetch_pages(self, query: EngineQuery, first: EngineReply) -> ResultText | None:
        """Return all rows of the result, in order; None if a page is lost."""
        pages = [first.body]
        size = len(first.body)
        longest_page = size
        has_room = False
        for number in range(1, first.pages):
            if not has_room and size + longest_page > RESERVED_RESULT_BYTES:
                if not await self._reserve_longest_result(query):
                    return None
                has_room = True
            reply = await self.poll(query, number)
            if reply is None or reply.status != OK_STATUS:
                return None
            size += len(reply.body)
            if size > MAX_RESULT_BYTES:
                raise InvalidReplyError("the result is too long")
            pages.append(reply.body)
            longest_page = max(longest_page, len(reply.body))
        return ResultText(pages)

    async def _reserve_longest_result(self, query: EngineQuery) -> bool:
        """Wait for room for the longest result, and meanwhile poll the engine, which keeps the pages only so long.

        Return False if the engine has lost the result.
        """
        while True:
            try:
                async with asyncio.timeout(KEEP_RESULT_S) as limit:
                    await wait_for_room(self.core.held_memory, query.attempt.request, LONGER_RESULT_BYTES)
                return True
            except TimeoutError:
                if not limit.expired():
                    raise
            reply = await self.poll(query, 0)
            if reply is None or reply.status != OK_STATUS:
                return False

    async def _update_priority(self, query: EngineQuery) -> None:
        """Send the attempt's priority if it has changed."""
        attempt, lifetime = query.attempt, query.lifetime
        if lifetime.priority == attempt.priority:
            return
        lifetime.priority = attempt.priority
        call = EngineCall("PUT", query.path, b"%d" % attempt.priority)
        try:
            reply = await self._ask(query, call)
            self.telemetry.count("ranked" if reply.status == PRIORITY_STATUS else "rank_failed")
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("rank_failed")
