"""What a process holds for its clients: its bound, who is refused there, and whose result is dropped first."""

import asyncio
import contextlib
import gc
import json
import socket
import tracemalloc
import unittest
import unittest.mock
from pathlib import Path

from peers import EdgeCase, TdsCase, host, page

import frostspindle
from frostspindle.held_memory import HeldMemory, HeldPurpose
from frostspindle.net.operator import OperatorServer
from frostspindle.net.tds import codec, session
from frostspindle.telemetry import Telemetry

MAX_RESULT_BYTES = 48_000  # of the platform's protocol
ROW = "17\t42\tok\n"  # a row of few letters, which takes many times its text as a Python list
ROWS = ROW * (MAX_RESULT_BYTES // len(ROW))
ROW_LISTS = [["17", "42", "ok"]] * (MAX_RESULT_BYTES // len(ROW))
HELD_SHARE = 3 / 16  # of limits.memory_mb, as docs/operators.md states
UNSENT_SHARE = 1 / 16  # the same, of answers that are not read
SOURCES = str(Path(frostspindle.__file__).parent / "*")


def traced_bytes():
    """Return the memory that is in use and was allocated by the program's own code."""
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, SOURCES)])
    return sum(trace.size for trace in snapshot.traces)


class HeldMemoryCase(EdgeCase):
    """Clients that are given a path, and engines that answer with a long result after that."""

    async def start(self, memory_mb):
        engines = await super().start(limits={"memory_mb": memory_mb, "cores": 1.0, "sockets": 2048})
        self.engine, self.memory = engines[0], self.program.core.held_memory
        self.engine.script = self.answer
        holding = unittest.mock.patch("frostspindle.net.http.request_registry.POLL_HOLD_S", 0.01)
        holding.start()
        self.addCleanup(holding.stop)

    def answer(self, request, body):
        async def answer_late():
            await asyncio.sleep(0.03)
            return page(ROWS)

        return answer_late() if request.method == "POST" else None

    async def path_of(self, number, timeout_ms=3000.0):
        """Return the path that a client gets, which walks away then; None if it is refused."""
        status, body, headers = await self.ask(number=number, timeout=timeout_ms)
        if status == 503:
            self.assertEqual(body, {"failure": "Busy"})
            self.assertGreaterEqual(int(headers["Retry-After-Ms"]), 1)
            return None
        return body["next"]

    async def answered(self):
        """Wait until no request is open."""
        await self.until(lambda: not self.program.core.open)


