"""Responses of an engine that do not prove the end of their query: the next attempt waits for that proof."""

import asyncio
import unittest.mock
from dataclasses import replace

from aiohttp import web
from peers import LOAD, SQL, at_work, page
from test_endings_attempts import Crossing

from frostspindle.core import SUBREQUEST_FRONT, ClientRequest, clock

EXPIRY_MS = 700.0
ERROR = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"


class UnprovenEnds(Crossing):
    async def start_recording(self, script):
        """Start one engine that answers by `script(number of POSTs, request)` and records when each call came."""
        self.came_at = []
        (engine,) = await self.start(idle=True)
        expiry = unittest.mock.patch("frostspindle.query_lifetime.UNPOLLED_QUERY_EXPIRY_MS", EXPIRY_MS)
        expiry.start()
        self.addCleanup(expiry.stop)

        def record(request, body):
            if request.path.startswith("/v1/store"):
                self.came_at.append((request.method, asyncio.get_running_loop().time()))
            return script(len(engine.of("POST")), request)

        engine.script = record
        return engine

    def calls(self):
        return [method for method, _ in self.came_at]

    # Guards against: 503 without X-Shed, to which the protocol gives no meaning, counted as the end of a query.
    async def test_503_without_x_shed_is_followed_by_a_delete_before_the_retry(self):
        await self.start_recording(
            lambda posts, request: web.Response(status=503) if request.method == "POST" and posts == 1 else None
        )
        self.assertEqual((await self.ask())[0], 200)
        self.assertEqual(self.calls(), ["POST", "DELETE", "POST"])

    # Guards against: a copy of an earlier error, after which its connection broke, counted as the end of the next
    # query on that connection, which ran on.
    async def test_possible_copy_of_an_error_ends_no_query(self):
        running = asyncio.Event()

        async def copy_and_break(request):
            request.transport.write(ERROR)
            await asyncio.sleep(0.02)
            request.transport.abort()
            await running.wait()

        def respond(posts, request):
            if request.method != "POST":
                return None
            if posts == 1:
                return web.Response(status=500)
            return copy_and_break(request) if posts == 2 else page("a\t1\tx\n")

        engine = await self.start_recording(respond)
        recent = unittest.mock.patch(
            "frostspindle.net.http.engine_connection.RecentResponses.may_be_copy",
            lambda *_: len(engine.of("POST")) == 2,
        )
        with recent:
            self.core.controller.settings = replace(self.core.controller.settings, max_attempts=2)
            self.assertEqual((await self.ask(LOAD, number=1))[0], 502)
            self.assertEqual((await self.ask(number=2))[0], 200)
        posted_at = [at for method, at in self.came_at if method == "POST"]
        self.assertEqual(len(posted_at), 3)
        self.assertGreaterEqual(posted_at[2] - posted_at[1], EXPIRY_MS / 1000.0)


class TicketsThatComeAgain(Crossing):
    # Guards against: a part of a query on spread tables, whose ticket follows from its client's id, was sent again as
    # the client sent its request again, while the first one's attempt ran.
    async def test_core_takes_no_request_while_an_attempt_with_its_ticket_may_run(self):
        (engine,) = await self.start()
        go = asyncio.Event()
        engine.script = at_work(go)
        asking = asyncio.create_task(self.ask(number=1))
        await engine.seen("POST")
        answers = []

        def submit():
            return self.core.submit(
                ClientRequest(SUBREQUEST_FRONT, 0, f"{1:016x}", SQL, clock(), 2000.0, answers.append)
            )

        self.assertFalse(submit())
        go.set()
        self.assertEqual((await asking)[0], 200)
        self.assertTrue(submit())
        await self.until(lambda: answers)
        self.assertEqual(len(engine.of("POST")), 2)


del Crossing  # keep pytest from collecting it here as well
