"""Duplicates of an engine's response that arrive while the next call is in flight on the same connection.

Clients got the rows of another client's query: responses do not name their query, and a copy that was a few ms late was
read as the response to the next call (`CopiesOfResponses` in test_endings_attempts.py). Copies are counted by
`engine_surplus_responses`. These tests also check the cost of distinguishing copies from genuine equal responses.
"""

import asyncio
import unittest.mock
from dataclasses import replace

import pytest
from aiohttp import web
from peers import LOAD, LOOKUP, page, settings
from test_endings_attempts import GOOD, Crossing

from frostspindle.net.http.connection_pool import PoolExhaustedError
from frostspindle.net.http.duplicate_responses import (
    COPIES_REMEMBERED_S,
    COPY_WINDOW_S,
    DELIVERY_RESERVE_S,
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    MAX_RECENT_RESPONSES,
    OWN_RESPONSE_DUE_S,
    ConfirmationBackoff,
    RecentResponses,
    confirmation_time_s,
)
from frostspindle.net.http.replies import EngineReply

FIRST = GOOD % (1, b"")
OWN = (GOOD % (1, b"")).replace(b"a\t1\tx", b"b\t2\ty")


def reply(status=200, body=b"a\n", **headers):
    return EngineReply(status, {name.replace("_", "-").encode(): value for name, value in headers.items()}, body)


def test_only_an_equal_response_within_the_window_may_be_a_copy():
    recent = RecentResponses()
    recent.record(reply(x_pages=b"1", x_meter=b"depth:1"), 10.0)
    assert recent.may_be_copy(reply(x_pages=b"1", x_meter=b"depth:2"), 10.0 + COPY_WINDOW_S - 0.01)
    assert not recent.may_be_copy(reply(x_pages=b"1"), 10.0 + COPY_WINDOW_S)
    for other in (reply(503, x_pages=b"1"), reply(body=b"b\n", x_pages=b"1"), reply(x_pages=b"2")):
        assert not recent.may_be_copy(other, 10.01)
    assert not recent.may_be_copy(reply(x_pages=b"1", x_cost_ms=b"3.5"), 10.01)


def test_number_of_remembered_responses_is_limited():
    recent = RecentResponses()
    for number in range(MAX_RECENT_RESPONSES + 1):
        recent.record(reply(body=b"%d\n" % number), 10.0)
    assert not recent.may_be_copy(reply(body=b"0\n"), 10.0)
    assert all(recent.may_be_copy(reply(body=b"%d\n" % number), 10.0) for number in range(1, MAX_RECENT_RESPONSES + 1))


def test_responses_without_content_are_never_doubtful():
    recent = RecentResponses()
    for status in (202, 204):
        recent.record(reply(status, b""), 10.0)
        assert not recent.may_be_copy(reply(status, b""), 10.0)


def test_waits_become_rarer_with_genuine_equal_responses_and_frequent_after_a_copy():
    backoff = ConfirmationBackoff()
    now_s, pause_s = 100.0, FIRST_PAUSE_S
    for _ in range(20):
        assert backoff.allows_wait(200, now_s)
        backoff.record_genuine(200, now_s)
        assert not backoff.allows_wait(200, now_s + pause_s - 0.01)
        assert backoff.allows_wait(503, now_s)  # each status is independent
        now_s += pause_s
        pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
    backoff.record_genuine(200, now_s)
    backoff.record_copy(now_s)
    assert backoff.allows_wait(200, now_s)


def test_doubtful_response_needs_confirmation_at_an_engine_that_sends_copies():
    backoff = ConfirmationBackoff()
    assert backoff.accepts_unconfirmed(100.0)
    backoff.record_copy(100.0)
    assert not backoff.accepts_unconfirmed(100.0 + COPIES_REMEMBERED_S)
    assert backoff.accepts_unconfirmed(100.1 + COPIES_REMEMBERED_S)


def test_doubtful_response_is_held_back_within_the_requests_deadline():
    assert confirmation_time_s(10.0) == OWN_RESPONSE_DUE_S
    assert confirmation_time_s(0.3) == pytest.approx(0.3 - DELIVERY_RESERVE_S)
    assert confirmation_time_s(DELIVERY_RESERVE_S) == 0.0


