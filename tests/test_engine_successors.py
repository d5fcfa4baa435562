"""A new engine process at the address of one that has gone is not taken for it."""

import asyncio

from aiohttp import web
from peers import LOAD, Bus, EdgeCase, HttpEngine, TdsCase, change, host

from frostspindle.net.tds import codec
from frostspindle.policy import Health

ROWS = codec.text_result(("name",), [("a",), ("b",)])


async def pending():
    """Answer as an engine that has no news of a query."""
    await asyncio.sleep(0.1)
    return web.Response(status=202)


class HttpSuccessors(EdgeCase):
    async def start_engine(self):
        """Start a coordinator with one engine, which does not end its queries, and a bus."""
        self.bus = await Bus().start()
        self.addCleanup(self.bus.server.close)
        (engine,) = await self.engines()
        engine.script = lambda request, body: pending() if request.method in ("POST", "GET") else None
        await self.coordinator([host("s-00000001", engine.port)], bus=self.bus.port)
        await self.bus.joined()
        return engine

    async def know(self, name, health):
        """Wait until the coordinator has an engine in this state."""
        await self.until(
            lambda: any(s.name == name and s.entry.health == health for s in self.program.core.engines.values())
        )

    async def replace_engine(self, engine):
        """Let another engine listen at the address of one that keeps its connections, and list it; return it."""
        engine.server.close()
        successor = await HttpEngine().start(engine.port)
        self.addCleanup(successor.server.close)
        self.bus.say(change(2, host("s-00000001", engine.port, "left"), host("s-00000002", engine.port)))
        await self.know("s-00000002", Health.READY)
        return successor

    # Guards against: polls, priorities and cancellations for a query of the engine before went to its successor, whose
    # answers counted as the earlier engine's.
    async def test_calls_for_a_query_do_not_go_to_another_engine_at_its_address(self):
        engine = await self.start_engine()
        asking = asyncio.create_task(self.ask(LOAD, timeout=3000.0))
        await engine.seen("GET")
        successor = await self.replace_engine(engine)
        await engine.seen("GET", len(engine.of("GET")) + 3)  # over the connection to its own process
        engine.script = lambda request, body: "kill"
        self.assertEqual((await asking)[0], 502)
        self.assertEqual(successor.calls, [])

    # Guards against: a query was given up as the list named another engine at its address, though it could be polled.
    async def test_query_is_followed_to_its_end_after_another_engine_is_listed_at_its_address(self):
        engine = await self.start_engine()
        asking = asyncio.create_task(self.ask(LOAD, timeout=3000.0))
        await engine.seen("GET")
        successor = await self.replace_engine(engine)
        engine.script = lambda request, body: None
        status, body, _ = await asking
        self.assertEqual((status, body["rows"]), (200, [["a", "1", "x"]]))
        self.assertEqual((len(engine.of("POST")), successor.calls), (1, []))

    # Guards against: a query that waited for a connection as its engine was restarted was sent to the new process,
    # which is cold, as if it were the process for which it was decided.
    async def test_query_that_waits_for_a_connection_is_not_sent_to_a_restarted_engine(self):
        engine = await self.start_engine()
        pool = next(iter(self.program.driver.pools.values()))
        attempts = []
        real_check = pool._check_sending

        async def restart_first(attempt, connection):
            if not attempts:
                attempts.append(attempt)
                self.bus.say(change(2, host("s-00000001", engine.port, born=10.0**13)))
                await self.until(lambda: pool.is_retired)
            await real_check(attempt, connection)

        pool._check_sending = restart_first
        written = []
        self.program.core.count_written = written.append
        asking = asyncio.create_task(self.ask(timeout=1500.0))
        await self.until(lambda: attempts and attempts[0].is_finished)
        self.assertNotIn(attempts[0], written)
        asking.cancel()


class TdsSuccessors(TdsCase):
    # Guards against: batches went on to the server at the address before, on pooled sessions, after `dial` changed.
    async def test_batches_go_to_the_address_that_is_set_now(self):
        before, after = await self.start(2)
        self.peers = [before]
        self.operator_file.write_text(self.file())
        self.program.reload()
        client = await self.client()
        await client.query("SELECT 1")
        await self.until(lambda: before.statements)
        gate = asyncio.Event()

        async def answer_late():
            await gate.wait()
            return ROWS

        before.script = lambda statement: answer_late()
        other = await self.client()
        under_way = asyncio.create_task(other.query("SELECT 2"))
        await self.until(lambda: len(before.statements) == 2)
        self.peers = [after]
        self.operator_file.write_text(self.file())
        self.program.reload()
        await self.until(lambda: not self.program.core.has_pending_changes)
        gate.set()
        self.assertEqual((await under_way).tokens, ROWS)  # it ends where it runs; its session is not used again
        for number in range(3, 9):
            await client.query(f"SELECT {number}")
        self.assertEqual((len(before.statements), len(after.statements)), (2, 6))

    # Guards against: a server that had told its shutdown got batches again after a reload that did not change it.
    async def test_reload_does_not_revive_a_server_that_shuts_down(self):
        (engine,) = await self.start()
        down = codec.error(6005, "SHUTDOWN is in progress", 14) + codec.done(codec.DONE_ERROR)
        engine.refuse_login, engine.script = down, lambda statement: down
        client = await self.client()
        await client.query("SELECT 1")
        states = self.program.core.engines
        await self.until(lambda: [s.entry.health for s in states.values()] == [Health.DRAINING])
        self.program.reload()
        await self.until(lambda: not self.program.core.has_pending_changes)
        self.assertEqual([s.entry.health for s in states.values()], [Health.DRAINING])
