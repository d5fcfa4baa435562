"""Calls that workers relay to each other: what the owner is told when the client of one has gone."""

import asyncio
import secrets
import socket
from io import BytesIO

from frostspindle.cores.mesh import WorkerMesh
from frostspindle.telemetry import Telemetry


class HoldingFront:
    """A front that holds each call, and records what it is told of them."""

    def __init__(self):
        self.telemetry = Telemetry(sink=BytesIO())
        self.calls = []
        self.gone_calls = []
        self.ended = []
        self.changed = asyncio.Event()

    def call(self, slot, method, url, fields, body):
        self.calls.append(slot)
        self.changed.set()

    def call_abandoned(self, slot):
        self.gone_calls.append(slot)
        self.changed.set()

    def connection_ended(self, connection):
        self.ended.append(connection)

    async def until(self, holds):
        async with asyncio.timeout(10.0):
            while not holds():
                self.changed.clear()
                await self.changed.wait()


# Guards against: the owner of a request took a client for present that had closed its connection to another worker.
def test_call_whose_client_has_gone_is_abandoned_at_its_owner():
    async def play():
        fronts = [HoldingFront(), HoldingFront()]
        paths = {number: f"\0mesh-{secrets.token_hex(8)}" for number in range(2)}
        meshes = []
        for number, front in enumerate(fronts):
            listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            listening.bind(paths[number])
            listening.listen(4)
            meshes.append(WorkerMesh(listening.detach(), paths, front))
            await meshes[-1].start()
        first, second = (asyncio.create_task(meshes[0].call(1, b"GET", b"/call/x/1")) for _ in range(2))
        owner = fronts[1]
        await owner.until(lambda: len(owner.calls) == 2)
        assert all(call.client.is_connected() for call in owner.calls)
        first.cancel()
        await owner.until(lambda: owner.gone_calls)
        assert owner.gone_calls == owner.calls[:1]
        assert [call.client.is_connected() for call in owner.calls] == [False, True]
        assert owner.ended == [owner.calls[0].client]
        owner.calls[1].reply(200, {"next": "/call/x/1"})
        assert (await second).status == 200
        assert not owner.calls[1].client.is_connected()  # until it calls again
        for mesh in meshes:
            mesh.close()

    asyncio.run(play())
