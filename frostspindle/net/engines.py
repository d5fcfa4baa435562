"""The driver of engines that speak the platform's HTTP protocol.

Maps engine numbers to connection pools, and reports the end of each attempt exactly once, not before the engine has
stopped the query. An engine that is listed with a later start or another address gets a new pool for new queries; the
list proves no end of a query, so open ones keep theirs. The protocol of an attempt is in net/http/attempts.py; the core
chooses engines and deadlines.
"""

from __future__ import annotations

import asyncio

from frostspindle import pools
from frostspindle.config import Config
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.net import TaskDriver
from frostspindle.net.http.attempts import OK_STATUS, PENDING_STATUS, AttemptRunner
from frostspindle.net.http.connection_pool import ConnectionPool, PoolExhaustedError
from frostspindle.net.http.direct_attempt import DirectAttempt
from frostspindle.net.http.engine_call import RESPONSE_TIMEOUT_S, EngineCall
from frostspindle.net.http.engine_connection import ConnectionBrokenError
from frostspindle.net.http.engine_log import EngineCloseReason, EngineLog, RetirementReason
from frostspindle.net.http.engine_query import STORE_PATH, AttemptEnd, EngineQuery
from frostspindle.net.http.load_reports import LoadReportParser
from frostspindle.net.http.query_cancellation import CANCEL_TIMEOUT_S, QueryCancellation, ReleaseReason
from frostspindle.net.http.replies import EngineReply, InvalidReplyError
from frostspindle.policy import AttemptOutcome, Health, Idempotency
from frostspindle.query_lifetime import QueryLifetime
from frostspindle.telemetry import Telemetry

IDLE_SWEEP_S = 1.0  # interval at which idle connections are checked
HEALTH_CHECK_TIMEOUT_S = 0.3


def _retirement_reason(before: EngineState, now: EngineState) -> RetirementReason:
    if now.entry.health == Health.GONE:
        return RetirementReason.REMOVED
    return RetirementReason.RESTARTED if before.address == now.address else RetirementReason.MOVED


