"""What many coordinators do at once: joint cases on modelled engines, and hostile conditions of a large fleet."""

import asyncio
import json
import unittest.mock

import pytest
from helpers import HEAVY, LOAD, READ, ControllerHarness, entry, settings
from peers import Bus, EdgeCase, HttpEngine, at_work, change, host

from frostspindle import policy, pools
from frostspindle.policy import AttemptOutcome, EndpointListKind, Health


def fleet(count: int, engines: int, **changes: object) -> list[ControllerHarness]:
    """So many coordinators, each with its own number and seed, at the same engines."""
    out = []
    for number in range(count):
        s = settings(
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
        out.append(ControllerHarness(s, engines=0, seed=1000 + number))
        out[-1].list(*(entry(i) for i in range(engines)), how=EndpointListKind.FULL)
    return out


@pytest.mark.parametrize("count,engines", [(3, 8), (40, 30), (40, 60)])
def test_coordinators_that_start_together_do_not_choose_the_same_engines(count, engines):
    """All know the same list, nothing of each other and nothing of any engine's load."""
    got = [0] * engines
    for k in fleet(count, engines):
        for i in range(3):
            k.request(i, 0, cost=100.0)
        for _, _, engine in k.sent:
            got[engine] += 1
    mean = 3 * count / engines
    assert sum(got) == 3 * count
    assert max(got) <= mean + 4 * mean**0.5 + 1, "no more than chance would do"


def test_connections_settle_on_some_engines_and_leave_one_that_slows():
    """With a price on new ones, each of 40 uses a few engines, all are used, and a slow one loses its work."""
    met, late = [set() for _ in range(30)], 0
    for number, k in enumerate(fleet(40, 30)):
        for i in range(60):
            k.request(i, 0, cost=100.0)
            k.wait(20)
            for request, _ in list(k.open) if i % 4 == 3 else []:  # four at once
                k.end(request)
        for engine in {e for _, _, e in k.sent}:
            met[engine].add(number)
        (last,) = {e for _, _, e in k.sent[-1:]}
        k.controller.engines[last].slowdown = 6.0
        before = len(k.sent)
        for i in range(100, 110):
            k.request(i, 0, cost=100.0)
            k.end(i)
        late += sum(e == last for _, _, e in k.sent[before:])
    assert all(met), "every engine has its users"
    assert sum(map(len, met)) < 40 * 30 / 3, "connections from everyone to everyone would be 1,200"
    assert late < 40, "of 400"


def test_requests_held_for_an_engine_that_is_replaced_go_to_its_successor():
    k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=40), engines=1)
    k.wait(600)
    for i in range(6):
        k.request(i, 1, cost=3000.0, left=60000.0)
    held = [job for *_, job in k.controller.waiting_queue]
    assert held, "the bound of one engine is reached"
    k.list(entry(1, health=Health.GONE))
    k.list(entry(77))  # long warm, under an id of its own
    for request, _ in list(k.open):
        k.end(request, AttemptOutcome.RESET)
    k.wait(3000)
    for _ in range(20):
        for request, _ in list(k.open):
            k.end(request)
        k.wait(1100)
    assert set(k.answers) == set(range(6)) and set(k.answers.values()) == {"Served"}
    assert {e for _, _, e in k.sent[1:] if e != 1} == {77}


def test_a_report_that_is_seconds_late_does_not_shut_an_engine_off():
    """It says that the memory is full, as it was when the report was made."""
    columns = ("load_share", "depth", "x0")
    k = ControllerHarness(
        settings(READ, HEAVY, LOAD, kind_memory_mb=(16384.0, 16384.0), load_report_columns=columns), engines=1
    )
    for i in range(2):
        k.request(i, 0, cost=100.0)
    k.end(0)
    engine = k.open.pop((1, 0))
    k.attempts[1][0]["verdict"] = AttemptOutcome.OK
    k.answer(1, "Served")
    k.feed(policy.AttemptEnded(1, 0, engine, AttemptOutcome.OK, 5000.0, True, 0.0, 0.0, (1.0, 9.0, 1.0)))
    for i in range(10, 14):
        k.request(i, 0, cost=100.0, left=30000.0)
        k.wait(8000)
        for request, _ in list(k.open):
            k.end(request)
    assert [k.answers[i] for i in range(10, 14)] == ["Served"] * 4


