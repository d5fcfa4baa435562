"""Scatter/gather in the program: configuration, imports while disabled, and requests from acceptance to response."""

import asyncio
import json
import subprocess
import sys
import tracemalloc
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
from frostspindle.held_memory import HeldMemory, HeldPurpose
from frostspindle.lab import scatter as emulator
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.results import ResultText
from frostspindle.scatter import leases, wiring
from frostspindle.scatter.leases import LoadIntent
from frostspindle.scatter.service import ScatterService, monotonic
from frostspindle.telemetry import Telemetry

GOOD = (Path(__file__).parent.parent / "deploy" / "scatter.toml").read_text()
INSERT = "INSERT INTO calls_17.notes (agent, at, note) VALUES ('{}', '2026-01-02', 7)"


class FileCase(unittest.TestCase):
    read = test_fleet_program.ConfigCase.read

    def test_example_is_valid_and_each_error_names_its_key(self):
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

    def test_program_without_scatter_imports_none_of_its_modules(self):
        loaded = subprocess.run(
            [sys.executable, "-c", "import sys, frostspindle.program; print(*sys.modules)"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.split()
        heavy = ("frostspindle.scatter", "frostspindle.predicates", "sqlglot", "rbloom")
        self.assertEqual([name for name in loaded if name.startswith(heavy)], [])


class Core:
    """Stands in for the core: records submitted and cancelled requests, to which the test responds."""

    def __init__(self, config):
        classes = [("http", name) for name in config.classes]
        self.classes = classes + [(SUBREQUEST_FRONT, config.classes[cls]) for cls, _ in config.scatter.classes]
        self.settings, self.max_open_requests, self.open = config.settings, 9, 0
        self.submitted, self.cancelled = [], []
        self.held_memory = HeldMemory(192.0)

    def submit(self, request):
        self.submitted.append(request)
        return True

    def client_disconnected(self, request):
        self.cancelled.append(request)

    def suspend_request(self, request):
        request.is_suspended = True


class ServiceCase(unittest.IsolatedAsyncioTestCase):
    read = test_fleet_program.ConfigCase.read

    async def asyncSetUp(self):
        two_sites = GOOD.replace(
            '# [[scatter.site]]\n# name = "floor-2"\n', '[[scatter.site]]\nname = "b"\nzones = []\n'
        )
        two_sites = two_sites.replace("zones = []", 'zones = ["floor-2"]').replace("# foreign_loads = true ", "# ")
        import frostspindle.lab.engines as engines

        make_document = engines.coordinator_config
        config = None
        with unittest.mock.patch(
            "test_fleet_program.coordinator_config",
            lambda hosts, **kw: make_document(hosts, **kw, zones=("floor-1", "floor-2")),
        ):
            config = self.read(two_sites)
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

    def submit(self, sql, cls="lookup", number=1, **kw):
        request = ClientRequest(
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
        assert self.scatter.try_take(request)
        return request

    async def begin(self, has_summaries=True):
        now = monotonic()
        with unittest.mock.patch.object(ScatterService, "_check_learning"):  # the summaries are set below
            self.scatter.on_started(now - 60_000.0, self.scatter.fleet.node)
        for key in self.scatter.home.records if has_summaries else ():
            self.scatter.home.begin_learning(key)
            cells = {"agent": [(2, key[0])], "at": [], "note": [(1, "5")], "note\0": [(1, "0")]}
            self.scatter.home.finish_learning(now, key, [LoadIntent(1, cells)], 0.0)
        self.scatter.holder.mark_used(now, list(self.scatter.holder.leases))
        self.scatter._tick()

    async def run_callbacks(self):
        for _ in range(4):
            await asyncio.sleep(0)

    async def test_only_sites_that_may_match_are_queried_and_their_rows_merged(self):
        await self.begin()
        self.submit("SELECT note FROM calls_17.notes WHERE agent = 'b'")
        submitted = [(part.front, self.core.classes[part.cls][1], part.group) for part in self.core.submitted]
        self.assertEqual(submitted, [(SUBREQUEST_FRONT, "lookup", 17)])
        self.core.submitted[0].on_response(Response(ResponseStatus.SERVED, ResultText([b"5\n"])))
        self.assertEqual(self.answers[1].result.rows(), [["5"]])
        self.submit("SELECT COUNT(*) FROM calls_17.notes WHERE agent = 'nobody'", number=2)
        self.assertNotIn(2, self.answers)  # the response follows once the front has recorded the request
        await self.run_callbacks()
        self.assertEqual((self.answers[2].result.rows(), len(self.core.submitted)), ([["0"]], 1))
        self.submit("SELECT AVG(note) FROM calls_17.notes", number=3)
        await self.run_callbacks()
        self.assertEqual((self.answers[3].status, len(self.core.submitted)), (ResponseStatus.REJECTED, 1))
        self.assertIn("not scatterable", self.answers[3].reason)
        self.assertIsNone(self.scatter.try_take(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=18)))
        self.core.open = 9
        self.assertIs(self.scatter.try_take(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=17)), False)

    # Guards against parts being sent for a disconnected client: its connection was not checked for parts.
    async def test_parts_are_sent_only_while_the_client_is_connected(self):
        await self.begin(has_summaries=False)
        present = [True]
        request = self.submit("SELECT note FROM calls_17.notes", is_client_connected=lambda: present[0])
        parts = self.core.submitted
        self.assertEqual([part.is_client_connected() for part in parts], [True] * len(parts))
        self.assertEqual([*self.scatter.subrequests(request)], parts)
        present[0] = False
        self.assertEqual([part.is_client_connected() for part in parts], [False] * len(parts))
        parts[0].on_response(Response(ResponseStatus.SERVED, ResultText([b"5\n"])))
        self.assertEqual([*self.scatter.subrequests(request)], parts[1:])
        away = self.submit("SELECT note FROM calls_17.notes", number=2, is_suspended=True)
        self.assertTrue(all(part.is_suspended for part in self.scatter.subrequests(away)))

    # Guards against: rows that waited for those of other sites were lists, many times their text, and not counted.
    async def test_rows_that_wait_for_other_sites_are_counted_and_kept_as_text(self):
        page = b"".join(b"%d\n" % (number % 90) for number in range(16_000))
        memory = self.core.held_memory
        for number in (1, 2):
            self.submit("SELECT note FROM calls_17.notes", number=number)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before = tracemalloc.get_traced_memory()[0]
        for part in self.core.submitted[::2]:
            part.on_response(Response(ResponseStatus.SERVED, ResultText([page + b"91\n"])))
        taken = tracemalloc.get_traced_memory()[0] - before
        self.assertGreaterEqual(memory.used[HeldPurpose.RESULTS], 2 * len(page))
        self.assertLess(taken, memory.used[HeldPurpose.RESULTS] + 2**15)
        self.core.submitted[1].on_response(Response(ResponseStatus.SERVED, ResultText([page])))
        self.assertEqual(len(self.answers[1].result.rows()), 32_001)
        self.assertTrue(self.scatter.client_disconnected(next(iter(self.scatter.queries))))
        self.core.submitted[3].on_response(Response(ResponseStatus.SERVED, ResultText([page])))
        self.assertEqual(memory.total, 0)

    async def test_without_leases_all_sites_are_queried_with_one_rank_and_a_failed_part_cancels_the_others(self):
        for number, partial in ((1, False), (2, True)):
            self.submit("SELECT note FROM calls_17.notes WHERE agent = 'b'", number=number, partial=partial)
        parts = self.core.submitted
        self.assertEqual([part.cost_ms for part in parts], [40.0] * 4)
        self.assertEqual(len({part.ticket for part in parts}), 4)
        parts[0].on_response(Response(ResponseStatus.REJECTED, None, 9.0))
        self.assertEqual((self.answers[1].status, self.answers[1].retry_after_ms), (ResponseStatus.REJECTED, 9.0))
        self.assertEqual(self.core.cancelled, [parts[1]])
        parts[2].on_response(Response(ResponseStatus.FAILED))
        self.assertNotIn(2, self.answers)
        parts[3].on_response(Response(ResponseStatus.SERVED, ResultText([b"5\n"])))
        self.assertEqual((self.answers[2].result.rows(), self.answers[2].missing_parts), ([["5"]], "floor-1"))
        request = self.submit("SELECT note FROM calls_17.notes", number=3)
        self.assertTrue(self.scatter.client_disconnected(request))
        self.assertEqual(self.core.cancelled[1:], self.core.submitted[4:])
        self.core.submitted[4].on_response(Response(ResponseStatus.SERVED, ResultText([b""])))
        self.assertNotIn(3, self.answers)

    async def test_site_with_foreign_loads_is_always_queried_and_its_loads_are_not_announced(self):
        sites = self.scatter.catalogue.sites
        sites["b"] = replace(sites["b"], foreign_loads=True)
        await self.begin()
        self.scatter.holder.leases.setdefault("b/17", self.scatter.holder.leases["floor-1/17"])  # must not be used
        self.submit("SELECT note FROM calls_17.notes WHERE agent = 'nobody'")
        self.assertEqual([part.cls for part in self.core.submitted], [self.config.scatter.classes[0, "b"]])
        self.submit(INSERT.format("x"), "load", 2, site="b")
        self.core.submitted[1].on_response(Response(ResponseStatus.SERVED, ResultText([b""])))
        self.assertEqual((self.answers[2].status, self.scatter.holder.loads), (ResponseStatus.SERVED, {}))

    async def test_lease_that_expires_while_the_process_is_stopped_skips_no_site(self):
        await self.begin()
        floor_lease = self.scatter.holder.leases["floor-1/17"]
        may_match, expiries = sys.modules["frostspindle.scatter.service"].may_match, []

        def stopped(predicate, summary):  # for longer than the lease, after the lease was checked
            expiries.append(floor_lease.expires_at)
            for lease in self.scatter.holder.leases.values():
                lease.expires_at = monotonic() - 1.0
            return may_match(predicate, summary)

        with unittest.mock.patch("frostspindle.scatter.service.may_match", stopped):
            self.submit("SELECT note FROM calls_17.notes WHERE agent = 'nobody'")
        self.assertTrue(expiries)
        self.assertEqual(len(self.core.submitted), 2)

    async def test_load_is_announced_sent_confirmed_and_answered_in_key_order(self):
        await self.begin()
        loaded = []
        self.scatter.loaded = lambda *load: loaded.append(load)
        self.submit(INSERT.format("x"), "load", 1, site="b", key=5)
        self.submit(INSERT.format("x"), "load", 2, site="b", key=5)
        await self.run_callbacks()
        self.assertEqual([part.key for part in self.core.submitted], [5, 5])
        self.core.submitted[0].on_response(Response(ResponseStatus.SERVED, ResultText([b""])))
        await self.run_callbacks()
        self.assertEqual(self.answers[1].status, ResponseStatus.SERVED)
        self.core.submitted[1].on_response(Response(ResponseStatus.FAILED))
        self.assertEqual((self.answers[2].status, self.scatter.key_queues), (ResponseStatus.FAILED, {}))
        self.assertEqual(loaded, [("b", 17, ("agent", "at", "note"))])  # of the load that was answered as served
        self.assertEqual(len(self.scatter.home.records["b/17"].open_intents), 1)  # it may have run
        agents = [
            next(f"a{n}" for n in range(99) if home_of(f"2a{n}", ["floor-1", "b"]) == site) for site in ("floor-1", "b")
        ]  # one of each site
        both = INSERT.format(agents[0]).replace("VALUES", f"VALUES ('{agents[1]}', '2026-01-01', 1),")
        self.submit(both, "load", 3)
        self.submit(INSERT.format(agents[1]), "load", 4)
        await self.run_callbacks()
        self.assertIn("names it in X-Site", self.answers[3].reason)
        self.assertEqual(self.core.submitted[2].cls, self.config.scatter.classes[2, "b"])

    async def test_load_waits_for_an_earlier_one_of_its_key_to_be_announced(self):
        await self.begin()
        with unittest.mock.patch.object(leases.SummaryHome, "on_load_announced", lambda *args: None):
            self.submit(INSERT.format("x"), "load", 1, site="floor-1", key=5)
            await self.run_callbacks()
        second = self.submit(INSERT.format("x"), "load", 2, site="b", key=5)
        await self.run_callbacks()
        self.assertEqual((self.core.submitted, self.scatter.loads[second].announcement.state), ([], "ready"))
        first = next(load for request, load in self.scatter.loads.items() if request is not second)
        self.scatter._on_load_timeout(first)
        self.assertEqual((self.answers[1].status, len(self.core.submitted)), (ResponseStatus.REJECTED, 1))
        self.scatter.client_disconnected(second)
        self.assertEqual(self.core.cancelled, self.core.submitted)

    # Guards against: at a shutdown, the answer of a load submitted the next one of its key, which was then sent.
    async def test_giving_up_the_loads_at_shutdown_submits_none_of_them(self):
        await self.begin()
        with unittest.mock.patch.object(leases.SummaryHome, "on_load_announced", lambda *args: None):
            self.submit(INSERT.format("x"), "load", 1, site="floor-1", key=5)
            await self.run_callbacks()
        self.submit(INSERT.format("x"), "load", 2, site="b", key=5)
        await self.run_callbacks()
        self.scatter.give_up()
        statuses = {number: answer.status for number, answer in self.answers.items()}
        self.assertEqual(statuses, {1: ResponseStatus.REJECTED, 2: ResponseStatus.REJECTED})
        self.assertEqual((self.core.submitted, self.scatter.loads), ([], {}))

    async def test_without_the_home_no_load_is_sent_or_answered_unconfirmed(self):
        request = self.submit(INSERT.format("x"), "load", 1, site="b")
        await self.run_callbacks()
        self.assertEqual((self.answers, self.core.submitted), ({}, []))
        self.scatter._on_load_timeout(self.scatter.loads[request])
        self.assertEqual((self.answers[1].status, self.core.submitted), (ResponseStatus.REJECTED, []))
        await self.begin()
        request = self.submit(INSERT.format("x"), "load", 2, site="b")
        await self.run_callbacks()
        with unittest.mock.patch.object(leases.SummaryHome, "on_load_ended", lambda *args: None):
            self.core.submitted[0].on_response(Response(ResponseStatus.SERVED, ResultText([b""])))
            await self.run_callbacks()
            self.assertNotIn(2, self.answers)
            self.scatter._on_load_timeout(self.scatter.loads[request])
        self.assertEqual(self.answers[2].status, ResponseStatus.FAILED)

    async def test_headers_are_read_for_spread_tables_only(self):
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
        request = ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=17)
        platform.annotate_request(request, {b"x-partial": b"yes", b"x-site": b"b"})
        self.assertEqual((request.partial, request.site), (True, "b"))
        for fields in ({b"x-partial": b"maybe"}, {b"x-site": b"cellar"}, {b"x-site": b"\xff"}):
            with self.assertRaises(CallRejectedError):
                platform.annotate_request(request, fields)
        platform.annotate_request(ClientRequest("http", 0, "", "", 0.0, 1.0, print, group=18), {b"x-partial": b"maybe"})


