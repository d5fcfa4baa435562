"""Scatter in the program: its configuration, what it costs while off, and one request from its taking to its answer."""

import asyncio
import json
import subprocess
import sys
import unittest
import unittest.mock
from io import BytesIO
from pathlib import Path
from types import SimpleNamespace

import pytest
import test_fleet_program
from click.testing import CliRunner
from msgspec.structs import replace

from frostspindle.catalogue import home_of
from frostspindle.cli import cli
from frostspindle.config import ConfigError
from frostspindle.core import SUBREQUEST_FRONT, ClientRequest, Response, ResponseStatus, clock
from frostspindle.lab import scatter as emulating
from frostspindle.net.fields import CallRejectedError
from frostspindle.scatter import leases, wiring
from frostspindle.scatter.leases import LoadIntent
from frostspindle.scatter.service import ScatterService, monotonic
from frostspindle.telemetry import Telemetry

GOOD = (Path(__file__).parent.parent / "deploy" / "scatter.toml").read_text()
INSERT = "INSERT INTO calls_17.notes (agent, at, note) VALUES ('{}', '2026-01-02', 7)"


class FileCase(unittest.TestCase):
    read = test_fleet_program.ConfigCase.read

    def test_the_example_is_good_and_each_fault_names_its_key(self):
        config = self.read(GOOD)
        self.assertEqual(len(config.settings.classes), 2 * len(config.classes))
        self.assertEqual(config.settings.classes[config.scatter.classes[0, "floor-1"]].only_zones, {0})
        for old, new, key in (
            ('name = "floor-1"', 'name = "cellar"', "scatter.site"),
            ('learn_class = "report"', 'learn_class = "x"', "scatter.learn_class"),
            ("[fleet]\n", "[other]\n", "other"),
            ('type = "text"', 'type = "words"', "column agent"),
        ):
            with self.assertRaisesRegex(ConfigError, key):
                self.read(GOOD.replace(old, new, 1))
        with self.assertRaisesRegex(ConfigError, "scatter: needs .fleet."):
            self.read("[scatter]" + GOOD.partition("\n[scatter]")[2])

    def test_a_process_without_it_loads_nothing_of_it(self):
        loaded = subprocess.run(
            [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        heavy = ("frostspindle.scatter", "frostspindle.predicates", "sqlglot", "rbloom")
        self.assertEqual([name for name in loaded if name.startswith(heavy)], [])


class Core:
    """Takes asks and answers when the test says so."""

    def __init__(self, config):
        classes = [("http", name) for name in config.classes]
        self.classes = classes + [(SUBREQUEST_FRONT, config.classes[cls]) for cls, _ in config.scatter.classes]
        self.settings, self.max_open_requests, self.open = config.settings, 9, 0
        self.asks, self.gone = [], []

    def submit(self, ask):
        self.asks.append(ask)
        return True

    def client_disconnected(self, ask):
        self.gone.append(ask)

    def suspend_request(self, ask):
        ask.is_suspended = True


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    read = test_fleet_program.ConfigCase.read

    async def asyncSetUp(self):
        two = GOOD.replace('# [[scatter.site]]\n# name = "floor-2"\n', '[[scatter.site]]\nname = "b"\nzones = []\n')
        two = two.replace("zones = []", 'zones = ["floor-2"]').replace("# foreign_loads = true ", "# ")
        import frostspindle.lab.engines as engines

        whole = engines.coordinator_config
        config = None
        with unittest.mock.patch(
            "test_fleet_program.coordinator_config",
            lambda hosts, **kw: whole(hosts, **kw, zones=("floor-1", "floor-2")),
        ):
            config = self.read(two)
        self.core, self.events = Core(config), Telemetry(sink=BytesIO())
        self.posted = []
        fleet = SimpleNamespace(
            name="c1",
            node=SimpleNamespace(epoch=1, name="c1", homes=["c1"]),
            post=lambda *message: self.posted.append(message),
        )
        self.scatter = ScatterService(config.scatter, self.core, self.events, fleet, len(config.classes))

        async def close():
            self.scatter.close()

        self.addAsyncCleanup(close)
        self.answers = {}
        self.config = config

    def ask(self, sql, cls="lookup", number=1, **kw):
        ask = ClientRequest(
            "http",
            self.config.classes.index(cls),
            f"{number:016x}",
            sql,
            clock(),
            5_000.0,
            lambda answer: self.answers.setdefault(number, answer),
            80.0,
            group=17,
            **kw,
        )
        assert self.scatter.try_take(ask)
        return ask

    async def begin(self, learnt=True):
        now = monotonic()
        with unittest.mock.patch.object(ScatterService, "_search"):  # what is learnt is told below
            self.scatter.on_started(now - 60_000.0, self.scatter.fleet.node)
        for key in self.scatter.home.shelves if learnt else ():
            self.scatter.home.begin(key)
            cells = {"agent": [(2, key[0])], "at": [], "note": [(1, "5")], "note\0": [(1, "0")]}
            self.scatter.home.learnt(now, key, [LoadIntent(1, cells)], 0.0)
        self.scatter.holder.want(now, list(self.scatter.holder.held))
        self.scatter._tick()

    async def turn(self):
        for _ in range(4):
            await asyncio.sleep(0)

    async def test_only_sites_that_may_have_rows_are_asked_and_their_rows_are_one_answer(self):
        await self.begin()
        self.ask("SELECT note FROM calls_17.notes WHERE agent = 'b'")
        asked = [(part.front, self.core.classes[part.cls][1], part.group) for part in self.core.asks]
        self.assertEqual(asked, [(SUBREQUEST_FRONT, "lookup", 17)])
        self.core.asks[0].on_response(Response(ResponseStatus.SERVED, ([["5"]], 2)))
        self.assertEqual(self.answers[1].result[0], [["5"]])
        self.ask("SELECT COUNT(*) FROM calls_17.notes WHERE agent = 'nobody'", number=2)
        self.assertNotIn(2, self.answers)  # not before the front knows that it is taken
        await self.turn()
        self.assertEqual((self.answers[2].result[0], len(self.core.asks)), ([["0"]], 1))
        self.ask("SELECT AVG(note) FROM calls_17.notes", number=3)
        await self.turn()
        self.assertEqual((self.answers[3].status, len(self.core.asks)), (ResponseStatus.REJECTED, 1))
        self.assertIn("not scatterable", self.answers[3].reason)
        self.assertIsNone(self.scatter.try_take(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=18)))
        self.core.open = 9
        self.assertIs(self.scatter.try_take(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=17)), False)

    # Guards against: parts were sent for a client that had left, as nobody looked at its connection for them.
    async def test_parts_are_sent_only_while_the_client_of_the_whole_request_is_there(self):
        await self.begin(learnt=False)
        present = [True]
        ask = self.ask("SELECT note FROM calls_17.notes", is_client_connected=lambda: present[0])
        parts = self.core.asks
        self.assertEqual([part.is_client_connected() for part in parts], [True] * len(parts))
        self.assertEqual([*self.scatter.subrequests(ask)], parts)
        present[0] = False
        self.assertEqual([part.is_client_connected() for part in parts], [False] * len(parts))
        parts[0].on_response(Response(ResponseStatus.SERVED, ([["5"]], 2)))
        self.assertEqual([*self.scatter.subrequests(ask)], parts[1:])
        away = self.ask("SELECT note FROM calls_17.notes", number=2, is_suspended=True)
        self.assertTrue(all(part.is_suspended for part in self.scatter.subrequests(away)))

    async def test_without_a_lease_all_are_asked_ranked_alike_and_a_lost_part_ends_the_others(self):
        for number, partial in ((1, False), (2, True)):
            self.ask("SELECT note FROM calls_17.notes WHERE agent = 'b'", number=number, partial=partial)
        parts = self.core.asks
        self.assertEqual([part.cost_ms for part in parts], [40.0] * 4)
        self.assertEqual(len({part.ticket for part in parts}), 4)
        parts[0].on_response(Response(ResponseStatus.REJECTED, None, 9.0))
        self.assertEqual((self.answers[1].status, self.answers[1].retry_after_ms), (ResponseStatus.REJECTED, 9.0))
        self.assertEqual(self.core.gone, [parts[1]])
        parts[2].on_response(Response(ResponseStatus.FAILED))
        self.assertNotIn(2, self.answers)
        parts[3].on_response(Response(ResponseStatus.SERVED, ([["5"]], 2)))
        self.assertEqual((self.answers[2].result[0], self.answers[2].missing_parts), ([["5"]], "floor-1"))
        ask = self.ask("SELECT note FROM calls_17.notes", number=3)
        self.assertTrue(self.scatter.client_disconnected(ask))
        self.assertEqual(self.core.gone[1:], self.core.asks[4:])
        self.core.asks[4].on_response(Response(ResponseStatus.SERVED, ([], 0)))
        self.assertNotIn(3, self.answers)

    async def test_a_site_with_foreign_loads_is_always_asked_and_its_loads_wait_for_nobody(self):
        sites = self.scatter.catalogue.sites
        sites["b"] = replace(sites["b"], foreign_loads=True)
        await self.begin()
        self.scatter.holder.held.setdefault("b/17", self.scatter.holder.held["floor-1/17"])  # what it must not look at
        self.ask("SELECT note FROM calls_17.notes WHERE agent = 'nobody'")
        self.assertEqual([part.cls for part in self.core.asks], [self.config.scatter.classes[0, "b"]])
        self.ask(INSERT.format("x"), "load", 2, site="b")
        self.core.asks[1].on_response(Response(ResponseStatus.SERVED, ([], 0)))
        self.assertEqual((self.answers[2].status, self.scatter.holder.loads), (ResponseStatus.SERVED, {}))

    async def test_a_lease_that_ran_out_while_the_process_stood_still_leaves_nothing_out(self):
        await self.begin()
        held = self.scatter.holder.held["floor-1/17"]
        judge, stands = sys.modules["frostspindle.scatter.service"].may_match, []

        def stopped(predicate, summary):  # for longer than the lease, after it was looked at
            stands.append(held.ends)
            for one in self.scatter.holder.held.values():
                one.ends = monotonic() - 1.0
            return judge(predicate, summary)

        with unittest.mock.patch("frostspindle.scatter.service.may_match", stopped):
            self.ask("SELECT note FROM calls_17.notes WHERE agent = 'nobody'")
        self.assertTrue(stands)
        self.assertEqual(len(self.core.asks), 2)

    async def test_a_load_is_announced_sent_confirmed_and_answered_and_of_one_key_in_order(self):
        await self.begin()
        told = []
        self.scatter.loaded = lambda *load: told.append(load)
        self.ask(INSERT.format("x"), "load", 1, site="b", key=5)
        self.ask(INSERT.format("x"), "load", 2, site="b", key=5)
        await self.turn()
        self.assertEqual([part.key for part in self.core.asks], [5, 5])
        self.core.asks[0].on_response(Response(ResponseStatus.SERVED, ([], 0)))
        await self.turn()
        self.assertEqual(self.answers[1].status, ResponseStatus.SERVED)
        self.core.asks[1].on_response(Response(ResponseStatus.FAILED))
        self.assertEqual((self.answers[2].status, self.scatter.lines), (ResponseStatus.FAILED, {}))
        self.assertEqual(told, [("b", 17, ("agent", "at", "note"))])  # of the one that was answered as served
        self.assertEqual(len(self.scatter.home.shelves["b/17"].standing), 1)  # it may have run
        agents = [
            next(f"a{n}" for n in range(99) if home_of(f"2a{n}", ["floor-1", "b"]) == site) for site in ("floor-1", "b")
        ]  # one of each site
        both = INSERT.format(agents[0]).replace("VALUES", f"VALUES ('{agents[1]}', '2026-01-01', 1),")
        self.ask(both, "load", 3)
        self.ask(INSERT.format(agents[1]), "load", 4)
        await self.turn()
        self.assertIn("names it in X-Site", self.answers[3].reason)
        self.assertEqual(self.core.asks[2].cls, self.config.scatter.classes[2, "b"])

    async def test_a_load_waits_behind_one_of_its_key_that_is_not_yet_announced(self):
        await self.begin()
        with unittest.mock.patch.object(leases.SummaryHome, "on_load_announced", lambda *args: None):
            self.ask(INSERT.format("x"), "load", 1, site="floor-1", key=5)
            await self.turn()
        second = self.ask(INSERT.format("x"), "load", 2, site="b", key=5)
        await self.turn()
        self.assertEqual((self.core.asks, self.scatter.turns[second].load.state), ([], "ready"))
        first = next(turn for ask, turn in self.scatter.turns.items() if ask is not second)
        self.scatter._late(first)
        self.assertEqual((self.answers[1].status, len(self.core.asks)), (ResponseStatus.REJECTED, 1))
        self.scatter.client_disconnected(second)
        self.assertEqual(self.core.gone, self.core.asks)

    async def test_without_its_home_no_load_is_sent_and_none_is_answered_unconfirmed(self):
        ask = self.ask(INSERT.format("x"), "load", 1, site="b")
        await self.turn()
        self.assertEqual((self.answers, self.core.asks), ({}, []))
        self.scatter._late(self.scatter.turns[ask])
        self.assertEqual((self.answers[1].status, self.core.asks), (ResponseStatus.REJECTED, []))
        await self.begin()
        ask = self.ask(INSERT.format("x"), "load", 2, site="b")
        await self.turn()
        with unittest.mock.patch.object(leases.SummaryHome, "on_load_ended", lambda *args: None):
            self.core.asks[0].on_response(Response(ResponseStatus.SERVED, ([], 0)))
            await self.turn()
            self.assertNotIn(2, self.answers)
            self.scatter._late(self.scatter.turns[ask])
        self.assertEqual(self.answers[2].status, ResponseStatus.FAILED)

    async def test_headers_are_read_for_spread_tables_alone(self):
        platform = SimpleNamespace()
        program = SimpleNamespace(
            config=self.config,
            core=self.core,
            telemetry=self.events,
            operator_server=None,
            platform=platform,
            fleet=SimpleNamespace(channels=[], name="c1", node=None),
        )
        wiring.attach(program)
        ask = ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=17)
        platform.marks(ask, {b"x-partial": b"yes", b"x-site": b"b"})
        self.assertEqual((ask.partial, ask.site), (True, "b"))
        for fields in ({b"x-partial": b"maybe"}, {b"x-site": b"cellar"}, {b"x-site": b"\xff"}):
            with self.assertRaises(CallRejectedError):
                platform.marks(ask, fields)
        platform.marks(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=18), {b"x-partial": b"maybe"})


