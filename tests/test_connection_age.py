"""The age of a connection that waited in the accept queue: net/http/tcp_info.py and the listener."""

import asyncio
import socket
import time

from peers import EdgeCase

from frostspindle.core import clock
from frostspindle.net.http.tcp_info import CLOCK_TICK_MS, TCP_INFO_BYTES, connection_age_ms

WAITED_S = 0.3


def read_age_ms(connection):
    return connection_age_ms(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES))


def test_age_is_never_less_than_the_time_since_connecting():
    listening = socket.create_server(("127.0.0.1", 0))
    client = socket.create_connection(listening.getsockname())
    connected_s = time.monotonic()
    client.send(b"x")
    time.sleep(WAITED_S)
    accepted, _ = listening.accept()
    age_ms = read_age_ms(accepted)
    least_ms = 1000.0 * (time.monotonic() - connected_s)
    assert least_ms - 5.0 <= age_ms <= least_ms + 2.0 * CLOCK_TICK_MS + 100.0
    client.close()
    assert read_age_ms(accepted) >= age_ms
    assert read_age_ms(listening) is None
    assert connection_age_ms(b"") is None and connection_age_ms(bytes(TCP_INFO_BYTES)) is None
    accepted.close()
    listening.close()


class QueuedConnections(EdgeCase):
    """Connections that are accepted late."""

    async def open_late(self):
        """Open a connection, let it wait in the queue, and return when it was opened and how old the front takes it."""
        listener = self.program.platform.listener
        self.program.platform.loop.remove_reader(listener._socket)
        opened_ms = clock()
        client = socket.create_connection(("127.0.0.1", self.program.platform.port))
        self.addCleanup(client.close)
        await asyncio.sleep(WAITED_S)
        accepted, _ = listener._socket.accept()
        self.addCleanup(accepted.close)
        return opened_ms, listener._earliest_arrival_ms(accepted)

    # Guards against: while a crowd kept the queue from ever being empty, each new request counted as old as the crowd,
    # and was answered as failed because its time seemed to be over.
    async def test_connection_is_no_older_than_itself_however_long_the_queue_was_in_use(self):
        await self.start()
        self.program.platform.listener._queued_since_ms = clock() - 10_000.0
        opened_ms, earliest_ms = await self.open_late()
        self.assertGreater(earliest_ms, opened_ms - 100.0)

    # Guards against: a connection that waited at an inherited socket since before the start of this process counted as
    # younger than it was, so that its engine's deadline lay behind its client's.
    async def test_connection_at_an_inherited_socket_may_be_older_than_the_process(self):
        await self.start()
        listener = self.program.platform.listener
        for has_seen_queue_empty in (True, False):
            listener._has_seen_queue_empty = has_seen_queue_empty
            listener._queued_since_ms = clock() + 200.0  # the start, after the connection was opened
            opened_ms, earliest_ms = await self.open_late()
            self.assertEqual(earliest_ms <= opened_ms + 5.0, not has_seen_queue_empty)