class ListService(EdgeCase):
    async def test_a_bus_that_is_slow_repeats_and_steps_back_changes_nothing_that_is_known(self):
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
            # It repeats, steps back with other words, and says half of what comes next, then nothing.
            whole = json.dumps(change(3, host("s-00000001", engine.port, "leaving"))).encode() + b"\n"
            bus.say(
                change(2, host("s-00000001", engine.port)), change(1, host("s-00000000", engine.port, "left")), b"1"
            )
            bus.writers[-1].write(whole[:40])
            await bus.joined(2)
            self.assertEqual(bus.froms[1], "from 2")
            self.assertEqual([core.engines[n].entry.health for n in (0, 1)], [Health.READY] * 2)
            bus.writers[-1].write(whole)
            await self.until(lambda: core.engines[1].entry.health == Health.DRAINING)
        self.assertEqual((await self.ask())[0], 200)

    async def test_an_engine_at_its_cap_of_connections_is_used_by_those_that_stand(self):
        first, second = await self.start(2)
        await self.operate("disable-server s-00000001")
        self.assertEqual((await self.ask(number=1))[0], 200)
        first.server.close()  # takes no more connections, and serves the one that stands
        self.assertEqual((await self.ask(number=2))[0], 200)
        await self.operate("enable-server s-00000001")
        go = asyncio.Event()
        first.script = second.script = at_work(go)
        asked = [asyncio.create_task(self.ask(number=n)) for n in range(3, 7)]
        await self.until(lambda: len(first.of("POST")) + len(second.of("POST")) == 2 + 4)
        go.set()
        self.assertEqual({(await one)[0] for one in asked}, {200})
        self.assertLessEqual(len(first.of("POST")), 3)


def test_what_engines_report_of_others_steers_the_choice():
    """Each of 40 knows little of an engine but its last report: full ones got as much as idle ones."""
    full = idle = 0
    for k in fleet(40, 8, load_report_columns=("load_share", "depth", "x0")):
        for engine in range(8):  # one answer from each, half of them with all cores in use and a line
            report = (1.0, 6.0, 0.5) if engine % 2 else (0.1, 0.0, 0.1)
            k.controller.engines[engine].connections.release(k.now)
            k.controller.capacity.add_load_report(k.controller.engines[engine], report, k.now)
        for i in range(3):
            k.request(i, 0, cost=100.0)
        full += sum(engine % 2 for _, _, engine in k.sent)
        idle += sum(engine % 2 == 0 for _, _, engine in k.sent)
    assert full * 4 < idle


def test_turns_at_a_cold_engine_stay_large_enough_for_a_query():
    """Once the budget held a query for each of 40, all got their share of it, less than one: nobody sent any."""
    sent = 0
    for number in range(40):
        k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=40, number=number), engines=0, now=101000.0)
        k.list(entry(7, since=96000.0), how=EndpointListKind.FULL)
        for i in range(60):
            k.request(i, 0, cost=100.0)
            k.wait(5)
        sent += len(k.sent)
    assert 20 <= sent <= 100


def test_a_turn_at_a_cold_engine_is_seen_among_many_engines():
    """Of 60 engines twelve are looked at for a query: four in five turns at the cold one went by unseen."""

    def takers(warm: range) -> list[int]:
        out = []
        for number in range(40):
            k = ControllerHarness(
                settings(READ, HEAVY, LOAD, coordinators=40, number=number), engines=0, seed=number, now=101000.0
            )
            k.list(entry(7, since=96000.0), *(entry(i) for i in warm), how=EndpointListKind.FULL)
            k.request(0, 0, cost=100.0)
            out += [number for _, _, engine in k.sent if engine == 7]
        return out

    turns = takers(range(0))
    assert len(turns) > 5 and takers(range(100, 159)) == turns


class Connection:
    def __init__(self, born: float, heard: float) -> None:
        self.opened_ms, self.last_response_ms = born, heard


def test_only_a_connection_as_old_as_the_query_shows_that_its_process_is_the_same():
    course = pools.AttemptProgress(1000.0)
    assert not course.may_be_other_process(1300.0) and course.may_be_other_process(1500.0), (
        "an ask that is out for too long"
    )
    for born, heard, wait in ((900.0, 1600.0, 0.0), (900.0, 1400.0, 1500.0), (1001.0, 1600.0, 1500.0)):
        assert course.remaining_wait_ms(1600.0, 1500.0, [Connection(born, heard)]) == wait
    assert course.remaining_wait_ms(4000.0, 1500.0, []) == 0.0


def test_pools_keep_within_the_descriptors_and_close_before_the_engine_does():
    assert [pools.idle_timeout_ms(idle) for idle in (15000.0, 3000.0)] == [13000.0, 1500.0]
    for sockets in (64, 384, 4096):
        for crowded in (False, True):
            most, each = pools.connection_limits(sockets, crowded)
            assert 8 <= each <= most <= max(16, 0.38 * sockets)
    young, old = Connection(2.0, 3.0), Connection(1.0, 2.0)
    assert pools.choose_idle([old, young], False) is young and pools.choose_idle([young, old], True) is old
