"""Which partial requests are refused once they hold too much memory together: input_memory.py."""

import asyncio
import errno
import socket

from peers import EdgeCase

from frostspindle.held_memory import HeldMemory, HeldPurpose
from frostspindle.input_memory import InputMemory
from frostspindle.net.http.request_parser import ParsedRequest

INPUT_SHARE = 1 / 16  # of limits.memory_mb, as docs/operators.md states


class Partial:
    """A partial request that began at a given time."""

    def __init__(self, memory, since_s, may_refuse=True):
        self.memory, self.input_since_s, self.may_refuse, self.is_refused = memory, since_s, may_refuse, False

    def refuse_input(self):
        self.is_refused = self.may_refuse
        if self.may_refuse:
            self.memory.hold(self, 0)
        return self.may_refuse


def make_memory(memory_mb=16.0, now_s=10.0):
    held = HeldMemory(memory_mb)
    return held, InputMemory(held, lambda: now_s)


def test_requests_that_hold_most_for_longest_are_refused_first():
    held, memory = make_memory()
    old_large, old_small, young_large = Partial(memory, 8.0), Partial(memory, 8.0), Partial(memory, 9.999)
    memory.hold(old_small, 500)
    memory.hold(old_large, 600_000)
    memory.hold(young_large, 440_000)
    assert not (old_large.is_refused or old_small.is_refused or young_large.is_refused)
    memory.hold(young_large, 460_000)
    assert (old_large.is_refused, old_small.is_refused, young_large.is_refused) == (True, False, False)
    assert held.used[HeldPurpose.INPUT] == 460_500


def test_sum_stays_within_the_limit_unless_none_can_be_refused():
    held, memory = make_memory()
    for number in range(200):
        memory.hold(Partial(memory, number / 20.0), 50_000)
        assert held.used[HeldPurpose.INPUT] <= held.input_limit
    pinned = Partial(memory, 0.0, may_refuse=False)
    memory.hold(pinned, 2 * held.input_limit)
    assert memory.is_short and held.used[HeldPurpose.INPUT] == 2 * held.input_limit


def test_limit_is_halved_while_another_process_of_the_coordinator_runs():
    held, _ = make_memory()
    held.share(True)
    assert held.input_limit == 16 * 2**20 * INPUT_SHARE / 2


class PartialRequests(EdgeCase):
    """Partial requests at the HTTP front."""

    async def test_refused_requests_keep_nothing_and_others_are_served(self):
        await self.start(limits={"memory_mb": 8.0, "cores": 1.0, "sockets": 1024})
        front, held = self.program.platform, self.program.core.held_memory
        partial = (
            b"POST /call/lookup HTTP/1.1\r\nHost: t\r\nX-Request-Id: 00000000000000f%x\r\nX-Timeout-Ms: 3000\r\n"
            b"Content-Length: 65000\r\n\r\n" + b"x" * 60_000
        )
        clients = [socket.create_connection(("127.0.0.1", front.port)) for _ in range(12)]
        for number, client in enumerate(clients):
            self.addCleanup(client.close)
            await asyncio.to_thread(client.sendall, partial % number)
        await self.until(lambda: self.count("calls_rejected_input_memory") >= 4)
        self.assertLessEqual(held.used[HeldPurpose.INPUT], 8 * 2**20 * INPUT_SHARE)
        self.assertEqual((await self.ask())[0], 200)
        self.assertTrue(any(line.get("reason") == "input_memory" for line in self.log))
        await asyncio.to_thread(clients[0].settimeout, 5.0)
        self.assertIn(b"503", await asyncio.to_thread(clients[0].recv, 4096))  # the first, and so the oldest
        for client in clients:
            client.close()
        await self.until(lambda: not held.used[HeldPurpose.INPUT])


class FailingSocket:
    """A connected socket whose peer has reset it: it takes what was buffered, and fails at the next write."""

    def __init__(self, connected):
        self.connected, self.has_failed = connected, False

    def __getattr__(self, name):
        return getattr(self.connected, name)

    def shutdown(self, how):
        raise OSError(errno.ENOTCONN, "not connected")

    def send(self, data):
        if self.has_failed:
            raise ConnectionResetError
        self.has_failed = True
        return len(data)


class FailingWrites(EdgeCase):
    """Writes that fail once the system takes more."""

    async def stuck_client(self):
        """Return a connection whose client has not read all, and the errors that reach the event loop."""
        await self.start()
        loop, errors = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        _, writer = await asyncio.open_connection("127.0.0.1", self.program.platform.port)
        self.addCleanup(writer.close)
        await self.until(lambda: self.program.platform.clients)
        (client,) = self.program.platform.clients
        transport = client.transport
        transport._buffer.extend(b"x")  # as after a write that the system took in part
        client.pause_writing()
        transport._protocol_paused = True
        transport._sock = FailingSocket(transport._sock)
        return client, errors

    async def write_on(self, client):
        """Let the system take what is buffered, and wait for the end of the connection."""
        asyncio.get_running_loop()._add_writer(client.transport._sock_fd, client.transport._write_ready)
        await self.until(lambda: not self.program.platform.clients)
        await asyncio.sleep(0)

    # Guards against: the end of a connection was handled twice, with an exception in the log, if the write of a waiting
    # answer failed as the system took more.
    async def test_write_that_fails_as_a_connection_can_be_written_again_ends_it_once(self):
        client, errors = await self.stuck_client()
        for _ in range(2):
            client.request_received(ParsedRequest(b"GET", b"/ping", {}, b"", False))
        await self.write_on(client)
        self.assertEqual(errors, [])

    # Guards against: an exception in the log if a client reset its connection before it had read its last response.
    async def test_reset_before_the_last_response_was_taken_raises_nothing(self):
        client, errors = await self.stuck_client()
        client.leave()
        await self.write_on(client)
        self.assertEqual(errors, [])
