"""A query at an HTTP engine, for one attempt, and how an attempt ends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.core import UNKNOWN_COST, Attempt, MeasuredCost
from frostspindle.net.http.connection_pool import ConnectionPool
from frostspindle.net.http.engine_call import EngineCall
from frostspindle.net.http.replies import EngineReply
from frostspindle.net.http.results import ResultText
from frostspindle.policy import AttemptOutcome
from frostspindle.query_lifetime import QueryLifetime

STORE_PATH = "/v1/store"


class AttemptEnd(NamedTuple):
    """How an attempt ended, and whether its query may still be running."""

    outcome: AttemptOutcome
    report: tuple[float, ...] = ()  # the engine's load
    result: ResultText | None = None
    cost: MeasuredCost = UNKNOWN_COST
    may_still_run: bool = False


@dataclass(slots=True, eq=False)
class EngineQuery:
    """The query of one attempt, the connections that it may use, and what is known about it."""

    pool: ConnectionPool
    attempt: Attempt
    lifetime: QueryLifetime
    post: EngineCall | None = None  # once it was written

    @property
    def ticket(self) -> str:
        """The id of the client's request, by which the engine knows the query."""
        return self.attempt.request.ticket

    @property
    def path(self) -> str:
        """The query's path at its engine."""
        return f"{STORE_PATH}/{self.ticket}"

    def record_post(self, call: EngineCall, now_ms: float, is_abandoned: bool) -> None:
        """Record the POST, which was written, as its call ended or was abandoned."""
        assert call.connection is not None
        self.post = call
        self.lifetime.record_post(call.connection, call.written_ms)
        self.lifetime.record_call(call.written_ms, call.may_arrive_until_ms(now_ms, is_abandoned))

    def give_up_post(self) -> None:
        """Wait no longer than usual for the response to the POST: nothing depends on it any more."""
        if self.post is not None and self.post.connection is not None:
            self.post.connection.give_up_call(self.post.written_ms)

    def is_from_its_process(self, reply: EngineReply) -> bool:
        """Return whether a reply is known to come from the process that has the query."""
        if reply.may_be_copy:
            return False
        return self.lifetime.is_acknowledged and self.lifetime.leads_to_process(reply.connection, self.pool.established)
