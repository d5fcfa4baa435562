"""Requests of clients that have left are not sent to engines: real processes, raw connections.

The engine joins only after the client has left, so that its request is still queued then. A second request, sent later
by another client, shows that the coordinator has dispatched its queue.
"""

import asyncio
import json
import signal
import socket
import struct
from contextlib import asynccontextmanager

import pytest

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.lab.faults.runner import Process, free_port

PATH_GIVEN_S = 3.0  # within which a held POST gets a path
LEFT_SLACK_S = 0.1  # an attempt may start this long after its client left
LEFT, STAYS, FIRST = "00000000000000a1", "00000000000000b2", "00000000000000c3"
WORKERS_FILE = "[cores]\nworkers = 2\n"


class Site:
    """A coordinator, an engine that is announced later, and the event bus between them."""

    def __init__(self, process, engine, bus):
        self.process = process
        self.engine = engine
        self.bus = bus

    async def join_engine(self):
        """Announce the engine after the time in which an attempt for a departed client may still start."""
        await asyncio.sleep(2.0 * LEFT_SLACK_S)
        self.bus.say(host_entry(self.engine.name, self.engine.port))

    def sent(self):
        return [ticket for _, ticket, _ in self.engine.sent]

    async def open(self):
        return await asyncio.open_connection("127.0.0.1", self.process.http)


@asynccontextmanager
async def running_site(folder, operator=""):
    engine = await Engine("s-00000001", delay_s=0.01).start()
    engine.keep = True
    bus = await Bus().start()
    bus.say(whole=True)
    process = Process(0, folder)
    process.http = free_port(socket.SOCK_STREAM)
    process.operator_port = free_port(socket.SOCK_STREAM)
    config = coordinator_config([], bus.port, sockets=300)
    config["settings"]["categories"][1]["effect"] = "once"
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(operator)
    try:
        await process.start()
        await process.until(lambda: any("workers" in e or not operator for e in process.events("coordinator_started")))
        yield Site(process, engine, bus)
    finally:
        await process.end()
        engine.server.close()
        bus.server.close()


