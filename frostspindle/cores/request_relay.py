"""Coordination of the workers' HTTP fronts: balanced accepts, unique request ids and relayed calls.

Implements `WorkerRelay` of net/platform.py. To be used only in the worker's event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from frostspindle.cores import ownership, peer_workers
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.layout import HeadCell, WorkerState
from frostspindle.cores.mesh import WorkerMesh, WorkerUnavailableError
from frostspindle.cores.ownership import RequestOwner, Route
from frostspindle.cores.shared_memory import RowSnapshot, WorkerRegion
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.calls import FRONT, PendingCall
from frostspindle.net.platform import HttpFront
from frostspindle.telemetry import Telemetry


class RequestRelay:
    """Accepts connections, reserves request ids and relays calls on behalf of this worker's front."""

    def __init__(
        self,
        identity: RequestOwner,
        region: WorkerRegion,
        snapshots: dict[int, RowSnapshot],
        control: ControlReader,
        mesh: WorkerMesh,
        front: HttpFront,
        telemetry: Telemetry,
    ) -> None:
        self._identity = identity
        self._region = region
        self._snapshots = snapshots
        self._control = control
        self._mesh = mesh
        self._front = front
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task[None]] = set()
        self._relayed_calls: dict[PendingCall, asyncio.Task[None]] = {}

    def start(self) -> None:
        """Start accepting the other workers' connections."""
        self._create_task(self._mesh.start())

    def close(self) -> None:
        """Cancel pending relayed calls and close the mesh."""
        for task in self._tasks:
            task.cancel()
        self._mesh.close()

    def _create_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def accepts(self) -> bool:
        """Return whether to accept a new connection now, by the connection counts of the serving workers."""
        now = monotonic_ms()
        own_connections = self._front.open_connections
        # Published at once, not with the next tick, as the others compare counts while a burst is accepted.
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
        """Reserve a request's id (hex) for this worker; return None, or the rejection.

        409: the id is open at another worker; 502: it was open at a worker that died; 503: its bucket in the shared
        memory is full. If two workers claim an id at the same time, one or both are rejected. Id 0 is not reserved.
        """
        request_id = int(ticket, 16)
        if not request_id:
            return None  # 0 marks an empty cell; only this worker's own check for open ids applies
        self._control.refresh()
        if request_id in self._control.lost_requests:
            return CallRejectedError(502, "Failed")
        # Written before the search, so that of two concurrent workers at least one finds the other's entry.
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

    def relay_call(self, call: PendingCall, method: bytes, path: str, url: bytes) -> bool:
        """Relay a call on a path unknown here if another worker owns it; return whether the call is answered.

        Only GET and DELETE are relayed. If the owner has died, reply 204 to a DELETE, and 502 to a GET because the
        request may have run.
        """
        if method not in (b"GET", b"DELETE"):
            return False
        self._control.refresh()  # the owner may have died since the last tick
        route = ownership.route(path, self._identity, self._control.page.living)
        match route:
            case Route.UNKNOWN:
                return False
            case Route.OWNER_ENDED:
                self._reply_for_ended_owner(call, method)
            case Route.RELAY:
                owner = ownership.owner_of(path)
                assert owner is not None
                task = self._create_task(self._relay(call, owner.slot, method, url))
                if method == b"GET":  # a DELETE is relayed even if its client disconnects
                    self._relayed_calls[call] = task
                    task.add_done_callback(lambda _: self._relayed_calls.pop(call, None))
        return True

    def abandon(self, call: PendingCall) -> None:
        """Cancel the relay of a call whose client has disconnected, and notify the owner."""
        task = self._relayed_calls.get(call)
        if task is not None:
            task.cancel()

    def _reply_for_ended_owner(self, call: PendingCall, method: bytes) -> None:
        if method == b"DELETE":
            call.reply(204)
        else:
            call.reply(502, {"failure": "Failed"})

    async def _relay(self, call: PendingCall, owner_slot: int, method: bytes, url: bytes) -> None:
        """Relay a call to its owner and pass on the reply; if there is none, have the client retry.

        Late in a shutdown the client could not retry, so its request counts as failed: it may have run.
        """
        self._telemetry.count("relayed", FRONT)
        try:
            reply = await self._mesh.call(owner_slot, method, url)
        except WorkerUnavailableError as error:
            self._telemetry.log("worker_relay_failed", owner=owner_slot, error=str(error))
            if method == b"DELETE":
                call.reply(503, {"failure": "Busy"})
            elif self._front.is_finishing:
                call.reply(502, {"failure": "Failed"})
            else:  # the next poll gets the owner's reply, or finds that the owner has died
                call.reply(200, {"next": url.decode("latin-1")})
            return
        call.reply(*reply)
