"""The log tells how attempts without a response of their own ended, why engine connections end, and each retry."""

import asyncio

from aiohttp import web
from peers import Bus, EdgeCase, TdsCase, change, host


class EngineLogLines(EdgeCase):
    async def start_two(self):
        """Start a coordinator with two engines; the first POST is answered with 202, as all polls of its query are."""
        self.two = await self.start(2)
        self.first = None

        async def pending():
            await asyncio.sleep(0.05)
            return web.Response(status=202)

        def respond(engine, request):
            if request.method == "POST":
                self.first = self.first or engine
            if engine is self.first and request.method in ("POST", "GET"):
                return pending()
            return None

        for engine in self.two:
            engine.script = lambda request, body, engine=engine: respond(engine, request)

    def events(self, name):
        return [line for line in self.log if line["event"] == name]

    async def test_release_of_an_attempt_and_its_retry_are_logged_without_a_key(self):
        await self.start_two()
        asking = asyncio.create_task(self.ask(timeout=3500.0))
        await self.until(lambda: self.first is not None and self.first.of("GET"))
        (request,) = [entry.request for entry in self.program.core.ledger.entries.values()]
        self.program.driver.cancel_attempt(self.program.core.ledger.entries[request.number].attempts[0])
        await self.until(lambda: self.events("attempt_retried"))
        self.assertEqual((await asking)[0], 200)
        (released,), (retried,) = self.events("attempt_released"), self.events("attempt_retried")
        self.assertEqual(released["ticket"], retried["ticket"])
        self.assertEqual((released["reason"], released["attempt"], retried["attempt"]), ("deleted", 0, 1))
        self.assertEqual(retried["previous_engine"], released["engine"])

    async def test_broken_connection_and_failed_poll_are_logged_with_their_reasons(self):
        await self.start_two()
        asking = asyncio.create_task(self.ask(timeout=3500.0))
        await self.until(lambda: self.first is not None and self.first.of("GET"))
        self.first.script = lambda request, body: "kill"
        await self.until(lambda: self.events("poll_failed"))
        self.assertEqual(self.events("poll_failed")[0]["reason"], "broken")
        ended = self.events("engine_connection_ended")[0]
        self.assertEqual((ended["engine"], ended["has_call"]), (self.events("poll_failed")[0]["engine"], True))
        self.assertIn(ended["reason"], ("broken", "engine_closed"))
        asking.cancel()


class RetiredConnections(EdgeCase):
    async def test_retired_connections_are_logged_with_the_reason(self):
        bus = await Bus().start()
        self.addCleanup(bus.server.close)
        (engine,) = await self.engines()
        await self.coordinator([host("s-00000001", engine.port)], bus=bus.port)
        await bus.joined()
        await self.ask()
        bus.say(change(2, host("s-00000001", engine.port, born=10.0**13)))
        await self.until(lambda: any(line["event"] == "engine_connections_retired" for line in self.log))
        (line,) = [line for line in self.log if line["event"] == "engine_connections_retired"]
        self.assertEqual((line["engine"], line["reason"], line["connections"]), ("s-00000001", "restarted", 1))


class TdsLogLines(TdsCase):
    async def test_batch_whose_connection_broke_is_logged(self):
        (engine,) = await self.start(1)
        engine.script = lambda statement: "kill"
        client = await self.client()
        await client.query("SELECT 1")
        lines = [line for line in self.log if line["event"] == "attempt_released"]
        self.assertEqual({line["reason"] for line in lines}, {"connection_lost"})
        self.assertEqual(lines[0]["attempt"], 0)


del EdgeCase, TdsCase  # keep pytest from collecting them here as well