class Copies(Crossing):
    async def rows(self, number):
        status, body, _ = await self.ask(LOAD, number=number)
        return status, body.get("rows")

    async def test_copy_and_genuine_response_received_together_are_distinguished(self):
        await self.start(idle=True)
        (engine,) = self.peers

        async def respond(request):
            if len(engine.of("POST")) == 1:
                return page("a\t1\tx\n")
            request.transport.write(FIRST + OWN)
            return await asyncio.Event().wait()

        engine.script = lambda request, body: respond(request)
        reading = [await self.rows(1), await self.rows(2)]
        self.assertEqual(reading, [(200, [["a", "1", "x"]]), (200, [["b", "2", "y"]])])
        self.assertEqual((self.count("engine_surplus_responses"), len(engine.of("POST"))), (1, 2))

    async def test_copies_of_two_earlier_responses_are_both_detected(self):
        """The second copy was taken for the genuine response that follows a first copy (found by a soak, seed 0)."""
        await self.start(idle=True)
        (engine,) = self.peers
        second = FIRST.replace(b"a\t1\tx", b"c\t3\tz")

        async def respond(request):
            if len(engine.of("POST")) < 3:
                return page("a\t1\tx\n" if len(engine.of("POST")) == 1 else "c\t3\tz\n")
            request.transport.write(FIRST)
            await asyncio.sleep(0.01)  # received separately
            request.transport.write(second)
            await asyncio.sleep(0.05)
            return page("b\t2\ty\n")

        engine.script = lambda request, body: respond(request)
        reading = [await self.rows(number) for number in (1, 2, 3)]
        self.assertEqual([rows for _, rows in reading], [[["a", "1", "x"]], [["c", "3", "z"]], [["b", "2", "y"]]])
        self.assertEqual((self.count("engine_surplus_responses"), len(engine.of("POST"))), (2, 3))

    async def test_copy_is_not_accepted_if_the_genuine_response_is_late(self):
        """A poll returns the query's own rows; the engine has sent a copy before, on the idle connection."""
        await self.start(idle=True)
        (engine,) = self.peers

        async def respond(request):
            if len(engine.of("POST")) == 1:
                request.transport.write(FIRST + FIRST)
                return await asyncio.Event().wait()
            if len(engine.of("POST")) == 2:
                return page("a\t1\tx\n")
            request.transport.write(FIRST)
            return await asyncio.Event().wait()

        engine.script = lambda request, body: respond(request) if request.method == "POST" else page("b\t2\ty\n")
        reading = [await self.rows(number) for number in (1, 2, 3)]
        self.assertEqual([rows for _, rows in reading], [[["a", "1", "x"]], [["a", "1", "x"]], [["b", "2", "y"]]])
        self.assertEqual(len(engine.of("POST")), 3)

    async def errors_at_an_engine_that_sends_copies(self, **response):
        """Return statuses and POSTs of two loads that get equal errors, after the engine has sent another copy."""
        await self.start(idle=True)
        (engine,) = self.peers

        async def respond(request):
            if len(engine.of("POST")) == 1:
                request.transport.write(FIRST + FIRST)
                return await asyncio.Event().wait()
            return web.Response(**response)

        engine.script = lambda request, body: respond(request) if request.method == "POST" else page("b\t2\ty\n")
        self.core.controller.settings = replace(self.core.controller.settings, max_attempts=1)
        await self.rows(1)
        statuses = [(await self.rows(number))[0] for number in (2, 3)]
        self.assertEqual((self.count("engine_surplus_responses"), engine.of("GET")), (1, []))
        return statuses, len(engine.of("POST")) - 1

    async def test_equal_error_of_an_engine_that_sends_copies_is_accepted_without_polling(self):
        """A poll by id could reach another request: a client got that one's rows (second site, join+brink+mass, seed
        293860874044, in two of three runs: "gave a bad client the answer 'served'")."""
        self.assertEqual(await self.errors_at_an_engine_that_sends_copies(status=500), ([502, 502], 2))

    async def test_equal_shed_of_an_engine_that_sends_copies_proves_nothing(self):
        shed = {"status": 503, "headers": {"X-Shed": "1"}}
        statuses, posts = await self.errors_at_an_engine_that_sends_copies(**shed)
        self.assertEqual((statuses, posts), ([503, 502], 2))

    async def test_doubtful_response_is_dropped_if_its_connection_breaks(self):
        """It may be the copy; the query is polled and not sent again."""
        await self.start(idle=True)
        (engine,) = self.peers

        async def respond(request):
            if len(engine.of("POST")) == 2:
                request.transport.write(FIRST)
                await asyncio.sleep(0.02)  # received before the connection breaks
                request.transport.abort()
                raise ConnectionResetError
            return page("a\t1\tx\n")

        engine.script = lambda request, body: respond(request) if request.method == "POST" else page("b\t2\ty\n")
        self.assertEqual([await self.rows(1), await self.rows(2)], [(200, [["a", "1", "x"]]), (200, [["b", "2", "y"]])])
        self.assertEqual((len(engine.of("POST")), len(engine.of("GET"))), (2, 1))

    async def test_doubtful_error_is_accepted_if_its_connection_breaks(self):
        await self.start(idle=True)
        (engine,) = self.peers

        async def respond(request):
            if len(engine.of("POST")) == 2:
                request.transport.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(0.02)  # received before the connection breaks
                request.transport.abort()
                raise ConnectionResetError
            return web.Response(status=500)

        engine.script = lambda request, body: respond(request) if request.method == "POST" else page("b\t2\ty\n")
        self.core.controller.settings = replace(self.core.controller.settings, max_attempts=1)
        self.assertEqual([(await self.rows(number))[0] for number in (1, 2)], [502, 502])
        self.assertEqual(engine.of("GET"), [])

    async def test_copy_of_an_error_does_not_end_a_request_with_a_key(self):
        classes = settings()["categories"]
        classes[1] = classes[1] | {"inOrder": True}
        await self.start(idle=True, categories=classes)
        (engine,) = self.peers

        async def own():
            await asyncio.sleep(0.1)
            return page("b\t2\ty\n")

        def respond(request, body):
            if len(engine.of("POST")) == 1:
                return web.Response(status=500)
            request.transport.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            return own()

        engine.script = lambda request, body: respond(request, body) if request.method == "POST" else None
        first = await self.ask(LOAD, number=1, **{"X-Object": "k"})
        second = await self.ask(LOAD, number=2, **{"X-Object": "k"})
        self.assertEqual([first[0], second[:2]], [502, (200, {"rows": [["b", "2", "y"]]})])


