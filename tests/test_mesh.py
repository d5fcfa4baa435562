"""Calls relayed between workers: the owner is notified when the client of a relayed call disconnects."""

import asyncio
import secrets
import socket
from io import BytesIO
from types import SimpleNamespace
from unittest import mock

import pytest

from frostspindle.cores.layout import HeadCell, WorkerState
from frostspindle.cores.link import SharedMemoryLink
from frostspindle.cores.mesh import (
    _REPLY,
    MAX_UNSENT_REPLY_BYTES,
    WorkerMesh,
    WorkerUnavailableError,
    _OwnerConnection,
)
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


# Guards against: a coordinator with workers was ready up to 5 ms before it knew its engines, and refused to ban one.
def test_a_worker_publishes_its_engines_before_it_serves():
    steps = mock.Mock()
    link = SharedMemoryLink.__new__(SharedMemoryLink)
    link.region, link.publisher = steps.region, steps.publisher
    link.serving()
    assert steps.mock_calls == [
        mock.call.publisher.flush(),
        mock.call.region.write_cell(HeadCell.STATE, WorkerState.SERVING),
    ]


class UnreadTransport:
    """The transport of a connection whose peer reads nothing."""

    def __init__(self):
        self.buffer = bytearray()

    def is_closing(self):
        return False

    def write(self, data):
        self.buffer += data

    def get_write_buffer_size(self):
        return len(self.buffer)


# Guards against: rows for a worker that did not read were buffered without a bound, up to 512 calls of 256 KB.
def test_rows_for_a_worker_that_does_not_read_are_bounded_and_not_lost():
    rows = b"17\t42\tok\n" * 5333

    async def run():
        front = HoldingFront()
        owner = _OwnerConnection(front, set())
        owner.transport = UnreadTransport()
        for number in range(400):
            owner.frame_received((number, b"GET", b"/call/lookup/%d/0" % number))
        for call in front.calls:
            call.reply_page(rows, "")
        assert len(owner.transport.buffer) < MAX_UNSENT_REPLY_BYTES + 2 * len(rows) + 400 * 100
        frames, position, bodies = owner.transport.buffer, 0, []
        while position < len(frames):
            length = int.from_bytes(frames[position : position + 4], "little")
            number, status, body, _, _ = _REPLY.decode(frames[position + 4 : position + 4 + length])
            position += 4 + length
            bodies.append((number, status, body, "next" in body))
        whole = [reply for reply in bodies if not reply[3]]
        assert len(bodies) == 400 and 1 <= len(whole) < 10
        assert all(len(body["rows"]) == 5333 for _, _, body, _ in whole)
        for number, status, body, has_next in bodies:  # the others ask again, and their rows are kept
            assert status == 200 and (not has_next or body == {"next": f"/call/lookup/{number}/0"})

    asyncio.run(run())