def test_lab_scatter_prints_the_same_object_for_the_same_seed():
    call = ["lab", "scatter", "--nodes", "4", "--seed", "5", "--seconds", "10", "--json", "--faults", "drawn"]
    first, second = (CliRunner().invoke(cli, call) for _ in range(2))
    figures = json.loads(first.output)
    assert first.output == second.output
    assert figures["false_skips"] == 0 and figures["answered"] > 5
    assert {"pruned", "asked_without_lease", "load_wait_ms_p99"} <= figures.keys()
    assert CliRunner().invoke(cli, ["lab", "scatter", "--faults", "1 rain 2"]).exit_code == 2


def test_emulator_detects_false_skips_if_loads_do_not_wait_for_holders(monkeypatch):
    acknowledge_ready = leases.SummaryHome._acknowledge_ready

    def acknowledge_all(self, now, record):
        holders, record.holders = record.holders, {}
        acknowledge_ready(self, now, record)
        record.holders = holders

    kw = {"faults": "0- loss 0.3; 5-9 cut 0-1|2-4", "seconds": 12.0, "loads": 4.0}
    assert emulator.measure(emulator.play(5, 1, **kw))["false_skips"] == 0
    monkeypatch.setattr(leases.SummaryHome, "_acknowledge_ready", acknowledge_all)
    assert emulator.measure(emulator.play(5, 1, **kw))["false_skips"] > 0


def test_without_faults_nearly_all_skippable_sites_are_skipped():
    figures = emulator.measure(emulator.play(3, 2, "", 12.0))
    assert figures["false_skips"] == 0 and figures["pruned"] > 0.95, figures
    assert figures["load_wait_ms_p99"] == pytest.approx(2.0, abs=1.0)
