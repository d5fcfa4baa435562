"""The HTTP front's connection to those of the other workers: accept balance, unique request ids, relayed calls.

Implements `WorkerRelay` of net/platform.py. Owns the mesh and the tasks of relayed calls. For the worker's event loop
only.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from frostspindle.cores import ownership, peer_workers
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.layout import HeadCell, WorkerState
from frostspindle.cores.mesh import WorkerGoneError, WorkerMesh
from frostspindle.cores.ownership import RequestOwner, Route
from frostspindle.cores.shared_memory import RowSnapshot, WorkerRegion
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.calls import FRONT, PendingCall
from frostspindle.net.platform import HttpFront
from frostspindle.telemetry import Telemetry


class RequestRelay:
    """Decides what this worker's front does with connections, ids and calls that may concern other workers."""

    def __init__(
        self,
        own: RequestOwner,
        region: WorkerRegion,
        snapshots: dict[int, RowSnapshot],
        control: ControlReader,
        mesh: WorkerMesh,
        front: HttpFront,
        telemetry: Telemetry,
    ) -> None:
        self._own = own
        self._region = region
        self._snapshots = snapshots
        self._control = control
        self._mesh = mesh
        self._front = front
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task[None]] = set()
        self._relayed_calls: dict[PendingCall, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Begin to accept the other workers' connections."""
        self._create_task(self._mesh.start())

    def close(self) -> None:
        """Cancel open relayed calls and close the mesh."""
        for task in self._tasks:
            task.cancel()
        self._mesh.close()

    def _create_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def accepts(self) -> bool:
        """Return whether to accept a new connection now, by the connections of the other workers that serve."""
        now = monotonic_ms()
        own_connections = self._front.open_connections
        # Published at once and not with the next tick: the others compare while a burst is being accepted.
        self._region.write_cell(HeadCell.CLIENT_CONNECTIONS, own_connections)
        regions = [snapshot.region for snapshot in self._snapshots.values()]
        peer_connections = [
            region.read_cell(HeadCell.CLIENT_CONNECTIONS)
            for region in regions
            if region.read_cell(HeadCell.STATE) == WorkerState.SERVING
            and now - region.heartbeat_ms < peer_workers.HEARTBEAT_FRESH_MS
        ]
        return ownership.should_accept(own_connections, peer_connections)

    def claim(self, ticket: str) -> CallRejectedError | None:
        """Reserve a request's id (hex) for this worker; return the rejection if it can't be had.

        409: it is open at another worker; 502: it was open at a worker that died; 503: its bucket of the shared memory
        is full. Of two workers that claim one id at the same moment at least one is rejected, maybe both. Id 0 is never
        entered.
        """
        request_id = int(ticket, 16)
        if not request_id:
            return None  # 0 marks an empty cell; the worker's own check for open ids still holds
        self._control.refresh()
        if request_id in self._control.lost_requests:
            return CallRejectedError(502, "Failed")
        # Written before it is looked for: of two workers at the same moment at least one finds the other's entry.
        if not self._region.add_request(request_id):
            self._telemetry.count("full", FRONT)
            return CallRejectedError(503, "Busy")
        if self._region.open_elsewhere(request_id):
            self._region.remove_request(request_id)
            return CallRejectedError(409, "X-Request-Id: this request is already open")
        return None

    def release(self, ticket: str) -> None:
        """Free the id (hex) of a completed request."""
        request_id = int(ticket, 16)
        if request_id:
            self._region.remove_request(request_id)

    def relay_call(self, slot: PendingCall, method: bytes, path: str, url: bytes) -> bool:
        """Return whether a call on a path unknown here belongs to another worker, and see to its answer.

        Only GET and DELETE are relayed. If the owner has died, a DELETE is answered 204 and a GET 502: the request may
        have run.
        """
        if method not in (b"GET", b"DELETE"):
            return False
        self._control.refresh()  # a worker may have died since the last tick
        route = ownership.route(path, self._own, self._control.page.living)
        match route:
            case Route.UNKNOWN:
                return False
            case Route.OWNER_ENDED:
                self._reply_for_ended_owner(slot, method)
            case Route.RELAY:
                owner = ownership.owner_of(path)
                assert owner is not None
                task = self._create_task(self._relay(slot, owner.slot, method, url))
                if method == b"GET":  # a DELETE is carried out whether its client waits or not
                    self._relayed_calls[slot] = task
                    task.add_done_callback(lambda _: self._relayed_calls.pop(slot, None))
        return True

    def abandon(self, slot: PendingCall) -> None:
        """Stop waiting for the owner's reply to a call whose client has gone; the owner is told."""
        task = self._relayed_calls.get(slot)
        if task is not None:
            task.cancel()

    def _reply_for_ended_owner(self, call: PendingCall, method: bytes) -> None:
        if method == b"DELETE":
            call.reply(204)
        else:
            call.reply(502, {"failure": "Failed"})

    async def _relay(self, call: PendingCall, owner_slot: int, method: bytes, url: bytes) -> None:
        """Relay a call to its owner and answer it; without the owner's reply the client is asked to retry."""
        self._telemetry.count("relayed", FRONT)
        try:
            reply = await self._mesh.call(owner_slot, method, url)
        except WorkerGoneError as error:
            self._telemetry.log("worker_relay_failed", owner=owner_slot, error=str(error))
            if method == b"DELETE":
                call.reply(503, {"failure": "Busy"})
            else:  # the next poll finds the owner's answer, or that the owner has died
                call.reply(200, {"next": url.decode("latin-1")})
            return
        call.reply(*reply)