def post(ticket, cls="report", timeout_ms=9000):
    body = f"SELECT '{ticket}' FROM calls_17.notes"
    return (
        f"POST /call/{cls} HTTP/1.1\r\nHost: t\r\nX-Request-Id: {ticket}\r\nX-Timeout-Ms: {timeout_ms}\r\n"
        f"X-Cost-Ms: 50\r\nX-Memory: 16\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode()


async def read_answer(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head.split()[1]), json.loads(await reader.readexactly(length))


async def follow(reader, writer, path=""):
    """Read to the final response, polling each path on the same connection."""
    if path:
        writer.write(get(path))
    while True:
        status, body = await read_answer(reader)
        if "next" not in body:
            return status, body
        writer.write(get(body["next"]))


async def serve_another(site):
    """Send a second request and return its final response; the engine is announced while it waits."""
    reader, writer = await site.open()
    writer.write(post(STAYS))
    await site.join_engine()
    async with asyncio.timeout(8.0):
        answer = await follow(reader, writer)
    writer.close()
    return answer


# Ways in which a client leaves, after its POST was held for the maximum time.


async def close_unread(site):
    """Close while the response with the path is in flight, which resets the connection."""
    plain = socket.socket()
    plain.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(plain, ("127.0.0.1", site.process.http))
    await loop.sock_sendall(plain, post(LEFT))
    arrived = asyncio.Event()
    loop.add_reader(plain, arrived.set)
    async with asyncio.timeout(PATH_GIVEN_S):
        await arrived.wait()
    loop.remove_reader(plain)
    plain.close()


async def reset_unread(site):
    """Reset the connection while the response with the path is in flight."""
    plain = socket.socket()
    plain.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    plain.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(plain, ("127.0.0.1", site.process.http))
    await loop.sock_sendall(plain, post(LEFT))
    arrived = asyncio.Event()
    loop.add_reader(plain, arrived.set)
    async with asyncio.timeout(PATH_GIVEN_S):
        await arrived.wait()
    loop.remove_reader(plain)
    plain.close()


async def take_path(site):
    reader, writer = await site.open()
    writer.write(post(LEFT))
    async with asyncio.timeout(PATH_GIVEN_S):
        _, body = await read_answer(reader)
    return reader, writer, body["next"]


async def close_after_path(site):
    """Read the path and close the connection without a DELETE."""
    _, writer, _ = await take_path(site)
    writer.close()
    await writer.wait_closed()


async def shut_after_path(site):
    """Read the path and shut down the sending side."""
    _, writer, _ = await take_path(site)
    writer.write_eof()


async def close_under_call(site):
    """Poll the path and close that connection."""
    _, writer, path = await take_path(site)
    writer.write(get(path))
    await writer.drain()
    await asyncio.sleep(LEFT_SLACK_S)  # the call has arrived and is held
    writer.close()
    await writer.wait_closed()


async def close_other_connection(site):
    """Poll the path on a second connection and close both."""
    _, first, path = await take_path(site)
    _, second = await site.open()
    second.write(get(path))
    await second.drain()
    await asyncio.sleep(LEFT_SLACK_S)
    for writer in (first, second):
        writer.close()
        await writer.wait_closed()


async def delete_path(site):
    """Send a DELETE on a new connection."""
    _, writer, path = await take_path(site)
    reader, other = await site.open()
    other.write(f"DELETE {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode())
    assert b"204" in await reader.readline()
    for entry in (writer, other):
        entry.close()


DEPARTURES = [
    close_unread,
    reset_unread,
    close_after_path,
    shut_after_path,
    close_under_call,
    close_other_connection,
    delete_path,
]


# Guards against: a request with a path was sent 4.8 s after its client had closed its connection.
@pytest.mark.parametrize("leave", DEPARTURES)
def test_nothing_is_sent_for_a_client_that_left_when_it_got_a_path(tmp_path, leave):
    async def play():
        async with running_site(tmp_path) as site:
            await leave(site)
            status, body = await serve_another(site)
            assert (status, len(body["rows"])) == (200, 1)
            assert site.sent() == [STAYS]

    asyncio.run(play())


# Guards against the same at a worker whose client polled the path at another worker.
@pytest.mark.parametrize("leave", [close_after_path, close_other_connection])
def test_nothing_is_sent_for_a_client_that_left_over_several_workers(tmp_path, leave):
    async def play():
        async with running_site(tmp_path, WORKERS_FILE) as site:
            await leave(site)
            status, body = await serve_another(site)
            assert (status, len(body["rows"])) == (200, 1)
            assert site.sent() == [STAYS]

    asyncio.run(play())


# Guards against: a client that polls its path again after its connection broke is not served any more.
@pytest.mark.parametrize("operator", ["", WORKERS_FILE])
def test_client_that_polls_its_path_on_a_new_connection_is_served(tmp_path, operator):
    async def play():
        async with running_site(tmp_path, operator) as site:
            _, first, path = await take_path(site)
            first.transport.abort()
            await site.process.until(lambda: site.process.events("client_away", ticket=LEFT))
            reader, second = await site.open()
            second.write(get(path))
            await site.process.until(lambda: site.process.events("client_returned", ticket=LEFT))
            await site.join_engine()
            async with asyncio.timeout(8.0):
                status, body = await follow(reader, second)
            assert (status, len(body["rows"]), site.sent()) == (200, 1, [LEFT])
            second.close()

    asyncio.run(play())


# Guards against: the request of a client that returned after its engine had joined was lost.
def test_a_request_is_sent_when_its_client_returns(tmp_path):
    async def play():
        async with running_site(tmp_path) as site:
            _, first, path = await take_path(site)
            first.transport.abort()
            await site.process.until(lambda: site.process.events("client_away", ticket=LEFT))
            assert (await serve_another(site))[0] == 200
            assert site.sent() == [STAYS]
            reader, second = await site.open()
            async with asyncio.timeout(8.0):
                status, body = await follow(reader, second, path)
            assert (status, len(body["rows"]), site.sent()) == (200, 1, [STAYS, LEFT])
            second.close()

    asyncio.run(play())


async def idle_connection(site):
    """Give the coordinator an idle connection to its engine, which then drains for a while."""
    site.bus.say(host_entry(site.engine.name, site.engine.port))
    reader, writer = await site.open()
    writer.write(post(FIRST))
    assert (await follow(reader, writer))[0] == 200
    writer.close()
    site.bus.say(host_entry(site.engine.name, site.engine.port, "leaving"))
    await asyncio.sleep(2.0 * LEFT_SLACK_S)


# Guards against: a process that had been stopped sent a request before it read the DELETE received meanwhile.
@pytest.mark.parametrize("stopped_s", [0.15, 0.25, 0.6])
def test_delete_received_while_the_process_was_stopped_is_read_before_anything_is_sent(tmp_path, stopped_s):
    async def play():
        async with running_site(tmp_path) as site:
            await idle_connection(site)
            reader, writer, path = await take_path(site)
            writer.write(get(path))
            other_reader, other = await site.open()
            other.write(post(STAYS))
            await site.process.until(lambda: site.process.events("response_path_given", ticket=STAYS))
            _, body = await read_answer(other_reader)
            site.process.send_signal(signal.SIGSTOP)
            _, leaving = await site.open()
            leaving.write(f"DELETE {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode())
            site.bus.say(host_entry(site.engine.name, site.engine.port))
            await asyncio.sleep(stopped_s)
            site.process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(8.0):
                status, body = await follow(other_reader, other, body["next"])
            assert (status, site.sent()) == (200, [FIRST, STAYS])
            for entry in (writer, other, leaving):
                entry.close()

    asyncio.run(play())
