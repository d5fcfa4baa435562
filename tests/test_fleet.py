"""Many coordinators acting at once: joint cases on modelled engines, and adverse conditions of a large fleet."""

import asyncio
import json
import unittest.mock

import pytest
from helpers import HEAVY, LOAD, READ, ControllerHarness, entry, settings
from peers import Bus, EdgeCase, HttpEngine, at_work, change, host

from frostspindle import policy, pools
from frostspindle.policy import AttemptOutcome, EndpointListKind, Health


def fleet(count: int, engines: int, **changes: object) -> list[ControllerHarness]:
    """Return `count` coordinators, each with its own number and seed, that share the same engines."""
    harnesses = []
    for number in range(count):
        harness_settings = settings(
            READ,
            HEAVY,
            LOAD,
            **{
                "coordinators": count,
                "number": number,
                "connection_idle_ms": 15000.0,
                "handshake_penalty": 0.08,
                **changes,
            },
        )
        harnesses.append(ControllerHarness(harness_settings, engines=0, seed=1000 + number))
        harnesses[-1].list(*(entry(i) for i in range(engines)), list_kind=EndpointListKind.FULL)
    return harnesses


@pytest.mark.parametrize("count,engines", [(3, 8), (40, 30), (40, 60)])
def test_coordinators_that_start_together_do_not_choose_the_same_engines(count, engines):
    """Each knows the same engine list, but neither the other coordinators nor the load of any engine."""
    sent_to = [0] * engines
    for harness in fleet(count, engines):
        for i in range(3):
            harness.request(i, 0, cost=100.0)
        for _, _, engine in harness.sent:
            sent_to[engine] += 1
    mean = 3 * count / engines
    assert sum(sent_to) == 3 * count
    assert max(sent_to) <= mean + 4 * mean**0.5 + 1, "more than expected by chance"


def test_connections_settle_on_a_few_engines_and_leave_one_that_slows_down():
    """With a handshake penalty, each of 40 coordinators uses a few engines, all engines are used, and a slow engine
    loses its work.
    """
    users_of, sent_to_slow = [set() for _ in range(30)], 0
    for number, harness in enumerate(fleet(40, 30)):
        for i in range(60):
            harness.request(i, 0, cost=100.0)
            harness.wait(20)
            for request, _ in list(harness.open) if i % 4 == 3 else []:  # up to four open at once
                harness.end(request)
        for engine in {e for _, _, e in harness.sent}:
            users_of[engine].add(number)
        (last,) = {e for _, _, e in harness.sent[-1:]}
        harness.controller.engines[last].slowdown = 6.0
        before = len(harness.sent)
        for i in range(100, 110):
            harness.request(i, 0, cost=100.0)
            harness.end(i)
        sent_to_slow += sum(e == last for _, _, e in harness.sent[before:])
    assert all(users_of), "an engine is not used"
    assert sum(map(len, users_of)) < 40 * 30 / 3, "a full mesh would have 1,200 connections"
    assert sent_to_slow < 40, "out of 400 requests"


def test_requests_queued_for_an_engine_that_is_replaced_go_to_its_successor():
    harness = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=40), engines=1)
    harness.wait(600)
    for i in range(6):
        harness.request(i, 1, cost=3000.0, left=60000.0)
    queued = [request for *_, request in harness.controller.waiting_queue]
    assert queued, "requests must queue at the limit of one engine"
    harness.list(entry(1, health=Health.GONE))
    harness.list(entry(77))  # past its slow start, under a new id
    for request, _ in list(harness.open):
        harness.end(request, AttemptOutcome.RESET)
    harness.wait(3000)
    for _ in range(20):
        for request, _ in list(harness.open):
            harness.end(request)
        harness.wait(1100)
    assert set(harness.answers) == set(range(6)) and set(harness.answers.values()) == {"Served"}
    assert {e for _, _, e in harness.sent[1:] if e != 1} == {77}


def test_load_report_that_is_seconds_late_does_not_exclude_an_engine():
    """The report says that memory is exhausted, which was true only when it was made."""
    columns = ("load_share", "depth", "x0")
    harness = ControllerHarness(
        settings(READ, HEAVY, LOAD, kind_memory_mb=(16384.0, 16384.0), load_report_columns=columns), engines=1
    )
    for i in range(2):
        harness.request(i, 0, cost=100.0)
    harness.end(0)
    engine = harness.open.pop((1, 0))
    harness.attempts[1][0]["verdict"] = AttemptOutcome.OK
    harness.answer(1, "Served")
    harness.feed(policy.AttemptEnded(1, 0, engine, AttemptOutcome.OK, 5000.0, True, 0.0, 0.0, (1.0, 9.0, 1.0)))
    for i in range(10, 14):
        harness.request(i, 0, cost=100.0, left=30000.0)
        harness.wait(8000)
        for request, _ in list(harness.open):
            harness.end(request)
    assert [harness.answers[i] for i in range(10, 14)] == ["Served"] * 4


