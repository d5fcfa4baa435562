"""Requests whose clients' ends lie behind unread input, and ids that come again: real processes, raw connections.

Class `report` must not run twice here. An engine that joins late shows what is still sent, as in
test_client_departure.py.
"""

import asyncio
import json
import socket
from contextlib import asynccontextmanager

import pytest
from test_client_departure import (
    LEFT,
    STAYS,
    WORKERS_FILE,
    Site,
    follow,
    get,
    post,
    read_answer,
    running_site,
    serve_another,
    take_path,
)

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.lab.faults.runner import Process, free_port

ENGINE_DELAY_S = 0.6
FIRST_NUMBER = 0xD000000000000000  # of the requests of the client that sends many


class UpgradedProcess(Process):
    """One of the two processes of an upgrade, on an inherited socket."""

    def __init__(self, number, folder, listening):
        super().__init__(number, folder)
        self.listening = listening
        self.inherited_descriptors = (listening.fileno(),)
        self.http = listening.getsockname()[1]
        self.operator_port = free_port(socket.SOCK_STREAM)

    def process_environment(self):
        return {
            **super().process_environment(),
            "LB_NAME": "upgraded",
            "LB_INHERITED_FD": str(self.listening.fileno()),
        }


@asynccontextmanager
async def upgrade(folder, operator=""):
    """Start an old process; yield its site, and a function that starts the new one and has the old one leave."""
    engine = await Engine("s-00000001", delay_s=ENGINE_DELAY_S).start()
    engine.keep = True
    bus = await Bus().start()
    bus.say(whole=True)
    listening = socket.create_server(("127.0.0.1", 0), backlog=64)
    config = coordinator_config([], bus.port, sockets=300)
    config["settings"]["categories"][1]["effect"] = "once"
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(operator)
    processes = [UpgradedProcess(number, folder, listening) for number in range(2)]

    async def start(process):
        await process.start()
        wanted = "workers" if operator else "listen"
        await process.until(lambda: any(wanted in event for event in process.events("coordinator_started")))

    async def replace():
        await start(processes[1])
        processes[0].send_signal(15)
        await processes[0].until(lambda: processes[0].events("shutdown_started"))

    try:
        await start(processes[0])
        yield Site(processes[0], engine, bus), replace
    finally:
        for process in processes:
            await process.end()
        listening.close()
        engine.server.close()
        bus.server.close()


async def send_until_full(site):
    """Send requests until both systems' buffers are full, and close: the end of the connection lies behind them."""
    plain = socket.create_connection(("127.0.0.1", site.process.http))
    plain.setblocking(False)
    number = 0
    refusals = 0
    while refusals < 40:  # what was read meanwhile makes room again
        data = b"".join(post(f"{FIRST_NUMBER + number + i:016x}", "lookup") for i in range(200))
        try:
            sent = plain.send(data)
        except BlockingIOError:
            refusals += 1
            await asyncio.sleep(0.005)
            continue
        if sent < len(data):
            data = data[sent:]
            refusals += 1
            break
        number += 200
    plain.close()


# Guards against: a client closed its connection with much still unread, and its requests were sent on afterwards.
@pytest.mark.parametrize("operator", ["", WORKERS_FILE])
def test_nothing_is_sent_for_a_client_whose_end_lies_behind_unread_input(operator, tmp_path):
    async def play():
        async with running_site(tmp_path, operator) as site:
            await send_until_full(site)
            status, body = await serve_another(site)
            assert (status, len(body["rows"])) == (200, 1)
            assert site.sent() == [STAYS]

    asyncio.run(play())


async def wait_for_run(site):
    async with asyncio.timeout(8.0):
        while LEFT not in site.sent():
            await asyncio.sleep(0.005)


async def answer_of(site, data):
    reader, writer = await site.open()
    writer.write(data)
    async with asyncio.timeout(8.0):
        answer = await follow(reader, writer)
    writer.close()
    return answer


# Guards against: an id of a class that must not run twice ran again when it came again after its client had left.
@pytest.mark.parametrize("operator", ["", WORKERS_FILE])
def test_id_that_may_have_run_does_not_run_again(operator, tmp_path):
    async def play():
        async with running_site(tmp_path, operator) as site:
            site.engine.delay_s = ENGINE_DELAY_S
            site.bus.say(host_entry(site.engine.name, site.engine.port))
            for _ in range(6):  # at each worker, if there are two
                _, writer = await site.open()
                writer.write(post(LEFT))
                await wait_for_run(site)
                writer.transport.abort()
                await asyncio.sleep(0.1)
            status, body = await answer_of(site, post(LEFT))
            assert (status, body) == (502, {"failure": "Failed"})
            assert site.sent() == [LEFT]

    asyncio.run(play())


def test_id_that_has_been_refused_runs_when_it_comes_again(tmp_path):
    async def play():
        async with running_site(tmp_path) as site:
            assert (await answer_of(site, post(LEFT, timeout_ms=60)))[0] in (502, 503)  # no engine, nothing was sent
            site.bus.say(host_entry(site.engine.name, site.engine.port))
            status, _ = await answer_of(site, post(LEFT))
            assert (status, site.sent()) == (200, [LEFT])

    asyncio.run(play())


# Guards against: an id ran twice when it came again at the other process of an upgrade.
@pytest.mark.parametrize("leaves", [False, True])
@pytest.mark.parametrize("operator", ["", WORKERS_FILE])
def test_id_does_not_run_again_at_the_other_process_of_an_upgrade(operator, leaves, tmp_path):
    async def play():
        async with upgrade(tmp_path, operator) as (site, replace):
            site.bus.say(host_entry(site.engine.name, site.engine.port))
            site.engine.delay_s = 3.0
            _, writer = await site.open()
            writer.write(post(LEFT))
            await wait_for_run(site)
            await replace()
            if leaves:
                writer.transport.abort()
                await asyncio.sleep(0.2)
            status, body = await answer_of(site, post(LEFT))
            assert status in (409, 502) and "rows" not in body
            assert site.sent() == [LEFT]
            writer.close()

    asyncio.run(play())


# Guards against: a request whose client sent DELETE to the other process of an upgrade was sent afterwards.
@pytest.mark.parametrize("operator", ["", WORKERS_FILE])
def test_request_deleted_at_the_other_process_of_an_upgrade_is_not_sent(operator, tmp_path):
    async def play():
        async with upgrade(tmp_path, operator) as (site, replace):
            reader, writer, path = await take_path(site)
            writer.write(get(path))
            await asyncio.sleep(0.05)
            await replace()
            other_reader, other = await site.open()
            other.write(f"DELETE {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode())
            assert b"204" in await other_reader.readline()
            await site.join_engine()
            async with asyncio.timeout(8.0):
                status, body = await read_answer(reader)
            assert "rows" not in body
            assert site.sent() == []
            for entry in (writer, other):
                entry.close()

    asyncio.run(play())