class HttpEngines(TaskDriver):
    """The driver of HTTP engines."""

    has_shared_versions = True  # of the engine list, from the event bus

    def __init__(self, config: Config, core: Core, telemetry: Telemetry) -> None:
        super().__init__(core)
        self.telemetry = telemetry
        self.log = EngineLog(telemetry)
        self.loop = asyncio.get_running_loop()
        self.idle_s = pools.idle_timeout_ms(config.idle_ms) / 1000.0
        self.sockets = config.limits.sockets
        self.share_descriptors(False)
        self.opening = self.established = self.waiters = 0
        self.load_reports = LoadReportParser(telemetry, core.settings.load_report_columns)
        self.runner = AttemptRunner(core, telemetry, self.load_reports, self.log)
        self.pools: dict[int, ConnectionPool] = {}
        self.retired: set[ConnectionPool] = set()  # pools whose connections are not all closed yet
        self._idle_timer = self.loop.call_later(IDLE_SWEEP_S, self._close_idle)

    def share_descriptors(self, is_sharing: bool) -> None:
        """Set the connection limits; while two processes serve, they share the descriptors."""
        self.max_connections, self.max_per_engine = pools.connection_limits(self.sockets, is_sharing)

    @property
    def connections(self) -> int:
        """Number of connections to all engines, including those being opened."""
        return self.established + self.opening

    def may_open(self, pool: ConnectionPool) -> bool:
        """Return whether one more connection may be opened; at the total limit, close an idle one."""
        if self.connections < self.max_connections:
            return len(pool.established) + pool.opening < self.max_per_engine
        self.reclaim_idle(pool)
        return False

    @property
    def all_pools(self) -> list[ConnectionPool]:
        """The pools of the listed engines, and the retired ones that still have connections or queries."""
        return [*self.pools.values(), *self.retired]

    def has_other_engine(self, pool: ConnectionPool) -> bool:
        """Return whether another engine is listed with the address of a retired pool."""
        return any(
            other.state.address == pool.state.address and other.state.name != pool.state.name
            for other in self.pools.values()
        )

    def reclaim_idle(self, pool: ConnectionPool) -> None:
        """Close an idle connection of another engine; the loop frees its descriptor later."""
        if pool_with_idle := next(
            (candidate for candidate in self.all_pools if candidate.idle and candidate is not pool),
            None,
        ):
            pool_with_idle.idle[0].drop(EngineCloseReason.MAKE_ROOM)

    def _close_idle(self) -> None:
        self._idle_timer = self.loop.call_later(IDLE_SWEEP_S, self._close_idle)
        before = self.loop.time() - self.idle_s
        for pool in self.all_pools:
            while pool.idle and pool.idle[0].idle_since_s < before:
                pool.idle.pop(0).drop(EngineCloseReason.IDLE)
        self.retired = {pool for pool in self.retired if pool.established or pool.open_queries}

    # The core's interface.

    def update_engine(self, engine: EngineState) -> None:
        """Create, update or retire the connection pool of a listed engine.

        An engine with a different address or a later start may be a new process: it gets a new pool, so that no new
        query is sent on a connection to the previous process.
        """
        number = engine.entry.engine
        pool = self.pools.get(number)
        restarted = pool is not None and (
            pool.state.address != engine.address or engine.entry.since_ms > pool.state.entry.since_ms
        )
        if pool is not None and (restarted or engine.entry.health == Health.GONE):
            del self.pools[number]
            reason = _retirement_reason(pool.state, engine)
            self.log.connections_retired(engine.name, reason, len(pool.established), len(pool.idle))
            pool.retire()
            self.retired.add(pool)
            pool = None
        if pool is not None:
            pool.state = engine
        elif engine.entry.health != Health.GONE:
            self.pools[number] = ConnectionPool(self, engine)

    def update_priority(self, attempt: Attempt) -> None:
        """Do nothing: the priority is sent before the next poll, within 250 ms; this saves a connection."""

    async def close(self) -> None:
        """Cancel all attempts, wait until their ends are reported, and abort all connections."""
        self._idle_timer.cancel()
        for pool in self.all_pools:
            for connection in list(pool.established):
                if isinstance(connection.waiter, DirectAttempt):
                    connection.waiter.cancel()
        await super().close()
        for pool in self.all_pools:
            for connection in list(pool.established):
                connection.drop(EngineCloseReason.EXITING)

    # One attempt.

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the attempt on an idle connection, without a task, if more than RESPONSE_TIMEOUT_S remain."""
        pool = self.pools.get(attempt.engine)
        if pool is None or not pool.idle or self.left_s(attempt) <= RESPONSE_TIMEOUT_S:
            super().start_attempt(attempt)
            return
        if (connection := pool.take()) is None:
            super().start_attempt(attempt)
        elif self.core.may_send(attempt):
            query = self._new_query(pool, attempt)
            DirectAttempt(self.runner, query, self._on_ended, self._on_continued, self._on_cancelled).send(connection)
        else:
            pool.release(connection)
            self.core.attempt_ended(attempt, attempt.unsent_outcome)

    @staticmethod
    def _new_query(pool: ConnectionPool, attempt: Attempt) -> EngineQuery:
        pool.query_started()
        return EngineQuery(pool, attempt, QueryLifetime(clock(), attempt.ends_at_ms))

    def _on_ended(self, query: EngineQuery, end: AttemptEnd) -> None:
        self.core.attempt_ended(query.attempt, end.outcome, end.report, end.result, end.cost, end.may_still_run)
        query.give_up_post()
        query.pool.query_ended()

    def _on_continued(self, direct: DirectAttempt, received: EngineReply | Exception) -> None:
        """Continue an attempt in a task, as the response to its POST did not end it."""
        query = direct.query
        query.attempt.task = task = self.spawn(self._follow(query, received))
        # A task that is cancelled before its first step never runs, but the engine has the query.
        task.add_done_callback(lambda task: self._on_cancelled(query) if task.cancelled() else None)

    def _on_cancelled(self, query: EngineQuery) -> None:
        self.spawn(self._cancel(query, AttemptEnd(AttemptOutcome.CANCELLED, may_still_run=True)))

    async def attempt(self, attempt: Attempt) -> None:
        """Run an attempt to its end and report it once by Core.attempt_ended."""
        pool = self.pools.get(attempt.engine)
        if pool is None:
            self.core.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
        else:
            await self._follow(self._new_query(pool, attempt))

    async def _follow(self, query: EngineQuery, received: EngineReply | Exception | None = None) -> None:
        """Follow a query to its end, from its POST or, if that was sent without a task, from what was received for it.

        If the engine may still be running the query, another task stops it there before the end is reported.
        """
        end = await self._end_of(query, received)
        if end.may_still_run:
            # A separate task: another cancel must not interrupt it before the engine is free.
            self.spawn(self._cancel(query, end))
        else:
            self._on_ended(query, end)

    async def _end_of(self, query: EngineQuery, received: EngineReply | Exception | None) -> AttemptEnd:
        """Return the end of a query, also after a timeout, a cancellation or a fault."""
        attempt = query.attempt
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                return await self.runner.follow(query, received)
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT if query.lifetime.was_written else attempt.unsent_outcome
        except asyncio.CancelledError:
            outcome = AttemptOutcome.CANCELLED
        except InvalidReplyError as error:
            outcome = AttemptOutcome.ERROR
            self.telemetry.count("engine_bad_replies")
            self.telemetry.log(
                "engine_reply_rejected", engine=query.pool.state.name, ticket=query.ticket, error=str(error)
            )
        except Exception as error:  # noqa: BLE001 - a fault must not affect other attempts
            outcome = AttemptOutcome.ERROR
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="attempt", ticket=query.ticket)
        return AttemptEnd(outcome, may_still_run=True)

    async def _cancel(self, query: EngineQuery, end: AttemptEnd) -> None:
        """Cancel a query at its engine, and report the end of its attempt once it can no longer be running."""
        began_ms = clock()
        attempt = query.attempt
        cancellation = QueryCancellation(
            query,
            self._is_never_resent(attempt),
            self._holds_key(attempt),
            lambda until_ms: self.core.attempt_lost(attempt, until_ms),
        )
        try:
            reason = await cancellation.run()
            end = end._replace(may_still_run=reason is ReleaseReason.NOT_RESENT)
            if reason is not ReleaseReason.UNSENT:
                self._log_release(query, reason, clock() - began_ms)
        finally:
            self._on_ended(query, end)

    def _is_never_resent(self, attempt: Attempt) -> bool:
        """Return whether nothing waits for the end of an attempt: its request runs once only, and holds no key."""
        class_settings = self.core.settings.classes[attempt.request.cls]
        return class_settings.idempotency == Idempotency.NON_IDEMPOTENT and not self._holds_key(attempt)

    def _holds_key(self, attempt: Attempt) -> bool:
        """Return whether other requests wait for the end of an attempt, by their ordering key."""
        return bool(attempt.request.key) and self.core.settings.classes[attempt.request.cls].in_order

    def _log_release(self, query: EngineQuery, reason: ReleaseReason, waited_ms: float) -> None:
        self.telemetry.count(f"attempts_released_{reason}")
        self.telemetry.log(
            "attempt_released",
            request=query.attempt.request.number,
            ticket=query.ticket,
            attempt=query.attempt.number,
            engine=query.pool.state.name,
            reason=reason,
            waited_ms=round(waited_ms, 1),
            unpolled_ms=round(clock() - query.lifetime.asked_until_ms, 1),
            unanswered=query.lifetime.was_unanswered,
            acknowledged=query.lifetime.is_acknowledged,
        )

    async def warm(self, engine: int, ticket: str, statement: str, cls: str, timeout_ms: float) -> bool:
        """Run a warm-up statement, discard its rows, and return whether it succeeded within `timeout_ms`.

        The caller accounts for its cost and must own that task in the fleet.
        """
        pool, path = self.pools.get(engine), f"{STORE_PATH}/{ticket}"
        if pool is None:
            return False
        status, until = 0, clock() + timeout_ms

        def head() -> str:
            left_ms = max(1, int(until - clock()))
            return f"X-Ticket: {ticket}\r\nX-Queue: {cls}\r\nX-Max-Ms: {left_ms}\r\nX-Priority: 0\r\n"

        post = EngineCall("POST", STORE_PATH, statement.encode(), head, page=0)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                reply = await pool.call(post)
                while reply.status == PENDING_STATUS:
                    reply = await pool.call(EngineCall("GET", f"{path}/0", page=0))
                status = reply.status
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("warm_failed")
        finally:
            if post.was_written and status == 0:
                self.spawn(self._drop(pool, path))
        return status == 200

    async def _drop(self, pool: ConnectionPool, path: str) -> None:
        try:
            await pool.call(EngineCall("DELETE", path, within_s=CANCEL_TIMEOUT_S))
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("warm_left")  # the engine ends the query by X-Max-Ms

    async def health_check(self, engine: int) -> None:
        """Request `/stats` and report the outcome and load by Core.health_check_completed."""
        began_ms, pool = clock(), self.pools.get(engine)
        call = EngineCall("GET", "/stats", within_s=HEALTH_CHECK_TIMEOUT_S)
        outcome, report = AttemptOutcome.CONNECT_FAILED, ()
        if pool is not None:
            try:
                reply = await pool.call(call)
                outcome = AttemptOutcome.OK if reply.status == OK_STATUS else AttemptOutcome.ERROR
                report = self.load_reports.report(reply)
            except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError) as error:
                if call.was_written:
                    outcome = AttemptOutcome.TIMEOUT if isinstance(error, TimeoutError) else AttemptOutcome.RESET
        self.core.health_check_completed(engine, outcome, clock() - began_ms, report)
