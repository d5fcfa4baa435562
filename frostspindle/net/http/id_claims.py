"""Claims the ids of requests, so that none is accepted twice where that must not be: among workers and processes.

The workers of one supervisor tell open ids in shared memory, the processes that share a folder in files.
"""

from __future__ import annotations

import re
from typing import Protocol

from frostspindle.core import IdState, RequestIdRegistry
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.connection_log import CloseReason, ConnectionLog

_TICKET_OF_PATH = re.compile(r"-([0-9a-f]{16})\Z")  # at the end of a response path


class WorkerIds(Protocol):
    """The open ids of the workers of one supervisor."""

    def claim(self, ticket: str) -> CallRejectedError | None:
        """Reserve a request id for this worker; return a CallRejectedError if it is not available."""

    def release(self, ticket: str) -> None:
        """Release a request id once its request has completed."""


class IdClaims:
    """The ids that this front has claimed; `workers` and `shared` are None where there are none."""

    def __init__(self, connection_log: ConnectionLog) -> None:
        self.workers: WorkerIds | None = None
        self.shared: RequestIdRegistry | None = None
        self.is_sharing = False  # another process of this coordinator runs, as in an upgrade
        self._connection_log = connection_log
        self._not_repeatable: set[str] = set()  # open ids of classes that must not run twice
        self._held: set[str] = set()  # of settled requests of which an attempt may be running

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
        searches_others = self.is_sharing or not is_repeatable
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

    def release(self, ticket: str, may_have_run: bool) -> None:
        """Release the id of a settled request of which no attempt is running; remember one that must not run again."""
        self._held.discard(ticket)
        self._release(ticket, may_have_run and ticket in self._not_repeatable)

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
