"""The event bus ends, moves or falls silent: its events still count as delivered after a fixed time."""

import asyncio
import json
import os
import resource
import signal
import socket
import time
import unittest.mock

import pytest
from fleet import Coordinator, FleetCase
from peers import SQL, Bus, EdgeCase, HttpEngine, change, host, settings

from frostspindle import config as configuration
from frostspindle.net import discovery as watching
from frostspindle.reserved_descriptor import ReservedDescriptor

DELIVERY_S = 7.0  # by the protocol, events count as delivered after this time
DRAINING = 2


class BusTestCase(EdgeCase):
    """A coordinator with one engine, connected to a bus."""

    async def joined(self) -> Bus:
        (self.engine,) = await self.engines()
        bus = await Bus().start()
        self.addCleanup(bus.server.close)
        await self.coordinator([host("s-00000001", self.engine.port)], bus=bus.port)
        await bus.joined()
        return bus

    def drain(self, number: int) -> dict:
        return change(number, host("s-00000001", self.engine.port, "leaving"))

    def patch_constants(self, **figures: float) -> None:
        for name, figure in figures.items():
            patch = unittest.mock.patch.object(watching, name, figure)
            patch.start()
            self.addCleanup(patch.stop)


class Silence(BusTestCase):
    async def test_drain_is_applied_in_time_after_two_silent_reconnects(self):
        bus = await self.joined()
        began = time.monotonic()
        bus.say(1)  # the last line before the connections fall silent; the drain follows
        await bus.joined(4)  # the second and third are silent too
        bus.say(self.drain(2))
        await self.until(lambda: self.program.core.engines[1].entry.health == DRAINING)
        self.assertLess(time.monotonic() - began, DELIVERY_S)
        self.assertEqual(bus.froms, ["from 1"] * 4)
        self.assertEqual((await self.ask(timeout=400.0))[0], 503)
        self.assertEqual(self.engine.of("POST"), [])

    async def test_bus_that_is_slow_on_each_connection_is_received_eventually(self):
        self.patch_constants(SILENCE_TIMEOUT_S=0.1, MAX_SILENCE_TIMEOUT_S=2.0)
        bus = await self.joined()

        async def late(number: int) -> None:  # sends only after twice the first timeout
            await bus.joined(number)
            asyncio.get_running_loop().call_later(0.2, bus.writers[number - 1].write, b"1\n")

        for number in range(2, 6):
            await late(number)
        await self.until(lambda: self.program.bus.has_received_valid)

    async def test_pause_of_this_process_does_not_count_as_silence_of_the_bus(self):
        self.patch_constants(SILENCE_TIMEOUT_S=0.5)
        bus = await self.joined()
        for _ in range(2):
            bus.say(1)  # stays unread while this process pauses for longer than the silence timeout
            time.sleep(0.8)
            await asyncio.sleep(0.1)
        self.assertEqual((len(bus.froms), self.count("bus_reconnects")), (1, 0))

    async def test_incomplete_line_does_not_reset_the_silence_timeout(self):
        self.patch_constants(SILENCE_TIMEOUT_S=0.3)
        bus = await self.joined()

        async def drip() -> None:
            while True:
                bus.writers[0].write(b"1")
                await asyncio.sleep(0.02)

        dripping = asyncio.create_task(drip())
        await bus.joined(2)
        dripping.cancel()
        bus.say(self.drain(2))
        await self.until(lambda: self.program.core.engines[1].entry.health == DRAINING)