# Guards against: results that nobody fetched were not counted, and those that were fetched in the bytes of their text.
class UnfetchedResults(HeldMemoryCase):
    async def test_memory_stays_within_its_share(self):
        await self.start(memory_mb=32.0)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = traced_bytes()
        paths = await asyncio.gather(*(self.path_of(number, 3900.0) for number in range(1, 151)))
        await self.answered()
        self.assertGreater(len([path for path in paths if path is not None]), 20)
        self.assertLess(traced_bytes() - before, 32.0 * 2**20 * HELD_SHARE)

    async def test_new_requests_are_refused_before_anything_ran_and_no_rows_are_lost(self):
        await self.start(memory_mb=8.0)
        late_path = await self.path_of(1)
        paths = [late_path]
        while (path := await self.path_of(len(paths) + 1, 3900.0)) is not None:
            paths.append(path)
            self.assertLess(len(paths), 100)
        await self.answered()
        self.assertEqual(len(self.engine.of("POST")), len(paths))
        self.assertEqual((self.count("refused_for_memory"), self.count("results_reclaimed")), (1, 0))
        self.assertLessEqual(self.memory.total, 8 * 2**20 * HELD_SHARE)
        for path in paths:  # each client returns late, within its time
            status, body, _ = await self.call("GET", path)
            self.assertEqual((status, body), (200, {"rows": ROW_LISTS}))
        status, body, _ = await self.call("GET", late_path)  # its last answer was lost, and is asked for again
        self.assertEqual((status, body), (200, {"rows": ROW_LISTS}))

    async def test_results_whose_clients_no_longer_wait_make_room_in_order(self):
        await self.start(memory_mb=16.0)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.program.platform.port)
        self.addCleanup(writer.close)
        waited_for = await self.path_of(1)
        read = await self.path_of(2)
        over = await self.path_of(3, timeout_ms=200.0)
        await self.answered()
        for path in (read, "/ping"):  # the second call on the connection shows that the answer to the first was read
            writer.write(f"GET {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        await self.until(lambda: self.program.platform.registry._time_over)
        kept = []
        for number, dropped in ((4, over), (5, read)):
            self.memory.limit = 2 * (self.memory.total + 2**15)  # room for half of a request
            kept.append(await self.path_of(number))
            await self.answered()
            self.assertEqual((await self.call("GET", dropped))[0], 404)
        self.memory.limit = 2 * (self.memory.total + 2**15)
        self.assertIsNone(await self.path_of(6))
        for path in (waited_for, *kept):
            self.assertEqual((await self.call("GET", path))[1], {"rows": ROW_LISTS})

    async def test_nothing_is_charged_once_all_requests_are_over(self):
        await self.start(memory_mb=32.0)
        with unittest.mock.patch("frostspindle.net.http.request_registry.RESULT_RETENTION_S", 0.05):
            paths = [await self.path_of(number, 1500.0) for number in range(1, 9)]
            self.assertEqual((await self.call("DELETE", paths[0]))[0], 204)
            await self.answered()
            self.assertEqual((await self.call("GET", paths[1]))[0], 200)
            self.assertGreater(self.memory.used[HeldPurpose.RESULTS], 6 * MAX_RESULT_BYTES)
            figures = json.loads((await self.operate("show-stat"))[0])
            self.assertEqual((figures["held_bytes"], figures["held_limit"]), (self.memory.total, 32 * 2**20 * 5 // 16))
            await self.until(lambda: not self.program.platform.registry.open)
        self.assertEqual((self.memory.total, set(self.memory.used.values())), (0, {0}))


# Guards against: answers for clients that do not read, up to 16 a connection, were buffered without a bound.
class SlowReaders(HeldMemoryCase):
    async def slow_client(self, path, count):
        """Connect with small socket buffers, and ask for the same page `count` times without reading."""
        ours = socket.socket()
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        ours.setblocking(False)
        loop = asyncio.get_running_loop()
        known = set(self.program.platform.clients)
        await loop.sock_connect(ours, ("127.0.0.1", self.program.platform.port))
        await self.until(lambda: self.program.platform.clients - known)
        (connection,) = self.program.platform.clients - known
        connection.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        reader, writer = await asyncio.open_connection(sock=ours, limit=2**10)
        self.addCleanup(writer.close)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: t\r\n\r\n".encode() * count)
        return reader

    async def test_unread_answers_stay_within_their_share_and_are_all_sent(self):
        await self.start(memory_mb=32.0)
        path = await self.path_of(1, 3900.0)
        await self.answered()
        readers = [await self.slow_client(path, 12) for _ in range(40)]
        clients = list(self.program.platform.clients)
        await self.until(lambda: sum(client.request_bytes == 0 and client.has_called for client in clients) >= 40)
        buffered = [client.transport.get_write_buffer_size() for client in clients]
        answer = len(json.dumps({"rows": ROW_LISTS}, separators=(",", ":"))) + 200
        self.assertLess(sum(buffered), 32 * 2**20 * UNSENT_SHARE + answer)
        self.assertLessEqual(self.memory.used[HeldPurpose.UNSENT], 32 * 2**20 * UNSENT_SHARE + answer)
        self.assertGreater(self.memory.used[HeldPurpose.RESULTS], 40 * MAX_RESULT_BYTES)

        async def read_all(reader):
            for _ in range(12):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                self.assertEqual(json.loads(await reader.readexactly(length)), {"rows": ROW_LISTS})

        async with asyncio.timeout(30.0):
            await asyncio.gather(*map(read_all, readers))
        await self.until(lambda: not self.memory.used[HeldPurpose.UNSENT])


# Guards against: an engine's answer in many small chunks took an object for each of them, many times its text.
class SmallChunks(HeldMemoryCase):
    CHUNKS = 10_000

    async def test_answers_in_small_chunks_stay_within_the_room_of_their_requests(self):
        started = []

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 X\r\nX-Pages: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"2\r\na\t\r\n" * self.CHUNKS)  # and no end
            await writer.drain()
            started.append(writer)
            with contextlib.suppress(ConnectionError):
                await reader.read()

        engine = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(engine.close)
        port = engine.sockets[0].getsockname()[1]
        await self.coordinator([host("s-00000001", port)], limits={"memory_mb": 64.0, "cores": 1.0, "sockets": 2048})
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = traced_bytes()
        asking = [asyncio.create_task(self.ask(number=number)) for number in range(1, 13)]
        await self.until(lambda: len(started) >= 12)
        await self.until(
            lambda: all(
                len(connection.body) == 2 * self.CHUNKS
                for pool in self.program.driver.pools.values()
                for connection in pool.established
            )
        )
        self.assertLess(traced_bytes() - before, 12 * 64 * 1024)
        for task in asking:
            task.cancel()


# Guards against: pages of long results that come in from engines were not counted.
class LongResults(HeldMemoryCase):
    PAGE = ROW * (60_000 // len(ROW))

    def answer(self, request, body):
        number = int(request.path.rpartition("/")[2]) if request.method == "GET" else 0
        return page(self.PAGE, 4, X_Page=str(number)) if request.method in ("GET", "POST") else None

    async def rows_of(self, number):
        """Return the number of rows that a client is given on all pages."""
        status, body, _ = await self.ask(number=number, timeout=3900.0)
        count = 0
        while True:
            self.assertEqual(status, 200)
            count += len(body.get("rows", ()))
            if "next" not in body:
                return count
            status, body, _ = await self.call("GET", body["next"])

    async def test_a_long_result_waits_at_its_engine_and_new_requests_are_refused_meanwhile(self):
        await self.start(memory_mb=32.0)
        go = asyncio.Event()

        async def answer_later(answer):
            await go.wait()
            return answer

        answer = self.answer
        self.engine.script = lambda request, body: answer_later(answer(request, body))
        waiting = asyncio.create_task(self.rows_of(1))
        await self.engine.seen("POST")
        other = self.memory.charge(HeldPurpose.RESULTS, self.memory.limit - self.memory.total)
        go.set()
        await self.until(lambda: self.memory.waiting_extensions == 1)
        self.assertLessEqual(self.memory.total, self.memory.limit)
        self.assertEqual((await self.ask(number=2))[0], 503)
        self.assertEqual(len(self.engine.of("POST")), 1)
        other.release()
        self.assertEqual(await waiting, 4 * self.PAGE.count("\n"))

    async def test_long_results_of_many_clients_stay_within_the_limit(self):
        await self.start(memory_mb=32.0)
        self.memory.limit = 2**21
        peaks = []
        count = self.memory.count
        self.memory.count = lambda purpose, change: (count(purpose, change), peaks.append(self.memory.total))
        results = await asyncio.gather(*(self.rows_of(number) for number in range(1, 11)))
        self.assertEqual(set(results), {4 * self.PAGE.count("\n")})
        self.assertLessEqual(max(peaks), 2**21)


# Guards against: results of TDS engines were bounded for each session, and counted nowhere.
class TdsResults(TdsCase):
    TOKENS = codec.text_result(("name",), [("x" * 100,)] * 900)

    async def test_results_are_charged_until_they_are_sent_and_stay_within_the_limit(self):
        (engine,) = await self.start(limits={"memory_mb": 192.0, "cores": 1.0, "sockets": 1024})
        engine.script = lambda statement: self.TOKENS
        memory = self.program.core.held_memory
        memory.limit = 2**20
        peaks = []
        count = memory.count
        memory.count = lambda purpose, change: (count(purpose, change), peaks.append(memory.total))
        clients = [await self.client() for _ in range(10)]
        self.assertTrue((await clients[0].query("SELECT 1")).tokens == self.TOKENS)
        self.assertGreater(max(peaks), 2 * len(self.TOKENS))
        results = await asyncio.gather(*(client.query("SELECT 1") for client in clients))
        served = [result for result in results if not result.errors]
        self.assertTrue(served and all(result.tokens == self.TOKENS for result in served))
        refusals = {fault.number for result in results for fault in result.errors}
        self.assertLessEqual(refusals, {session.REFUSED})  # while a long result waits for room
        self.assertLessEqual(max(peaks), 2**20)
        await self.until(lambda: memory.total == 0)

    async def test_at_the_limit_batches_are_refused_before_they_run(self):
        (engine,) = await self.start()
        memory = self.program.core.held_memory
        client = await self.client()
        other = memory.charge(HeldPurpose.RESULTS, memory.limit)
        result = await client.query("SELECT 1")
        self.assertEqual(([fault.number for fault in result.errors], engine.statements), ([session.REFUSED], []))
        other.release()
        self.assertEqual((await client.query("SELECT 2")).errors, [])


# Guards against: each resting connection kept its last statement or page, which nothing counted.
class RestingConnections(HeldMemoryCase):
    async def test_resting_connections_keep_nothing_of_their_last_message(self):
        await self.start(memory_mb=16.0)
        # Different answers, as equal ones are held back while they may be copies.
        self.engine.script = lambda request, body: page(ROWS + f"{len(self.engine.calls)}\t1\tx\n")
        statement = b"SELECT '" + b"x" * 60_000 + b"' FROM calls_17.notes"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = traced_bytes()
        for number in range(1, 61):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.program.platform.port)
            self.addCleanup(writer.close)
            writer.write(
                b"POST /call/lookup HTTP/1.1\r\nHost: t\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 3000\r\n"
                b"X-Cost-Ms: 50\r\nX-Memory: 64\r\nContent-Length: %d\r\n\r\n%b" % (number, len(statement), statement)
            )
            self.assertIn(b" 200 ", await reader.readline())
        await self.answered()
        self.assertEqual(self.program.platform.connections, 60)
        self.assertLess(traced_bytes() - before, 16.0 * 2**20 * HELD_SHARE)
        connections = [one for pool in self.program.driver.pools.values() for one in pool.established]
        self.assertEqual([(one.headers, one.body) for one in connections], [({}, b"")] * len(connections))


# Guards against: up to 64 KB were buffered for each of a thousand subscribers that did not read.
def test_unread_events_of_all_subscribers_stay_within_their_share():
    server = OperatorServer(("127.0.0.1", 0), {}, Telemetry("t0"))
    server.telemetry._write = lambda now, event, fields: None
    server.max_unread_total = 192 * 2**20 // 64
    callers = [unittest.mock.Mock() for _ in range(1000)]
    for caller in callers:
        server.open_stream(caller, lambda text, caller: unittest.mock.Mock(), b"subscribe")
        limits = [one.transport.set_write_buffer_limits.call_args.args[0] for one in server.streams]
        assert sum(limits) <= 192 * 2**20 / 64
        assert min(limits) >= 2**10
    assert len(server.streams) == 1000


def test_two_processes_of_an_upgrade_share_the_limit():
    memory = HeldMemory(64.0)
    assert memory.limit == 64 * 2**20 * HELD_SHARE
    memory.share(True)
    assert memory.limit == 32 * 2**20 * HELD_SHARE
    memory.share(False)
    assert memory.limit == 64 * 2**20 * HELD_SHARE
