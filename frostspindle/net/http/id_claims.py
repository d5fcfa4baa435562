"""Claims the ids of requests, so that none is accepted twice where that must not be: among workers and processes.

The workers of one supervisor tell open ids in shared memory, the processes that share a folder in files.
"""

from __future__ import annotations

import math
import re
import time
from collections.abc import Callable
from typing import Protocol

from frostspindle.core import IdState, RequestIdRegistry
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.connection_log import CloseReason, ConnectionLog

ENDED_PROCESS_SEARCH_S = 3.0  # for which ids of an ended process are looked for: engines may still run its queries
_TICKET_OF_PATH = re.compile(r"-([0-9a-f]{16})\Z")  # at the end of a response path


class WorkerIds(Protocol):
    """The open ids of the workers of one supervisor."""

    def claim(self, ticket: str) -> CallRejectedError | None:
        """Reserve a request id for this worker; return a CallRejectedError if it is not available."""

    def release(self, ticket: str) -> None:
        """Release a request id once its request has completed."""


class IdClaims:
    """The ids that this front has claimed; `workers` and `shared` are None where there are none."""

    def __init__(self, connection_log: ConnectionLog, monotonic_s: Callable[[], float] = time.monotonic) -> None:
        self.workers: WorkerIds | None = None
        self.shared: RequestIdRegistry | None = None
        self._is_sharing = False
        self._searches_until_s = -math.inf
        self._monotonic_s = monotonic_s
        self._connection_log = connection_log
        self._not_repeatable: set[str] = set()  # open ids of classes that must not run twice
        self._held: set[str] = set()  # of settled requests of which an attempt may be running

    @property
    def is_sharing(self) -> bool:
        """Whether another process of this coordinator runs, as in an upgrade."""
        return self._is_sharing

    @is_sharing.setter
    def is_sharing(self, is_sharing: bool) -> None:
        if self._is_sharing and not is_sharing:
            self._searches_until_s = self._monotonic_s() + ENDED_PROCESS_SEARCH_S
        self._is_sharing = is_sharing

    def claim(self, ticket: str, is_repeatable: bool) -> CallRejectedError | None:
        """Claim an id; return the rejection if it is open elsewhere, may be running, or must not run again."""
        if ticket in self._held:
            self._connection_log.call_refused(CloseReason.ID_MAY_RUN)
            return CallRejectedError(503, "Busy") if is_repeatable else CallRejectedError(502, "Failed")
        rejection = self.workers.claim(ticket) if self.workers is not None else None
        if rejection is None:
            rejection = self._claim_shared(ticket, is_repeatable)
            if rejection is not None and self.workers is not None:
                self.workers.release(ticket)
        if rejection is None and not is_repeatable:
            self._not_repeatable.add(ticket)
        return rejection

    def _claim_shared(self, ticket: str, is_repeatable: bool) -> CallRejectedError | None:
        if self.shared is None:
            return None
        searches_others = self.is_sharing or not is_repeatable or self._monotonic_s() < self._searches_until_s
        match self.shared.claim(int(ticket, 16), searches_others):
            case IdState.OPEN_ELSEWHERE:
                self._connection_log.call_refused(CloseReason.ID_OPEN)
                return CallRejectedError(409, "X-Request-Id: this request is already open")
            case IdState.MAY_HAVE_RUN:
                self._connection_log.call_refused(CloseReason.ID_MAY_HAVE_RUN)
                return CallRejectedError(502, "Failed")
        return None

    def hold(self, ticket: str) -> None:
        """Keep the id of a settled request claimed, as an attempt of it may be running."""
        self._held.add(ticket)

    def release(self, ticket: str, may_have_run: bool, may_still_run: bool = False) -> None:
        """Release the id of a settled request of which no attempt is running; remember one that must not run again.

        Where the wait for a running attempt was cut short, as this process ends, an id that may run again stays claimed
        for the other process of an upgrade.
        """
        is_remembered = may_have_run and ticket in self._not_repeatable
        if may_still_run and not is_remembered:
            return
        self._held.discard(ticket)
        self._release(ticket, is_remembered)

    def release_unsent(self, ticket: str) -> None:
        """Release the id of a request that was not submitted."""
        self._release(ticket, may_have_run=False)

    def _release(self, ticket: str, may_have_run: bool) -> None:
        self._not_repeatable.discard(ticket)
        if self.workers is not None:
            self.workers.release(ticket)
        if self.shared is not None:
            self.shared.release(int(ticket, 16), may_have_run)

    def cancel_elsewhere(self, path: str) -> bool:
        """Tell the other process of an upgrade of a DELETE on a path that is unknown here; return whether there is one.

        The path names the request's id.
        """
        match = _TICKET_OF_PATH.search(path)
        if not self.is_sharing or self.shared is None or match is None:
            return False
        self.shared.cancel(int(match.group(1), 16))
        return True

    def is_cancelled_elsewhere(self, ticket: str) -> bool:
        """Return whether the other process of an upgrade has got a DELETE for a request of this one."""
        return self.is_sharing and self.shared is not None and self.shared.is_cancelled(int(ticket, 16))