class Lines(BusTestCase):
    async def test_truncated_event_is_requested_again_and_applied_once(self):
        bus = await self.joined()
        for number, cut in enumerate((1, 2, 60, -3, -1, None), 2):
            line = json.dumps(change(number, host("s-00000001", self.engine.port))).encode()
            bus.writers[-1].write(line[:cut])
            joined = len(bus.froms)
            if number % 2:  # a partial line, then a close or a reset
                bus.writers[-1].close()
            else:
                await asyncio.sleep(0.02)
                bus.writers[-1].transport.abort()
            await bus.joined(joined + 1)
            self.assertEqual((bus.froms[-1], self.program.bus.last), (f"from {number - 1}", number - 1))
            for _ in range(2):  # sent twice, applied once
                bus.say(change(number, host("s-00000001", self.engine.port)))
            await self.until(lambda n=number: self.program.bus.last == n)
        await asyncio.sleep(0.05)
        self.assertEqual(sum(line["event"] == "engine_updated" for line in self.log), 7)

    async def test_too_long_line_closes_the_connection_and_a_long_list_does_not(self):
        bus = await self.joined()
        bus.writers[-1].write(b"[" * (watching.MAX_LINE_BYTES + 70_000))
        await bus.joined(2)
        hosts = [host(f"s-{n:08x}", self.engine.port) for n in range(1, 5000)]
        bus.say(change(2, *hosts, whole=True))
        await self.until(lambda: len(self.program.core.engines) == len(hosts))
        self.assertEqual(bus.froms, ["from 1", "from 1"])

    async def test_complete_list_removes_missing_engines_and_lower_offsets_are_ignored(self):
        bus = await self.joined()
        bus.say(0, change(2, host("s-00000002", self.engine.port), whole=True), 1, 2)
        await self.until(lambda: self.program.bus.last == 2 and self.count("bus_behind") == 2)
        self.assertEqual({n: e.entry.health for n, e in self.program.core.engines.items()}, {1: 0, 2: 1})
        self.assertEqual((len(bus.froms), self.count("bus_reconnects")), (1, 0))


