"""Cancels a query at its engine by DELETE, and waits until it can no longer be running.

A DELETE ends the query if the process that has it responds. Which connections lead to that process, and when a query
has expired, is decided in query_lifetime.py. While the engine may still receive the POST, its connection is kept for
the response, unless the engine's machine can't be reached: then it is reset, which takes the POST back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum

from frostspindle.core import clock
from frostspindle.net.http.connection_pool import PoolExhaustedError
from frostspindle.net.http.engine_call import EngineCall
from frostspindle.net.http.engine_connection import ConnectionBrokenError, RequestNotWrittenError
from frostspindle.net.http.engine_query import EngineQuery
from frostspindle.net.http.replies import InvalidReplyError
from frostspindle.query_lifetime import ConnectionLife

DELETED_STATUS = 204
CANCEL_TIMEOUT_S = 0.3  # of one DELETE
MAX_NEW_CONNECTIONS = 2  # DELETEs that may open a connection
USUAL_PROOF_MS = 350.0  # an engine holds a call for 250 ms, whose connection then carries a DELETE
CHECK_INTERVAL_S = 0.05  # at which idle connections are looked for


class ReleaseReason(StrEnum):
    """Why a cancelled query is no longer waited for; the values are parts of counter names."""

    UNSENT = "unsent"
    DELETED = "deleted"  # the process that has it answered the DELETE
    EXPIRED = "expired"  # not polled for so long that the engine must have dropped it
    NOT_RESENT = "not_resent"  # its end is not proven, but the request is never sent again


class QueryCancellation:
    """The cancellation of one query."""

    def __init__(
        self, query: EngineQuery, is_never_resent: bool, holds_key: bool, on_lost: Callable[[float], None]
    ) -> None:
        """Create a cancellation; `on_lost` gets the time of the query's expiry (Unix ms) if only that will end it.

        `is_never_resent`: nothing waits for the end of the query. `holds_key`: other requests do.
        """
        self._query = query
        self._is_never_resent = is_never_resent
        self._holds_key = holds_key
        self._on_lost = on_lost
        self._is_lost = False  # no proof came within USUAL_PROOF_MS
        self._may_have_arrived = False  # a DELETE was written
        self._answered_on: ConnectionLife | None = None  # over which a DELETE that would end the query was answered

    async def run(self) -> ReleaseReason:
        """Return once the query can no longer be running, or nothing waits for its end any more."""
        if not self._query.lifetime.was_written:
            return ReleaseReason.UNSENT
        for _ in range(MAX_NEW_CONNECTIONS):
            if await self._delete(new_connection=self._may_have_arrived):
                break
        if self._is_deleted():
            return ReleaseReason.DELETED
        if self._is_never_resent:
            return ReleaseReason.NOT_RESENT
        return await self._wait_for_expiry()

    async def _delete(self, new_connection: bool) -> bool:
        """Send a DELETE; return whether a process has answered it."""
        query = self._query
        was_acknowledged = query.lifetime.is_acknowledged
        call = EngineCall(
            "DELETE",
            query.path,
            within_s=CANCEL_TIMEOUT_S,
            new_connection=new_connection,
            must_reach_process=True,
            query=query.lifetime,
        )
        try:
            reply = await query.pool.call(call)
        except RequestNotWrittenError:
            return False
        except (PoolExhaustedError, ConnectionBrokenError, TimeoutError, InvalidReplyError):
            self._may_have_arrived |= call.was_written
            return False
        self._may_have_arrived = True
        is_answered = reply.status == DELETED_STATUS
        if is_answered and was_acknowledged:
            self._answered_on = reply.connection
        return is_answered

    def _is_deleted(self) -> bool:
        """Return whether the process that has the query has answered a DELETE, as far as is known by now."""
        if self._answered_on is None:
            return False
        return self._query.lifetime.leads_to_process(self._answered_on, self._query.pool.established)

    async def _wait_for_expiry(self) -> ReleaseReason:
        """Return once the query has expired, or a DELETE on an idle connection to its process was answered."""
        lifetime = self._query.lifetime
        began_ms = clock()
        while (left_ms := lifetime.remaining_wait_ms(clock())) > 0:
            if clock() - began_ms > USUAL_PROOF_MS and not self._is_lost:
                self._is_lost = True
                self._on_lost(clock() + left_ms)
            await asyncio.sleep(min(CHECK_INTERVAL_S, left_ms / 1000.0))
            if lifetime.may_post_arrive:
                await self._watch_post()
            if not self._is_deleted() and self._is_delete_useful():
                await self._delete(new_connection=False)
            if self._is_deleted():
                return ReleaseReason.DELETED
        return ReleaseReason.EXPIRED

    async def _watch_post(self) -> None:
        """Take the POST back once nothing depends on its response, or its engine can't be reached."""
        if not self._holds_key and clock() > self._query.lifetime.ends_at_ms:
            self._query.give_up_post()  # its request gets no other attempt
        else:
            await self._query.pool.check_reachable()

    def _is_delete_useful(self) -> bool:
        """Return whether an idle connection can carry the first DELETE, or one whose response would prove the end."""
        lifetime, pool = self._query.lifetime, self._query.pool
        if not self._may_have_arrived:
            return bool(pool.idle)
        return lifetime.is_acknowledged and any(
            lifetime.leads_to_process(connection, pool.established) for connection in pool.idle
        )
