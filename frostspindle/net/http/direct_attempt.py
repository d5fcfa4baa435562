"""An attempt whose POST is in flight on an idle connection, without a task of its own."""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.core import clock
from frostspindle.net.http.attempts import AttemptRunner
from frostspindle.net.http.engine_connection import EngineConnection
from frostspindle.net.http.engine_query import AttemptEnd, EngineQuery
from frostspindle.net.http.replies import EngineReply, InvalidReplyError


class DirectAttempt:
    """An attempt whose POST is in flight, without a task: most attempts end with its response.

    It is the connection's waiter. It calls exactly one of `on_ended` (the response was final), `on_continued` (with a
    response that is not final, or an error) and `on_cancelled`, once.
    """

    __slots__ = ("query", "_runner", "_on_ended", "_on_continued", "_on_cancelled", "_call", "_connection", "_is_over")
    _connection: EngineConnection

    def __init__(
        self,
        runner: AttemptRunner,
        query: EngineQuery,
        on_ended: Callable[[EngineQuery, AttemptEnd], None],
        on_continued: Callable[[DirectAttempt, EngineReply | Exception], None],
        on_cancelled: Callable[[EngineQuery], None],
    ) -> None:
        self.query = query
        self._runner = runner
        self._on_ended, self._on_continued, self._on_cancelled = on_ended, on_continued, on_cancelled
        self._call = runner.post_call(query.attempt, query.lifetime)
        self._is_over = False

    def send(self, connection: EngineConnection) -> None:
        """Write the POST; called once, in the turn of the event loop in which engine and connection were checked."""
        self._connection = connection
        self.query.attempt.task = self
        self.query.pool.write(connection, self._call, self)
        self.query.post = self._call
        self.query.lifetime.record_post(connection, self._call.written_ms)

    # Interface of ResponseWaiter.

    def done(self) -> bool:
        """Return whether it has a response or an error, or was cancelled."""
        return self._is_over

    def set_result(self, reply: EngineReply) -> None:
        """Take the response to the POST: release the connection, then call `on_ended` or `on_continued`.

        An invalid response is passed on as an InvalidReplyError, and its connection is not reused.
        """
        received: EngineReply | Exception = reply
        end: AttemptEnd | None = None
        self._record(is_abandoned=False)
        self.query.lifetime.record_post_answered()
        try:
            self.query.pool.check_response(self._connection, reply, self._call.page)
            end = self._runner.immediate_end(self.query, reply)
        except InvalidReplyError as error:
            self._connection.is_reusable, received = False, error
        self._release_connection()
        if end is not None and not end.may_still_run:
            self._on_ended(self.query, end)
        else:
            self._on_continued(self, received)

    def set_exception(self, error: Exception) -> None:
        """Release the connection and pass the error to `on_continued`: the engine may have the query."""
        self._record(is_abandoned=False)
        self._release_connection()
        self._on_continued(self, error)

    def _record(self, is_abandoned: bool) -> None:
        self.query.record_post(self._call, clock(), is_abandoned)

    def _release_connection(self) -> None:
        self._is_over, self.query.attempt.task = True, None  # breaks a reference cycle
        if self._connection.waiter is self:  # else it is kept for a late response
            self._connection.end_call()
            self.query.pool.release(self._connection)

    # Interface for the driver.

    def cancel(self) -> None:
        """Cancel the attempt and call `on_cancelled`; no effect once it is over.

        The connection is kept for the outstanding response if `EngineConnection.detach` allows it, else released. A
        POST that was not completely written counts as not sent.
        """
        if self._is_over:
            return
        self._is_over, self.query.attempt.task = True, None
        self._call.is_detached = self._connection.detach()
        if not self._call.is_detached:
            self._connection.end_call()
            self.query.lifetime.was_written = not self._connection.has_unwritten
            self.query.pool.release(self._connection)
        if self.query.lifetime.was_written:
            self._record(is_abandoned=True)
        self._on_cancelled(self.query)