class Moves(BusTestCase):
    async def move_bus(self) -> Bus:
        new = await Bus().start()
        self.addCleanup(new.server.close)
        self.config_file.write_text(json.dumps({**self.document, "bus": f"127.0.0.1:{new.port}"}))
        self.program.reload()
        await new.joined()
        return new

    async def test_move_within_a_line_discards_the_partial_line(self):
        bus = await self.joined()
        bus.writers[-1].write(json.dumps(self.drain(2)).encode()[:-1])
        await asyncio.sleep(0.05)
        new = await self.move_bus()
        bus.writers[-1].write(b"}\n")  # the old bus is ignored
        await asyncio.sleep(0.05)
        self.assertEqual((new.froms, self.program.bus.last), (["from 1"], 1))
        new.say(self.drain(2))
        await self.until(lambda: self.program.core.engines[1].entry.health == DRAINING)

    async def test_move_during_a_hanging_connect_is_applied_at_once(self):
        self.patch_constants(CONNECT_TIMEOUT_S=60.0)
        hanging = socket.socket()  # its backlog is full: further SYNs are dropped
        hanging.bind(("127.0.0.1", 0))
        hanging.listen(0)
        filled = [socket.socket() for _ in range(3)]
        for entry in (hanging, *filled):
            self.addCleanup(entry.close)
        for entry in filled:
            entry.setblocking(False)
            entry.connect_ex(hanging.getsockname())
        (self.engine,) = await self.engines()
        await self.coordinator([host("s-00000001", self.engine.port)], bus=hanging.getsockname()[1])
        await asyncio.sleep(0.1)
        self.assertEqual(self.count("bus_reconnects"), 0)
        async with asyncio.timeout(20.0):
            new = await self.move_bus()
        self.assertEqual(new.froms, ["from 1"])

    async def test_invalid_configuration_files_are_logged_and_ignored(self):
        bus = await self.joined()
        whole = json.dumps(self.document)
        for text in (
            "",
            whole[: len(whole) // 2],
            "[]",
            "null",
            json.dumps({**self.document, "known": 1}),
            json.dumps({**self.document, "limits": {"sockets": "x"}}),
            b"\xff\xfe",
            None,
        ):
            before = len(self.log)
            if text is None:
                self.config_file.unlink()
            else:
                self.config_file.write_bytes(text if isinstance(text, bytes) else text.encode())
            self.program.reload()
            self.assertEqual(
                [(line["event"], "LB_CONFIG" in line["error"]) for line in self.log[before:]],
                [("config_reload_failed", True)],
            )
        self.assertEqual((self.count("reloads_failed"), self.program.bus.bus_address[1]), (8, bus.port))
        bus.say(self.drain(2))
        await self.until(lambda: self.program.core.engines[1].entry.health == DRAINING)
        self.config_file.write_text(whole)
        self.assertEqual((await self.move_bus()).froms, ["from 2"])


class NoFreeDescriptors(FleetCase):
    """Idle clients use all descriptors of a real process while the bus is down."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engines = [await HttpEngine().start() for _ in range(2)]
        self.bus = await Bus().start()
        hosts = [host(f"s-{n:08x}", engine.port) for n, engine in enumerate(self.engines, 1)]
        self.hosts, self.config = (
            hosts,
            {
                "name": "t0",
                "listen": "127.0.0.1:0",
                "settings": settings(),
                "bus": f"127.0.0.1:{self.bus.port}",
                "known": {"offset": 1, "batch": [change(1, *hosts, whole=True)]},
            },
        )
        for part in (*self.engines, self.bus):
            self.addCleanup(part.server.close)
        self.running = Coordinator(self, self.config)
        ready = await self.running.event("coordinator_started")
        self.port = int(ready["listen"].rpartition(":")[2])
        await self.bus.joined()
        self.client = await asyncio.open_connection("127.0.0.1", self.port)
        for number in (1, 2):
            self.assertEqual((await self.ask(number))[0], b"200")  # one connection to each engine is open

    async def ask(self, number):
        reader, writer = self.client
        writer.write(
            f"POST /call/lookup HTTP/1.1\r\nHost: t\r\nX-Request-Id: {number:016x}\r\nX-Timeout-Ms: 3000\r\n"
            f"X-Cost-Ms: 50\r\nContent-Length: {len(SQL)}\r\n\r\n{SQL}".encode()
        )
        async with asyncio.timeout(10.0):
            head = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
            return head.split()[1], await reader.readexactly(int(fields[b"content-length"]))

    def open(self):
        return os.listdir(f"/proc/{self.running.process.pid}/fd")

    async def exhaust_descriptors(self):
        """Stop the bus and let silent clients take every descriptor; further ones wait in the backlog."""
        self.bus.server.close()
        self.bus.writers[0].transport.abort()
        await self.running.event("discovery_disconnected", 2)  # a reconnect has failed
        most = max(map(int, self.open())) + 12
        resource.prlimit(self.running.process.pid, resource.RLIMIT_NOFILE, (most, most))

        async def silent():
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                    await reader.read()
                    writer.close()
                except OSError:
                    pass

        for _ in range(100):
            task = asyncio.create_task(silent())
            self.addCleanup(task.cancel)
        await self.until(lambda: len(self.open()) == most)
        await self.running.event("accept_failed")

    async def restart_bus(self, port=0):
        server = await asyncio.start_server(self.bus._serve, "127.0.0.1", port)
        self.addCleanup(server.close)
        return server.sockets[0].getsockname()[1]

    async def check_drain_is_applied(self):
        """Check that a drain sent by the returning bus is applied in time, and that requests are served."""
        async with asyncio.timeout(DELIVERY_S):
            await self.bus.joined(2)
        self.bus.say(change(2, {**self.hosts[0], "health": "leaving"}))
        await self.running.until(
            lambda: any(
                (event.get("name"), event.get("health")) == ("s-00000001", DRAINING) for event in self.running.events
            )
        )
        sent = len(self.engines[0].of("POST"))
        for number in range(10, 14):
            self.assertEqual((await self.ask(number))[0], b"200")
        self.assertEqual(len(self.engines[0].of("POST")), sent)

    async def test_returning_bus_is_joined_without_free_descriptors(self):
        await self.exhaust_descriptors()
        await self.restart_bus(self.bus.port)
        await self.check_drain_is_applied()

    async def test_new_configuration_is_applied_without_free_descriptors(self):
        await self.exhaust_descriptors()
        port = await self.restart_bus()
        self.running.config.write_text(json.dumps({**self.config, "bus": f"127.0.0.1:{port}"}))
        self.running.process.send_signal(signal.SIGHUP)
        self.assertNotIn("error", await self.running.event("config_reloaded"))
        await self.check_drain_is_applied()


@pytest.fixture
def bound():
    """Return a function that lowers this process's descriptor limit for the test."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    yield lambda most: resource.setrlimit(resource.RLIMIT_NOFILE, (most, before[1]))
    resource.setrlimit(resource.RLIMIT_NOFILE, before)


def test_reserved_descriptor_is_available_for_one_file_at_a_time(bound):
    spare = ReservedDescriptor()
    with open(os.devnull) as last:
        bound(last.fileno() + 1)
        with pytest.raises(OSError, match="Too many"):
            socket.socket()
        with spare.lent(), socket.socket():
            pass
        assert spare.free() and not spare.free()
        with socket.socket():
            spare.take()  # none is available
            assert not spare.free()
        spare.take()
        assert spare.free()


def test_socket_limit_is_capped_by_the_descriptor_limit(bound, tmp_path):
    path = tmp_path / "config.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "settings": settings(), "limits": {"sockets": 1024}}))
    assert configuration.read({"LB_CONFIG": str(path)}).limits.sockets == 1024
    bound(300)
    assert configuration.read({"LB_CONFIG": str(path)}).limits.sockets == 300