class GenuineEqualResponses(Crossing):
    COUNT = 100

    async def connections_and_time(self):
        """Return the number of connections and the seconds for COUNT equal responses."""
        (engine,) = self.peers
        transports = set()
        engine.script = lambda request, body: transports.add(request.transport)
        clock = asyncio.get_running_loop().time
        began = clock()
        for number in range(1, self.COUNT + 1):
            self.assertEqual((await self.ask(LOOKUP, number=number))[0], 200)
        return len(transports), clock() - began

    async def test_they_need_one_connection_and_few_waits(self):
        await self.start(idle=True)
        connections, took_s = await self.connections_and_time()
        self.assertEqual((connections, self.count("engine_surplus_responses")), (1, 0))
        # Waits are at least 0.25, 0.5, 1, 2 s and so on apart, so that few of them cover all requests.
        self.assertLess(took_s, 6 * OWN_RESPONSE_DUE_S + 0.02 * self.COUNT)

    async def test_they_are_served_if_the_engine_accepts_no_more_connections(self):
        (engine,) = await self.start(idle=True)
        engine.server.close()
        connections, _ = await self.connections_and_time()
        self.assertEqual((connections, self.count("served")), (1, self.COUNT))

    async def test_they_are_served_without_free_descriptors(self):
        await self.start(idle=True)
        (pool,) = self.driver.pools.values()
        with unittest.mock.patch.object(pool, "_open", side_effect=PoolExhaustedError("no descriptors", full=True)):
            connections, _ = await self.connections_and_time()
        self.assertEqual((connections, self.count("served")), (1, self.COUNT))


del Crossing  # else it would be collected here too
