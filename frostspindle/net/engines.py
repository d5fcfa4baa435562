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
from frostspindle.net.http.attempts import AttemptEnd, AttemptRunner, DirectAttempt
from frostspindle.net.http.connection_pool import RESPONSE_TIMEOUT_S, ConnectionPool, PoolExhaustedError
from frostspindle.net.http.engine_connection import ConnectionBrokenError
from frostspindle.net.http.engine_log import EngineCloseReason, EngineLog, RetirementReason
from frostspindle.net.http.load_reports import LoadReportParser
from frostspindle.net.http.replies import EngineReply, InvalidReplyError
from frostspindle.policy import AttemptOutcome, Health
from frostspindle.pools import AttemptProgress
from frostspindle.telemetry import Telemetry

IDLE_SWEEP_S = 1.0  # interval at which idle connections are checked


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
        direct = DirectAttempt(self.runner, pool, attempt, self._on_ended, self._on_continued, self._on_cancelled)
        if (connection := pool.take()) is None:
            super().start_attempt(attempt)
        elif self.core.may_send(attempt):
            pool.query_started()
            direct.send(connection)
        else:
            pool.release(connection)
            self.core.attempt_ended(attempt, attempt.unsent_outcome)

    def _on_ended(self, direct: DirectAttempt, end: AttemptEnd) -> None:
        self._report_end(direct.pool, direct.attempt, end)

    def _report_end(self, pool: ConnectionPool, attempt: Attempt, end: AttemptEnd) -> None:
        self.core.attempt_ended(attempt, *end)
        pool.query_ended()

    def _on_continued(self, direct: DirectAttempt, received: EngineReply | Exception) -> None:
        """Continue an attempt in a task, as the response to its POST did not end it."""
        direct.attempt.task = task = self.spawn(self.attempt(direct.attempt, direct.pool, direct.progress, received))
        # A task that is cancelled before its first step never runs, but the engine has the query.
        task.add_done_callback(lambda task: self._on_cancelled(direct) if task.cancelled() else None)

    def _on_cancelled(self, direct: DirectAttempt) -> None:
        self.spawn(self._free(direct.pool, direct.attempt, direct.progress, AttemptOutcome.CANCELLED))

    async def attempt(
        self,
        attempt: Attempt,
        pool: ConnectionPool | None = None,
        progress: AttemptProgress | None = None,
        received: EngineReply | Exception | None = None,
    ) -> None:
        """Run an attempt to its end and report it once by Core.attempt_ended.

        The last three arguments are given if the POST was already sent without a task: its pool, its progress, and the
        response to the POST or the error. If the engine may still be running the query, another task stops it there
        before the end is reported.
        """
        pool = pool or self.pools.get(attempt.engine)
        if pool is None:
            self.core.attempt_ended(attempt, AttemptOutcome.CONNECT_FAILED)
            return
        if progress is None:
            progress = AttemptProgress(clock(), attempt.ends_at_ms)
            pool.query_started()
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                end = await self.runner.follow(pool, attempt, progress, received)
                outcome = end.outcome
        except TimeoutError:
            outcome = AttemptOutcome.TIMEOUT if progress.wired[0] else attempt.unsent_outcome
        except asyncio.CancelledError:
            outcome = AttemptOutcome.CANCELLED
        except InvalidReplyError as error:
            self.telemetry.count("engine_bad_replies")
            self.telemetry.log(
                "engine_reply_rejected", engine=pool.state.name, ticket=attempt.request.ticket, error=str(error)
            )
            outcome = AttemptOutcome.ERROR
        except Exception as error:  # noqa: BLE001 - a fault must not affect other attempts
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="attempt", ticket=attempt.request.ticket)
            outcome = AttemptOutcome.ERROR
        else:
            # Neither broken connections nor an engine that does not know the query prove that it has ended: a POST
            # may still be in flight, or have reached the previous process. The query is cancelled first.
            if outcome not in (AttemptOutcome.RESET, AttemptOutcome.CANCELLED):
                self._report_end(pool, attempt, end)
                return
        # A separate task: another cancel must not interrupt it before the engine is free.
        self.spawn(self._free(pool, attempt, progress, outcome))

    async def _free(self, pool: ConnectionPool, attempt: Attempt, progress: AttemptProgress, outcome: int) -> None:
        try:
            await self.runner.give_up(pool, attempt, progress)
        finally:
            self._report_end(pool, attempt, AttemptEnd(outcome))

    async def warm(self, engine: int, ticket: str, statement: str, cls: str, timeout_ms: float) -> bool:
        """Run a warm-up statement, discard its rows, and return whether it succeeded within `timeout_ms`.

        The caller accounts for its cost and must own that task in the fleet.
        """
        pool, wired, path = self.pools.get(engine), [False], f"/v1/store/{ticket}"
        if pool is None:
            return False
        status, until = 0, clock() + timeout_ms

        def head() -> str:
            left_ms = max(1, int(until - clock()))
            return f"X-Ticket: {ticket}\r\nX-Queue: {cls}\r\nX-Max-Ms: {left_ms}\r\nX-Priority: 0\r\n"

        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                reply = await pool.call("POST", "/v1/store", head, statement.encode(), wired=wired, page=0)
                while reply.status == 202:
                    reply = await pool.call("GET", f"{path}/0", page=0)
                status = reply.status
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("warm_failed")
        finally:
            if wired[0] and status == 0:
                self.spawn(self._drop(pool, path))
        return status == 200

    async def _drop(self, pool: ConnectionPool, path: str) -> None:
        try:
            await pool.call("DELETE", path, within_s=0.3)
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self.telemetry.count("warm_left")  # the engine ends the query by X-Max-Ms

    async def health_check(self, engine: int) -> None:
        """Request `/stats` within 0.3 s and report the outcome and load by Core.health_check_completed."""
        began_ms, pool, wired = clock(), self.pools.get(engine), [False]
        outcome, report = AttemptOutcome.CONNECT_FAILED, ()
        if pool is not None:
            try:
                reply = await pool.call("GET", "/stats", wired=wired, within_s=0.3)
                outcome = AttemptOutcome.OK if reply.status == 200 else AttemptOutcome.ERROR
                report = self.load_reports.report(reply)
            except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError) as error:
                if wired[0]:
                    outcome = AttemptOutcome.TIMEOUT if isinstance(error, TimeoutError) else AttemptOutcome.RESET
        self.core.health_check_completed(engine, outcome, clock() - began_ms, report)