class DiscoveryCase(EdgeCase):
    async def test_bus_that_repeats_steps_back_and_stalls_changes_no_known_state(self):
        engine = await HttpEngine().start()
        self.addCleanup(engine.server.close)
        bus = await Bus().start()
        self.addCleanup(bus.server.close)
        with unittest.mock.patch("frostspindle.net.discovery.SILENCE_TIMEOUT_S", 0.2):
            await self.coordinator([host("s-00000000", engine.port)], bus=bus.port)
            await bus.joined()
            core = self.program.core
            bus.say(change(2, host("s-00000001", engine.port)))
            await self.until(lambda: 1 in core.engines)
            # The bus repeats an offset, sends a lower one with other content, then half of the next line, and stalls.
            line = json.dumps(change(3, host("s-00000001", engine.port, "leaving"))).encode() + b"\n"
            bus.say(
                change(2, host("s-00000001", engine.port)), change(1, host("s-00000000", engine.port, "left")), b"1"
            )
            bus.writers[-1].write(line[:40])
            await bus.joined(2)
            self.assertEqual(bus.froms[1], "from 2")
            self.assertEqual([core.engines[n].entry.health for n in (0, 1)], [Health.READY] * 2)
            bus.writers[-1].write(line)
            await self.until(lambda: core.engines[1].entry.health == Health.DRAINING)
        self.assertEqual((await self.ask())[0], 200)

    async def test_engine_that_accepts_no_more_connections_is_used_over_its_open_ones(self):
        first, second = await self.start(2)
        await self.operate("disable-server s-00000001")
        self.assertEqual((await self.ask(number=1))[0], 200)
        first.server.close()  # accepts no more connections, but serves the open one
        self.assertEqual((await self.ask(number=2))[0], 200)
        await self.operate("enable-server s-00000001")
        finish = asyncio.Event()
        first.script = second.script = at_work(finish)
        requests = [asyncio.create_task(self.ask(number=n)) for n in range(3, 7)]
        await self.until(lambda: len(first.of("POST")) + len(second.of("POST")) == 2 + 4)
        finish.set()
        self.assertEqual({(await request)[0] for request in requests}, {200})
        self.assertLessEqual(len(first.of("POST")), 3)


def test_load_reports_of_engines_steer_the_choice():
    """Each of 40 coordinators knows little more of an engine than its last report.

    Guards against full engines being sent as much as idle ones.
    """
    full = idle = 0
    for harness in fleet(40, 8, load_report_columns=("load_share", "depth", "x0")):
        for engine in range(8):  # one answer from each, half of them with all cores busy and a queue
            report = (1.0, 6.0, 0.5) if engine % 2 else (0.1, 0.0, 0.1)
            harness.controller.engines[engine].connections.release(harness.now)
            harness.controller.capacity.add_load_report(harness.controller.engines[engine], report, harness.now)
        for i in range(3):
            harness.request(i, 0, cost=100.0)
        full += sum(engine % 2 for _, _, engine in harness.sent)
        idle += sum(engine % 2 == 0 for _, _, engine in harness.sent)
    assert full * 4 < idle


def test_turns_at_an_engine_in_slow_start_are_large_enough_for_a_query():
    """Guards against even shares of the budget that are too small for one query.

    When the budget was shared evenly by 40 coordinators, none could send any query.
    """
    sent = 0
    for number in range(40):
        harness = ControllerHarness(
            settings(READ, HEAVY, LOAD, coordinators=40, number=number), engines=0, now=101000.0
        )
        harness.list(entry(7, since=96000.0), list_kind=EndpointListKind.FULL)
        for i in range(60):
            harness.request(i, 0, cost=100.0)
            harness.wait(5)
        sent += len(harness.sent)
    assert 20 <= sent <= 100


def test_turn_at_an_engine_in_slow_start_is_used_among_many_engines():
    """Guards against unused turns: only 12 of 60 engines are sampled for a query, and 4 of 5 turns were missed."""

    def coordinators_sending(warm: range) -> list[int]:
        senders = []
        for number in range(40):
            harness = ControllerHarness(
                settings(READ, HEAVY, LOAD, coordinators=40, number=number), engines=0, seed=number, now=101000.0
            )
            harness.list(entry(7, since=96000.0), *(entry(i) for i in warm), list_kind=EndpointListKind.FULL)
            harness.request(0, 0, cost=100.0)
            senders += [number for _, _, engine in harness.sent if engine == 7]
        return senders

    senders = coordinators_sending(range(0))
    assert len(senders) > 5 and coordinators_sending(range(100, 159)) == senders


def test_pools_stay_within_the_descriptor_limit_and_close_before_the_engine_does():
    assert [pools.idle_timeout_ms(idle) for idle in (15000.0, 3000.0)] == [13000.0, 1500.0]
    for sockets in (64, 384, 4096):
        for crowded in (False, True):
            total, per_engine = pools.connection_limits(sockets, crowded)
            assert 8 <= per_engine <= total <= max(16, 0.38 * sockets)
    assert pools.choose_idle(["first", "last"]) == "last"
    assert pools.choose_idle(["first", "last"], lambda connection: connection == "first") == "first"
    assert pools.choose_idle(["first", "last"], lambda connection: False) == "last"
