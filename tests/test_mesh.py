"""Calls relayed between workers: the owner is notified when the client of a relayed call disconnects."""

import asyncio
import secrets
import socket
from io import BytesIO
from types import SimpleNamespace

import pytest

from frostspindle.cores.mesh import WorkerMesh, WorkerUnavailableError
from frostspindle.cores.request_relay import RequestRelay
from frostspindle.telemetry import Telemetry


class HoldingFront:
    """A front that leaves all calls open and records the notifications about them."""

    def __init__(self):
        self.telemetry = Telemetry(sink=BytesIO())
        self.calls = []
        self.abandoned_calls = []
        self.ended_connections = []
        self.changed = asyncio.Event()

    def call(self, call, method, url, fields, body):
        self.calls.append(call)
        self.changed.set()

    def call_abandoned(self, call):
        self.abandoned_calls.append(call)
        self.changed.set()

    def connection_ended(self, connection):
        self.ended_connections.append(connection)

    async def until(self, condition):
        async with asyncio.timeout(10.0):
            while not condition():
                self.changed.clear()
                await self.changed.wait()


class UnavailableMesh:
    """A mesh whose other workers have all closed their connections."""

    async def call(self, slot, method, url):
        raise WorkerUnavailableError("closed")


# Guards against: in a shutdown, a worker gave a path to poll to a client whose call it could not relay to a worker that
# had ended before it, and closed the connection.
@pytest.mark.parametrize(
    ("is_finishing", "reply"),
    [(False, (200, {"next": "/call/x/1"})), (True, (502, {"failure": "Failed"}))],
)
def test_get_that_cannot_be_relayed_gets_a_final_answer_once_the_worker_finishes(is_finishing, reply):
    front = SimpleNamespace(is_finishing=is_finishing)
    relay = RequestRelay(None, None, {}, None, UnavailableMesh(), front, Telemetry(sink=BytesIO()))
    replies = []
    call = SimpleNamespace(reply=lambda *answer: replies.append(answer))
    asyncio.run(relay._relay(call, 1, b"GET", b"/call/x/1"))
    assert replies == [reply]


# Guards against: the owner of a request assumed that its client was connected, although the client had closed its
# connection to another worker.
def test_the_owner_abandons_a_relayed_call_whose_client_disconnects():
    async def run():
        fronts = [HoldingFront(), HoldingFront()]
        paths = {number: f"\0mesh-{secrets.token_hex(8)}" for number in range(2)}
        meshes = []
        for number, front in enumerate(fronts):
            listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            listening_socket.bind(paths[number])
            listening_socket.listen(4)
            meshes.append(WorkerMesh(listening_socket.detach(), paths, front))
            await meshes[-1].start()
        first, second = (asyncio.create_task(meshes[0].call(1, b"GET", b"/call/x/1")) for _ in range(2))
        owner = fronts[1]
        await owner.until(lambda: len(owner.calls) == 2)
        assert all(call.client.is_connected() for call in owner.calls)
        first.cancel()
        await owner.until(lambda: owner.abandoned_calls)
        assert owner.abandoned_calls == owner.calls[:1]
        assert [call.client.is_connected() for call in owner.calls] == [False, True]
        assert owner.ended_connections == [owner.calls[0].client]
        owner.calls[1].reply(200, {"next": "/call/x/1"})
        assert (await second).status == 200
        assert not owner.calls[1].client.is_connected()  # absent until its next call
        for mesh in meshes:
            mesh.close()

    asyncio.run(run())