def test_lab_scatter_prints_one_object_the_same_for_the_same_seed():
    call = ["lab", "scatter", "--nodes", "4", "--seed", "5", "--seconds", "10", "--json", "--faults", "drawn"]
    first, second = (CliRunner().invoke(cli, call) for _ in range(2))
    figures = json.loads(first.output)
    assert first.output == second.output
    assert figures["false_skips"] == 0 and figures["answered"] > 5
    assert {"pruned", "asked_without_lease", "load_wait_ms_p99"} <= figures.keys()
    assert CliRunner().invoke(cli, ["lab", "scatter", "--faults", "1 rain 2"]).exit_code == 2


def test_the_emulator_finds_false_skips_where_a_load_waits_for_nobody(monkeypatch):
    settle = leases.SummaryHome._settle

    def all_at_once(self, now, shelf):
        held, shelf.holders = shelf.holders, {}
        settle(self, now, shelf)
        shelf.holders = held

    kw = {"faults": "0- loss 0.3; 5-9 cut 0-1|2-4", "seconds": 12.0, "loads": 4.0}
    assert emulating.measure(emulating.play(5, 1, **kw))["false_skips"] == 0
    monkeypatch.setattr(leases.SummaryHome, "_settle", all_at_once)
    assert emulating.measure(emulating.play(5, 1, **kw))["false_skips"] > 0


def test_calm_almost_all_that_an_oracle_leaves_out_is_left_out():
    figures = emulating.measure(emulating.play(3, 2, "", 12.0))
    assert figures["false_skips"] == 0 and figures["pruned"] > 0.95, figures
    assert figures["load_wait_ms_p99"] == pytest.approx(2.0, abs=1.0)
